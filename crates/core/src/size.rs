//! Service times by route, and the size class that follows from them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id;
use crate::service;

/// A new sample's weight is one in this many.
const WEIGHT: u32 = 8;
/// A route is long when its mean exceeds the shortest mean by this factor.
const LONG_FACTOR: u32 = 4;

/// Running means of service times.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Times {
    by_route: BTreeMap<id::RouteName, Duration>,
    overall: Duration,
}

impl Times {
    /// Takes in one service time.
    pub fn record(&mut self, route: &id::RouteName, sample: Duration) {
        let mean = self.by_route.entry(route.clone()).or_insert(sample);
        *mean = blend(*mean, sample);
        self.overall = if self.overall.is_zero() {
            sample
        } else {
            blend(self.overall, sample)
        };
    }

    /// Mean of a route; the mean of all where the route is new.
    #[must_use]
    pub fn mean(&self, route: &id::RouteName) -> Duration {
        self.by_route.get(route).copied().unwrap_or(self.overall)
    }

    /// Mean over all routes; zero before the first sample.
    #[must_use]
    pub fn overall(&self) -> Duration {
        self.overall
    }

    /// Whether work of a route is long.
    #[must_use]
    pub fn is_long(&self, route: &id::RouteName, stated: service::Size) -> bool {
        match stated {
            service::Size::Short => false,
            service::Size::Long => true,
            service::Size::Learned => self.learned_long(route),
        }
    }

    fn learned_long(&self, route: &id::RouteName) -> bool {
        let Some(mean) = self.by_route.get(route) else {
            return false;
        };
        let shortest = self.by_route.values().min().copied().unwrap_or_default();
        *mean > shortest * LONG_FACTOR
    }
}

fn blend(mean: Duration, sample: Duration) -> Duration {
    (mean * (WEIGHT - 1) + sample) / WEIGHT
}
