//! What an entry does when a call comes in.

use std::time::Duration;

use super::{Entry, Output, Pending, Request, Token, slow};
use crate::bucket;
use crate::call::Refusal;

impl Entry {
    pub(super) fn call(&mut self, now: Duration, request: Request, out: &mut Vec<Output>) {
        self.deposit(&request);
        let token = request.token;
        let pending = Pending {
            deadline: now + request.remaining,
            objective: now + request.objective.saturating_sub(self.waited(&request)),
            request,
            attempt: None,
            tried: Vec::new(),
            slow: slow::Slow::default(),
            arrivals: 0,
            maybe_ran: false,
            failure: None,
        };
        let wrong = self.wrong_ticket(&pending.request);
        self.pending.insert(token, pending);
        match wrong {
            Some(refusal) => self.conclude(token, Err(refusal), out),
            None => self.attempt(now, token, Refusal::NoTarget, out),
        }
    }

    pub(super) fn wrong_ticket(&self, request: &Request) -> Option<Refusal> {
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

    /// Time since the caller's first try, as far as its deadline tells.
    pub(super) fn waited(&mut self, request: &Request) -> Duration {
        let Some(stated) = request.shared_deadline else {
            return Duration::ZERO;
        };
        let longest = self.deadlines.entry(request.route.clone()).or_default();
        *longest = stated.max(*longest);
        longest.saturating_sub(stated)
    }

    pub(super) fn deposit(&mut self, request: &Request) {
        let members = self.gates.len();
        let budget = self
            .budgets
            .entry(request.service.clone())
            .or_insert_with(|| bucket::RetryBudget::new(request.retry_slack, members));
        budget.resize(request.retry_slack, members);
        budget.deposit(request.retry_percent);
    }
}
