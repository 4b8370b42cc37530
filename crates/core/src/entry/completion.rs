//! Completion of calls: by a gate's reply, at the deadline, or when the caller
//! disconnects.

use std::time::Duration;

use super::{Attempt, CallResult, Entry, Output, REPLY_GRACE, Token};
use crate::call::{Refusal, UnknownReason};
use crate::id;

impl Entry {
    pub(super) fn caller_gone(&mut self, token: Token, out: &mut Vec<Output>) {
        let Some(pending) = self.pending.get(&token) else {
            return;
        };
        if let Some(attempt) = &pending.attempt {
            let attempt = attempt.clone();
            self.withdraw(token, &attempt, out);
            self.close_attempt(attempt.query.id, token);
        }
        self.pending.remove(&token);
    }

    /// Withdraws an attempt unless another caller waits for the same id.
    pub(super) fn withdraw(&self, token: Token, attempt: &Attempt, out: &mut Vec<Output>) {
        if self.tokens(attempt.query.id) == [token] {
            out.push(Output::Withdraw(attempt.host.clone(), attempt.query));
        }
    }

    /// Withdraws a call whose deadline has passed, and ends it if its gate does not reply.
    pub(super) fn time_out(&mut self, now: Duration, token: Token, out: &mut Vec<Output>) {
        let Some(pending) = self.pending.get_mut(&token) else {
            return;
        };
        let has_expired = now >= pending.deadline + REPLY_GRACE;
        let attempt = pending.attempt.as_mut().filter(|a| !a.is_withdrawn);
        if let Some(attempt) = attempt {
            attempt.is_withdrawn = true;
            let attempt = attempt.clone();
            self.withdraw(token, &attempt, out);
        }
        if has_expired {
            self.finish(token, CallResult::Unknown(UnknownReason::NoReply), out);
        }
    }

    pub(super) fn close_attempt(&mut self, id: id::CallId, token: Token) {
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
        if let Some(attempt) = attempt {
            self.gates.call_ended(&attempt.host);
        }
    }

    pub(super) fn finish_with(
        &mut self,
        token: Token,
        result: Result<id::CallId, Refusal>,
        out: &mut Vec<Output>,
    ) {
        let may_have_run = self.pending.get(&token).is_some_and(|p| p.may_have_run);
        let result = match result {
            Ok(id) => CallResult::Answer(id),
            Err(_) if may_have_run => CallResult::Unknown(UnknownReason::EarlierAttempt),
            Err(refusal) => CallResult::NotRun(refusal),
        };
        self.finish(token, result, out);
    }

    pub(super) fn finish(&mut self, token: Token, result: CallResult, out: &mut Vec<Output>) {
        let open_attempt = self.pending.get(&token).and_then(|p| p.attempt.as_ref());
        if let Some(id) = open_attempt.map(|attempt| attempt.query.id) {
            self.close_attempt(id, token);
        }
        let Some(pending) = self.pending.remove(&token) else {
            return;
        };
        let result = match (result, pending.failure) {
            (CallResult::Answer(id), _) => CallResult::Answer(id),
            (_, Some(id)) => CallResult::Failure(id),
            (result, None) => result,
        };
        let at_most_once = pending.request.at_most_once;
        // A caller can resend a repeatable call without a ticket.
        let ticket = pending
            .attempt
            .filter(|_| at_most_once)
            .map(|attempt| id::Ticket {
                service: pending.request.service,
                host: attempt.host,
                incarnation: attempt.query.incarnation,
                id: attempt.query.id,
            });
        out.push(Output::Done(token, result, ticket));
    }
}
