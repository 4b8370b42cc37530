//! Calls in progress: runs the entry and the gate of this daemon, and holds the requests
//! and answers that they decide about.

mod incoming;
mod outputs;
mod target_state;

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use pollenrouter_caller::message::{Call, CallerResult};
use pollenrouter_core::call::{self, Reply, UnknownReason};
use pollenrouter_core::entry::{self, Sent};
use pollenrouter_core::shedding::Shed;
use pollenrouter_core::{fingerprint, gate, http_message, id, pause, quarantine, quota};
use pollenrouter_daemon::message::{Answer, Command, GateReply, Peer, ReplySender, Request};
use pollenrouter_http::clock::Clock;
use pollenrouter_target::message as target;
use smol_str::SmolStr;
use tokio::sync::{mpsc, oneshot};

use crate::instruments::Instruments;

/// Input for the entry or the gate that waits to be processed.
enum Input {
    Entry(entry::Input),
    Gate(gate::Input),
}

/// Who waits for the gate's reply to a call.
enum Waiter {
    /// The entry of this daemon.
    Entry,
    /// The entry of another daemon.
    Daemon(ReplySender),
}

/// Request that was offered to the gate and has not started.
struct OfferedRequest {
    request: Request,
    depth: u8,
    at_most_once: bool,
}

/// Call whose caller waits for the result.
struct PendingCall {
    request: Request,
    /// Id that the caller gave its request, for logs.
    request_id: SmolStr,
    service: id::ServiceName,
    route: id::RouteName,
    rank: u8,
    started_at: Duration,
    /// Failure that a target answered with, kept while another target is tried.
    failure_answer: Option<Answer>,
    /// Token of the organisation's quota, unused if the call does not run.
    permit: Option<quota::Permit>,
    reply_to: oneshot::Sender<CallerResult>,
}

/// Channels for the commands that the calls result in.
pub struct Channels {
    /// To the protocol between daemons.
    pub daemon_commands: mpsc::Sender<Command>,
    /// To the client of the target.
    pub target_commands: mpsc::Sender<target::Command>,
}

/// Calls in progress at one daemon.
pub struct Calls {
    host: id::HostName,
    clock: Clock,
    /// When the time of [`Calls::now`] began.
    clock_start: Duration,
    entry: entry::Entry,
    gate: gate::Gate,
    inputs: VecDeque<Input>,
    pending: HashMap<entry::Token, PendingCall>,
    offered_requests: HashMap<id::CallId, OfferedRequest>,
    waiters: HashMap<id::CallId, Vec<Waiter>>,
    /// Answers of the target that the gate is about to reply with or has cached.
    answers: HashMap<id::CallId, Answer>,
    /// Ids of the answers that the gate has cached for resends.
    cached_ids: HashSet<id::CallId>,
    /// Answer that came with the reply that the entry is processing.
    reply_answer: Option<Answer>,
    peers: BTreeMap<id::HostName, Peer>,
    answer_max_bytes: u64,
    pauses: pause::PauseDetector,
    channels: Channels,
    instruments: Instruments,
    request_id_header: &'static str,
    caller_header: &'static str,
    quarantined: quarantine::Quarantined,
    /// Tokens of calls that did not run.
    unused_permits: Vec<quota::Permit>,
}

/// Configuration of [`Calls`].
pub struct Config {
    /// Host of this daemon.
    pub host: id::HostName,
    /// Failure domain of the host.
    pub failure_domain: id::DomainName,
    /// How long an announcement of a target stays valid.
    pub announcement_ttl: Duration,
    /// Header in which callers send the id of a request.
    pub request_id_header: &'static str,
    /// Header that states which service calls, set by the listeners.
    pub caller_header: &'static str,
    /// Whether targets report their load on request.
    pub targets_report_load: bool,
    /// Clock that deadlines go by.
    pub clock: Clock,
    /// Total size of the answers kept for resends, bytes.
    pub answers_max_bytes: u64,
}

/// A call with the retry and overload policy of its service.
pub struct RoutedCall {
    /// The call.
    pub call: Box<Call>,
    /// Second attempts that the service allows per hundred calls.
    pub retry_percent: u32,
    /// Second attempts that the whole fleet may make beyond that share in ten seconds.
    pub retry_slack: u32,
    /// Whether to reject the call if it cannot meet its latency objective.
    pub sheddable: bool,
    /// Which calls of the service are rejected in that case.
    pub shed: Shed,
    /// Token of the organisation's quota that the call was admitted with.
    pub permit: Option<quota::Permit>,
}

