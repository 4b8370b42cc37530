//! Sums that forget: what was added counts half after each half-life.

use std::time::Duration;

/// Fixed-point one.
const ONE: u64 = 1 << 20;
/// Within a half-life, the part x of it takes `SLOPE * x - BEND * x^2` off the sum: exact at both
/// ends and in the slope at the beginning, which matters for sums that change often, and within
/// 1 % of the exponential between.
const SLOPE: u64 = 726_817;
const BEND: u64 = SLOPE - ONE / 2;
/// Sum to which one unit a microsecond adds up, in thousandths of the half-life: 1 / ln 2.
const STEADY_PERMILLE: u64 = 1443;

/// Sum of recent values, in units of the user.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Recent {
    sum: u64,
    /// Time of the latest change.
    at: Duration,
}

impl Recent {
    /// The sum as it counts now. Sums up to 2^43 are exact to rounding.
    #[must_use]
    pub fn sum(&self, now: Duration, half_life: Duration) -> u64 {
        let age = micros(now.saturating_sub(self.at));
        let half_life = micros(half_life).max(1);
        let halvings = u32::try_from(age / half_life).unwrap_or(u32::MAX);
        let sum = self.sum.checked_shr(halvings).unwrap_or_default();
        let part = age % half_life * ONE / half_life;
        let taken_off = (SLOPE - BEND * part / ONE) * part / ONE;
        sum - sum.saturating_mul(taken_off) / ONE
    }

    /// Adds a value.
    pub fn add(&mut self, now: Duration, half_life: Duration, value: u64) {
        self.sum = self.sum(now, half_life).saturating_add(value);
        self.at = now;
    }

    /// Takes back a value that was added.
    pub fn subtract(&mut self, now: Duration, half_life: Duration, value: u64) {
        self.sum = self.sum(now, half_life).saturating_sub(value);
        self.at = now;
    }
}

/// Sum to which values of one unit a microsecond add up.
#[must_use]
pub fn steady_sum(half_life: Duration) -> u64 {
    micros(half_life) * STEADY_PERMILLE / 1000
}

/// A time in microseconds.
#[must_use]
pub fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
