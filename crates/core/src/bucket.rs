//! Token bucket that starts empty and counts in whole units of time.

use std::time::Duration;

const MICROS_PER_MINUTE: u64 = 60_000_000;

/// A rate that several holders share evenly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Rate {
    /// Tokens per minute for all holders together.
    pub per_minute: u32,
    /// Number of holders.
    pub shared_by: u32,
}

/// One holder's token bucket. It holds one token at most; a token is
/// `MICROS_PER_MINUTE * shared_by` units, so that a refill is exact.
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

    /// Takes one token if the rate allows it.
    pub fn take(&mut self, rate: Rate, now: Duration) -> bool {
        let token = MICROS_PER_MINUTE.saturating_mul(rate.shared_by.max(1).into());
        self.fill(rate, token, now);
        if self.units < token {
            return false;
        }
        self.units -= token;
        true
    }

    fn fill(&mut self, rate: Rate, token: u64, now: Duration) {
        let elapsed = now.saturating_sub(self.filled_at);
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        let added = micros.saturating_mul(rate.per_minute.into());
        self.units = self.units.saturating_add(added).min(token);
        self.filled_at = now.max(self.filled_at);
    }
}

/// One daemon's allowance for second attempts: a share of its own traffic, and
/// an even share of what the whole fleet may spend beyond that.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RetryBudget {
    hundredths: u32,
    max: u32,
}

const RETRY_COST: u32 = 100;

impl RetryBudget {
    /// A full budget; `slack` attempts are shared by `members` daemons.
    #[must_use]
    pub fn new(slack: u32, members: u32) -> Self {
        let max = slack / members.max(1) * RETRY_COST;
        let max = max.max(RETRY_COST);
        Self {
            hundredths: max,
            max,
        }
    }

    /// Follows a change of the fleet's size or of the slack.
    pub fn resize(&mut self, slack: u32, members: u32) {
        self.max = Self::new(slack, members).max;
        self.hundredths = self.hundredths.min(self.max);
    }

    /// Adds a first attempt's share.
    pub fn deposit(&mut self, percent: u32) {
        self.hundredths = self.hundredths.saturating_add(percent).min(self.max);
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
