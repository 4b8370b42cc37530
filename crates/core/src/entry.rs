//! The entry: takes calls from callers, picks gates and says what became of
//! each call.
//!
//! "Not run" is said only where a gate said so for every attempt, or where no
//! byte of an attempt left this daemon. When a gate falls silent the entry asks
//! the same gate over a new connection to reply or to void the id.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::bucket;
use crate::call::{self, Doubt, Refusal, Reply};
use crate::choice;
use crate::hint;
use crate::id;

/// First pause before a gate that could not be reached is probed.
pub const PROBE_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause between two probes of such a gate.
pub const PROBE_PAUSE_MAX: Duration = Duration::from_secs(16);
/// Time after the deadline in which a gate's own word may still arrive.
pub const GRACE: Duration = Duration::from_millis(100);
/// Pause between two questions to a silent gate.
pub const QUERY_PAUSE: Duration = Duration::from_millis(100);

/// Handle of a call within one entry.
pub type Token = u64;

/// A gate as the members' objects describe it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    /// Its host.
    pub host: id::HostName,
    /// Its incarnation.
    pub incarnation: id::Incarnation,
    /// The service of its target.
    pub service: id::ServiceName,
    /// Whether it takes new work.
    pub serving: bool,
}

/// A caller's request, after the document was applied to it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Request {
    /// Handle that outputs refer to.
    pub token: Token,
    /// Service that is called.
    pub service: id::ServiceName,
    /// Matched route.
    pub route: id::RouteName,
    /// 0 for the public.
    pub depth: u8,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Whether the call may run at most once.
    pub once: bool,
    /// Digest of method, path and body.
    pub fingerprint: u64,
    /// Ticket that the caller sent.
    pub ticket: Option<id::Ticket>,
    /// Second attempts per hundred calls.
    pub retry_percent: u32,
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
    attempt: Option<Attempt>,
    tried: Vec<id::HostName>,
    maybe_ran: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Gate {
    member: Member,
    load: choice::Load,
    suspicion: Option<Suspicion>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Suspicion {
    probe_at: Duration,
    pause: Duration,
}

/// State of one entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Entry {
    incarnation: id::Incarnation,
    next_seq: u64,
    gates: BTreeMap<id::HostName, Gate>,
    pending: BTreeMap<Token, Pending>,
    by_id: BTreeMap<id::CallId, Vec<Token>>,
    budgets: BTreeMap<id::ServiceName, bucket::RetryBudget>,
}

impl Entry {
    /// An entry that knows no gates yet.
    #[must_use]
    pub fn new(incarnation: id::Incarnation) -> Self {
        Self {
            incarnation,
            next_seq: 1,
            gates: BTreeMap::new(),
            pending: BTreeMap::new(),
            by_id: BTreeMap::new(),
            budgets: BTreeMap::new(),
        }
    }

