//! Sums that forget: what was added counts half after each half-life.

use std::time::Duration;

/// Sum of recent values, in units of the user.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Recent {
    sum: u64,
    /// Time of the latest change.
    at: Duration,
}

impl Recent {
    /// The sum as it counts now. Within a half-life it falls in a straight line, which is at
    /// most 7 % above the exponential.
    #[must_use]
    pub fn sum(&self, now: Duration, half_life: Duration) -> u64 {
        let age = micros(now.saturating_sub(self.at));
        let half_life = micros(half_life).max(1);
        let halvings = u32::try_from(age / half_life).unwrap_or(u32::MAX);
        let sum = self.sum.checked_shr(halvings).unwrap_or_default();
        // Sums stay below 2^40 and half-lives below 2^22, so that the product fits.
        sum - sum.saturating_mul(age % half_life) / (2 * half_life)
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

/// A time in microseconds.
#[must_use]
pub fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
