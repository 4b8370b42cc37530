//! Token bucket that starts empty and counts in whole units of time.

use std::time::Duration;

const MICROS_PER_MINUTE: u64 = 60_000_000;

/// Token bucket for a rate per minute. One token is `MICROS_PER_MINUTE` units,
/// so that a refill is exact in integers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Bucket {
    units: u64,
    filled_at: Duration,
}

impl Bucket {
    /// An empty bucket.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            units: 0,
            filled_at: now,
        }
    }

    /// Takes one token if the rate allows it; holds one token at most.
    pub fn take(&mut self, per_minute: u64, now: Duration) -> bool {
        self.fill(per_minute, now);
        if self.units < MICROS_PER_MINUTE {
            return false;
        }
        self.units -= MICROS_PER_MINUTE;
        true
    }

    fn fill(&mut self, per_minute: u64, now: Duration) {
        let elapsed = now.saturating_sub(self.filled_at);
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        let added = micros.saturating_mul(per_minute);
        self.units = self.units.saturating_add(added).min(MICROS_PER_MINUTE);
        self.filled_at = now.max(self.filled_at);
    }
}

/// Allowance for second attempts: a share of the traffic, with a floor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RetryBudget {
    hundredths: u32,
}

const RETRY_COST: u32 = 100;
const RETRY_START: u32 = 10 * RETRY_COST;
const RETRY_MAX: u32 = 100 * RETRY_COST;

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            hundredths: RETRY_START,
        }
    }
}

impl RetryBudget {
    /// Adds a first attempt's share.
    pub fn deposit(&mut self, percent: u32) {
        self.hundredths = self.hundredths.saturating_add(percent).min(RETRY_MAX);
    }

    /// Takes a second attempt if the share allows it.
    pub fn take(&mut self) -> bool {
        if self.hundredths < RETRY_COST {
            return false;
        }
        self.hundredths -= RETRY_COST;
        true
    }
}
