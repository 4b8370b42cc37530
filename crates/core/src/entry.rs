//! The entry: takes calls from callers, picks gates and says what became of
//! each call.
//!
//! "Not run" is said only where a gate said so for every attempt, or where no
//! byte of an attempt left this daemon. When a gate falls silent the entry asks
//! the same gate over a new connection to reply or to void the id.

mod again;
mod attempt;
mod end;
mod intake;
mod slow;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::bucket;
use crate::call::{self, Doubt, Refusal, Reply};
use crate::choice;
use crate::gates;
use crate::hint;
use crate::id;

/// Time after the deadline in which a gate's own word may still arrive.
pub const GRACE: Duration = Duration::from_millis(100);
/// Pause between two questions to a silent gate.
pub const QUERY_PAUSE: Duration = Duration::from_millis(100);

/// Bounds of the time after which a refused caller is asked back. The load of a
/// target changes within fractions of a second.
pub const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);
const RETRY_AFTER_MAX: Duration = Duration::from_millis(500);

/// Handle of a call within one entry.
pub type Token = u64;

/// A gate as the members' objects describe it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Member {
    /// Its host.
    pub host: id::HostName,
    /// Its incarnation.
    pub incarnation: id::Incarnation,
    /// The service of its target.
    pub service: id::ServiceName,
    /// Its failure domain.
    pub failure_domain: id::DomainName,
    /// Whether it takes new work.
    pub serving: bool,
}

/// A caller's request, after the document was applied to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Request {
    /// Handle that outputs refer to.
    pub token: Token,
    /// Service that is called.
    pub service: id::ServiceName,
    /// Matched route.
    pub route: id::RouteName,
    /// 0 for the public.
    pub depth: u8,
    /// Rank of the route; 0 goes first.
    pub rank: u8,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Time left until the latency owed is exceeded.
    pub objective: Duration,
    /// Whether it gives way when it can not meet that.
    pub gives_way: bool,
    /// Time left as the caller stated it, where it tells how long the caller has
    /// been waiting.
    pub shared_deadline: Option<Duration>,
    /// Targets that the call may be sent to.
    pub attempts: u32,
    /// Whether the call may run at most once.
    pub once: bool,
    /// Digest of method, path and body.
    pub fingerprint: u64,
    /// Ticket that the caller sent.
    pub ticket: Option<id::Ticket>,
    /// Second attempts per hundred calls.
    pub retry_percent: u32,
    /// Second attempts of the whole fleet beyond that share, in ten seconds.
    pub retry_slack: u32,
    /// Random draw for the choice of a gate.
    pub draw: u64,
}

/// How far an offer got before its connection failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Sent {
    /// No byte left this daemon.
    Nothing,
    /// The gate may have the offer.
    Maybe,
}

/// What happens to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// A caller calls.
    Call(Request),
    /// A gate replied for an id.
    Reply(id::HostName, id::CallId, Reply, hint::Hint),
    /// The connection to a gate failed while an id was open.
    Lost(id::HostName, id::CallId, Sent),
    /// A probe reached a gate.
    Reachable(id::HostName),
    /// The caller left.
    Gone(Token),
    /// The known gates changed.
    Members(Vec<Member>),
    /// Time has passed.
    Tick,
}

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Verdict {
    /// The answer that came with the reply for this id.
    Answer(id::CallId),
    /// The failure that a target reported with the reply for this id.
    Failure(id::CallId),
    /// The call did not run and never will.
    NotRun(Refusal),
    /// The call may have run.
    Unknown(Doubt),
}

