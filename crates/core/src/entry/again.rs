//! What an entry does when an attempt did not end with an answer: try again
//! within the budget, ask the gate, or tell the doubt.

use std::time::Duration;

use super::{Entry, Output, QUERY_PAUSE, Sent, Token, Verdict};
use crate::bucket;
use crate::call::{Doubt, Refusal};
use crate::id;

impl Entry {
    pub(super) fn not_run(
        &mut self,
        now: Duration,
        token: Token,
        refusal: Refusal,
        out: &mut Vec<Output>,
    ) {
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

    pub(super) fn doubt(
        &mut self,
        now: Duration,
        token: Token,
        doubt: Doubt,
        out: &mut Vec<Output>,
    ) {
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
        self.gates.pick(now, &service, 0, &tried).is_some()
            && self
                .budgets
                .get_mut(&service)
                .is_some_and(bucket::RetryBudget::take)
    }

    pub(super) fn lost(
        &mut self,
        now: Duration,
        host: &id::HostName,
        id: id::CallId,
        sent: Sent,
        out: &mut Vec<Output>,
    ) {
        self.gates.suspect(now, host);
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
}
