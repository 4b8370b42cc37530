//! When refused callers are told to return: one after the other, the more urgent first.

use std::collections::BTreeMap;
use std::time::Duration;

/// Rank of calls that miss their objective when they return: after all others.
const OVERDUE_RANK: u8 = u8::MAX;
/// Callers follow a delay of up to this part of the time that they have left.
const FOLLOWED_DIVISOR: u32 = 3;

/// A caller that is refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Refused {
    /// Rank of its call.
    pub rank: u8,
    /// Time left until the latency objective.
    pub objective: Duration,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Random number.
    pub draw: u64,
}

/// What a service takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Time until a call that comes now would start.
    pub wait: Duration,
    /// Time between two calls of this entry at its even share of what all targets take.
    pub spacing: Duration,
    /// Shortest delay that callers are told.
    pub min: Duration,
}

/// The times at which the callers of one service are to return.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Returns {
    /// The latest time of each rank.
    latest: BTreeMap<u8, Duration>,
}

impl Returns {
    /// Delay after which a refused caller is to return. Times are given out in turn: a caller
    /// comes after all those of its rank and of more urgent ranks that were told a time, and
    /// does not delay those that are more urgent. Beyond the longest useful delay callers are
    /// spread at random over its second half.
    #[must_use]
    pub fn next(&mut self, now: Duration, refused: Refused, pace: Pace) -> Duration {
        let earliest = pace.wait.max(pace.min);
        let followed = (refused.remaining / FOLLOWED_DIVISOR).max(pace.min);
        let meets_objective = refused.objective > earliest;
        let (rank, max) = if meets_objective {
            (refused.rank, followed.min(refused.objective))
        } else {
            (OVERDUE_RANK, followed)
        };
        let ahead = self.latest.range(..=rank).map(|(_, at)| *at).max();
        let in_turn = ahead.map_or(Duration::ZERO, |at| at + pace.spacing);
        let returns_at = in_turn.max(now + earliest);
        let delay = returns_at.saturating_sub(now);
        if delay <= max {
            self.latest.insert(rank, returns_at);
            return delay;
        }
        self.latest.insert(rank, now + max);
        let half = max / 2;
        let steps = u64::try_from(half.as_micros()).unwrap_or(u64::MAX);
        let step = refused.draw.checked_rem(steps).unwrap_or_default();
        (max.saturating_sub(half) + Duration::from_micros(step)).max(pace.min)
    }
}