/// What the embedder has to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send an offer, with the request's body.
    Offer(id::HostName, Token, call::Offer),
    /// Ask a gate over a new connection.
    Query(id::HostName, call::Query),
    /// Tell a gate that the caller left or is past its deadline.
    Withdraw(id::HostName, call::Query),
    /// Find out whether a gate can be reached.
    Probe(id::HostName),
    /// Keep the failure that came with the reply for this id; it may be told later.
    KeepFailure(Token, id::CallId),
    /// Tell the caller.
    Done(Token, Verdict, Option<id::Ticket>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Attempt {
    host: id::HostName,
    about: call::Query,
    ask_at: Option<Duration>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Pending {
    request: Request,
    deadline: Duration,
    objective: Duration,
    attempt: Option<Attempt>,
    tried: Vec<id::HostName>,
    /// Gates whose targets were slow for the moment.
    slow: slow::Slow,
    /// Targets that the call was sent to, as far as is known.
    arrivals: u32,
    maybe_ran: bool,
    /// A failure that a target reported, to be told if no other attempt answers.
    failure: Option<id::CallId>,
}

/// State of one entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Entry {
    incarnation: id::Incarnation,
    next_seq: u64,
    failure_domain: id::DomainName,
    gates: gates::Gates,
    pending: BTreeMap<Token, Pending>,
    by_id: BTreeMap<id::CallId, Vec<Token>>,
    budgets: BTreeMap<id::ServiceName, bucket::RetryBudget>,
    /// Longest deadline that callers of a route have stated.
    deadlines: BTreeMap<id::RouteName, Duration>,
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
            pending: BTreeMap::new(),
            by_id: BTreeMap::new(),
            budgets: BTreeMap::new(),
            deadlines: BTreeMap::new(),
        }
    }

    /// Prefers gates of this failure domain.
    #[must_use]
    pub fn within(mut self, failure_domain: id::DomainName) -> Self {
        self.failure_domain = failure_domain;
        self
    }

    /// Takes one input and returns what has to be done, in order.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        match input {
            Input::Call(request) => self.call(now, request, &mut out),
            Input::Reply(host, id, reply, hint) => {
                self.gates.note(now, &host, hint);
                self.reply(now, id, reply, &mut out);
            }
            Input::Lost(host, id, sent) => self.lost(now, &host, id, sent, &mut out),
            Input::Reachable(host) => self.gates.trust(&host),
            Input::Gone(token) => self.gone(token, &mut out),
            Input::Members(members) => self.gates.set(members),
            Input::Tick => self.tick(now, &mut out),
        }
        out
    }

    /// Issues a ticket for a service without a call.
    pub fn issue(&mut self, now: Duration, service: &str, draw: u64) -> Option<id::Ticket> {
        let search = gates::Search {
            service,
            failure_domain: &self.failure_domain,
            near_only: false,
            tried: &[],
            patience: Duration::MAX,
            draw,
            seed: self.incarnation,
        };
        let member = self.gates.pick(now, &search)?;
        let (host, incarnation) = (member.host.clone(), member.incarnation);
        Some(id::Ticket {
            service: service.into(),
            host,
            incarnation,
            id: self.next_id(draw),
        })
    }

    /// When a refused caller may come back: once the calls that wait at the least
    /// loaded gate of the service are expected to have started.
    #[must_use]
    pub fn retry_after(&self, now: Duration, service: &str) -> Duration {
        let waits = self
            .gates
            .iter()
            .filter(|(member, _)| member.service == service && member.serving)
            .map(|(_, load)| load.wait(now));
        let shortest = waits.min().unwrap_or(RETRY_AFTER_MAX);
        shortest.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
    }

    /// Whether no call is open.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// Known gates with their loads.
    pub fn gates(&self) -> impl Iterator<Item = (&Member, &choice::Load)> {
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
                Reply::Answer => self.conclude(token, Ok(id), out),
                Reply::Failure => self.failed(now, token, id, out),
                Reply::NotRun(refusal) => self.not_run(now, token, refusal, out),
                Reply::Unknown(doubt) => self.doubt(now, token, doubt, out),
            }
        }
    }

    fn tokens(&self, id: id::CallId) -> Vec<Token> {
        self.by_id.get(&id).cloned().unwrap_or_default()
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<Output>) {
        let over: Vec<Token> = self
            .pending
            .iter()
            .filter(|(_, p)| now >= p.deadline + GRACE)
            .map(|(token, _)| *token)
            .collect();
        for token in over {
            self.give_up(token, out);
        }
        out.extend(self.gates.due(now).into_iter().map(Output::Probe));
        for attempt in self.pending.values_mut().filter_map(|p| p.attempt.as_mut()) {
            if attempt.ask_at.is_some_and(|at| at <= now) {
                attempt.ask_at = Some(now + QUERY_PAUSE);
                out.push(Output::Query(attempt.host.clone(), attempt.about));
            }
        }
    }
}