impl Calls {
    /// Creates the state of a daemon that has no calls.
    pub fn new(
        config: Config,
        incarnation: id::Incarnation,
        channels: Channels,
        instruments: Instruments,
    ) -> Self {
        let gate = gate::Gate::new(incarnation, gate::RECORDS_MAX)
            .with_announcement_ttl(config.announcement_ttl)
            .with_answers_max(config.answers_max_bytes)
            .awaiting_departures();
        let gate = if config.targets_report_load {
            gate.with_load_requests()
        } else {
            gate
        };
        Self {
            host: config.host,
            clock: config.clock,
            clock_start: (config.clock)(),
            entry: entry::Entry::new(incarnation).with_failure_domain(config.failure_domain),
            gate,
            inputs: VecDeque::new(),
            pending: HashMap::new(),
            offered_requests: HashMap::new(),
            waiters: HashMap::new(),
            answers: HashMap::new(),
            cached_ids: HashSet::new(),
            reply_answer: None,
            peers: BTreeMap::new(),
            answer_max_bytes: 0,
            pauses: pause::PauseDetector::default(),
            channels,
            instruments,
            request_id_header: config.request_id_header,
            caller_header: config.caller_header,
            quarantined: quarantine::Quarantined::new(),
            unused_permits: Vec::new(),
        }
    }

    /// Returns the time since creation, which is the clock of the entry and the gate.
    pub fn now(&self) -> Duration {
        (self.clock)().saturating_sub(self.clock_start)
    }

    /// Returns the entry.
    pub fn entry(&self) -> &entry::Entry {
        &self.entry
    }

    /// Returns the gate.
    pub fn gate(&self) -> &gate::Gate {
        &self.gate
    }

    /// Returns the metrics.
    pub fn instruments(&self) -> &Instruments {
        &self.instruments
    }

