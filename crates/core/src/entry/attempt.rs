//! Attempts: an entry picks a gate and offers it the call.

use std::time::Duration;

use super::placement::Placement;
use super::{Attempt, Entry, Output, Pending, Token};
use crate::call::{self, Refusal};
use crate::id;
use crate::shedding::Shed;

impl Pending {
    /// Longest expected wait of a further gate: the time left until the latency objective
    /// is missed or, where that does not apply, until the deadline. For the first gate
    /// there is no limit: it decides itself whether to refuse the call. With [`Shed::All`], a
    /// call that has missed its objective goes only where it starts at once.
    pub(super) fn max_wait(&self, now: Duration) -> Duration {
        if self.tried.is_empty() {
            return Duration::MAX;
        }
        let until = match (self.request.sheddable, self.request.shed) {
            (true, Shed::All) => self.objective,
            (true, Shed::Lowest) if now < self.objective => self.objective,
            _ => self.deadline,
        };
        until.saturating_sub(now)
    }
}

impl Entry {
    pub(super) fn start_attempt(
        &mut self,
        now: Duration,
        token: Token,
        refusal_if_none: Refusal,
        out: &mut Vec<Output>,
    ) {
        let Some(pending) = self.pending.get(&token) else {
            return;
        };
        let request = pending.request.clone();
        let next = match &request.ticket {
            Some(ticket) => Some((Placement::of_ticket(ticket), ticket.id)),
            None => self
                .next_placement(now, pending)
                .map(|placement| (placement, self.next_id(request.draw))),
        };
        match next {
            Some((placement, id)) => self.send_offer(now, token, placement, id, out),
            None => self.finish_with(token, Err(refusal_if_none), out),
        }
    }

    fn send_offer(
        &mut self,
        now: Duration,
        token: Token,
        placement: Placement,
        id: id::CallId,
        out: &mut Vec<Output>,
    ) {
        let Placement {
            host,
            incarnation,
            when_slow,
        } = placement;
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
            organisation: request.organisation.clone(),
            rank: request.rank,
            remaining: pending.deadline.saturating_sub(now),
            objective: pending.objective.saturating_sub(now),
            sheddable: request.sheddable,
            when_slow,
            at_most_once: request.at_most_once,
            fingerprint: request.fingerprint,
            issued_by_sender: request.ticket.is_none(),
            target_notice: self.notices.get(&host).cloned().map(Box::new),
        };
        pending.slow_gates.record_offer(when_slow);
        if !pending.tried.contains(&host) {
            pending.tried.push(host.clone());
        }
        pending.attempt = Some(Attempt {
            host: host.clone(),
            query: call::Query {
                incarnation,
                id,
                fingerprint: request.fingerprint,
            },
            next_query_at: None,
            is_withdrawn: false,
        });
        self.by_id.entry(id).or_default().push(token);
        self.gates.call_offered(&host);
        out.push(Output::Offer(host, token, offer));
    }
}
