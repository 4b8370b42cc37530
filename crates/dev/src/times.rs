//! Histogram of times.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Longer times count as this one.
const MAX: Duration = Duration::from_hours(1);
const SIGNIFICANT_DIGITS: u8 = 3;

/// Times in microseconds.
pub struct Times(Histogram<u64>);

impl Default for Times {
    fn default() -> Self {
        let max = micros(MAX);
        let histogram = Histogram::new_with_bounds(1, max, SIGNIFICANT_DIGITS);
        Self(histogram.expect("bounds must be valid"))
    }
}

impl Times {
    /// Takes in a time.
    pub fn record(&mut self, time: Duration) {
        self.0.saturating_record(micros(time).max(1));
    }

    /// Microseconds at a quantile from 0 to 1.
    #[must_use]
    pub fn at(&self, quantile: f64) -> u64 {
        self.0.value_at_quantile(quantile)
    }

    /// The longest time, microseconds.
    #[must_use]
    pub fn max(&self) -> u64 {
        self.0.max()
    }

    /// Number of times.
    #[must_use]
    pub fn len(&self) -> u64 {
        self.0.len()
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
