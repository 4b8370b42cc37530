//! Rates of calls in integer arithmetic.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Calls per thousand seconds in one call per second.
const SCALE: f64 = 1000.0;

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

    /// Time between two calls at this rate; [`Duration::MAX`] for a rate of 0.
    #[must_use]
    pub fn interval(self) -> Duration {
        let period = Duration::from_secs(1000);
        period
            .checked_div(self.calls_per_1000_s)
            .unwrap_or(Duration::MAX)
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}", f64::from(self.calls_per_1000_s) / SCALE)
    }
}
