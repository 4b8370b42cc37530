//! State of the specification: entries, gates, targets, callers and a network
//! that loses, duplicates and reorders.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use pollenrouter_core::call::{Offer, Query, Reply};
use pollenrouter_core::entry::{self, Entry, Verdict};
use pollenrouter_core::gate::{self, Gate};
use pollenrouter_core::hint::Hint;
use pollenrouter_core::id::{CallId, Ticket};
use pollenrouter_core::service::{Limits, Measuring, Service};
use smol_str::SmolStr;

pub const SERVICE: &str = "seats";
pub const DEADLINE: Duration = Duration::from_secs(1);
const AFTER_DEADLINE: Duration = Duration::from_millis(1200);
const GATE_INCARNATION: u64 = 100;
const ENTRY_INCARNATION: u64 = 200;

/// Bounds of an exploration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Bounds {
    pub entries: usize,
    pub gates: usize,
    pub presses: u64,
    pub tickets: bool,
    pub resends: u8,
    pub duplicates: u8,
    pub losses: u8,
    pub gate_crashes: u8,
    pub entry_crashes: u8,
    pub records_max: usize,
}

/// A safeguard that the specification takes away around the functions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Removed {
    /// A gate takes offers made to an earlier incarnation.
    IncarnationCheck,
    /// A restarted gate has the same incarnation.
    NewIncarnation,
    /// A gate does not know an id again.
    Records,
    /// A gate says "not run" to a question without voiding the id.
    Void,
    /// An entry takes silence for "nothing was sent".
    AskOnSilence,
    /// An entry says "not run" at the deadline.
    DoubtAtDeadline,
    /// A gate takes an id below the low-water mark for a new one.
    LowWater,
}

/// A message in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Message {
    Offer(usize, usize, Offer),
    Query(usize, usize, Query),
    Withdraw(usize, Query),
    Reply(usize, usize, CallId, Reply),
}

/// What is left of the bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    pub presses: u64,
    pub resends: u8,
    pub duplicates: u8,
    pub losses: u8,
    pub gate_crashes: u8,
    pub entry_crashes: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    pub removed: Option<Removed>,
    pub records_max: usize,
    pub late: bool,
    pub budget: Budget,
    pub entries: Vec<Entry>,
    pub gates: Vec<Gate>,
    pub crashes: u64,
    pub network: BTreeSet<Message>,
    pub waiters: BTreeMap<(usize, CallId), BTreeSet<usize>>,
    pub starting: BTreeSet<(usize, CallId)>,
    pub running: BTreeSet<(usize, CallId)>,
    pub seen: BTreeSet<(usize, CallId)>,
    pub press_of_token: BTreeMap<entry::Token, u64>,
    pub press_of_id: BTreeMap<CallId, u64>,
    pub ticket: Option<Ticket>,
    pub runs: BTreeMap<u64, u8>,
    pub told: BTreeSet<(entry::Token, Verdict)>,
}

pub fn host(gate: usize) -> SmolStr {
    format!("gate-{gate}").into()
}

pub fn gate_index(host: &str) -> usize {
    let number = host.strip_prefix("gate-").and_then(|n| n.parse().ok());
    number.expect("host must be a gate")
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
        measuring: Measuring {
            probes_per_minute: 0,
            targets_max: 1,
        },
    }
}

