//! Whether a gate accepts calls at present, and what it tells entries about its load.

use std::time::Duration;

use super::{Gate, OUTCOME_WINDOW, saturating_u32};
use crate::call::Refusal;
use crate::hint;
use crate::id;

impl Gate {
    /// Why the gate accepts no calls at present, if so.
    pub(super) fn current_refusal(&self, now: Duration) -> Option<Refusal> {
        let refusal = self.target_refusal(now);
        refusal.or_else(|| self.evacuated.then_some(Refusal::Evacuated))
    }

    /// Why the daemon or the target accepts no calls at present, if so, whether or not the failure
    /// domain is evacuated.
    fn target_refusal(&self, now: Duration) -> Option<Refusal> {
        if !self.departures_loaded {
            return Some(Refusal::NotReady);
        }
        let Some(target) = self.targets.current() else {
            return Some(Refusal::NoTarget);
        };
        if self.draining || target.announcement.draining {
            return Some(Refusal::Draining);
        }
        (now > target.last_announced_at + self.announcement_ttl).then_some(Refusal::NoTarget)
    }

    /// Service of the target, or `None` if the target takes no calls at present: it has not
    /// announced itself recently or is leaving, or the daemon is not ready. An evacuation makes no
    /// difference: daemons learn of it without the writes to the platform that all hosts of a
    /// failure domain would have to make.
    #[must_use]
    pub fn active_service(&self, now: Duration) -> Option<&id::ServiceName> {
        self.target_refusal(now)
            .is_none()
            .then_some(())
            .and(self.targets.current())
            .map(|target| &target.announcement.service)
    }

    /// Whether the failure domain of the gate is evacuated.
    #[must_use]
    pub fn is_evacuated(&self) -> bool {
        self.evacuated
    }

    /// Whether it is too early to tell if the gate will accept calls: earlier departures
    /// are not known yet, or the target may still announce itself for the first time.
    /// `now` counts from the daemon's start.
    #[must_use]
    pub fn is_starting(&self, now: Duration) -> bool {
        let awaits_target = self.targets.current().is_none() && now <= self.announcement_ttl;
        !self.departures_loaded || awaits_target
    }

    /// Whether the departures before this daemon's start are known; until then no call starts.
    #[must_use]
    pub fn knows_departures(&self) -> bool {
        self.departures_loaded
    }

    /// Load of the gate for entries.
    #[must_use]
    pub fn hint(&self, now: Duration) -> hint::Hint {
        let failed = self.outcomes.iter().filter(|failed| **failed).count();
        hint::Hint {
            running: saturating_u32(self.running.len()),
            waiting: saturating_u32(self.waiting.len()),
            slots: self.open_slots(now),
            mean_service_time: self.service_times.overall_mean(),
            slowness: self.speed_tracker.slowness(now),
            rate_wait: self.rate_wait(now, saturating_u32(self.waiting.len())),
            rate_interval: self.rate_interval(now),
            failing: saturating_u32(failed) * 2 > OUTCOME_WINDOW,
            leaving: self.current_refusal(now) == Some(Refusal::Draining),
            closed: self.current_refusal(now).is_some() || self.document.is_none(),
        }
    }
}
