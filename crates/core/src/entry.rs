//! The entry: accepts calls from callers, picks gates and reports the result of
//! each call.
//!
//! A call is reported as not run only if for every attempt the gate replied so or
//! the end of the offer did not leave this daemon. When the connection to a gate fails, the
//! entry queries the same gate over a new connection; the gate replies or voids the
//! id.

mod attempt;
mod completion;
mod intake;
mod notices;
mod placement;
mod retry;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::bucket;
use crate::call::{self, Refusal, Reply, UnknownReason};
use crate::gate::statement::TargetNotice;
use crate::gates;
use crate::hint;
use crate::id;
use crate::selection;
use crate::shedding::Shed;

/// Time after the deadline for which the entry still waits for a gate's reply.
pub const REPLY_GRACE: Duration = Duration::from_millis(100);
/// Time after the deadline at which the entry withdraws a call without a reply. Gates refuse what
/// still waits at their next tick, 25 ms at most after the deadline; a gate that the request reached
/// late counts from its arrival, and says whether the call had begun when it is withdrawn. The rest of
/// [`REPLY_GRACE`] is for that reply.
pub const WITHDRAWAL_DELAY: Duration = Duration::from_millis(50);
/// Time between two queries to a gate that has not replied.
pub const QUERY_INTERVAL: Duration = Duration::from_millis(100);

/// Bounds of the retry delay that refused callers are told. The load of a target
/// changes within fractions of a second.
pub const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);
const RETRY_AFTER_MAX: Duration = Duration::from_millis(500);
/// Longest retry delay while the rates of targets are limited; a limit may end at any time.
const LIMITED_RETRY_AFTER_MAX: Duration = Duration::from_secs(5);

/// Handle of a call within one entry.
pub type Token = u64;

/// A gate as described by the membership records.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Member {
    /// Host of the gate.
    pub host: id::HostName,
    /// Incarnation of the gate.
    pub incarnation: id::Incarnation,
    /// Service of the gate's target.
    pub service: id::ServiceName,
    /// Failure domain of the host.
    pub failure_domain: id::DomainName,
    /// Whether the gate accepts new calls.
    pub serving: bool,
    /// Whether the failure domain is evacuated; then the gate accepts none either.
    pub evacuated: bool,
}

impl Member {
    /// Whether the gate may be offered calls.
    #[must_use]
    pub fn is_available(&self) -> bool {
        self.serving && !self.evacuated
    }
}

/// A caller's request, with the settings of the service document applied.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Request {
    /// Handle by which outputs refer to the call.
    pub token: Token,
    /// Service that is called.
    pub service: id::ServiceName,
    /// Route that the request matched.
    pub route: id::RouteName,
    /// Call depth; 0 for calls from the public.
    pub depth: u8,
    /// Organisation of the caller; empty if it has none.
    pub organisation: id::OrganisationName,
    /// Priority rank of the call; 0 is the most urgent.
    pub rank: u8,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Time left until the latency objective is missed.
    pub objective: Duration,
    /// Whether the call is refused, or queued only briefly, when it cannot meet the latency
    /// objective.
    pub sheddable: bool,
    /// Which calls are refused when they cannot meet their latency objective.
    pub shed: Shed,
    /// Time since the request arrived.
    pub waited: Duration,
    /// Time left as stated by the caller, if all callers of the route start with the same
    /// deadline: the difference shows how long the caller has been retrying.
    pub stated_remaining: Option<Duration>,
    /// Number of targets that the call may be sent to.
    pub max_attempts: u32,
    /// Whether the call must not run more than once.
    pub at_most_once: bool,
    /// Digest of method, path and body.
    pub fingerprint: id::Fingerprint,
    /// Ticket that the caller sent.
    pub ticket: Option<id::Ticket>,
    /// Retries per hundred calls.
    pub retry_percent: u32,
    /// Retries that the whole fleet may send beyond that share, per ten seconds.
    pub retry_slack: u32,
    /// Random number for the choice of a gate.
    pub draw: u64,
}

/// How far an offer got before its connection failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Sent {
    /// The gate can not have the offer: its end has not left this daemon.
    Nothing,
    /// The same, because the deadline passed first. It does not show that the gate is unreachable.
    NotInTime,
    /// The gate may have the offer.
    Maybe,
}

