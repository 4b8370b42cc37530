//! Calls in progress: the entry and the gate with the bodies they decide on.

mod intake;
mod outputs;

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use bytes::Bytes;
use pollenrouter_caller::message::{Call, CallerResult};
use pollenrouter_core::call::{self, Reply, UnknownReason};
use pollenrouter_core::entry::{self, Sent};
use pollenrouter_core::{gate, http_message, id, pause, service};
use pollenrouter_daemon::message::{Answer, Command, GateReply, Peer, ReplySender, Request};
use pollenrouter_target::message as target;
use smol_str::SmolStr;
use tokio::sync::{mpsc, oneshot};

use crate::instruments::Instruments;

enum Step {
    Entry(entry::Input),
    Gate(gate::Input),
}

enum Waiter {
    Entry,
    Daemon(ReplySender),
}

struct Held {
    request: Request,
    depth: u8,
    once: bool,
}

struct Caller {
    request: Request,
    /// What the caller calls its request, for logs.
    request_id: SmolStr,
    service: id::ServiceName,
    route: id::RouteName,
    begun: Duration,
    /// A failure that a target reported, while another one is tried.
    failure: Option<Answer>,
    reply_to: oneshot::Sender<CallerResult>,
}

/// Rings to the parts that do the work.
pub struct Rings {
    /// To the protocol.
    pub daemons: mpsc::Sender<Command>,
    /// To the target's client.
    pub target: mpsc::Sender<target::Command>,
}

/// Calls in progress at one daemon.
pub struct Calls {
    host: id::HostName,
    origin: Instant,
    entry: entry::Entry,
    gate: gate::Gate,
    steps: VecDeque<Step>,
    callers: HashMap<entry::Token, Caller>,
    held: HashMap<id::CallId, Held>,
    waiters: HashMap<id::CallId, Vec<Waiter>>,
    answers: HashMap<id::CallId, Answer>,
    kept: HashSet<id::CallId>,
    arrived: Option<Answer>,
    peers: BTreeMap<id::HostName, Peer>,
    answer_bytes: u64,
    pauses: pause::PauseDetector,
    rings: Rings,
    instruments: Instruments,
    request_id_header: &'static str,
}

/// What a daemon's calls have to know of it.
pub struct Own {
    /// Its host.
    pub host: id::HostName,
    /// Its failure domain.
    pub failure_domain: id::DomainName,
    /// Time for which a target is believed after an announcement.
    pub announcement_ttl: Duration,
    /// Header in which callers name their requests.
    pub request_id_header: &'static str,
    /// Whether targets report their load.
    pub targets_report: bool,
}

/// A call with what its service allows.
pub struct Routed {
    /// The call.
    pub call: Box<Call>,
    /// Second attempts per hundred calls.
    pub retry_percent: u32,
    /// Second attempts of the whole fleet beyond that share, in ten seconds.
    pub retry_slack: u32,
    /// Whether the call gives way when it can not meet what is owed.
    pub gives_way: bool,
}

