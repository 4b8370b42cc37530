//! State of the model: entries, gates, targets, callers, and a network that loses,
//! duplicates and reorders messages.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use pollenrouter_core::call::{Offer, Query, Reply};
use pollenrouter_core::entry::{self, CallResult, Entry};
use pollenrouter_core::gate::{self, Gate};
use pollenrouter_core::hint::Hint;
use pollenrouter_core::id::{CallId, Ticket};
use pollenrouter_core::service::{Limits, ProbeBudget, Service};
use smol_str::SmolStr;

pub const SERVICE: &str = "seats";
pub const DEADLINE: Duration = Duration::from_secs(1);
/// Entries have withdrawn their calls, and wait for the last replies.
const AFTER_DEADLINE: Duration = Duration::from_millis(1060);
/// Entries have given up.
const AFTER_REPLY_GRACE: Duration = Duration::from_millis(1200);
const GATE_INCARNATION: u64 = 100;
const ENTRY_INCARNATION: u64 = 200;

/// Limits of an exploration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Bounds {
    pub entries: usize,
    pub gates: usize,
    pub requests: u64,
    pub tickets: bool,
    pub resends: u8,
    pub duplicates: u8,
    pub losses: u8,
    pub gate_crashes: u8,
    pub entry_crashes: u8,
    pub records_max: usize,
    /// Whether the time between the withdrawal of calls and the end of the wait for replies is a step
    /// of its own.
    pub has_reply_grace: bool,
}

/// A safeguard of the protocol that the model can disable around the state machines; each
/// variant states the behaviour without it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Safeguard {
    /// A gate accepts offers addressed to an earlier incarnation.
    IncarnationCheck,
    /// A restarted gate keeps its incarnation.
    NewIncarnation,
    /// A gate does not recognize an id that it has already received.
    Records,
    /// A gate answers "not run" to a query without voiding the id.
    VoidOnQuery,
    /// An entry that gets no reply assumes that nothing was sent, and does not query the gate.
    QueryOnSilence,
    /// An entry reports "not run" instead of "unknown" at the deadline.
    UnknownAtDeadline,
    /// A gate treats an id below the low-water mark as new.
    LowWaterMark,
}

/// A message in flight, with the index of its entry, then that of its gate; a withdrawal has
/// only that of its gate.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Message {
    Offer(usize, usize, Offer),
    Query(usize, usize, Query),
    Withdraw(usize, Query),
    Reply(usize, usize, CallId, Reply),
}

/// Remaining events within the bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    pub requests: u64,
    pub resends: u8,
    pub duplicates: u8,
    pub losses: u8,
    pub gate_crashes: u8,
    pub entry_crashes: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    pub disabled: Option<Safeguard>,
    pub records_max: usize,
    pub has_reply_grace: bool,
    pub is_past_deadline: bool,
    pub is_past_reply_grace: bool,
    pub budget: Budget,
    pub entries: Vec<Entry>,
    pub gates: Vec<Gate>,
    pub crashes: u64,
    pub network: BTreeSet<Message>,
    /// Entries that wait for a reply, by gate and call.
    pub waiting_entries: BTreeMap<(usize, CallId), BTreeSet<usize>>,
    /// Calls that gates are about to write to their targets.
    pub starting: BTreeSet<(usize, CallId)>,
    pub running: BTreeSet<(usize, CallId)>,
    /// Offers that gates received since their last restart.
    pub received_offers: BTreeSet<(usize, CallId)>,
    pub request_of_token: BTreeMap<entry::Token, u64>,
    pub request_of_id: BTreeMap<CallId, u64>,
    pub ticket: Option<Ticket>,
    /// Number of times that each request ran.
    pub runs: BTreeMap<u64, u8>,
    /// Verdicts that callers received.
    pub verdicts: BTreeSet<(entry::Token, CallResult)>,
}

pub fn host(gate: usize) -> SmolStr {
    format!("gate-{gate}").into()
}

