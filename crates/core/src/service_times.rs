//! Mean service times by route, and which routes count as long.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id;
use crate::service;

/// A new sample has a weight of one in this many.
const SAMPLE_WEIGHT_DIVISOR: u32 = 8;
/// A route is long if its mean exceeds that of the shortest route by this factor.
const LONG_FACTOR: u32 = 4;

/// Weight of the mean deviation in the longest likely time: for exponential times, about one
/// in twelve takes longer.
const DEVIATIONS: u32 = 2;
/// Deviation that is assumed after the first sample, as a share of it.
const FIRST_DEVIATION_DIVISOR: u32 = 4;

/// Expected work of a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Work {
    /// Mean service time; zero if it is not known.
    pub mean: Duration,
    /// Time that few calls exceed.
    pub likely_max: Duration,
}

impl Work {
    /// Work that always takes the same time.
    #[must_use]
    pub fn constant(time: Duration) -> Self {
        Self {
            mean: time,
            likely_max: time,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct RouteTimes {
    mean: Duration,
    /// Mean of the absolute differences from the mean.
    deviation: Duration,
}

/// Moving averages of service times.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ServiceTimes {
    by_route: BTreeMap<id::RouteName, RouteTimes>,
    overall_mean: Duration,
}

impl ServiceTimes {
    /// Adds one service time to the means.
    pub fn record(&mut self, route: &id::RouteName, sample: Duration) {
        let first = RouteTimes {
            mean: sample,
            deviation: sample / FIRST_DEVIATION_DIVISOR,
        };
        let times = self.by_route.entry(route.clone()).or_insert(first);
        times.deviation = update_mean(times.deviation, sample.abs_diff(times.mean));
        times.mean = update_mean(times.mean, sample);
        self.overall_mean = if self.overall_mean.is_zero() {
            sample
        } else {
            update_mean(self.overall_mean, sample)
        };
    }

    /// Mean of a route, or the overall mean if the route has no samples yet.
    #[must_use]
    pub fn mean(&self, route: &id::RouteName) -> Duration {
        self.by_route
            .get(route)
            .map_or(self.overall_mean, |times| times.mean)
    }

    /// Expected work of a call of a route; that of all routes if it has no samples yet.
    #[must_use]
    pub fn work(&self, route: &id::RouteName) -> Work {
        match self.by_route.get(route) {
            None => Work::constant(self.overall_mean),
            Some(times) => Work {
                mean: times.mean,
                likely_max: times.mean + times.deviation * DEVIATIONS,
            },
        }
    }

    /// Mean over all routes; zero before the first sample.
    #[must_use]
    pub fn overall_mean(&self) -> Duration {
        self.overall_mean
    }

    /// Whether the work of a route is long, as configured or as learned.
    #[must_use]
    pub fn is_long(&self, route: &id::RouteName, configured: service::Size) -> bool {
        match configured {
            service::Size::Short => false,
            service::Size::Long => true,
            service::Size::Learned => self.is_long_by_mean(route),
        }
    }

    fn is_long_by_mean(&self, route: &id::RouteName) -> bool {
        let Some(times) = self.by_route.get(route) else {
            return false;
        };
        let means = self.by_route.values().map(|times| times.mean);
        let shortest = means.min().unwrap_or_default();
        times.mean > shortest * LONG_FACTOR
    }
}

fn update_mean(mean: Duration, sample: Duration) -> Duration {
    (mean * (SAMPLE_WEIGHT_DIVISOR - 1) + sample) / SAMPLE_WEIGHT_DIVISOR
}