impl Calls {
    /// No calls yet.
    pub fn new(
        own: Own,
        incarnation: id::Incarnation,
        rings: Rings,
        instruments: Instruments,
    ) -> Self {
        let gate = gate::Gate::new(incarnation, gate::RECORDS_MAX)
            .with_announcement_ttl(own.announcement_ttl)
            .awaiting_departures();
        let gate = if own.targets_report {
            gate.with_load_requests()
        } else {
            gate
        };
        Self {
            host: own.host,
            origin: Instant::now(),
            entry: entry::Entry::new(incarnation).with_failure_domain(own.failure_domain),
            gate,
            steps: VecDeque::new(),
            callers: HashMap::new(),
            held: HashMap::new(),
            waiters: HashMap::new(),
            answers: HashMap::new(),
            kept: HashSet::new(),
            arrived: None,
            peers: BTreeMap::new(),
            answer_bytes: 0,
            pauses: pause::PauseDetector::default(),
            rings,
            instruments,
            request_id_header: own.request_id_header,
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// The entry, for reading.
    pub fn entry(&self) -> &entry::Entry {
        &self.entry
    }

    /// The gate, for reading.
    pub fn gate(&self) -> &gate::Gate {
        &self.gate
    }

    /// The metrics.
    pub fn instruments(&self) -> &Instruments {
        &self.instruments
    }

    /// Whether no call is open.
    pub fn is_idle(&self) -> bool {
        self.callers.is_empty() && self.entry.is_idle() && self.gate.is_idle()
    }

    /// Notes that the process runs.
    pub fn note_running(&mut self) {
        let now = self.now();
        self.pauses.record_activity(now);
    }

    /// Issues a ticket.
    pub fn issue(&mut self, service: &str) -> Option<id::Ticket> {
        let now = self.now();
        self.entry.issue_ticket(now, service, rand::random())
    }

    /// A caller left.
    pub fn gone(&mut self, token: entry::Token) {
        self.run(Step::Entry(entry::Input::CallerGone(token)));
        self.callers.remove(&token);
    }

    /// The gates to pick from changed.
    pub fn members(&mut self, members: Vec<entry::Member>, peers: BTreeMap<id::HostName, Peer>) {
        self.peers = peers;
        self.run(Step::Entry(entry::Input::Members(members)));
    }

    /// A document of the target's service came into force.
    pub fn document(&mut self, service: service::Service) {
        self.answer_bytes = service.limits.answer_bytes;
        self.run(Step::Gate(gate::Input::Document(service)));
    }

    /// The target announced itself.
    pub fn announced(&mut self, announcement: gate::Announcement) {
        self.run(Step::Gate(gate::Input::Announced(announcement)));
    }

    /// The life of a target has left.
    pub fn departed(&mut self, life: gate::target::TargetIncarnation) {
        self.run(Step::Gate(gate::Input::Departed(life)));
    }

    /// Departures before this daemon's start are known.
    pub fn synced(&mut self) {
        self.run(Step::Gate(gate::Input::DeparturesLoaded));
    }

    /// The target reported its load.
    pub fn reported(&mut self, report: gate::LoadReport) {
        self.run(Step::Gate(gate::Input::LoadReported(report)));
    }

    /// The target was asked for its load and did not tell.
    pub fn unreported(&mut self) {
        self.run(Step::Gate(gate::Input::LoadNotReported));
    }

    /// The target is done with a call.
    pub fn finished(
        &mut self,
        id: id::CallId,
        outcome: gate::Outcome,
        answer: Option<(http_message::ResponseHead, Bytes)>,
    ) {
        if let Some((head, body)) = answer {
            self.answers.insert(id, Answer { head, body });
        }
        self.run(Step::Gate(gate::Input::Finished(id, outcome)));
        if !self.kept.contains(&id) {
            self.answers.remove(&id);
        }
    }

    /// No new work from now on.
    pub fn drain(&mut self) {
        self.run(Step::Gate(gate::Input::Drain));
    }

    /// Time has passed.
    pub fn tick(&mut self) {
        self.run(Step::Entry(entry::Input::Tick));
        self.run(Step::Gate(gate::Input::Tick));
    }

    /// A probe reached a daemon.
    pub fn reachable(&mut self, host: id::HostName) {
        self.run(Step::Entry(entry::Input::Reachable(host)));
    }

    /// Another daemon offers a call.
    pub fn offered(&mut self, mut offer: call::Offer, request: Request, reply_to: ReplySender) {
        let hidden = self.pauses.extra_age(self.now());
        offer.remaining = offer.remaining.saturating_sub(hidden);
        self.hold(&offer, request, Waiter::Daemon(reply_to));
        self.run(Step::Gate(gate::Input::Offer(offer)));
    }

    /// Another daemon asks about a call.
    pub fn asked(&mut self, query: call::Query, reply_to: ReplySender) {
        self.wait(query.id, Waiter::Daemon(reply_to));
        self.run(Step::Gate(gate::Input::Query(query)));
    }

    /// Another daemon withdraws a call.
    pub fn withdrawn(&mut self, query: call::Query) {
        self.run(Step::Gate(gate::Input::Withdraw(query)));
    }

    /// A gate replied.
    pub fn replied(&mut self, host: id::HostName, id: id::CallId, replied: GateReply) {
        let answers = matches!(replied.reply, Reply::Answer | Reply::Failure);
        let lacks_answer = answers && replied.answer.is_none();
        let reply = if lacks_answer {
            Reply::Unknown(UnknownReason::AnswerNotKept)
        } else {
            replied.reply
        };
        self.arrived = replied.answer;
        self.run(Step::Entry(entry::Input::Reply(
            host,
            id,
            reply,
            replied.load,
        )));
        self.arrived = None;
    }

    /// A connection failed.
    pub fn lost(&mut self, host: id::HostName, id: id::CallId, sent: Sent) {
        self.run(Step::Entry(entry::Input::ConnectionLost(host, id, sent)));
    }

    fn run(&mut self, step: Step) {
        self.steps.push_back(step);
        while let Some(step) = self.steps.pop_front() {
            let now = self.now();
            match step {
                Step::Entry(input) => {
                    for output in self.entry.step(now, input) {
                        self.entry_output(now, output);
                    }
                }
                Step::Gate(input) => self.gate_step(now, input),
            }
        }
    }

    fn gate_step(&mut self, now: Duration, input: gate::Input) {
        let offered = match &input {
            gate::Input::Offer(offer) => Some(offer.id),
            _ => None,
        };
        for output in self.gate.step(now, input) {
            self.gate_output(now, &output);
        }
        // A resend brings a request that is not needed again.
        if let Some(id) = offered.filter(|id| !self.gate.is_waiting(*id)) {
            self.held.remove(&id);
        }
    }

    fn hold(&mut self, offer: &call::Offer, request: Request, waiter: Waiter) {
        let held = Held {
            request,
            depth: offer.depth,
            once: offer.at_most_once,
        };
        self.held.entry(offer.id).or_insert(held);
        self.wait(offer.id, waiter);
    }

    fn wait(&mut self, id: id::CallId, waiter: Waiter) {
        self.waiters.entry(id).or_default().push(waiter);
    }
}
