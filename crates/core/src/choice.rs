//! Choice of a gate for a call: the one that is expected to answer first among
//! the gates of the own failure domain and two random draws.

use std::time::Duration;

use crate::hint;

/// A reported load counts for this long; after that only own calls count.
const HINT_TTL: Duration = Duration::from_secs(1);
/// A target's momentary speed is believed for this long; it changes within
/// fractions of a second.
const SLOWNESS_TTL: Duration = Duration::from_millis(150);
/// A gate that takes no work at the moment is offered some again after this long.
const CLOSED_TTL: Duration = Duration::from_millis(300);
/// Hundredths of the usual service time.
const USUAL: u32 = 100;
/// Service time that a gate is credited with until it has reported one: short, so
/// that new gates get work.
const MEAN_UNKNOWN: Duration = Duration::from_millis(5);
/// What another failure domain must be faster by: a round trip and its traffic.
const FAR_COST: Duration = Duration::from_millis(400);
/// What a gate is avoided by whose target fails most calls; it may fail them fast.
const FAILING_COST: Duration = Duration::from_secs(1);

/// What an entry knows of a gate's load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Load {
    /// The latest report, with the time it came.
    pub report: Option<(hint::Hint, Duration)>,
    /// Calls that this entry has at the gate.
    pub outstanding: u32,
    /// Calls offered since the latest report.
    pub offered_since: u32,
}

/// A gate to choose from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Choice {
    /// Its load.
    pub load: Load,
    /// Whether it stands in the entry's failure domain.
    pub is_near: bool,
}

impl Load {
    /// The load as text for logs: host, own calls, reported calls over slots, mean
    /// service time and age of the report.
    #[must_use]
    pub fn describe(&self, host: &str, now: Duration) -> String {
        let own = self.outstanding;
        match self.report {
            None => format!("{host}:own={own}"),
            Some((hint, at)) => format!(
                "{host}:own={own},running={},waiting={},slots={},mean_ms={},slow={},age_ms={}",
                hint.running,
                hint.waiting,
                hint.slots,
                hint.mean.as_millis(),
                hint.slowness,
                now.saturating_sub(at).as_millis()
            ),
        }
    }

    /// Whether the gate said lately that it takes no work at the moment.
    #[must_use]
    pub fn is_closed(&self, now: Duration) -> bool {
        self.report
            .is_some_and(|(hint, at)| hint.closed && now.saturating_sub(at) <= CLOSED_TTL)
    }

    /// Time until a call that comes now is expected to start.
    #[must_use]
    pub fn wait(&self, now: Duration) -> Duration {
        let Some((hint, at)) = self.report else {
            return Duration::ZERO;
        };
        let fresh = now.saturating_sub(at) <= HINT_TTL;
        let reported = if fresh {
            hint.running + hint.waiting
        } else {
            0
        };
        let ahead = self.outstanding.max(reported + self.offered_since);
        let slots = hint.slots.max(1);
        hint.mean * (ahead + 1).saturating_sub(slots) / slots
    }

    /// Time that a call is expected to take at the gate.
    #[must_use]
    pub fn expected(&self, now: Duration) -> Duration {
        let Some((hint, at)) = self.report else {
            return MEAN_UNKNOWN * (self.outstanding + 1);
        };
        let age = now.saturating_sub(at);
        let fresh = age <= HINT_TTL;
        let mean = if hint.mean.is_zero() {
            MEAN_UNKNOWN
        } else {
            hint.mean
        };
        let reported = if fresh {
            hint.running + hint.waiting
        } else {
            0
        };
        let ahead = self.outstanding.max(reported + self.offered_since);
        let slots = hint.slots.max(1);
        let slow = age <= SLOWNESS_TTL && hint.slowness > USUAL;
        let service = if slow {
            mean * hint.slowness / USUAL
        } else {
            mean
        };
        // Work slows down as the slots fill, so a half-filled gate is not free.
        let crowding = mean * ahead.min(slots) / (2 * slots);
        let wait = mean * (ahead + 1).saturating_sub(slots) / slots;
        let failing = if fresh && hint.failing {
            FAILING_COST
        } else {
            Duration::ZERO
        };
        service + crowding + wait + failing
    }
}

impl Choice {
    fn cost(&self, now: Duration) -> Duration {
        let distance = if self.is_near {
            Duration::ZERO
        } else {
            FAR_COST
        };
        self.load.expected(now) + distance
    }
}

/// Picks a position among `options`; two of the draws come from `draw`.
#[must_use]
pub fn pick(options: &[Choice], draw: u64, now: Duration) -> Option<usize> {
    let n = u64::try_from(options.len()).ok().filter(|n| *n > 0)?;
    let first = draw % n;
    let others = n.saturating_sub(1).max(1);
    let second = (first + 1 + (draw >> 32) % others) % n;
    let near = (0..options.len()).filter(|at| options[*at].is_near);
    [first, second]
        .into_iter()
        .filter_map(|at| usize::try_from(at).ok())
        .chain(near)
        .min_by_key(|at| options[*at].cost(now))
}
