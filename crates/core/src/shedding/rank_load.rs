//! How much of a target its calls of each rank have used lately.
//!
//! A call waits not only for those ahead of it, but also for more urgent ones that arrive
//! meanwhile. Without them in the expected wait, most calls would be admitted first and
//! displaced later.

use std::collections::BTreeMap;
use std::time::Duration;

use super::recent::{self, Recent};

/// Short, so that the wait is not overestimated for long after a burst of urgent calls.
const HALF_LIFE: Duration = Duration::from_millis(500);
/// Share of the slots that is assumed for urgent calls at most: the measure is only an estimate.
const SHARE_MAX_PERCENT: u64 = 90;

/// Recent service time of the calls that have started, by rank.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RankLoad(BTreeMap<u8, Recent>);

impl RankLoad {
    /// Records that a call starts, with its expected service time.
    pub fn record_start(&mut self, now: Duration, rank: u8, expected: Duration) {
        let used = self.0.entry(rank).or_default();
        used.add(now, HALF_LIFE, recent::micros(expected));
    }

    /// Share of the slots that calls of more urgent ranks have used, percent.
    #[must_use]
    pub fn more_urgent_percent(&self, now: Duration, rank: u8, slots: u32) -> u32 {
        let more_urgent = self.0.range(..rank);
        let used: u64 = more_urgent.map(|(_, used)| used.sum(now, HALF_LIFE)).sum();
        let all = recent::steady_sum(HALF_LIFE) * u64::from(slots.max(1));
        let percent = (used * 100 / all).min(SHARE_MAX_PERCENT);
        u32::try_from(percent).unwrap_or_default()
    }
}
