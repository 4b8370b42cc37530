//! What a gate takes on: offers, and the slots that are open to them.

use std::time::Duration;

use super::{Announcement, Gate, Output, count};
use crate::call::{self, Doubt, Refusal, Reply};
use crate::id;
use crate::queue;
use crate::records::{Known, State};
use crate::service;

/// Work that exceeds the latency owed in any case waits this long for a free slot;
/// its caller is asked back rather than held.
const LATE_PATIENCE: Duration = Duration::from_millis(150);
/// Calls that take half of the usual time, or less, are worth a slot of their own.
const URGENT_SHORTER: u32 = 2;
/// A call is held up once it has waited for this part of the latency owed.
const HELD_UP_PART: u32 = 2;
/// A slot is kept for urgent calls for this long after the latest one was held up.
const URGENT_TTL: Duration = Duration::from_secs(5);
/// A call may wait at least this long, though it is expected to end too late: the
/// expectation is a mean.
const START_MIN: Duration = Duration::from_millis(1);

impl Gate {
    pub(super) fn offer(&mut self, now: Duration, offer: &call::Offer, out: &mut Vec<Output>) {
        let id = offer.id;
        if offer.incarnation != self.incarnation {
            // An earlier incarnation may have run a copy of it.
            out.push(Output::Reply(id, Reply::Unknown(Doubt::GateGone)));
            return;
        }
        if offer.vouched {
            self.records.vouch(id);
        }
        match self.records.known(id) {
            Known::Record(record) => Self::resend(id, record, offer.fingerprint, out),
            Known::Expired => out.push(Output::Reply(id, Reply::Unknown(Doubt::TicketExpired))),
            Known::New => match self.judge(now, offer) {
                Err(refusal) => {
                    if refusal == Refusal::Late {
                        self.held_up(now, &offer.route, offer.rank);
                    }
                    self.refuse(id, refusal, Some(offer.fingerprint), out);
                }
                Ok(waiting) => {
                    self.records
                        .set(id, State::Waiting, Some(offer.fingerprint));
                    self.waiting.push(waiting);
                }
            },
        }
    }

    fn judge(&self, now: Duration, offer: &call::Offer) -> Result<queue::Waiting, Refusal> {
        if let Some(refusal) = self.refusal_now(now) {
            return Err(refusal);
        }
        if self.targets.current().map(|t| &t.announcement.service) != Some(&offer.service) {
            return Err(Refusal::WrongService);
        }
        let document = self.document.as_ref().ok_or(Refusal::NoDocument)?;
        let route = document.route_by_name(&offer.route);
        if !offer.once && route.is_some_and(|r| !r.repeatable) {
            // Its entry would feel free to run it again elsewhere.
            return Err(Refusal::StaleDocument);
        }
        let stated = route.map_or(service::Size::Learned, |r| r.size);
        let long = self.times.is_long(&offer.route, stated);
        let same_class = |w: &&queue::Waiting| (w.depth == 0) == (offer.depth == 0);
        let ahead = self.waiting.iter().filter(same_class).count();
        let slots = self.slots(now);
        if count(ahead) >= document.limits.queue && !slots.admits(offer.depth, offer.rank, long) {
            return Err(Refusal::QueueFull);
        }
        let mean = self.times.mean(&offer.route);
        let overall = self.times.overall();
        let place = queue::Place {
            depth: offer.depth,
            rank: offer.rank,
            long,
        };
        let wait = queue::expected_wait(&self.waiting, place, slots, overall);
        let (patience, is_late) = patience(offer, mean);
        if wait > patience || offer.remaining.is_zero() {
            return Err(Refusal::Late);
        }
        Ok(queue::Waiting {
            id: offer.id,
            route: offer.route.clone(),
            depth: offer.depth,
            rank: offer.rank,
            long,
            once: offer.once,
            deadline: now + offer.remaining,
            is_late,
            start_by: now + patience.max(START_MIN),
            held_up_at: now + offer.objective / HELD_UP_PART,
            when_slow: offer.when_slow,
            hold_until: now + hold(offer, mean),
            mean,
        })
    }

    pub(super) fn refusal_now(&self, now: Duration) -> Option<Refusal> {
        if !self.synced {
            return Some(Refusal::NotReady);
        }
        let Some(target) = self.targets.current() else {
            return Some(Refusal::NoTarget);
        };
        if self.draining || target.announcement.draining {
            return Some(Refusal::Draining);
        }
        (now > target.heard + self.announcement_ttl).then_some(Refusal::NoTarget)
    }

    pub(super) fn open_slots(&self, now: Duration) -> u32 {
        let Some(target) = self.targets.current() else {
            return 0;
        };
        let Announcement {
            slots, cold_start, ..
        } = target.announcement;
        let limits = self.document.as_ref().map(|document| &document.limits);
        let (used, cold) = limits.map_or((100, 0), |l| (l.slot_percent, l.cold_percent));
        let slots = (slots * used / 100).max(slots.min(1));
        let age = now.saturating_sub(target.first_heard);
        if age >= cold_start {
            return slots;
        }
        let share = age.as_micros() * u128::from(slots) / cold_start.as_micros().max(1);
        let at_once = slots * cold / 100;
        u32::try_from(share).unwrap_or(slots).max(at_once).max(1)
    }

    /// The rank of the most urgent calls of late.
    fn urgent_rank(&self, now: Duration) -> u8 {
        match self.urgent {
            Some((rank, at)) if now <= at + URGENT_TTL => rank,
            _ => u8::MAX,
        }
    }

    /// Notes that a call was held up. A slot is kept only for calls that are much shorter
    /// than the work that they have to get past: those lose most by waiting for its end.
    pub(super) fn held_up(&mut self, now: Duration, route: &id::RouteName, rank: u8) {
        let is_short = self.times.mean(route) * URGENT_SHORTER <= self.times.overall();
        if is_short && rank <= self.urgent_rank(now) {
            self.urgent = Some((rank, now));
        }
    }

    pub(super) fn slots(&self, now: Duration) -> queue::Slots {
        let limits = self.document.as_ref().map(|d| &d.limits);
        queue::Slots {
            open: self.open_slots(now),
            running: count(self.running.len()),
            running_long: count(self.running.values().filter(|r| r.long).count()),
            short_reserved: limits.map_or(0, |l| l.short_reserved),
            levels: limits.map_or(0, |l| l.depth_levels),
            urgent_rank: self.urgent_rank(now),
        }
    }
}

/// Time for which a call may wait for its target to recover: as long as an answer can
/// still be in time by way of another gate.
fn hold(offer: &call::Offer, mean: Duration) -> Duration {
    let in_time = offer.objective.saturating_sub(mean * 3 / 2);
    if in_time.is_zero() {
        LATE_PATIENCE.min(offer.remaining.saturating_sub(mean))
    } else {
        in_time
    }
}

/// Time that a call may wait for a start, and whether it exceeds the latency owed even
/// if it starts at once.
fn patience(offer: &call::Offer, mean: Duration) -> (Duration, bool) {
    let until_deadline = offer.remaining.saturating_sub(mean);
    if !offer.gives_way {
        return (until_deadline.max(START_MIN), false);
    }
    let in_time = offer.objective.saturating_sub(mean).min(until_deadline);
    if in_time.is_zero() {
        (until_deadline.min(LATE_PATIENCE), true)
    } else {
        (in_time, false)
    }
}
