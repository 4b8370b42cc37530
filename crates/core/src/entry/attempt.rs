//! One attempt: picks a gate and offers the call.

use std::time::Duration;

use super::{Attempt, Entry, Output, Request, Token};
use crate::call::{self, Refusal};
use crate::id;

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
            None => self.place(now, &request, &pending.tried.clone()),
        };
        match place {
            Some((host, incarnation, id)) => self.offer(now, token, host, incarnation, id, out),
            None => self.conclude(token, Err(otherwise), out),
        }
    }

    fn place(
        &mut self,
        now: Duration,
        request: &Request,
        tried: &[id::HostName],
    ) -> Option<(id::HostName, id::Incarnation, id::CallId)> {
        let member = self.pick(now, &request.service, request.draw, tried)?;
        let (host, incarnation) = (member.host.clone(), member.incarnation);
        let id = self.next_id(request.draw);
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
