//! One attempt: picks a gate and offers the call.

use std::time::Duration;

use super::{Attempt, Entry, Output, Pending, Token};
use crate::call::{self, Refusal};
use crate::id;

impl Pending {
    /// Time within which a further gate has to be expected to start the call: what is left
    /// until the latency owed is exceeded, or else until the deadline. The first
    /// gate judges for itself.
    pub(super) fn patience(&self, now: Duration) -> Duration {
        if self.tried.is_empty() {
            return Duration::MAX;
        }
        let until = if self.request.gives_way && now < self.objective {
            self.objective
        } else {
            self.deadline
        };
        until.saturating_sub(now)
    }
}

impl Entry {
    pub(super) fn attempt(
        &mut self,
        now: Duration,
        token: Token,
        otherwise: Refusal,
        out: &mut Vec<Output>,
    ) {
        let Some(pending) = self.pending.get(&token) else {
            return;
        };
        let request = pending.request.clone();
        let place = match &request.ticket {
            Some(ticket) => Some((ticket.host.clone(), ticket.incarnation, ticket.id)),
            None => self.place(now, token),
        };
        match place {
            Some((host, incarnation, id)) => self.offer(now, token, host, incarnation, id, out),
            None => self.conclude(token, Err(otherwise), out),
        }
    }

    fn place(
        &mut self,
        now: Duration,
        token: Token,
    ) -> Option<(id::HostName, id::Incarnation, id::CallId)> {
        let pending = self.pending.get(&token)?;
        let draw = pending.request.draw;
        let member = self.gates.pick(
            now,
            &pending.request.service,
            &self.failure_domain,
            draw,
            &pending.tried,
            pending.patience(now),
        )?;
        let (host, incarnation) = (member.host.clone(), member.incarnation);
        let id = self.next_id(draw);
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
            rank: request.rank,
            remaining: pending.deadline.saturating_sub(now),
            objective: pending.objective.saturating_sub(now),
            gives_way: request.gives_way,
            once: request.once,
            fingerprint: request.fingerprint,
            vouched: request.ticket.is_none(),
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
        self.gates.offered(&host);
        out.push(Output::Offer(host, token, offer));
    }
}