pub fn gate_index(host: &str) -> usize {
    let number = host.strip_prefix("gate-").and_then(|n| n.parse().ok());
    number.expect("host must have the number of a gate")
}

fn service() -> Service {
    Service {
        name: SERVICE.into(),
        internal_callers: Vec::new(),
        routes: Vec::new(),
        limits: Limits {
            queue: 8,
            depth_levels: 0,
            short_reserved: 0,
            request_bytes: 0,
            answer_bytes: 0,
            retry_percent: 100,
            ..Limits::default()
        },
        probe_budget: ProbeBudget {
            probes_per_minute: 0,
            targets_max: 1,
        },
        cold_start: None,
    }
}

impl World {
    pub fn new(bounds: Bounds, disabled: Option<Safeguard>) -> Self {
        let mut world = Self {
            disabled,
            records_max: bounds.records_max,
            has_reply_grace: bounds.has_reply_grace,
            is_past_deadline: false,
            is_past_reply_grace: false,
            budget: Budget {
                requests: bounds.requests,
                resends: bounds.resends,
                duplicates: bounds.duplicates,
                losses: bounds.losses,
                gate_crashes: bounds.gate_crashes,
                entry_crashes: bounds.entry_crashes,
            },
            entries: Vec::new(),
            gates: Vec::new(),
            crashes: 0,
            network: BTreeSet::new(),
            waiting_entries: BTreeMap::new(),
            starting: BTreeSet::new(),
            running: BTreeSet::new(),
            received_offers: BTreeSet::new(),
            request_of_token: BTreeMap::new(),
            request_of_id: BTreeMap::new(),
            ticket: None,
            runs: BTreeMap::new(),
            verdicts: BTreeSet::new(),
        };
        for index in 0..bounds.gates {
            world.gates.push(new_gate(
                GATE_INCARNATION + index as u64,
                bounds.records_max,
            ));
        }
        for index in 0..bounds.entries {
            let entry = world.new_entry(ENTRY_INCARNATION + index as u64);
            world.entries.push(entry);
        }
        if bounds.tickets {
            world.ticket = world.entries[0].issue_ticket(Duration::ZERO, SERVICE, 7);
        }
        world
    }

    pub fn now(&self) -> Duration {
        if self.is_past_reply_grace {
            AFTER_REPLY_GRACE
        } else if self.is_past_deadline {
            AFTER_DEADLINE
        } else {
            Duration::ZERO
        }
    }

    pub fn new_entry(&self, incarnation: u64) -> Entry {
        let members = self
            .gates
            .iter()
            .enumerate()
            .map(|(index, gate)| entry::Member {
                host: host(index),
                incarnation: gate.incarnation(),
                service: SERVICE.into(),
                serving: true,
                ..entry::Member::default()
            });
        let mut entry = Entry::new(incarnation);
        entry.step(self.now(), entry::Input::Members(members.collect()));
        entry
    }

    pub fn crash_gate(&mut self, index: usize) {
        self.crashes += 1;
        let old = self.gates[index].incarnation();
        let incarnation = if self.disabled == Some(Safeguard::NewIncarnation) {
            old
        } else {
            old + 10 * self.crashes
        };
        self.gates[index] = new_gate(incarnation, self.records_max);
        self.starting.retain(|(gate, _)| *gate != index);
        // The target continues its running calls, but the gate does not wait for the answers.
        self.running.retain(|(gate, _)| *gate != index);
        self.waiting_entries.retain(|(gate, _), _| *gate != index);
        self.received_offers.retain(|(gate, _)| *gate != index);
    }

    pub fn crash_entry(&mut self, index: usize) {
        self.crashes += 1;
        let incarnation = ENTRY_INCARNATION + 10 * self.crashes + index as u64;
        self.entries[index] = self.new_entry(incarnation);
    }

