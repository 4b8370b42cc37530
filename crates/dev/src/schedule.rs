//! Arrivals and service times of a load, drawn before it begins, so that the
//! computed baselines see the same ones.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Classes of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Short work of the public.
    Short,
    /// Long work of the public.
    Long,
    /// Short work of other services.
    Internal,
}

/// One call of a load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// When it is due, from the begin.
    pub at: Duration,
    /// How long it runs.
    pub work: Duration,
    /// Its class.
    pub class: Class,
}

/// What a load is drawn from.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Mean load as a share of what all slots can serve.
    pub load: f64,
    /// Slots of all targets.
    pub slots: u32,
    /// Length.
    pub length: Duration,
    /// Seed.
    pub seed: u64,
}

const SHORT_MEAN: Duration = Duration::from_millis(20);
const LONG_FACTOR: u32 = 10;
const LONG_IN_HUNDRED: u32 = 4;
const INTERNAL_IN_HUNDRED: u32 = 10;
const STRAGGLERS_IN_HUNDRED: u32 = 2;
const STRAGGLER_FACTOR: u32 = 20;
/// Demand swings between 0.75 and 1.25 of its mean within each period.
const SWING: f64 = 0.25;
const SWING_PERIOD: Duration = Duration::from_millis(500);

/// Mean service time over all classes, seconds.
#[must_use]
pub fn mean_work() -> f64 {
    let share = |hundred: u32| f64::from(hundred) / 100.0;
    let classes = 1.0 + share(LONG_IN_HUNDRED) * f64::from(LONG_FACTOR - 1);
    let stragglers = 1.0 + share(STRAGGLERS_IN_HUNDRED) * f64::from(STRAGGLER_FACTOR - 1);
    SHORT_MEAN.as_secs_f64() * classes * stragglers
}

/// Calls per second that all slots can serve.
#[must_use]
pub fn capacity(slots: u32) -> f64 {
    f64::from(slots) / mean_work()
}

/// Draws all arrivals of a load.
#[must_use]
pub fn draw(shape: Shape) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(shape.seed);
    let mean_rate = capacity(shape.slots) * shape.load;
    let mut at = Duration::ZERO;
    let mut arrivals = Vec::new();
    while at < shape.length {
        let rate = mean_rate * swing(at);
        at += Duration::from_secs_f64(exponential(&mut rng) / rate);
        let class = class(&mut rng);
        let work = work(&mut rng, class);
        arrivals.push(Arrival { at, work, class });
    }
    arrivals
}

fn swing(at: Duration) -> f64 {
    let periods = at.as_millis() / SWING_PERIOD.as_millis();
    if periods.is_multiple_of(2) {
        1.0 + SWING
    } else {
        1.0 - SWING
    }
}

fn class(rng: &mut SmallRng) -> Class {
    match rng.random_range(0..100) {
        draw if draw < LONG_IN_HUNDRED => Class::Long,
        draw if draw < LONG_IN_HUNDRED + INTERNAL_IN_HUNDRED => Class::Internal,
        _ => Class::Short,
    }
}

fn work(rng: &mut SmallRng, class: Class) -> Duration {
    let mean = if class == Class::Long {
        SHORT_MEAN * LONG_FACTOR
    } else {
        SHORT_MEAN
    };
    let work = mean.mul_f64(exponential(rng));
    if rng.random_range(0..100) < STRAGGLERS_IN_HUNDRED {
        work * STRAGGLER_FACTOR
    } else {
        work
    }
}

fn exponential(rng: &mut SmallRng) -> f64 {
    let uniform: f64 = rng.random();
    -(1.0 - uniform).ln()
}
