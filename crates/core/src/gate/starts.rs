//! What becomes of calls that wait: which start, and which are refused.

use std::time::Duration;

use super::{Gate, Output, Running, pace};
use crate::call::{Refusal, WhenSlow};
use crate::queue;
use crate::records::State;

impl Gate {
    pub(super) fn refuse_waiting(&mut self, now: Duration, out: &mut Vec<Output>) {
        let leaving = self.refusal_now(now);
        let (late, staying) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|w| leaving.is_some() || now >= w.start_by);
        self.waiting = staying;
        let late: Vec<queue::Waiting> = late;
        for w in late {
            if leaving.is_none() {
                self.held_up(now, &w.route, w.rank);
            }
            self.refuse(w.id, leaving.unwrap_or(Refusal::Late), None, out);
        }
    }

    /// The speed that a call would find that starts now; none while nothing can
    /// start, or while the target is asked for it.
    pub(super) fn speed(&mut self, now: Duration, out: &mut Vec<Output>) -> Option<pace::Speed> {
        let slots = self.slots(now);
        queue::next(&self.waiting, slots, now, |_| true)?;
        let (speed, ask) = self.pace.speed(now);
        if ask {
            out.push(Output::Ask);
        }
        speed
    }

    /// Refuses calls that would rather go to another gate than wait, or that have
    /// waited for the target to recover for as long as they can.
    pub(super) fn refuse_slowed(
        &mut self,
        now: Duration,
        speed: pace::Speed,
        out: &mut Vec<Output>,
    ) {
        if !speed.is_slow() {
            return;
        }
        let goes = |w: &queue::Waiting| match w.when_slow {
            WhenSlow::Refuse => true,
            WhenSlow::Wait => {
                !speed.is_fine_for(w.mean) && (speed.is_lasting || now >= w.hold_until)
            }
            WhenSlow::Start => false,
        };
        let (refused, staying) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(goes);
        self.waiting = staying;
        let refused: Vec<queue::Waiting> = refused;
        for w in refused {
            self.refuse(w.id, Refusal::TargetSlow, None, out);
        }
    }

    pub(super) fn start_waiting(
        &mut self,
        now: Duration,
        speed: pace::Speed,
        out: &mut Vec<Output>,
    ) {
        let may_start =
            |w: &queue::Waiting| w.when_slow == WhenSlow::Start || speed.is_fine_for(w.mean);
        while let Some(at) = queue::next(&self.waiting, self.slots(now), now, may_start) {
            let w = self.waiting.remove(at);
            if now >= w.held_up_at {
                self.held_up(now, &w.route, w.rank);
            }
            self.records.set(w.id, State::Running, None);
            out.push(Output::Start {
                id: w.id,
                deadline: w.deadline,
            });
            let running = Running {
                route: w.route,
                once: w.once,
                long: w.long,
                started: now,
                slowness: speed.slowness.max(1),
            };
            self.running.insert(w.id, running);
        }
    }
}
