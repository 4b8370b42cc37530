//! Admission of offered calls, and the number of slots open to them.

use std::time::Duration;

use super::{Announcement, Gate, Output, saturating_u32};
use crate::call::{self, Refusal, Reply, UnknownReason};
use crate::id;
use crate::queue;
use crate::records::{Lookup, State};
use crate::service;
use crate::shedding::fairness::Turn;
use crate::shedding::{self, Shed, plan};

/// A slot is reserved only for calls that take at most half of the overall mean.
const RESERVE_MEAN_RATIO: u32 = 2;
/// A call counts as delayed once it has waited for half of its latency objective.
const DELAYED_FRACTION: u32 = 2;
/// A slot stays reserved for urgent calls for this long after the latest delayed one.
const RESERVE_TTL: Duration = Duration::from_secs(5);
/// Every admitted call may wait at least this long, even if it is expected to end too
/// late: the expectation is based on a mean.
const WAIT_MIN: Duration = Duration::from_millis(1);

impl Gate {
    pub(super) fn handle_offer(
        &mut self,
        now: Duration,
        offer: &call::Offer,
        out: &mut Vec<Output>,
    ) {
        let id = offer.id;
        if let Some(notice) = &offer.target_notice {
            self.apply_notice(now, notice);
        }
        if offer.incarnation != self.incarnation {
            // An earlier incarnation may have run a copy of the call.
            out.push(Output::Reply(id, Reply::Unknown(UnknownReason::GateGone)));
            return;
        }
        if offer.issued_by_sender {
            self.records.confirm_issued(id);
        }
        match self.records.lookup(id) {
            Lookup::Record(record) => {
                Self::reply_from_record(id, record, offer.fingerprint, out);
            }
            Lookup::Expired => out.push(Output::Reply(
                id,
                Reply::Unknown(UnknownReason::TicketExpired),
            )),
            Lookup::New => match self.admit_counted(now, offer) {
                Err(refusal) => {
                    if refusal == Refusal::Late {
                        self.record_delay(now, &offer.route, offer.rank);
                    }
                    self.refuse(id, refusal, Some(offer.fingerprint), out);
                }
                Ok(waiting) => {
                    self.records
                        .set(id, State::Waiting, Some(offer.fingerprint));
                    self.waiting.push(waiting);
                    if self.plans_room(&offer.organisation) {
                        self.fairness.assign_turns(now, &mut self.waiting);
                        self.refuse_without_room(now, out);
                    }
                }
            },
        }
    }

    fn admit_counted(
        &mut self,
        now: Duration,
        offer: &call::Offer,
    ) -> Result<queue::WaitingCall, Refusal> {
        self.fairness
            .record_offer(now, offer.rank, &offer.organisation);
        self.admit(now, offer)
    }

    pub(super) fn shed(&self) -> Shed {
        let document = self.document.as_ref();
        document.map_or_else(Shed::default, |document| document.limits.shed)
    }

    /// Whether the room for a new call is planned with the calls that wait. A queue that is
    /// full of one organisation's calls would otherwise shut out the others.
    fn plans_room(&self, organisation: &id::OrganisationName) -> bool {
        self.shed() == Shed::All || !organisation.is_empty()
    }

    /// Refuses the calls for which there is no room since the last one of the queue joined.
    fn refuse_without_room(&mut self, now: Duration, out: &mut Vec<Output>) {
        let limits = self.document.as_ref().map(|document| &document.limits);
        let room = plan::Room {
            now,
            slots: self.slots(now),
            mean: self.service_times.overall_mean(),
            queue: limits.map_or(0, |limits| limits.queue),
            overdue_may_wait: self.shed() == Shed::Lowest,
            more_urgent_percent: &|rank| {
                let slots = self.open_slots(now);
                self.rank_load.more_urgent_percent(now, rank, slots)
            },
            rate_wait: &|ahead| self.rate_wait(now, ahead),
        };
        let refused = plan::refused(&self.waiting, &room);
        for (index, refusal) in refused.into_iter().rev() {
            let w = self.waiting.remove(index);
            if refusal == Refusal::Late {
                self.record_delay(now, &w.route, w.rank);
            }
            self.refuse(w.id, refusal, None, out);
        }
    }

