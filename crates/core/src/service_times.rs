//! Mean service times by route, and which routes count as long.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id;
use crate::service;

/// A new sample has a weight of one in this many.
const SAMPLE_WEIGHT_DIVISOR: u32 = 8;
/// A route is long if its mean exceeds that of the shortest route by this factor.
const LONG_FACTOR: u32 = 4;

/// Moving averages of service times.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ServiceTimes {
    by_route: BTreeMap<id::RouteName, Duration>,
    overall_mean: Duration,
}

impl ServiceTimes {
    /// Adds one service time to the means.
    pub fn record(&mut self, route: &id::RouteName, sample: Duration) {
        let mean = self.by_route.entry(route.clone()).or_insert(sample);
        *mean = update_mean(*mean, sample);
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
            .copied()
            .unwrap_or(self.overall_mean)
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
        let Some(mean) = self.by_route.get(route) else {
            return false;
        };
        let shortest = self.by_route.values().min().copied().unwrap_or_default();
        *mean > shortest * LONG_FACTOR
    }
}

fn update_mean(mean: Duration, sample: Duration) -> Duration {
    (mean * (SAMPLE_WEIGHT_DIVISOR - 1) + sample) / SAMPLE_WEIGHT_DIVISOR
}
