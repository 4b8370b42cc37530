//! Decides which calls are delayed or refused while there is too little room.
//!
//! Every function is pure; gates and entries use them wherever a call can wait.

pub mod fairness;
pub mod plan;
pub mod rank_load;
pub mod recent;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::call::Offer;
use crate::service_times::Work;

/// Maximum wait of a call that would miss its latency objective even if it started at
/// once, with [`Shed::Lowest`]. It is then refused, so that its caller can retry instead of
/// being held.
const OVERDUE_WAIT_MAX: Duration = Duration::from_millis(150);
/// The same with [`Shed::All`], where such a call needs a free slot: longer than a gate waits
/// for a load report of its target.
const OVERDUE_START_MAX: Duration = Duration::from_millis(50);
/// Time for the way of an offer and of its answer, both of up to 3.4 ms between failure
/// domains. Gates do not see it.
const TRANSIT: Duration = Duration::from_millis(8);
/// Share of the objective that a call is assumed to take whose service time is not known yet.
const UNKNOWN_WORK_DIVISOR: u32 = 4;

/// Which calls are refused when they cannot meet their latency objective.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Shed {
    /// Calls of the table's lowest priority.
    #[default]
    Lowest,
    /// Calls of every priority, except those that other services make.
    All,
}

/// How long a call may wait at a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound {
    /// Time after which it is refused unless it has started.
    pub max_wait: Duration,
    /// Among calls that are equal otherwise, the one with the least slack starts first.
    pub slack: Duration,
    /// Whether its answer misses the latency objective however soon it starts.
    pub misses_objective: bool,
    /// Time until which its answer is in time; `None` if it is not refused for its objective.
    pub in_time_for: Option<Duration>,
    /// Time for which it waits for a slow target to recover, as long as another gate could
    /// still answer it within its latency objective.
    pub max_recovery_wait: Duration,
}

/// The bound on the wait of an offered call.
#[must_use]
pub fn bound(shed: Shed, offer: &Offer, work: Work) -> Bound {
    match shed {
        Shed::Lowest => bound_lowest(offer, work.mean),
        Shed::All => bound_all(offer, work),
    }
}

fn bound_lowest(offer: &Offer, mean: Duration) -> Bound {
    let until_deadline = offer.remaining.saturating_sub(mean);
    let until_objective = offer.objective.saturating_sub(mean).min(until_deadline);
    let misses_objective = offer.sheddable && until_objective.is_zero();
    let max_wait = match offer.sheddable {
        false => until_deadline,
        true if misses_objective => until_deadline.min(OVERDUE_WAIT_MAX),
        true => until_objective,
    };
    let recovery = offer.objective.saturating_sub(mean * 3 / 2);
    Bound {
        max_wait,
        slack: max_wait,
        misses_objective,
        in_time_for: None,
        max_recovery_wait: if recovery.is_zero() {
            OVERDUE_WAIT_MAX.min(until_deadline)
        } else {
            recovery
        },
    }
}

/// A call of a caller starts only if its answer is likely to be in time. The mean alone would
/// let about half of the calls that start last come late, and under overload most calls start
/// last.
fn bound_all(offer: &Offer, work: Work) -> Bound {
    let objective = offer.objective.saturating_sub(TRANSIT);
    let work = if work.mean.is_zero() {
        Work::constant(objective / UNKNOWN_WORK_DIVISOR)
    } else {
        work
    };
    let until_deadline = offer.remaining.saturating_sub(work.mean);
    let slack = objective.saturating_sub(work.mean).min(until_deadline);
    let misses_objective = offer.sheddable && slack.is_zero();
    let likely_in_time = objective.saturating_sub(work.likely_max);
    let max_wait = match offer.sheddable {
        false => until_deadline,
        true if misses_objective => until_deadline.min(OVERDUE_START_MAX),
        // Where service times vary so much that none is likely to be in time, half of the slack
        // is left to them.
        true => slack.min(likely_in_time.max(slack / 2)),
    };
    let recovery = objective.saturating_sub(work.likely_max.max(work.mean * 3 / 2));
    Bound {
        max_wait,
        slack,
        misses_objective,
        in_time_for: (offer.sheddable && !misses_objective).then_some(objective),
        max_recovery_wait: if offer.sheddable {
            recovery.min(max_wait)
        } else {
            recovery.max(OVERDUE_WAIT_MAX.min(until_deadline))
        },
    }
}