    fn admit(&self, now: Duration, offer: &call::Offer) -> Result<queue::WaitingCall, Refusal> {
        if self.is_quarantined(offer.fingerprint) {
            return Err(Refusal::CrashesTargets);
        }
        if let Some(refusal) = self.current_refusal(now) {
            return Err(refusal);
        }
        if self.targets.current().map(|t| &t.announcement.service) != Some(&offer.service) {
            return Err(Refusal::WrongService);
        }
        let document = self.document.as_ref().ok_or(Refusal::NotReady)?;
        let route = document.route_by_name(&offer.route);
        if !offer.at_most_once && route.is_some_and(|r| !r.repeatable) {
            // The entry's older document lets it run the call again at another gate.
            return Err(Refusal::StaleDocument);
        }
        let configured_size = route.map_or(service::Size::Learned, |r| r.size);
        let is_long = self.service_times.is_long(&offer.route, configured_size);
        let priority = queue::Priority {
            depth: offer.depth,
            rank: offer.rank,
            is_long,
        };
        let work = self.service_times.work(&offer.route);
        let bound = shedding::bound(document.limits.shed, offer, work);
        let max_wait = bound.max_wait.max(if offer.sheddable {
            Duration::ZERO
        } else {
            WAIT_MIN
        });
        if !self.plans_room(&offer.organisation) {
            self.check_room(now, &document.limits, priority, max_wait)?;
        }
        if offer.remaining.is_zero() {
            return Err(Refusal::Late);
        }
        Ok(queue::WaitingCall {
            id: offer.id,
            route: offer.route.clone(),
            depth: offer.depth,
            organisation: offer.organisation.clone(),
            rank: offer.rank,
            turn: Turn::default(),
            is_long,
            at_most_once: offer.at_most_once,
            deadline: now + offer.remaining,
            misses_objective: bound.misses_objective,
            start_by: now + max_wait.max(WAIT_MIN),
            order_by: now + bound.slack.max(WAIT_MIN),
            late_from: bound.in_time_for.map(|time| now + time),
            delayed_from: now + offer.objective / DELAYED_FRACTION,
            when_slow: offer.when_slow,
            recovery_wait_until: now + bound.max_recovery_wait,
            mean: work.mean,
        })
    }

    /// Checks whether a call that joins the queue starts in time behind the calls that wait.
    fn check_room(
        &self,
        now: Duration,
        limits: &service::Limits,
        priority: queue::Priority,
        max_wait: Duration,
    ) -> Result<(), Refusal> {
        let queue::Priority {
            depth,
            rank,
            is_long,
        } = priority;
        let same_class = |w: &&queue::WaitingCall| (w.depth == 0) == (depth == 0);
        let queued = self.waiting.iter().filter(same_class).count();
        let slots = self.slots(now);
        if saturating_u32(queued) >= limits.queue && !slots.can_start(depth, rank, is_long) {
            return Err(Refusal::QueueFull);
        }
        let ahead = queue::count_ahead(&self.waiting, priority);
        if self.rate_wait(now, ahead) > max_wait {
            return Err(Refusal::RateLimited);
        }
        let mean = self.service_times.overall_mean();
        if queue::expected_wait(&self.waiting, priority, slots, mean) > max_wait {
            return Err(Refusal::Late);
        }
        Ok(())
    }

    pub(super) fn open_slots(&self, now: Duration) -> u32 {
        let Some(target) = self.targets.current() else {
            return 0;
        };
        let Announcement {
            slots, cold_start, ..
        } = target.announcement;
        let limits = self.document.as_ref().map(|document| &document.limits);
        let (slot_percent, cold_percent) =
            limits.map_or((100, 0), |l| (l.slot_percent, l.cold_percent));
        let part = u64::from(slots) * u64::from(slot_percent) / 100;
        let slots = u32::try_from(part).unwrap_or(u32::MAX).max(slots.min(1));
        let age = now.saturating_sub(target.first_announced_at);
        if age >= cold_start {
            return slots;
        }
        let warm_slots = age.as_micros() * u128::from(slots) / cold_start.as_micros().max(1);
        let initial_slots = u64::from(slots) * u64::from(cold_percent) / 100;
        let initial_slots = u32::try_from(initial_slots).unwrap_or(u32::MAX);
        u32::try_from(warm_slots)
            .unwrap_or(slots)
            .max(initial_slots)
            .max(1)
    }

    /// Rank for which a slot is reserved at present, `u8::MAX` for none.
    fn reserved_rank(&self, now: Duration) -> u8 {
        match self.latest_delay {
            Some((rank, at)) if now <= at + RESERVE_TTL => rank,
            _ => u8::MAX,
        }
    }

    /// Records that a call was delayed. A slot is reserved only for calls that are much
    /// shorter than the work they queue behind: they lose most by waiting for it to end.
    pub(super) fn record_delay(&mut self, now: Duration, route: &id::RouteName, rank: u8) {
        let is_short = self.service_times.mean(route) * RESERVE_MEAN_RATIO
            <= self.service_times.overall_mean();
        if is_short && rank <= self.reserved_rank(now) {
            self.latest_delay = Some((rank, now));
        }
    }

    pub(super) fn slots(&self, now: Duration) -> queue::Slots {
        let limits = self.document.as_ref().map(|d| &d.limits);
        queue::Slots {
            open: self.open_slots(now),
            running: saturating_u32(self.running.len()),
            running_long: saturating_u32(self.running.values().filter(|r| r.is_long).count()),
            short_reserved: limits.map_or(0, |l| l.short_reserved),
            depth_levels: limits.map_or(0, |l| l.depth_levels),
            reserved_rank: self.reserved_rank(now),
        }
    }
}