    /// An invariant that this state violates, if any.
    pub fn violation(&self) -> Option<&'static str> {
        if self.runs.values().any(|runs| *runs > 1) {
            return Some("a request that may run at most once ran twice");
        }
        for (token, verdict) in &self.verdicts {
            let request = self.request_of_token[token];
            let ran = self.runs.contains_key(&request);
            match verdict {
                CallResult::NotRun(_) if ran => return Some("reported as not run, but it ran"),
                CallResult::Answer(_) | CallResult::Failure(_) if !ran => {
                    return Some("answered, but it did not run");
                }
                CallResult::Answer(id) | CallResult::Failure(id)
                    if self.request_of_id.get(id) != Some(&request) =>
                {
                    return Some("a caller received the answer to another request");
                }
                _ => {}
            }
        }
        None
    }

    pub fn entry_step(&mut self, index: usize, input: entry::Input) {
        let now = self.now();
        for output in self.entries[index].step(now, input) {
            self.entry_output(index, output);
        }
    }

    fn entry_output(&mut self, from: usize, output: entry::Output) {
        match output {
            entry::Output::Offer(host, token, offer) => {
                let request = self.request_of_token[&token];
                self.request_of_id.insert(offer.id, request);
                self.network
                    .insert(Message::Offer(from, gate_index(&host), offer));
            }
            entry::Output::Query(host, query) => {
                self.network
                    .insert(Message::Query(from, gate_index(&host), query));
            }
            entry::Output::Withdraw(host, query) => {
                self.network
                    .insert(Message::Withdraw(gate_index(&host), query));
            }
            entry::Output::Probe(_) | entry::Output::KeepFailure(..) => {}
            entry::Output::Done(token, verdict, _) => {
                self.verdicts.insert((token, self.reported(verdict)));
            }
        }
    }

    /// The verdict that the caller receives.
    fn reported(&self, verdict: CallResult) -> CallResult {
        use pollenrouter_core::call::{Refusal, UnknownReason};
        match verdict {
            CallResult::Unknown(UnknownReason::NoReply)
                if self.disabled == Some(Safeguard::UnknownAtDeadline) =>
            {
                CallResult::NotRun(Refusal::Late)
            }
            verdict => verdict,
        }
    }

    pub fn gate_step(&mut self, index: usize, from: Option<usize>, input: gate::Input) {
        let now = self.now();
        for output in self.gates[index].step(now, input) {
            self.gate_output(index, from, &output);
        }
    }

    fn gate_output(&mut self, gate: usize, from: Option<usize>, output: &gate::Output) {
        match *output {
            gate::Output::Start { id, .. } => {
                self.starting.insert((gate, id));
            }
            gate::Output::Reply(id, reply) => {
                for to in self.waiting_entries.remove(&(gate, id)).unwrap_or_default() {
                    self.network.insert(Message::Reply(to, gate, id, reply));
                }
            }
            gate::Output::ReplyWrongRequest(id) => {
                use pollenrouter_core::call::Refusal;
                let reply = Reply::NotRun(Refusal::WrongRequest);
                if let Some(to) = from {
                    self.network.insert(Message::Reply(to, gate, id, reply));
                }
            }
            gate::Output::RequestLoad
            | gate::Output::Cancel(_)
            | gate::Output::CacheAnswer(_)
            | gate::Output::EvictAnswer(_) => {}
        }
    }

    pub fn hint(&self, gate: usize) -> Hint {
        self.gates[gate].hint(self.now())
    }
}

fn new_gate(incarnation: u64, records_max: usize) -> Gate {
    let mut gate = Gate::new(incarnation, records_max);
    let announcement = gate::Announcement {
        service: SERVICE.into(),
        slots: 1,
        draining: false,
        ..gate::Announcement::default()
    };
    gate.step(Duration::ZERO, gate::Input::Announced(announcement));
    gate.step(Duration::ZERO, gate::Input::Document(service()));
    gate
}
