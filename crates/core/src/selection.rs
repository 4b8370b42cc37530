//! Selection of a gate for a call: the one with the lowest expected latency among
//! the gates of the entry's failure domain and two gates chosen at random.

use std::time::Duration;

use crate::hint;

/// A reported load is used for this long; after that only the entry's own calls count.
const HINT_TTL: Duration = Duration::from_secs(1);
/// A reported slowness is used for this long; it changes within fractions of a second.
const SLOWNESS_TTL: Duration = Duration::from_millis(150);
/// A gate that reported to be closed is offered calls again after this long.
pub(crate) const CLOSED_TTL: Duration = Duration::from_millis(300);
/// Slowness of a target at its normal service time, percent.
const NORMAL_SLOWNESS: u32 = 100;
/// Service time assumed until a gate has reported one: short, so that new gates get
/// calls.
const DEFAULT_MEAN: Duration = Duration::from_millis(5);
/// Added to the expected latency of gates in other failure domains, for the round trip
/// and the traffic between failure domains.
const REMOTE_COST: Duration = Duration::from_millis(400);
/// Added to the expected latency of a gate whose target fails most calls; a target that
/// fails fast would otherwise look lightly loaded.
const FAILING_COST: Duration = Duration::from_secs(1);

/// What an entry knows about the load of a gate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Load {
    /// The latest report, with the time of its arrival.
    pub report: Option<(hint::Hint, Duration)>,
    /// Open calls of this entry at the gate.
    pub outstanding: u32,
    /// Calls offered since the latest report.
    pub offered_since: u32,
}

/// A gate that may be picked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Candidate {
    /// Load of the gate.
    pub load: Load,
    /// Whether the gate is in the entry's failure domain.
    pub is_local: bool,
}

impl Load {
    /// The load as text for logs: host, own calls, reported calls, slots, mean service
    /// time, slowness and age of the report.
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
                hint.mean_service_time.as_millis(),
                hint.slowness,
                now.saturating_sub(at).as_millis()
            ),
        }
    }

    /// Whether the gate has recently reported that it accepts no calls.
    #[must_use]
    pub fn is_closed(&self, now: Duration) -> bool {
        self.report
            .is_some_and(|(hint, at)| hint.closed && now.saturating_sub(at) <= CLOSED_TTL)
    }

    /// Expected time until the start of a call that is offered now.
    #[must_use]
    pub fn expected_wait(&self, now: Duration) -> Duration {
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
        let slot_wait = hint.mean_service_time * (ahead + 1).saturating_sub(slots) / slots;
        slot_wait.max(self.rate_wait(now))
    }

    /// The reported time between two calls at the target's rate limit, if it has one.
    #[must_use]
    pub fn rate_interval(&self, now: Duration) -> Option<Duration> {
        let (hint, at) = self.report?;
        let is_limited = now.saturating_sub(at) <= HINT_TTL && !hint.rate_interval.is_zero();
        is_limited.then_some(hint.rate_interval)
    }

    /// Expected time until the target's rate limit lets a call start that is offered now.
    fn rate_wait(&self, now: Duration) -> Duration {
        match (self.report, self.rate_interval(now)) {
            (Some((hint, at)), Some(interval)) => {
                let at_report = hint.rate_wait + interval.saturating_mul(self.offered_since);
                at_report.saturating_sub(now.saturating_sub(at))
            }
            _ => Duration::ZERO,
        }
    }

    /// Expected time until the answer of a call that is offered now.
    #[must_use]
    pub fn expected_latency(&self, now: Duration) -> Duration {
        let Some((hint, at)) = self.report else {
            return DEFAULT_MEAN * (self.outstanding + 1);
        };
        let age = now.saturating_sub(at);
        let fresh = age <= HINT_TTL;
        let mean = if hint.mean_service_time.is_zero() {
            DEFAULT_MEAN
        } else {
            hint.mean_service_time
        };
        let reported = if fresh {
            hint.running + hint.waiting
        } else {
            0
        };
        let ahead = self.outstanding.max(reported + self.offered_since);
        let slots = hint.slots.max(1);
        let slow = age <= SLOWNESS_TTL && hint.slowness > NORMAL_SLOWNESS;
        let service = if slow {
            mean * hint.slowness / NORMAL_SLOWNESS
        } else {
            mean
        };
        // Service times grow with the number of slots in use.
        let contention = mean * ahead.min(slots) / (2 * slots);
        let slot_wait = mean * (ahead + 1).saturating_sub(slots) / slots;
        let wait = slot_wait.max(self.rate_wait(now));
        let failing = if fresh && hint.failing {
            FAILING_COST
        } else {
            Duration::ZERO
        };
        service + contention + wait + failing
    }
}

impl Candidate {
    fn cost(&self, now: Duration) -> Duration {
        let remote = if self.is_local {
            Duration::ZERO
        } else {
            REMOTE_COST
        };
        self.load.expected_latency(now) + remote
    }
}

/// Picks an index into `candidates`; `draw` selects the two random candidates.
#[must_use]
pub fn pick(candidates: &[Candidate], draw: u64, now: Duration) -> Option<usize> {
    let n = u64::try_from(candidates.len()).ok().filter(|n| *n > 0)?;
    let first = draw % n;
    let others = n.saturating_sub(1).max(1);
    let second = (first + 1 + (draw >> 32) % others) % n;
    let local = (0..candidates.len()).filter(|at| candidates[*at].is_local);
    [first, second]
        .into_iter()
        .filter_map(|at| usize::try_from(at).ok())
        .chain(local)
        .min_by_key(|at| candidates[*at].cost(now))
}
