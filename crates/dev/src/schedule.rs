//! Arrivals and service times of a load, generated before it starts, so that the
//! simulated baselines use the same ones.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Class of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Short call from the public.
    Short,
    /// Long call from the public.
    Long,
    /// Short call from another service.
    Internal,
}

/// One call of a load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// When to send it, since the start of the load.
    pub at: Duration,
    /// Service time at the target.
    pub service_time: Duration,
    /// Class of the call.
    pub class: Class,
}

/// Parameters of a generated load.
#[derive(Clone, Copy, Debug)]
pub struct LoadProfile {
    /// Mean offered load as a fraction of the capacity of all slots.
    pub offered_load: f64,
    /// Total slots of all targets.
    pub slots: u32,
    /// Duration of the load.
    pub duration: Duration,
    /// Random seed.
    pub seed: u64,
}

const SHORT_MEAN_SERVICE_TIME: Duration = Duration::from_millis(20);
const LONG_FACTOR: u32 = 10;
const LONG_PERCENT: u32 = 4;
const INTERNAL_PERCENT: u32 = 10;
const STRAGGLER_PERCENT: u32 = 2;
const STRAGGLER_FACTOR: u32 = 20;
/// Demand alternates between 1.25 and 0.75 of its mean, one [`DEMAND_PHASE`] each.
const DEMAND_AMPLITUDE: f64 = 0.25;
const DEMAND_PHASE: Duration = Duration::from_millis(500);

/// Mean service time over all classes, seconds.
#[must_use]
pub fn mean_service_time() -> f64 {
    let fraction = |percent: u32| f64::from(percent) / 100.0;
    let class_factor = 1.0 + fraction(LONG_PERCENT) * f64::from(LONG_FACTOR - 1);
    let straggler_factor = 1.0 + fraction(STRAGGLER_PERCENT) * f64::from(STRAGGLER_FACTOR - 1);
    SHORT_MEAN_SERVICE_TIME.as_secs_f64() * class_factor * straggler_factor
}

/// Calls per second that all slots can serve.
#[must_use]
pub fn capacity(slots: u32) -> f64 {
    f64::from(slots) / mean_service_time()
}

/// Generates all arrivals of a load.
#[must_use]
pub fn generate(profile: LoadProfile) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(profile.seed);
    let mean_rate = capacity(profile.slots) * profile.offered_load;
    let mut at = Duration::ZERO;
    let mut arrivals = Vec::new();
    while at < profile.duration {
        let rate = mean_rate * demand_factor(at);
        at += Duration::from_secs_f64(sample_exponential(&mut rng) / rate);
        let class = sample_class(&mut rng);
        let service_time = sample_service_time(&mut rng, class);
        arrivals.push(Arrival {
            at,
            service_time,
            class,
        });
    }
    arrivals
}

fn demand_factor(at: Duration) -> f64 {
    let phase = at.as_millis() / DEMAND_PHASE.as_millis();
    if phase.is_multiple_of(2) {
        1.0 + DEMAND_AMPLITUDE
    } else {
        1.0 - DEMAND_AMPLITUDE
    }
}

fn sample_class(rng: &mut SmallRng) -> Class {
    match rng.random_range(0..100) {
        draw if draw < LONG_PERCENT => Class::Long,
        draw if draw < LONG_PERCENT + INTERNAL_PERCENT => Class::Internal,
        _ => Class::Short,
    }
}

fn sample_service_time(rng: &mut SmallRng, class: Class) -> Duration {
    let mean = if class == Class::Long {
        SHORT_MEAN_SERVICE_TIME * LONG_FACTOR
    } else {
        SHORT_MEAN_SERVICE_TIME
    };
    let service_time = mean.mul_f64(sample_exponential(rng));
    if rng.random_range(0..100) < STRAGGLER_PERCENT {
        service_time * STRAGGLER_FACTOR
    } else {
        service_time
    }
}

fn sample_exponential(rng: &mut SmallRng) -> f64 {
    let uniform: f64 = rng.random();
    -(1.0 - uniform).ln()
}
