//! Choice of the next gate for a call while targets are temporarily slow: first the
//! other gates of the failure domain, at no extra cost; then the call waits at one of
//! the slow gates; then it is offered to other failure domains. If all targets are
//! slow, it is started regardless.

use std::slice;
use std::time::Duration;

use super::{Entry, Pending, Token};
use crate::call::WhenSlow;
use crate::gates;
use crate::id;

/// Hosts that one call is offered to; each offer to another host takes a round trip.
const GATES_TRIED_MAX: usize = 4;

/// Gates that refused a call because their targets were slow, and the offers made since.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct SlowGates {
    hosts: Vec<id::HostName>,
    has_queued: bool,
    has_forced_start: bool,
}

/// The gate that a call is offered to, and what it does if its target is slow.
#[derive(Clone, Debug)]
pub(super) struct Placement {
    pub(super) host: id::HostName,
    pub(super) incarnation: id::Incarnation,
    pub(super) when_slow: WhenSlow,
}

impl Placement {
    /// The gate that the ticket names; no other may run the call.
    pub(super) fn of_ticket(ticket: &id::Ticket) -> Self {
        Self {
            host: ticket.host.clone(),
            incarnation: ticket.incarnation,
            when_slow: WhenSlow::Start,
        }
    }
}

impl SlowGates {
    pub(super) fn record_offer(&mut self, when_slow: WhenSlow) {
        self.has_queued |= when_slow == WhenSlow::Wait;
        self.has_forced_start |= when_slow == WhenSlow::Start;
    }
}

impl Entry {
    /// Records that the gate refused the call because its target is slow.
    pub(super) fn record_slow(&mut self, token: Token) {
        let Some(pending) = self.pending.get_mut(&token) else {
            return;
        };
        if let Some(attempt) = &pending.attempt
            && !pending.slow_gates.hosts.contains(&attempt.host)
        {
            pending.slow_gates.hosts.push(attempt.host.clone());
        }
    }

    /// Records that the gate refused the call because its failure domain is evacuated: the other
    /// gates there would refuse it as well.
    pub(super) fn record_evacuated(&mut self, now: Duration, token: Token) {
        let attempt = self.pending.get(&token).and_then(|p| p.attempt.as_ref());
        if let Some(host) = attempt.map(|attempt| attempt.host.clone()) {
            self.gates.record_evacuated(now, &host);
        }
    }

    /// Records that the target has shed the call, so that it does not get the call again: a faulty
    /// target may write its refusal once more, which would pass for the answer to that offer.
    pub(super) fn record_shed(&mut self, token: Token) {
        let Some(pending) = self.pending.get_mut(&token) else {
            return;
        };
        if let Some(attempt) = &pending.attempt {
            let hosts = &mut pending.slow_gates.hosts;
            hosts.retain(|host| *host != attempt.host);
        }
    }

    /// The next gate for a call without a ticket.
    pub(super) fn next_placement(&self, now: Duration, pending: &Pending) -> Option<Placement> {
        let slow = &pending.slow_gates;
        let first_slow = || {
            let mut hosts = slow.hosts.iter();
            hosts.find_map(|host| self.gates.serving(now, host))
        };
        if let Some(member) = self.pick_untried(now, pending, !slow.hosts.is_empty(), &[]) {
            let is_local = member.failure_domain == self.failure_domain;
            let alternative =
                self.pick_untried(now, pending, is_local, slice::from_ref(&member.host));
            let when_slow = if alternative.is_some() {
                WhenSlow::Refuse
            } else {
                WhenSlow::Wait
            };
            return Some(placement(member, when_slow));
        }
        if !slow.has_queued
            && let Some(member) = first_slow()
        {
            return Some(placement(member, WhenSlow::Wait));
        }
        if let Some(member) = self.pick_untried(now, pending, false, &[]) {
            return Some(placement(member, WhenSlow::Refuse));
        }
        let member = first_slow().filter(|_| !slow.has_forced_start)?;
        Some(placement(member, WhenSlow::Start))
    }

    fn pick_untried(
        &self,
        now: Duration,
        pending: &Pending,
        local_only: bool,
        excluded: &[id::HostName],
    ) -> Option<&super::Member> {
        let tried = [&pending.tried, excluded].concat();
        let criteria = gates::Criteria {
            service: &pending.request.service,
            failure_domain: &self.failure_domain,
            local_only,
            tried: &tried,
            max_wait: pending.max_wait(now),
            draw: pending.request.draw,
            seed: self.incarnation,
        };
        let has_tries_left = pending.tried.len() < GATES_TRIED_MAX;
        has_tries_left
            .then(|| self.gates.pick(now, &criteria))
            .flatten()
    }
}

fn placement(member: &super::Member, when_slow: WhenSlow) -> Placement {
    Placement {
        host: member.host.clone(),
        incarnation: member.incarnation,
        when_slow,
    }
}
