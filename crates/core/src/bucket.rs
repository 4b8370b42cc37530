//! Token bucket and retry budget, both in integer arithmetic.

use std::time::Duration;

const MICROS_PER_MINUTE: u64 = 60_000_000;

/// A rate that is divided evenly among several holders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Rate {
    /// Tokens per minute for all holders together.
    pub per_minute: u32,
    /// Number of holders.
    pub shared_by: u32,
}

/// One holder's token bucket. It starts empty and its capacity is one token. A token is
/// `MICROS_PER_MINUTE * shared_by` units, so that refills have no rounding error.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Bucket {
    units: u64,
    refilled_at: Duration,
}

impl Bucket {
    /// An empty bucket.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            units: 0,
            refilled_at: now,
        }
    }

    /// Takes one token if one is available.
    pub fn take(&mut self, rate: Rate, now: Duration) -> bool {
        let token = MICROS_PER_MINUTE.saturating_mul(rate.shared_by.max(1).into());
        self.refill(rate, token, now);
        if self.units < token {
            return false;
        }
        self.units -= token;
        true
    }

    fn refill(&mut self, rate: Rate, token: u64, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at);
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        let added = micros.saturating_mul(rate.per_minute.into());
        self.units = self.units.saturating_add(added).min(token);
        self.refilled_at = now.max(self.refilled_at);
    }
}

/// One daemon's budget for retries: a percentage of its own calls, plus an even
/// share of the retries that the whole fleet may send beyond that.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RetryBudget {
    /// Retries available, in hundredths.
    hundredths: u32,
    max_hundredths: u32,
}

const RETRY_COST: u32 = 100;

impl RetryBudget {
    /// A full budget; `slack` retries are divided among `members` daemons.
    #[must_use]
    pub fn new(slack: u32, members: u32) -> Self {
        let max = slack / members.max(1) * RETRY_COST;
        let max = max.max(RETRY_COST);
        Self {
            hundredths: max,
            max_hundredths: max,
        }
    }

    /// Adapts the maximum to the fleet's size and the slack.
    pub fn resize(&mut self, slack: u32, members: u32) {
        self.max_hundredths = Self::new(slack, members).max_hundredths;
        self.hundredths = self.hundredths.min(self.max_hundredths);
    }

    /// Adds the share of a retry that a first attempt earns.
    pub fn credit(&mut self, percent: u32) {
        self.hundredths = self
            .hundredths
            .saturating_add(percent)
            .min(self.max_hundredths);
    }

    /// Takes one retry if the budget allows it.
    pub fn take(&mut self) -> bool {
        if self.hundredths < RETRY_COST {
            return false;
        }
        self.hundredths -= RETRY_COST;
        true
    }
}
