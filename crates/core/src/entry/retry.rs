//! Handling of attempts without an answer: retry within the budget, query the gate,
//! or report the result.

use std::time::Duration;

use super::{CallResult, Entry, Output, QUERY_INTERVAL, Sent, Token};
use crate::call::{Refusal, UnknownReason};
use crate::id;

impl Entry {
    pub(super) fn not_run(
        &mut self,
        now: Duration,
        token: Token,
        refusal: Refusal,
        out: &mut Vec<Output>,
    ) {
        let pending = self.pending.get(&token);
        let has_ticket = pending.is_some_and(|p| p.request.ticket.is_some());
        // The entry withdraws calls itself once their deadlines have passed.
        let is_late = refusal == Refusal::Cancelled && pending.is_some_and(|p| now >= p.deadline);
        let refusal = if is_late { Refusal::Late } else { refusal };
        if refusal == Refusal::TargetSlow {
            self.record_slow(token);
        }
        if refusal == Refusal::Evacuated {
            self.record_evacuated(now, token);
        }
        let reached_target = refusal == Refusal::Shed;
        if reached_target {
            self.count_target_attempt(token);
            self.record_shed(token);
        }
        let is_final = has_ticket || refusal == Refusal::CrashesTargets;
        if !is_final && self.may_retry(now, token, reached_target) {
            self.start_attempt(now, token, refusal, out);
        } else {
            self.finish_with(token, Err(refusal), out);
        }
    }

    pub(super) fn unknown_outcome(
        &mut self,
        now: Duration,
        token: Token,
        reason: UnknownReason,
        out: &mut Vec<Output>,
    ) {
        let Some(pending) = self.pending.get_mut(&token) else {
            return;
        };
        pending.may_have_run = true;
        pending.target_attempts += 1;
        let repeatable = !pending.request.at_most_once && pending.request.ticket.is_none();
        let attempt = pending.attempt.as_ref();
        // The gate has cancelled the call because its deadline has passed.
        let is_cancelled = attempt.is_some_and(|attempt| attempt.is_withdrawn);
        if repeatable && self.may_retry(now, token, true) {
            self.start_attempt(now, token, Refusal::NoTarget, out);
        } else if is_cancelled && reason == UnknownReason::TargetLost {
            self.finish(token, CallResult::Unknown(UnknownReason::NoReply), out);
        } else {
            self.finish(token, CallResult::Unknown(reason), out);
        }
    }

    /// Handles a reply that the target ran the call and reported a failure.
    pub(super) fn target_failed(
        &mut self,
        now: Duration,
        token: Token,
        id: id::CallId,
        out: &mut Vec<Output>,
    ) {
        let Some(pending) = self.pending.get_mut(&token) else {
            return;
        };
        pending.target_attempts += 1;
        pending.failure.get_or_insert(id);
        let repeatable = !pending.request.at_most_once && pending.request.ticket.is_none();
        if repeatable && self.may_retry(now, token, true) {
            out.push(Output::KeepFailure(token, id));
            self.start_attempt(now, token, Refusal::NoTarget, out);
        } else {
            self.finish(token, CallResult::Failure(id), out);
        }
    }

    fn count_target_attempt(&mut self, token: Token) {
        if let Some(pending) = self.pending.get_mut(&token) {
            pending.target_attempts += 1;
        }
    }

    /// Whether the call may be offered to another gate. Only a retry of an attempt that
    /// reached a target, or may have, is charged to the retry budget.
    fn may_retry(&mut self, now: Duration, token: Token, reached_target: bool) -> bool {
        let Some(pending) = self.pending.get(&token) else {
            return false;
        };
        let attempts = pending.request.max_attempts.max(1);
        if now >= pending.deadline || pending.target_attempts >= attempts {
            return false;
        }
        let has_gate = self.next_placement(now, pending).is_some();
        let Some(budget) = self.retry_budgets.get_mut(&pending.request.service) else {
            return false;
        };
        has_gate && (!reached_target || budget.take())
    }

    pub(super) fn connection_lost(
        &mut self,
        now: Duration,
        host: &id::HostName,
        id: id::CallId,
        sent: Sent,
        out: &mut Vec<Output>,
    ) {
        if sent != Sent::NotInTime {
            self.gates.mark_unreachable(now, host);
        }
        for token in self.tokens(id) {
            self.connection_lost_for(now, id, token, sent, out);
        }
    }

    fn connection_lost_for(
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
        let is_querying = pending
            .attempt
            .as_ref()
            .is_some_and(|a| a.next_query_at.is_some());
        let repeatable = !pending.request.at_most_once && pending.request.ticket.is_none();
        if sent != Sent::Maybe && !is_querying {
            self.close_attempt(id, token);
            let refusal = match sent {
                Sent::NotInTime => Refusal::Late,
                Sent::Nothing | Sent::Maybe => Refusal::NoTarget,
            };
            self.not_sent(now, token, refusal, out);
        } else if repeatable && self.may_retry(now, token, true) {
            self.close_attempt(id, token);
            if let Some(pending) = self.pending.get_mut(&token) {
                pending.may_have_run = true;
                pending.target_attempts += 1;
            }
            self.start_attempt(now, token, Refusal::NoTarget, out);
        } else {
            self.query_gate(now, token, is_querying, out);
        }
    }

    fn not_sent(&mut self, now: Duration, token: Token, refusal: Refusal, out: &mut Vec<Output>) {
        let has_ticket = self
            .pending
            .get(&token)
            .is_some_and(|p| p.request.ticket.is_some());
        if has_ticket {
            // An earlier call with the same ticket may have run.
            self.finish(token, CallResult::Unknown(UnknownReason::GateGone), out);
        } else {
            self.not_run(now, token, refusal, out);
        }
    }

    fn query_gate(
        &mut self,
        now: Duration,
        token: Token,
        is_querying: bool,
        out: &mut Vec<Output>,
    ) {
        let Some(attempt) = self
            .pending
            .get_mut(&token)
            .and_then(|p| p.attempt.as_mut())
        else {
            return;
        };
        attempt.next_query_at = Some(now + QUERY_INTERVAL);
        if !is_querying {
            out.push(Output::Query(attempt.host.clone(), attempt.query));
        }
    }
}
