//! Pacing of the calls to a target by the rate that it has named, and while it is cold.

use std::time::Duration;

use super::Gate;
use super::statement::{StatedRate, Statement, TargetNotice};
use super::target::TargetIncarnation;
use crate::rate::{Pacer, RateLimit};

/// What is known about the rate that a target takes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Pacing {
    target: TargetIncarnation,
    limit: Option<RateLimit>,
    /// When the target last named the limit.
    named_at: Duration,
    /// Whether the target itself has stated its rate to this gate.
    is_first_hand: bool,
    /// Whether the target names its limit in health answers too.
    in_health_answers: bool,
    pacer: Pacer,
}

impl Pacing {
    fn new(target: &TargetIncarnation) -> Self {
        Self {
            target: target.clone(),
            ..Self::default()
        }
    }

    fn set_limit(&mut self, now: Duration, limit: RateLimit) {
        if self.limit.is_none() {
            self.pacer = Pacer::new(now, limit);
        }
        self.limit = Some(limit);
        self.named_at = now;
    }

    /// An answer without a rate ends the limit, unless its request was sent before the limit
    /// was named last.
    fn apply(&mut self, now: Duration, statement: &Statement) {
        match statement.rate {
            StatedRate::Unreadable => {}
            StatedRate::Limit(limit) => {
                self.set_limit(now, limit);
                self.is_first_hand = true;
                self.in_health_answers |= statement.is_probe;
            }
            StatedRate::None => {
                let may_be_older = statement.asked_at <= self.named_at;
                let says_nothing = statement.is_probe && !self.in_health_answers;
                if !may_be_older && !says_nothing {
                    self.limit = None;
                    self.is_first_hand = true;
                }
            }
        }
    }
}

impl Gate {
    pub(super) fn apply_stated_rate(&mut self, now: Duration, statement: &Statement) {
        if self.target_incarnation() == Some(&statement.target) {
            self.pacing_of(&statement.target).apply(now, statement);
        }
    }

    /// Applies the limit that another host knows of, until the target itself has stated it.
    pub(super) fn apply_noticed_rate(&mut self, now: Duration, notice: &TargetNotice) {
        let Some(limit) = notice.rate_limit else {
            return;
        };
        if self.target_incarnation() != Some(&notice.target) {
            return;
        }
        let pacing = self.pacing_of(&notice.target);
        if !pacing.is_first_hand {
            pacing.set_limit(now, limit);
        }
    }

    fn pacing_of(&mut self, target: &TargetIncarnation) -> &mut Pacing {
        if self.pacing.target != *target {
            self.pacing = Pacing::new(target);
        }
        &mut self.pacing
    }

    /// Rate limit of the current target.
    #[must_use]
    pub fn rate_limit(&self) -> Option<RateLimit> {
        let is_current = self.target_incarnation() == Some(&self.pacing.target);
        self.pacing.limit.filter(|_| is_current)
    }

    /// Time until the rate limit, and the rate of a cold target, let a call start after `ahead`
    /// others.
    pub(super) fn rate_wait(&self, now: Duration, ahead: u32) -> Duration {
        let wait = |limit| self.pacing.pacer.wait(now, limit, ahead);
        let limit_wait = self.rate_limit().map_or(Duration::ZERO, wait);
        limit_wait.max(self.cold_wait(now, ahead))
    }

    /// Time between two calls at the lower of the rate limit and the rate of a cold target; zero
    /// if neither applies.
    pub(super) fn rate_interval(&self, now: Duration) -> Duration {
        let limit = self.rate_limit();
        let interval = limit.map_or(Duration::ZERO, RateLimit::interval);
        interval.max(self.cold_interval(now))
    }

    pub(super) fn record_paced_start(&mut self, now: Duration) {
        if let Some(limit) = self.rate_limit() {
            self.pacing.pacer.record(now, limit);
        }
        self.record_cold_start(now);
    }
}
