//! Where a call is offered next, when targets are slow for a moment: to another gate
//! of the failure domain, which costs nothing; else it waits at one of them; else it
//! leaves the failure domain; and if all are slow it is started all the same.

use std::slice;
use std::time::Duration;

use super::{Entry, Pending, Token};
use crate::call::WhenSlow;
use crate::gates;
use crate::id;

/// Gates that one call is offered to; each offer to another host takes a round trip.
const GATES_MAX: usize = 4;

/// Gates whose targets were slow for the moment, and what was done about it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Slow {
    hosts: Vec<id::HostName>,
    has_waited: bool,
    is_settled: bool,
}

/// Where a call is offered, and on which terms.
#[derive(Clone, Debug)]
pub(super) struct Place {
    pub(super) host: id::HostName,
    pub(super) incarnation: id::Incarnation,
    pub(super) when_slow: WhenSlow,
}

impl Place {
    /// The only gate that may run the call of a ticket.
    pub(super) fn of_ticket(ticket: &id::Ticket) -> Self {
        Self {
            host: ticket.host.clone(),
            incarnation: ticket.incarnation,
            when_slow: WhenSlow::Start,
        }
    }
}

impl Slow {
    pub(super) fn offered(&mut self, when_slow: WhenSlow) {
        self.has_waited |= when_slow == WhenSlow::Wait;
        self.is_settled |= when_slow == WhenSlow::Start;
    }
}

impl Entry {
    /// The gate that a call is at refused it because its target is slow.
    pub(super) fn note_slow(&mut self, token: Token) {
        let Some(pending) = self.pending.get_mut(&token) else {
            return;
        };
        if let Some(attempt) = &pending.attempt
            && !pending.slow.hosts.contains(&attempt.host)
        {
            pending.slow.hosts.push(attempt.host.clone());
        }
    }

    /// Where a call without a ticket goes next.
    pub(super) fn next_place(&self, now: Duration, pending: &Pending) -> Option<Place> {
        let slow = &pending.slow;
        let first_slow = || {
            let mut hosts = slow.hosts.iter();
            hosts.find_map(|host| self.gates.serving(now, host))
        };
        if let Some(member) = self.untried(now, pending, !slow.hosts.is_empty(), &[]) {
            let is_near = member.failure_domain == self.failure_domain;
            let other = self.untried(now, pending, is_near, slice::from_ref(&member.host));
            let when_slow = if other.is_some() {
                WhenSlow::Refuse
            } else {
                WhenSlow::Wait
            };
            return Some(place(member, when_slow));
        }
        if !slow.has_waited
            && let Some(member) = first_slow()
        {
            return Some(place(member, WhenSlow::Wait));
        }
        if let Some(member) = self.untried(now, pending, false, &[]) {
            return Some(place(member, WhenSlow::Refuse));
        }
        let member = first_slow().filter(|_| !slow.is_settled)?;
        Some(place(member, WhenSlow::Start))
    }

    fn untried(
        &self,
        now: Duration,
        pending: &Pending,
        near_only: bool,
        without: &[id::HostName],
    ) -> Option<&super::Member> {
        let tried = [&pending.tried, without].concat();
        let search = gates::Search {
            service: &pending.request.service,
            failure_domain: &self.failure_domain,
            near_only,
            tried: &tried,
            patience: pending.patience(now),
            draw: pending.request.draw,
            seed: self.incarnation,
        };
        let may_try = pending.tried.len() < GATES_MAX;
        may_try.then(|| self.gates.pick(now, &search)).flatten()
    }
}

fn place(member: &super::Member, when_slow: WhenSlow) -> Place {
    Place {
        host: member.host.clone(),
        incarnation: member.incarnation,
        when_slow,
    }
}
