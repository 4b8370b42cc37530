//! Choice of a gate for a call: two random draws, the less loaded one wins.

use std::time::Duration;

use crate::hint;

/// A reported load counts for this long; after that only own calls count.
const HINT_TTL: Duration = Duration::from_secs(1);
const LOAD_SCALE: u64 = 1000;
const FAILING_LOAD: u64 = 4 * LOAD_SCALE;

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

impl Load {
    /// Load in thousandths of the gate's slots.
    #[must_use]
    pub fn score(&self, now: Duration) -> u64 {
        let fresh = self.report.filter(|(_, at)| *at + HINT_TTL >= now);
        let slots = self.report.map_or(1, |(h, _)| h.slots).max(1);
        let own = u64::from(self.outstanding);
        let reported = fresh.map_or(0, |(h, _)| u64::from(h.running) + u64::from(h.waiting));
        let expected = own.max(reported + u64::from(self.offered_since));
        let failing = fresh.is_some_and(|(h, _)| h.failing);
        let penalty = if failing { FAILING_LOAD } else { 0 };
        expected * LOAD_SCALE / u64::from(slots) + penalty
    }
}

/// Picks a position among `loads` by two draws from `draw`.
#[must_use]
pub fn pick(loads: &[Load], draw: u64, now: Duration) -> Option<usize> {
    let n = u64::try_from(loads.len()).ok().filter(|n| *n > 0)?;
    let first = draw % n;
    let others = n.saturating_sub(1).max(1);
    let second = (first + 1 + (draw >> 32) % others) % n;
    [first, second]
        .into_iter()
        .filter_map(|at| usize::try_from(at).ok())
        .min_by_key(|at| loads[*at].score(now))
}