impl World {
    pub fn new(bounds: Bounds, removed: Option<Removed>) -> Self {
        let mut world = Self {
            removed,
            records_max: bounds.records_max,
            late: false,
            budget: Budget {
                presses: bounds.presses,
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
            waiters: BTreeMap::new(),
            starting: BTreeSet::new(),
            running: BTreeSet::new(),
            seen: BTreeSet::new(),
            press_of_token: BTreeMap::new(),
            press_of_id: BTreeMap::new(),
            ticket: None,
            runs: BTreeMap::new(),
            told: BTreeSet::new(),
        };
        for at in 0..bounds.gates {
            world
                .gates
                .push(new_gate(GATE_INCARNATION + at as u64, bounds.records_max));
        }
        for at in 0..bounds.entries {
            let entry = world.new_entry(ENTRY_INCARNATION + at as u64);
            world.entries.push(entry);
        }
        if bounds.tickets {
            world.ticket = world.entries[0].issue(Duration::ZERO, SERVICE, 7);
        }
        world
    }

    pub fn now(&self) -> Duration {
        if self.late {
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
            .map(|(at, gate)| entry::Member {
                host: host(at),
                incarnation: gate.incarnation(),
                service: SERVICE.into(),
                serving: true,
                ..entry::Member::default()
            });
        let mut entry = Entry::new(incarnation);
        entry.step(self.now(), entry::Input::Members(members.collect()));
        entry
    }

    pub fn crash_gate(&mut self, at: usize) {
        self.crashes += 1;
        let old = self.gates[at].incarnation();
        let incarnation = if self.removed == Some(Removed::NewIncarnation) {
            old
        } else {
            old + 10 * self.crashes
        };
        self.gates[at] = new_gate(incarnation, self.records_max);
        self.starting.retain(|(gate, _)| *gate != at);
        // What the target has begun goes on, but nobody waits for its answer.
        self.running.retain(|(gate, _)| *gate != at);
        self.waiters.retain(|(gate, _), _| *gate != at);
        self.seen.retain(|(gate, _)| *gate != at);
    }

    pub fn crash_entry(&mut self, at: usize) {
        self.crashes += 1;
        let incarnation = ENTRY_INCARNATION + 10 * self.crashes + at as u64;
        self.entries[at] = self.new_entry(incarnation);
    }

    /// A broken promise in this state, if there is one.
    pub fn violation(&self) -> Option<&'static str> {
        if self.runs.values().any(|runs| *runs > 1) {
            return Some("a call that may not repeat ran twice");
        }
        for (token, verdict) in &self.told {
            let press = self.press_of_token[token];
            let ran = self.runs.contains_key(&press);
            match verdict {
                Verdict::NotRun(_) if ran => return Some("refused as not run, yet it ran"),
                Verdict::Answer(_) | Verdict::Failure(_) if !ran => {
                    return Some("answered, yet it did not run");
                }
                Verdict::Answer(id) | Verdict::Failure(id)
                    if self.press_of_id.get(id) != Some(&press) =>
                {
                    return Some("a caller got the answer to another request");
                }
                _ => {}
            }
        }
        None
    }

    pub fn entry_step(&mut self, at: usize, input: entry::Input) {
        let now = self.now();
        for output in self.entries[at].step(now, input) {
            self.entry_output(at, output);
        }
    }

    fn entry_output(&mut self, at: usize, output: entry::Output) {
        match output {
            entry::Output::Offer(host, token, offer) => {
                let press = self.press_of_token[&token];
                self.press_of_id.insert(offer.id, press);
                self.network
                    .insert(Message::Offer(at, gate_index(&host), offer));
            }
            entry::Output::Query(host, query) => {
                self.network
                    .insert(Message::Query(at, gate_index(&host), query));
            }
            entry::Output::Withdraw(host, query) => {
                self.network
                    .insert(Message::Withdraw(gate_index(&host), query));
            }
            entry::Output::Probe(_) | entry::Output::KeepFailure(..) => {}
            entry::Output::Done(token, verdict, _) => {
                self.told.insert((token, self.said(verdict)));
            }
        }
    }

    fn said(&self, verdict: Verdict) -> Verdict {
        use pollenrouter_core::call::{Doubt, Refusal};
        match verdict {
            Verdict::Unknown(Doubt::Silent) if self.removed == Some(Removed::DoubtAtDeadline) => {
                Verdict::NotRun(Refusal::Late)
            }
            said => said,
        }
    }

    pub fn gate_step(&mut self, at: usize, from: Option<usize>, input: gate::Input) {
        let now = self.now();
        for output in self.gates[at].step(now, input) {
            self.gate_output(at, from, &output);
        }
    }

    fn gate_output(&mut self, at: usize, from: Option<usize>, output: &gate::Output) {
        match *output {
            gate::Output::Start { id, .. } => {
                self.starting.insert((at, id));
            }
            gate::Output::Reply(id, reply) => {
                for to in self.waiters.remove(&(at, id)).unwrap_or_default() {
                    self.network.insert(Message::Reply(to, at, id, reply));
                }
            }
            gate::Output::ReplyWrongRequest(id) => {
                use pollenrouter_core::call::Refusal;
                let reply = Reply::NotRun(Refusal::WrongRequest);
                if let Some(to) = from {
                    self.network.insert(Message::Reply(to, at, id, reply));
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
