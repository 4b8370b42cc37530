//! Histogram of latencies.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Longer durations are recorded as this one.
const MAX: Duration = Duration::from_hours(1);
const SIGNIFICANT_DIGITS: u8 = 3;

/// Latencies with microsecond resolution.
pub struct LatencyHistogram(Histogram<u64>);

impl Default for LatencyHistogram {
    fn default() -> Self {
        let max = micros(MAX);
        let histogram = Histogram::new_with_bounds(1, max, SIGNIFICANT_DIGITS);
        Self(histogram.expect("bounds must be valid"))
    }
}

impl LatencyHistogram {
    /// Records a duration; zero counts as 1 us.
    pub fn record(&mut self, duration: Duration) {
        self.0.saturating_record(micros(duration).max(1));
    }

    /// Latency at a quantile from 0 to 1, microseconds.
    #[must_use]
    pub fn quantile_us(&self, quantile: f64) -> u64 {
        self.0.value_at_quantile(quantile)
    }

    /// Largest recorded latency, microseconds.
    #[must_use]
    pub fn max_us(&self) -> u64 {
        self.0.max()
    }

    /// Number of recorded latencies.
    #[must_use]
    pub fn len(&self) -> u64 {
        self.0.len()
    }

    /// Whether nothing was recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
