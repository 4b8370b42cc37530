//! What an entry does when an attempt did not end with an answer: try again
//! within the budget, ask the gate, or tell the doubt.

use std::time::Duration;

use super::{Entry, Output, QUERY_PAUSE, Sent, Token, Verdict};
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
        if refusal == Refusal::Slow {
            self.note_slow(token);
        }
        let reached_target = refusal == Refusal::Shed;
        if reached_target {
            self.arrived(token);
        }
        if !bound && self.may_go_on(now, token, reached_target) {
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
        pending.arrivals += 1;
        let repeatable = !pending.request.once && pending.request.ticket.is_none();
        if repeatable && self.may_go_on(now, token, true) {
            self.attempt(now, token, Refusal::NoTarget, out);
        } else {
            self.finish(token, Verdict::Unknown(doubt), out);
        }
    }

    /// A target ran the call and reported a failure.
    pub(super) fn failed(
        &mut self,
        now: Duration,
        token: Token,
        id: id::CallId,
        out: &mut Vec<Output>,
    ) {
        let Some(pending) = self.pending.get_mut(&token) else {
            return;
        };
        pending.arrivals += 1;
        pending.failure.get_or_insert(id);
        let repeatable = !pending.request.once && pending.request.ticket.is_none();
        if repeatable && self.may_go_on(now, token, true) {
            out.push(Output::KeepFailure(token, id));
            self.attempt(now, token, Refusal::NoTarget, out);
        } else {
            self.finish(token, Verdict::Failure(id), out);
        }
    }

    fn arrived(&mut self, token: Token) {
        if let Some(pending) = self.pending.get_mut(&token) {
            pending.arrivals += 1;
        }
    }

    /// Whether another gate may be asked. A call that no target has seen costs
    /// nothing but the messages; one that a target has seen costs the budget.
    fn may_go_on(&mut self, now: Duration, token: Token, reached_target: bool) -> bool {
        let Some(pending) = self.pending.get(&token) else {
            return false;
        };
        let attempts = pending.request.attempts.max(1);
        if now >= pending.deadline || pending.arrivals >= attempts {
            return false;
        }
        let is_open = self.next_place(now, pending).is_some();
        let Some(budget) = self.budgets.get_mut(&pending.request.service) else {
            return false;
        };
        is_open && (!reached_target || budget.take())
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
        } else if repeatable && self.may_go_on(now, token, true) {
            self.close_attempt(id, token);
            if let Some(pending) = self.pending.get_mut(&token) {
                pending.maybe_ran = true;
                pending.arrivals += 1;
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