    /// Takes one input and returns what has to be done, in order.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        match input {
            Input::Call(request) => self.call(now, request, &mut out),
            Input::Reply(host, id, reply, hint) => {
                self.note_hint(now, &host, hint);
                self.reply(now, id, reply, &mut out);
            }
            Input::Lost(host, id, sent) => self.lost(now, &host, id, sent, &mut out),
            Input::Reachable(host) => self.trust(&host),
            Input::Gone(token) => self.gone(token, &mut out),
            Input::Members(members) => self.members(members),
            Input::Tick => self.tick(now, &mut out),
        }
        out
    }

    /// Issues a ticket for a service without a call.
    pub fn issue(&mut self, now: Duration, service: &str, draw: u64) -> Option<id::Ticket> {
        let host = self.pick(now, service, draw, &[])?;
        let incarnation = self.gates.get(&host)?.member.incarnation;
        Some(id::Ticket {
            service: service.into(),
            host,
            incarnation,
            id: self.next_id(draw),
        })
    }

    /// Whether no call is open.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// Known gates with their loads.
    pub fn gates(&self) -> impl Iterator<Item = (&Member, &choice::Load)> {
        self.gates.values().map(|gate| (&gate.member, &gate.load))
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

    fn call(&mut self, now: Duration, request: Request, out: &mut Vec<Output>) {
        let percent = request.retry_percent;
        let budget = self.budgets.entry(request.service.clone()).or_default();
        budget.deposit(percent);
        let token = request.token;
        let pending = Pending {
            deadline: now + request.remaining,
            request,
            attempt: None,
            tried: Vec::new(),
            maybe_ran: false,
        };
        let wrong = self.wrong_ticket(&pending.request);
        self.pending.insert(token, pending);
        match wrong {
            Some(refusal) => self.conclude(token, Err(refusal), out),
            None => self.attempt(now, token, Refusal::NoTarget, out),
        }
    }

    fn wrong_ticket(&self, request: &Request) -> Option<Refusal> {
        let ticket = request.ticket.as_ref()?;
        if ticket.service != request.service {
            return Some(Refusal::WrongService);
        }
        let differs = |token: &Token| {
            let other = self.pending.get(token);
            other.is_some_and(|p| p.request.fingerprint != request.fingerprint)
        };
        let in_use = self.tokens(ticket.id).iter().any(differs);
        in_use.then_some(Refusal::WrongRequest)
    }

    fn attempt(&mut self, now: Duration, token: Token, otherwise: Refusal, out: &mut Vec<Output>) {
        let Some(pending) = self.pending.get(&token) else {
            return;
        };
        let request = pending.request.clone();
        let place = match &request.ticket {
            Some(ticket) => Some((ticket.host.clone(), ticket.incarnation, ticket.id)),
            None => self.place(now, &request, &pending.tried.clone()),
        };
        match place {
            Some((host, incarnation, id)) => self.offer(now, token, host, incarnation, id, out),
            None => self.conclude(token, Err(otherwise), out),
        }
    }

    fn place(
        &mut self,
        now: Duration,
        request: &Request,
        tried: &[id::HostName],
    ) -> Option<(id::HostName, id::Incarnation, id::CallId)> {
        let host = self.pick(now, &request.service, request.draw, tried)?;
        let incarnation = self.gates.get(&host)?.member.incarnation;
        let id = self.next_id(request.draw);
        Some((host, incarnation, id))
    }

    fn offer(
        &mut self,
        now: Duration,
        token: Token,
        host: id::HostName,
        incarnation: id::Incarnation,
        id: id::CallId,
        out: &mut Vec<Output>,
    ) {
        let Some(pending) = self.pending.get_mut(&token) else {
            return;
        };
        let request = &pending.request;
        let offer = call::Offer {
            incarnation,
            id,
            service: request.service.clone(),
            route: request.route.clone(),
            depth: request.depth,
            remaining: pending.deadline.saturating_sub(now),
            once: request.once,
            fingerprint: request.fingerprint,
        };
        pending.tried.push(host.clone());
        pending.attempt = Some(Attempt {
            host: host.clone(),
            about: call::Query {
                incarnation,
                id,
                fingerprint: request.fingerprint,
            },
            ask_at: None,
        });
        self.by_id.entry(id).or_default().push(token);
        if let Some(gate) = self.gates.get_mut(&host) {
            gate.load.outstanding += 1;
            gate.load.offered_since += 1;
        }
        out.push(Output::Offer(host, token, offer));
    }

    fn pick(
        &self,
        now: Duration,
        service: &str,
        draw: u64,
        tried: &[id::HostName],
    ) -> Option<id::HostName> {
        let open = |gate: &&Gate| {
            gate.member.service == service
                && gate.member.serving
                && !tried.contains(&gate.member.host)
        };
        let all: Vec<&Gate> = self.gates.values().filter(open).collect();
        let trusted: Vec<&Gate> = all
            .iter()
            .copied()
            .filter(|g| g.suspicion.is_none())
            .collect();
        let among = if trusted.is_empty() { all } else { trusted };
        let loads: Vec<choice::Load> = among.iter().map(|gate| gate.load).collect();
        choice::pick(&loads, draw, now).map(|at| among[at].member.host.clone())
    }

    fn note_hint(&mut self, now: Duration, host: &id::HostName, hint: hint::Hint) {
        if let Some(gate) = self.gates.get_mut(host) {
            gate.load.report = Some((hint, now));
            gate.load.offered_since = 0;
            gate.member.serving &= !hint.leaving;
            gate.suspicion = None;
        }
    }

    fn trust(&mut self, host: &id::HostName) {
        if let Some(gate) = self.gates.get_mut(host) {
            gate.suspicion = None;
        }
    }

    fn suspect(&mut self, now: Duration, host: &id::HostName) {
        if let Some(gate) = self.gates.get_mut(host) {
            gate.suspicion.get_or_insert(Suspicion {
                probe_at: now + PROBE_PAUSE,
                pause: PROBE_PAUSE,
            });
        }
    }

    fn reply(&mut self, now: Duration, id: id::CallId, reply: Reply, out: &mut Vec<Output>) {
        for token in self.tokens(id) {
            self.close_attempt(id, token);
            match reply {
                Reply::Answer => self.conclude(token, Ok(id), out),
                Reply::NotRun(refusal) => self.not_run(now, token, refusal, out),
                Reply::Unknown(doubt) => self.doubt(now, token, doubt, out),
            }
        }
    }

    fn tokens(&self, id: id::CallId) -> Vec<Token> {
        self.by_id.get(&id).cloned().unwrap_or_default()
    }

    fn not_run(&mut self, now: Duration, token: Token, refusal: Refusal, out: &mut Vec<Output>) {
        let bound = self
            .pending
            .get(&token)
            .is_some_and(|p| p.request.ticket.is_some());
        if !bound && self.may_retry(now, token) {
            self.attempt(now, token, refusal, out);
        } else {
            self.conclude(token, Err(refusal), out);
        }
    }

    fn doubt(&mut self, now: Duration, token: Token, doubt: Doubt, out: &mut Vec<Output>) {
        let Some(pending) = self.pending.get_mut(&token) else {
            return;
        };
        pending.maybe_ran = true;
        let repeatable = !pending.request.once && pending.request.ticket.is_none();
        if repeatable && self.may_retry(now, token) {
            self.attempt(now, token, Refusal::NoTarget, out);
        } else {
            self.finish(token, Verdict::Unknown(doubt), out);
        }
    }

    fn may_retry(&mut self, now: Duration, token: Token) -> bool {
        let Some(pending) = self.pending.get(&token) else {
            return false;
        };
        if now >= pending.deadline {
            return false;
        }
        let service = pending.request.service.clone();
        let tried = pending.tried.clone();
        self.pick(now, &service, 0, &tried).is_some()
            && self
                .budgets
                .get_mut(&service)
                .is_some_and(bucket::RetryBudget::take)
    }

    fn lost(
        &mut self,
        now: Duration,
        host: &id::HostName,
        id: id::CallId,
        sent: Sent,
        out: &mut Vec<Output>,
    ) {
        self.suspect(now, host);
        for token in self.tokens(id) {
            self.lost_for(now, id, token, sent, out);
        }
    }

    fn lost_for(
        &mut self,
        now: Duration,
        id: id::CallId,
        token: Token,
        sent: Sent,
        out: &mut Vec<Output>,
    ) {
        let Some(pending) = self.pending.get(&token) else {
            return;
        };
        let asked = pending.attempt.as_ref().is_some_and(|a| a.ask_at.is_some());
        let repeatable = !pending.request.once && pending.request.ticket.is_none();
        if sent == Sent::Nothing && !asked {
            self.close_attempt(id, token);
            self.not_run_unsent(now, token, out);
        } else if repeatable && self.may_retry(now, token) {
            self.close_attempt(id, token);
            if let Some(pending) = self.pending.get_mut(&token) {
                pending.maybe_ran = true;
            }
            self.attempt(now, token, Refusal::NoTarget, out);
        } else {
            self.ask(now, token, asked, out);
        }
    }

    fn not_run_unsent(&mut self, now: Duration, token: Token, out: &mut Vec<Output>) {
        let bound = self
            .pending
            .get(&token)
            .is_some_and(|p| p.request.ticket.is_some());
        if bound {
            // An earlier use of the caller's ticket may have run.
            self.finish(token, Verdict::Unknown(Doubt::GateGone), out);
        } else {
            self.not_run(now, token, Refusal::NoTarget, out);
        }
    }

    fn ask(&mut self, now: Duration, token: Token, again: bool, out: &mut Vec<Output>) {
        let Some(attempt) = self
            .pending
            .get_mut(&token)
            .and_then(|p| p.attempt.as_mut())
        else {
            return;
        };
        attempt.ask_at = Some(now + QUERY_PAUSE);
        if !again {
            out.push(Output::Query(attempt.host.clone(), attempt.about));
        }
    }

    fn gone(&mut self, token: Token, out: &mut Vec<Output>) {
        let Some(pending) = self.pending.get(&token) else {
            return;
        };
        if let Some(attempt) = &pending.attempt {
            let attempt = attempt.clone();
            self.withdraw(token, &attempt, out);
            self.close_attempt(attempt.about.id, token);
        }
        self.pending.remove(&token);
    }

    fn members(&mut self, members: Vec<Member>) {
        let mut old = std::mem::take(&mut self.gates);
        for member in members {
            let gate = match old.remove(&member.host) {
                Some(gate) if gate.member.incarnation == member.incarnation => {
                    Gate { member, ..gate }
                }
                _ => Gate {
                    member,
                    load: choice::Load::default(),
                    suspicion: None,
                },
            };
            self.gates.insert(gate.member.host.clone(), gate);
        }
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
        self.probe(now, out);
        for attempt in self.pending.values_mut().filter_map(|p| p.attempt.as_mut()) {
            if attempt.ask_at.is_some_and(|at| at <= now) {
                attempt.ask_at = Some(now + QUERY_PAUSE);
                out.push(Output::Query(attempt.host.clone(), attempt.about));
            }
        }
    }

    fn probe(&mut self, now: Duration, out: &mut Vec<Output>) {
        for gate in self.gates.values_mut() {
            let Some(suspicion) = gate.suspicion.as_mut().filter(|s| s.probe_at <= now) else {
                continue;
            };
            suspicion.pause = (suspicion.pause * 2).min(PROBE_PAUSE_MAX);
            suspicion.probe_at = now + suspicion.pause;
            out.push(Output::Probe(gate.member.host.clone()));
        }
    }

    /// Withdraws an attempt that nobody else waits for.
    fn withdraw(&self, token: Token, attempt: &Attempt, out: &mut Vec<Output>) {
        if self.tokens(attempt.about.id) == [token] {
            out.push(Output::Withdraw(attempt.host.clone(), attempt.about));
        }
    }

    fn give_up(&mut self, token: Token, out: &mut Vec<Output>) {
        let attempt = self.pending.get(&token).and_then(|p| p.attempt.clone());
        if let Some(attempt) = attempt {
            self.withdraw(token, &attempt, out);
        }
        self.finish(token, Verdict::Unknown(Doubt::Silent), out);
    }

    fn close_attempt(&mut self, id: id::CallId, token: Token) {
        let Some(tokens) = self.by_id.get_mut(&id) else {
            return;
        };
        if !tokens.contains(&token) {
            return;
        }
        tokens.retain(|other| *other != token);
        if tokens.is_empty() {
            self.by_id.remove(&id);
        }
        let attempt = self.pending.get(&token).and_then(|p| p.attempt.as_ref());
        if let Some(gate) = attempt.and_then(|a| self.gates.get_mut(&a.host)) {
            gate.load.outstanding = gate.load.outstanding.saturating_sub(1);
        }
    }

    fn conclude(
        &mut self,
        token: Token,
        result: Result<id::CallId, Refusal>,
        out: &mut Vec<Output>,
    ) {
        let maybe_ran = self.pending.get(&token).is_some_and(|p| p.maybe_ran);
        let verdict = match result {
            Ok(id) => Verdict::Answer(id),
            Err(_) if maybe_ran => Verdict::Unknown(Doubt::EarlierAttempt),
            Err(refusal) => Verdict::NotRun(refusal),
        };
        self.finish(token, verdict, out);
    }

    fn finish(&mut self, token: Token, verdict: Verdict, out: &mut Vec<Output>) {
        let open = self.pending.get(&token).and_then(|p| p.attempt.as_ref());
        if let Some(id) = open.map(|attempt| attempt.about.id) {
            self.close_attempt(id, token);
        }
        let Some(pending) = self.pending.remove(&token) else {
            return;
        };
        let ticket = pending.attempt.map(|attempt| id::Ticket {
            service: pending.request.service,
            host: attempt.host,
            incarnation: attempt.about.incarnation,
            id: attempt.about.id,
        });
        out.push(Output::Done(token, verdict, ticket));
    }
}