/// Input of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// A caller sent a request.
    Call(Request),
    /// A gate replied to an offer or a query.
    Reply(id::HostName, id::CallId, Reply, hint::Hint),
    /// What a gate says about its target, if anything, with the answer to a call.
    TargetNoticed(id::HostName, Option<TargetNotice>),
    /// The connection to a gate failed before the reply for an id.
    ConnectionLost(id::HostName, id::CallId, Sent),
    /// A probe reached a gate.
    Reachable(id::HostName),
    /// The caller disconnected.
    CallerGone(Token),
    /// The set of known gates changed.
    Members(Vec<Member>),
    /// A planned stop has begun: calls end at this time, if not before.
    Stop(Duration),
    /// Time has passed.
    Tick,
}

/// Result of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CallResult {
    /// The answer that came with the reply for this id.
    Answer(id::CallId),
    /// The failure that a target reported with the reply for this id.
    Failure(id::CallId),
    /// The call did not run and never will run.
    NotRun(Refusal),
    /// The call may have run.
    Unknown(UnknownReason),
}

/// Action that the embedder has to carry out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send an offer, with the request's body.
    Offer(id::HostName, Token, call::Offer),
    /// Query a gate over a new connection.
    Query(id::HostName, call::Query),
    /// Tell a gate that the caller disconnected or that the deadline has passed.
    Withdraw(id::HostName, call::Query),
    /// Find out whether a gate can be reached.
    Probe(id::HostName),
    /// Store the failure that came with the reply for this id; it may become the
    /// result.
    KeepFailure(Token, id::CallId),
    /// Send the result to the caller.
    Done(Token, CallResult, Option<id::Ticket>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Attempt {
    host: id::HostName,
    query: call::Query,
    /// When to query the gate next; set once the connection has failed.
    next_query_at: Option<Duration>,
    is_withdrawn: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Pending {
    request: Request,
    deadline: Duration,
    objective: Duration,
    attempt: Option<Attempt>,
    tried: Vec<id::HostName>,
    /// Gates that refused the call because their targets were slow.
    slow_gates: placement::SlowGates,
    /// Attempts that reached a target, or may have.
    target_attempts: u32,
    may_have_run: bool,
    /// First failure that a target reported; the result unless another attempt is answered.
    failure: Option<id::CallId>,
}

/// State of one entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Entry {
    incarnation: id::Incarnation,
    next_seq: u64,
    failure_domain: id::DomainName,
    gates: gates::Gates,
    notices: notices::Notices,
    /// When the latest refused caller of each service was told to return.
    latest_returns: BTreeMap<id::ServiceName, Duration>,
    pending: BTreeMap<Token, Pending>,
    by_id: BTreeMap<id::CallId, Vec<Token>>,
    retry_budgets: BTreeMap<id::ServiceName, bucket::RetryBudget>,
    /// Longest remaining time that callers of each route have stated.
    longest_remaining: BTreeMap<id::RouteName, Duration>,
    /// When all calls end because of a planned stop.
    stops_at: Option<Duration>,
}

impl Entry {
    /// An entry that knows no gates yet.
    #[must_use]
    pub fn new(incarnation: id::Incarnation) -> Self {
        Self {
            incarnation,
            next_seq: 1,
            failure_domain: id::DomainName::default(),
            gates: gates::Gates::default(),
            notices: notices::Notices::default(),
            latest_returns: BTreeMap::new(),
            pending: BTreeMap::new(),
            by_id: BTreeMap::new(),
            retry_budgets: BTreeMap::new(),
            longest_remaining: BTreeMap::new(),
            stops_at: None,
        }
    }

    /// Prefers gates of this failure domain.
    #[must_use]
    pub fn with_failure_domain(mut self, failure_domain: id::DomainName) -> Self {
        self.failure_domain = failure_domain;
        self
    }

    /// Processes one input and returns the actions to carry out, in order.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        match input {
            Input::Call(request) => self.call(now, request, &mut out),
            Input::Reply(host, id, reply, hint) => {
                self.gates.record_hint(now, &host, hint);
                self.reply(now, id, reply, &mut out);
            }
            Input::ConnectionLost(host, id, sent) => {
                self.connection_lost(now, &host, id, sent, &mut out);
            }
            Input::TargetNoticed(host, notice) => self.notices.record(now, host, notice),
            Input::Reachable(host) => self.gates.mark_reachable(&host),
            Input::CallerGone(token) => self.caller_gone(token, &mut out),
            Input::Members(members) => self.gates.replace(members),
            Input::Stop(at) => self.stop(at),
            Input::Tick => self.tick(now, &mut out),
        }
        out
    }

    /// Issues a ticket for a service without a call.
    pub fn issue_ticket(&mut self, now: Duration, service: &str, draw: u64) -> Option<id::Ticket> {
        let criteria = gates::Criteria {
            service,
            failure_domain: &self.failure_domain,
            local_only: false,
            tried: &[],
            max_wait: Duration::MAX,
            draw,
            seed: self.incarnation,
        };
        let member = self.gates.pick(now, &criteria)?;
        let (host, incarnation) = (member.host.clone(), member.incarnation);
        Some(id::Ticket {
            service: service.into(),
            host,
            incarnation,
            id: self.next_id(draw),
        })
    }

    /// Time after which a refused caller may retry: the expected wait at the least loaded
    /// gate of the service. If the rates of all its targets are limited, refused callers return
    /// one after the other at this entry's even share of them.
    #[must_use]
    pub fn retry_after(&mut self, now: Duration, service: &id::ServiceName) -> Duration {
        let gates = self.gates.iter();
        let loads: Vec<&selection::Load> = gates
            .filter(|(member, _)| member.service == *service && member.is_available())
            .map(|(_, load)| load)
            .collect();
        let expected_waits = loads.iter().map(|load| load.expected_wait(now));
        let shortest = expected_waits.min().unwrap_or(RETRY_AFTER_MAX);
        let intervals: Option<Vec<Duration>> =
            loads.iter().map(|load| load.rate_interval(now)).collect();
        let Some(intervals) = intervals.filter(|intervals| !intervals.is_empty()) else {
            return shortest.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
        };
        let rate: f64 = intervals.iter().map(|i| i.as_secs_f64().recip()).sum();
        let entries = f64::from(self.gates.len().max(1));
        let spacing = Duration::from_secs_f64(entries / rate).min(LIMITED_RETRY_AFTER_MAX);
        let earliest = now + shortest.max(RETRY_AFTER_MIN);
        let latest = self.latest_returns.entry(service.clone()).or_default();
        let returns_at = earliest.max(*latest + spacing);
        *latest = returns_at.min(now + LIMITED_RETRY_AFTER_MAX);
        latest.saturating_sub(now)
    }

    /// Whether no call is open.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// Known gates and their loads.
    pub fn gates(&self) -> impl Iterator<Item = (&Member, &selection::Load)> {
        self.gates.iter()
    }

    fn next_id(&mut self, draw: u64) -> id::CallId {
        let seq = self.next_seq;
        self.next_seq += 1;
        id::CallId {
            entry: self.incarnation,
            seq,
            nonce: draw.rotate_left(17) ^ seq,
        }
    }

    fn reply(&mut self, now: Duration, id: id::CallId, reply: Reply, out: &mut Vec<Output>) {
        for token in self.tokens(id) {
            self.close_attempt(id, token);
            match reply {
                Reply::Answer => self.finish_with(token, Ok(id), out),
                Reply::Failure => self.target_failed(now, token, id, out),
                Reply::NotRun(refusal) => self.not_run(now, token, refusal.from_gate(), out),
                Reply::Unknown(reason) => self.unknown_outcome(now, token, reason, out),
            }
        }
    }

    fn tokens(&self, id: id::CallId) -> Vec<Token> {
        self.by_id.get(&id).cloned().unwrap_or_default()
    }

    /// Moves deadlines forward to the end of a planned stop. Calls that come from now on get the
    /// earlier deadline, too, so that gates refuse those that cannot end by then, and targets stop.
    fn stop(&mut self, at: Duration) {
        self.stops_at = Some(at);
        for pending in self.pending.values_mut() {
            pending.deadline = pending.deadline.min(at);
        }
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<Output>) {
        let expired: Vec<Token> = self
            .pending
            .iter()
            .filter(|(_, p)| now >= p.deadline + WITHDRAWAL_DELAY)
            .map(|(token, _)| *token)
            .collect();
        for token in expired {
            self.time_out(now, token, out);
        }
        out.extend(self.gates.due_probes(now).into_iter().map(Output::Probe));
        for attempt in self.pending.values_mut().filter_map(|p| p.attempt.as_mut()) {
            if attempt.next_query_at.is_some_and(|at| at <= now) {
                attempt.next_query_at = Some(now + QUERY_INTERVAL);
                out.push(Output::Query(attempt.host.clone(), attempt.query));
            }
        }
    }
}
