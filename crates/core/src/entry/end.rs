//! How calls end: with a gate's word, at their deadline, or when the caller leaves.

use super::{Attempt, Entry, Output, Token, Verdict};
use crate::call::{Doubt, Refusal};
use crate::id;

impl Entry {
    pub(super) fn gone(&mut self, token: Token, out: &mut Vec<Output>) {
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

    /// Withdraws an attempt that nobody else waits for.
    pub(super) fn withdraw(&self, token: Token, attempt: &Attempt, out: &mut Vec<Output>) {
        if self.tokens(attempt.about.id) == [token] {
            out.push(Output::Withdraw(attempt.host.clone(), attempt.about));
        }
    }

    pub(super) fn give_up(&mut self, token: Token, out: &mut Vec<Output>) {
        let attempt = self.pending.get(&token).and_then(|p| p.attempt.clone());
        if let Some(attempt) = attempt {
            self.withdraw(token, &attempt, out);
        }
        self.finish(token, Verdict::Unknown(Doubt::Silent), out);
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
            self.gates.closed(&attempt.host);
        }
    }

    pub(super) fn conclude(
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

    pub(super) fn finish(&mut self, token: Token, verdict: Verdict, out: &mut Vec<Output>) {
        let open = self.pending.get(&token).and_then(|p| p.attempt.as_ref());
        if let Some(id) = open.map(|attempt| attempt.about.id) {
            self.close_attempt(id, token);
        }
        let Some(pending) = self.pending.remove(&token) else {
            return;
        };
        // A call that may repeat is sent again without one.
        let verdict = match (verdict, pending.failure) {
            (Verdict::Answer(id), _) => Verdict::Answer(id),
            (_, Some(id)) => Verdict::Failure(id),
            (verdict, None) => verdict,
        };
        let once = pending.request.once;
        let ticket = pending.attempt.filter(|_| once).map(|attempt| id::Ticket {
            service: pending.request.service,
            host: attempt.host,
            incarnation: attempt.about.incarnation,
            id: attempt.about.id,
        });
        out.push(Output::Done(token, verdict, ticket));
    }
}
