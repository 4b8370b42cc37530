//! Handling of new calls by an entry.

use std::time::Duration;

use super::{Entry, Output, Pending, Request, Token, placement};
use crate::bucket;
use crate::call::Refusal;
use crate::fingerprint;
use crate::shedding::Shed;

impl Entry {
    pub(super) fn call(&mut self, now: Duration, request: Request, out: &mut Vec<Output>) {
        self.credit_retry_budget(&request);
        let token = request.token;
        let deadline = now + request.remaining;
        let pending = Pending {
            deadline: self.stops_at.map_or(deadline, |at| deadline.min(at)),
            objective: now + self.time_to_objective(&request),
            request,
            attempt: None,
            tried: Vec::new(),
            slow_gates: placement::SlowGates::default(),
            target_attempts: 0,
            may_have_run: false,
            failure: None,
        };
        let refusal = self.ticket_refusal(&pending.request);
        self.pending.insert(token, pending);
        match refusal {
            Some(refusal) => self.finish_with(token, Err(refusal), out),
            None => self.start_attempt(now, token, Refusal::NoTarget, out),
        }
    }

    fn time_to_objective(&mut self, request: &Request) -> Duration {
        let waited = match (request.shed, request.sheddable) {
            (Shed::Lowest, _) => self.time_waited(request),
            // The time before the request was taken up counts too, also where nothing is stated.
            (Shed::All, true) => self.time_waited(request).max(request.waited),
            // A service states what is left of its own call, not how long it has retried.
            (Shed::All, false) => request.waited,
        };
        request.objective.saturating_sub(waited)
    }

    pub(super) fn ticket_refusal(&self, request: &Request) -> Option<Refusal> {
        let ticket = request.ticket.as_ref()?;
        if ticket.service != request.service {
            return Some(Refusal::WrongService);
        }
        let differs = |token: &Token| {
            let other = self.pending.get(token);
            other.is_some_and(|other| {
                !fingerprint::is_same_request(other.request.fingerprint, request.fingerprint)
            })
        };
        let is_conflicting = self.tokens(ticket.id).iter().any(differs);
        is_conflicting.then_some(Refusal::WrongRequest)
    }

    /// Time since the caller's first try, derived from the longest remaining time that
    /// callers of the route have stated.
    pub(super) fn time_waited(&mut self, request: &Request) -> Duration {
        let Some(stated) = request.stated_remaining else {
            return Duration::ZERO;
        };
        let longest = self
            .longest_remaining
            .entry(request.route.clone())
            .or_default();
        *longest = stated.max(*longest);
        longest.saturating_sub(stated)
    }

    pub(super) fn credit_retry_budget(&mut self, request: &Request) {
        let members = self.gates.len();
        let budget = self
            .retry_budgets
            .entry(request.service.clone())
            .or_insert_with(|| bucket::RetryBudget::new(request.retry_slack, members));
        budget.resize(request.retry_slack, members);
        budget.credit(request.retry_percent);
    }
}
