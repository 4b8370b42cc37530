//! Rates of calls, and the spacing of calls by them.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Calls per thousand seconds in one call per second.
const SCALE: f64 = 1000.0;
/// Longest time between two calls: without any call it would not be noticed that a target
/// takes more again.
const INTERVAL_MAX: Duration = Duration::from_secs(5);
/// Calls that were not made for this long may be made at once.
const BURST: Duration = Duration::from_millis(500);

/// A number of calls per second that a target takes at most.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct RateLimit {
    calls_per_1000_s: u32,
}

impl RateLimit {
    /// A limit in calls per second; `None` unless it is a number of at least 0. Larger
    /// numbers than about four million count as that many.
    #[must_use]
    pub fn per_second(calls: f64) -> Option<Self> {
        let is_valid = calls.is_finite() && calls >= 0.0;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the cast saturates"
        )]
        is_valid.then_some(Self {
            calls_per_1000_s: (calls * SCALE) as u32,
        })
    }

    /// Calls per thousand seconds.
    #[must_use]
    pub fn per_1000_s(self) -> u32 {
        self.calls_per_1000_s
    }

    /// Time between two calls at this rate.
    #[must_use]
    pub fn interval(self) -> Duration {
        let period = Duration::from_secs(1000);
        let interval = period.checked_div(self.calls_per_1000_s);
        interval.unwrap_or(INTERVAL_MAX).min(INTERVAL_MAX)
    }

    /// By how much a call may be ahead of an even spacing.
    fn tolerance(self) -> Duration {
        BURST.saturating_sub(self.interval())
    }
}

/// Spaces calls by a rate limit: the generic cell rate algorithm.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Pacer {
    /// When the next call is due at an even spacing.
    next_due: Duration,
}

impl Pacer {
    /// A pacer that allows one call now and no burst.
    #[must_use]
    pub fn new(now: Duration, limit: RateLimit) -> Self {
        Self {
            next_due: now + limit.tolerance(),
        }
    }

    /// Time until a call may be made after `ahead` others.
    #[must_use]
    pub fn wait(self, now: Duration, limit: RateLimit, ahead: u32) -> Duration {
        let due = self.next_due.max(now) + limit.interval().saturating_mul(ahead);
        due.saturating_sub(now + limit.tolerance())
    }

    /// Records that a call is made.
    pub fn record(&mut self, now: Duration, limit: RateLimit) {
        self.next_due = self.next_due.max(now) + limit.interval();
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}", f64::from(self.calls_per_1000_s) / SCALE)
    }
}
