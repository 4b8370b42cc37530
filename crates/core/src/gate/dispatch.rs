//! Dispatch of waiting calls: which start, and which are refused.

use std::time::Duration;

use super::{Gate, Output, Running, speed};
use crate::call::{Refusal, WhenSlow};
use crate::queue;
use crate::records::State;
use crate::shedding::Shed;

impl Gate {
    pub(super) fn refuse_expired(&mut self, now: Duration, out: &mut Vec<Output>) {
        let refusal = self.current_refusal(now);
        let (refused, remaining) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|w| refusal.is_some() || now >= w.start_by);
        self.waiting = remaining;
        let refused: Vec<queue::WaitingCall> = refused;
        for w in refused {
            if refusal.is_none() {
                self.record_delay(now, &w.route, w.rank);
            }
            self.refuse(w.id, refusal.unwrap_or(Refusal::Late), None, out);
        }
    }

    /// Speed of the target for a call that starts now, or `None` if no call can start, by the
    /// slots or by the target's rate limit, or a load report is awaited.
    pub(super) fn target_speed(
        &mut self,
        now: Duration,
        out: &mut Vec<Output>,
    ) -> Option<speed::Speed> {
        let slots = self.slots(now);
        queue::next_to_start(&self.waiting, slots, now, |_| true)?;
        if !self.rate_wait(now, 0).is_zero() {
            return None;
        }
        let (speed, request_load) = self.speed_tracker.speed(now);
        if request_load {
            out.push(Output::RequestLoad);
        }
        speed
    }

    /// While the target is slow, refuses calls that are to go to another gate instead of
    /// waiting, and those that cannot wait any longer for the target to recover.
    pub(super) fn refuse_slow(
        &mut self,
        now: Duration,
        speed: speed::Speed,
        out: &mut Vec<Output>,
    ) {
        if !speed.is_slow() {
            return;
        }
        let is_refused = |w: &queue::WaitingCall| match w.when_slow {
            WhenSlow::Refuse => true,
            WhenSlow::Wait => {
                let may_start = speed.allows_start(w.mean) && is_in_time(now, w, speed);
                !may_start && (speed.is_persistent || now >= w.recovery_wait_until)
            }
            WhenSlow::Start => false,
        };
        let (refused, remaining) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(is_refused);
        self.waiting = remaining;
        let refused: Vec<queue::WaitingCall> = refused;
        for w in refused {
            self.refuse(w.id, Refusal::TargetSlow, None, out);
        }
    }

    pub(super) fn start_calls(
        &mut self,
        now: Duration,
        speed: speed::Speed,
        out: &mut Vec<Output>,
    ) {
        while self.rate_wait(now, 0).is_zero()
            && let Some(index) = self.next_to_start(now, speed)
        {
            self.record_paced_start(now);
            let w = self.waiting.remove(index);
            self.fairness
                .record_start(now, w.rank, &w.organisation, w.mean);
            if self.shed() == Shed::All {
                self.rank_load.record_start(now, w.rank, w.mean);
            }
            if now >= w.delayed_from {
                self.record_delay(now, &w.route, w.rank);
            }
            self.records.set(w.id, State::Running, None);
            out.push(Output::Start {
                id: w.id,
                deadline: w.deadline,
            });
            let running = Running {
                route: w.route,
                organisation: w.organisation,
                rank: w.rank,
                expected: w.mean,
                at_most_once: w.at_most_once,
                is_long: w.is_long,
                started: now,
                slowness: speed.slowness.max(1),
            };
            self.running.insert(w.id, running);
        }
    }

    /// Index of the waiting call that starts next, if one can start now.
    fn next_to_start(&mut self, now: Duration, speed: speed::Speed) -> Option<usize> {
        let slots = self.slots(now);
        queue::next_to_start(&self.waiting, slots, now, |_| true)?;
        self.fairness.assign_turns(now, &mut self.waiting);
        // A call that starts slowly holds its slot for the whole time, also after the target has
        // recovered.
        let starts_late =
            |w: &queue::WaitingCall| w.when_slow == WhenSlow::Start && speed.is_persistent;
        let may_start = |w: &queue::WaitingCall| speed.allows_start(w.mean) || starts_late(w);
        let in_time = |w: &queue::WaitingCall| is_in_time(now, w, speed) && may_start(w);
        // A call that comes late at this speed starts only if no other does.
        queue::next_to_start(&self.waiting, slots, now, in_time)
            .or_else(|| queue::next_to_start(&self.waiting, slots, now, starts_late))
    }
}

/// Whether the answer of a call that starts now is expected in time, where that matters.
fn is_in_time(now: Duration, w: &queue::WaitingCall, speed: speed::Speed) -> bool {
    w.late_from
        .is_none_or(|late_from| now + speed.scale(w.mean) <= late_from)
}
