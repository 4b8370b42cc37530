//! One attempt: picks a gate and offers the call.

use std::time::Duration;

use super::slow::Place;
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
            Some(ticket) => Some((Place::of_ticket(ticket), ticket.id)),
            None => self
                .next_place(now, pending)
                .map(|place| (place, self.next_id(request.draw))),
        };
        match place {
            Some((place, id)) => self.offer(now, token, place, id, out),
            None => self.conclude(token, Err(otherwise), out),
        }
    }

    fn offer(
        &mut self,
        now: Duration,
        token: Token,
        place: Place,
        id: id::CallId,
        out: &mut Vec<Output>,
    ) {
        let Place {
            host,
            incarnation,
            when_slow,
        } = place;
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
            when_slow,
            once: request.once,
            fingerprint: request.fingerprint,
            vouched: request.ticket.is_none(),
        };
        pending.slow.offered(when_slow);
        if !pending.tried.contains(&host) {
            pending.tried.push(host.clone());
        }
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
