//! When refused callers may return.

use std::time::Duration;

use super::{Entry, RETRY_AFTER_MIN};
use crate::id;
use crate::selection;
use crate::shedding::returns::{Pace, Refused};

/// Longest retry delay, see [`RETRY_AFTER_MIN`].
const RETRY_AFTER_MAX: Duration = Duration::from_millis(500);
/// Longest retry delay while the rates of targets are limited; a limit may end at any time.
const LIMITED_RETRY_AFTER_MAX: Duration = Duration::from_secs(5);
/// Longest time between two returns; the rate of the targets is an estimate.
const RETURN_SPACING_MAX: Duration = Duration::from_secs(1);

impl Entry {
    /// Time after which a refused caller may retry: the expected wait at the least loaded
    /// gate of the service. If the rates of all its targets are limited, refused callers return
    /// one after the other at this entry's even share of them.
    #[must_use]
    pub fn retry_after(&mut self, now: Duration, service: &id::ServiceName) -> Duration {
        let gates = self.gates.iter();
        let loads: Vec<&selection::Load> = gates
            .filter(|(member, _)| member.service == *service && member.is_available())
            .map(|(_, load)| load)
            .collect();
        let expected_waits = loads.iter().map(|load| load.expected_wait(now));
        let shortest = expected_waits.min().unwrap_or(RETRY_AFTER_MAX);
        let intervals: Option<Vec<Duration>> =
            loads.iter().map(|load| load.rate_interval(now)).collect();
        let Some(intervals) = intervals.filter(|intervals| !intervals.is_empty()) else {
            return shortest.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
        };
        let rate: f64 = intervals.iter().map(|i| i.as_secs_f64().recip()).sum();
        let entries = f64::from(self.gates.len().max(1));
        let spacing = Duration::from_secs_f64(entries / rate).min(LIMITED_RETRY_AFTER_MAX);
        let earliest = now + shortest.max(RETRY_AFTER_MIN);
        let latest = self.latest_returns.entry(service.clone()).or_default();
        let returns_at = earliest.max(*latest + spacing);
        *latest = returns_at.min(now + LIMITED_RETRY_AFTER_MAX);
        latest.saturating_sub(now)
    }

    /// Time after which a refused caller may retry, with [`Shed::All`](crate::shedding::Shed):
    /// callers return one after the other at this entry's even share of what all targets of
    /// the service take, the more urgent ones first.
    #[must_use]
    pub fn retry_after_in_turn(
        &mut self,
        now: Duration,
        service: &id::ServiceName,
        refused: Refused,
    ) -> Duration {
        let gates = self.gates.iter();
        let loads: Vec<&selection::Load> = gates
            .filter(|(member, _)| member.service == *service && member.is_available())
            .map(|(_, load)| load)
            .collect();
        let expected_waits = loads.iter().map(|load| load.expected_wait(now));
        let wait = expected_waits.min().unwrap_or(RETRY_AFTER_MAX);
        let rate: f64 = loads.iter().filter_map(|load| load.rate(now)).sum();
        let entries = f64::from(self.gates.len().max(1));
        let spacing = if rate > 0.0 {
            Duration::from_secs_f64((entries / rate).min(RETURN_SPACING_MAX.as_secs_f64()))
        } else {
            RETRY_AFTER_MIN
        };
        let pace = Pace {
            wait,
            spacing,
            min: RETRY_AFTER_MIN,
        };
        let returns = self.returns.entry(service.clone()).or_default();
        returns.next(now, refused, pace)
    }
}