    /// Whether no call is in progress.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.entry.is_idle() && self.gate.is_idle()
    }

    /// Records that the process is running, so that pauses of it can be detected.
    pub fn record_activity(&mut self) {
        let now = self.now();
        self.pauses.record_activity(now);
    }

    /// Issues a ticket for a service, if one of its gates can be picked.
    pub fn issue_ticket(&mut self, service: &str) -> Option<id::Ticket> {
        let now = self.now();
        self.entry.issue_ticket(now, service, rand::random())
    }

    /// Handles the disconnection of a caller.
    pub fn handle_caller_disconnected(&mut self, token: entry::Token) {
        self.process(Input::Entry(entry::Input::CallerGone(token)));
        self.pending.remove(&token);
    }

    /// Sets the gates that the entry may pick from.
    pub fn set_members(
        &mut self,
        members: Vec<entry::Member>,
        peers: BTreeMap<id::HostName, Peer>,
    ) {
        self.peers = peers;
        self.process(Input::Entry(entry::Input::Members(members)));
    }

    /// Sets the requests that are kept from targets.
    pub fn set_quarantined(&mut self, quarantined: quarantine::Quarantined) {
        let at_gate = quarantined.iter().map(|(fingerprint, trial_host)| {
            let trial = if trial_host.as_ref() == Some(&self.host) {
                gate::quarantine::Trial::OneAtATime
            } else {
                gate::quarantine::Trial::Refused
            };
            (*fingerprint, trial)
        });
        let at_gate = at_gate.collect();
        self.quarantined = quarantined;
        self.process(Input::Gate(gate::Input::Quarantine(at_gate)));
    }

    /// Requests that are kept from targets.
    pub fn quarantined(&self) -> &quarantine::Quarantined {
        &self.quarantined
    }

    /// Whether a request is refused without an offer to a gate.
    fn is_quarantined(&self, fingerprint: id::Fingerprint) -> bool {
        fingerprint::get(&self.quarantined, fingerprint)
            .is_some_and(|(_, trial_host)| trial_host.is_none())
    }

    /// Handles the end of a call at the target.
    pub fn handle_finished(
        &mut self,
        id: id::CallId,
        outcome: gate::Outcome,
        answer: Option<(http_message::ResponseHead, Bytes)>,
    ) {
        if let Some((head, body)) = answer {
            self.answers.insert(id, Answer { head, body });
        }
        self.process(Input::Gate(gate::Input::Finished(id, outcome)));
        if !self.cached_ids.contains(&id) {
            self.answers.remove(&id);
        }
    }

    /// Begins a planned stop: the gate accepts no new calls, and those of callers end at `ends_at`.
    pub fn stop(&mut self, ends_at: Duration) {
        self.process(Input::Gate(gate::Input::Drain));
        self.process(Input::Entry(entry::Input::Stop(ends_at)));
    }

    /// Runs what has become due in the gate and the entry. The gate comes first: after a pause of
    /// the process it refuses what waited beyond the deadline before the entry gives that up.
    pub fn tick(&mut self) {
        self.process(Input::Gate(gate::Input::Tick));
        self.process(Input::Entry(entry::Input::Tick));
    }

    /// Marks a daemon as reachable.
    pub fn handle_reachable(&mut self, host: id::HostName) {
        self.process(Input::Entry(entry::Input::Reachable(host)));
    }

    /// Handles a call that another daemon offers.
    pub fn handle_offer(
        &mut self,
        mut offer: call::Offer,
        request: Request,
        reply_to: ReplySender,
    ) {
        let extra_age = self.pauses.extra_age(self.now());
        offer.remaining = offer.remaining.saturating_sub(extra_age);
        self.hold_request(&offer, request, Waiter::Daemon(reply_to));
        self.process(Input::Gate(gate::Input::Offer(offer)));
    }

    /// Handles a query of another daemon about a call.
    pub fn handle_query(&mut self, query: call::Query, reply_to: ReplySender) {
        self.add_waiter(query.id, Waiter::Daemon(reply_to));
        self.process(Input::Gate(gate::Input::Query(query)));
    }

    /// Handles the withdrawal of a call by another daemon.
    pub fn handle_withdrawal(&mut self, query: call::Query) {
        self.process(Input::Gate(gate::Input::Withdraw(query)));
    }

    /// Handles the reply of a gate on another daemon.
    pub fn handle_reply(&mut self, host: id::HostName, id: id::CallId, gate_reply: GateReply) {
        let expects_answer = matches!(gate_reply.reply, Reply::Answer | Reply::Failure);
        let reply = match &gate_reply.answer {
            None if expects_answer => Reply::Unknown(UnknownReason::AnswerNotKept),
            // A gate of an earlier version passes on what a target states.
            Some(answer) if !http_message::is_final(answer.head.status) => {
                Reply::Unknown(UnknownReason::TargetLost)
            }
            _ => gate_reply.reply,
        };
        if expects_answer || gate_reply.target_notice.is_some() {
            let notice = gate_reply.target_notice;
            self.process(Input::Entry(entry::Input::TargetNoticed(
                host.clone(),
                notice,
            )));
        }
        self.reply_answer = gate_reply.answer;
        self.process(Input::Entry(entry::Input::Reply(
            host,
            id,
            reply,
            gate_reply.load,
        )));
        self.reply_answer = None;
    }

    /// Handles the failure of the connection that an offer or a query was sent over.
    pub fn handle_connection_lost(&mut self, host: id::HostName, id: id::CallId, sent: Sent) {
        self.process(Input::Entry(entry::Input::ConnectionLost(host, id, sent)));
    }

    fn process(&mut self, input: Input) {
        self.inputs.push_back(input);
        while let Some(input) = self.inputs.pop_front() {
            let now = self.now();
            match input {
                Input::Entry(input) => {
                    for output in self.entry.step(now, input) {
                        self.apply_entry_output(now, output);
                    }
                }
                Input::Gate(input) => self.process_gate_input(now, input),
            }
        }
    }

    fn process_gate_input(&mut self, now: Duration, input: gate::Input) {
        let offered_id = match &input {
            gate::Input::Offer(offer) => Some(offer.id),
            _ => None,
        };
        for output in self.gate.step(now, input) {
            self.apply_gate_output(now, &output);
        }
        // Only a waiting call needs its request; a resent offer carries it once more.
        if let Some(id) = offered_id.filter(|id| !self.gate.is_waiting(*id)) {
            self.offered_requests.remove(&id);
        }
    }

    fn hold_request(&mut self, offer: &call::Offer, request: Request, waiter: Waiter) {
        let offered = OfferedRequest {
            request,
            depth: offer.depth,
            at_most_once: offer.at_most_once,
        };
        self.offered_requests.entry(offer.id).or_insert(offered);
        self.add_waiter(offer.id, waiter);
    }

    fn add_waiter(&mut self, id: id::CallId, waiter: Waiter) {
        self.waiters.entry(id).or_default().push(waiter);
    }
}
