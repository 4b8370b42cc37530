//! Pacing of the calls to a cold target, where the configuration states what it bears.
//!
//! A target is cold for as long as it states. After an event that may be a restart it counts as
//! cold until it states otherwise. The gate is the only sender to its target, so its pace is that
//! of the whole fleet.

use std::collections::VecDeque;
use std::time::Duration;

use super::statement::Statement;
use super::target::TargetIncarnation;
use super::{Announcement, Gate};
use crate::service::ColdStart;

/// Time in which the calls to a cold target are counted; the bound that it has to bear, 1.5 times
/// its rate and 8 more, is stated for one second.
const WINDOW: Duration = Duration::from_secs(1);
/// Calls beyond the rate in [`WINDOW`], counting those that started before the target became
/// cold. It is half of the 8 that are allowed, as calls arrive at a target less evenly than they
/// start.
const WINDOW_EXTRA: u128 = 4;
/// By how much a start may be ahead of an even spacing. A gate starts calls at ticks 25 ms apart if
/// nothing else happens; without it, a rate of more than 40 calls a second would not be reached.
const TOLERANCE: Duration = Duration::from_millis(25);

/// What is known about the warmth of a target, and the latest starts there.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Cold {
    /// When the target may have started without saying so; `None` once it has stated its warmth.
    assumed_since: Option<Duration>,
    /// Until when the target is cold by its own word.
    stated_until: Duration,
    /// When the target last stated its warmth.
    stated_at: Duration,
    /// When the next call is due at an even spacing.
    next_due: Duration,
    /// Starts within [`WINDOW`], oldest first.
    starts: VecDeque<Duration>,
}

impl Default for Cold {
    /// The target of a daemon that has just started, at the time zero.
    fn default() -> Self {
        Self {
            assumed_since: Some(Duration::ZERO),
            stated_until: Duration::ZERO,
            stated_at: Duration::ZERO,
            next_due: Duration::ZERO,
            starts: VecDeque::new(),
        }
    }
}

impl Cold {
    fn assume(&mut self, now: Duration) {
        self.assumed_since = Some(now);
    }

    fn state(&mut self, now: Duration, remaining: Duration) {
        self.assumed_since = None;
        self.stated_until = now + remaining;
        self.stated_at = now;
    }

    /// Whether an answer to a request that was sent at this time may be older than what is known.
    fn is_outdated(&self, asked_at: Duration) -> bool {
        asked_at < self.stated_at.max(self.assumed_since.unwrap_or_default())
    }

    /// Time for which the target stays cold; zero if it is warm.
    fn remaining(&self, now: Duration, lasts: Duration) -> Duration {
        let assumed_until = self.assumed_since.map(|since| since + lasts);
        let until = self.stated_until.max(assumed_until.unwrap_or_default());
        until.saturating_sub(now)
    }

    /// Earliest time of a start at a cold target.
    fn next_start(&self, interval: Duration) -> Duration {
        let per_window = WINDOW.as_nanos() / interval.as_nanos().max(1);
        let most = usize::try_from(per_window + WINDOW_EXTRA).unwrap_or(usize::MAX);
        let oldest = self.starts.len().checked_sub(most);
        let window_ends = match oldest.and_then(|index| self.starts.get(index)) {
            Some(oldest) => *oldest + WINDOW,
            // An earlier incarnation of the daemon may have started as many calls as it could just
            // before time zero. The rest of the bound is left for the first window.
            None if self.starts.len() >= rest_of_bound(per_window) => WINDOW,
            None => Duration::ZERO,
        };
        window_ends.max(self.next_due.saturating_sub(TOLERANCE))
    }

    fn record_start(&mut self, now: Duration, interval: Duration, is_cold: bool) {
        // The starts at a warm target do not add up: after them, one interval is enough.
        let due = if is_cold { self.next_due } else { now };
        self.next_due = due.max(now) + interval;
        while self.starts.front().is_some_and(|at| *at + WINDOW <= now) {
            self.starts.pop_front();
        }
        self.starts.push_back(now);
    }
}

/// Calls that a target bears in [`WINDOW`] beyond the most that a gate starts in it.
fn rest_of_bound(per_window: u128) -> usize {
    usize::try_from(per_window / 2 + WINDOW_EXTRA).unwrap_or(usize::MAX)
}

impl Gate {
    /// What the current target bears while it is cold, if the configuration states it.
    fn cold_start(&self) -> Option<ColdStart> {
        self.document.as_ref()?.cold_start
    }

    /// Time for which the target stays cold; `None` if it is warm, or the configuration does not
    /// state what a cold one bears.
    #[must_use]
    pub fn cold_remaining(&self, now: Duration) -> Option<Duration> {
        let remaining = self.cold.remaining(now, self.cold_start()?.lasts);
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Whether the target is cold by its own word.
    pub(super) fn states_cold(&self, now: Duration) -> bool {
        now < self.cold.stated_until
    }

    /// Applies an announcement of the target, which states how long it stays cold.
    pub(super) fn apply_announcement(&mut self, now: Duration, announcement: Announcement) {
        let remaining = announcement.cold_start;
        if self.targets.apply_announcement(now, announcement) {
            self.cold.state(now, remaining);
        }
    }

    /// Applies what a health answer states.
    pub(super) fn apply_stated_cold(&mut self, now: Duration, statement: &Statement) {
        let is_current = self.target_incarnation() == Some(&statement.target);
        if let Some(remaining) = statement.cold.filter(|_| statement.is_probe && is_current)
            && !self.cold.is_outdated(statement.asked_at)
        {
            self.cold.state(now, remaining);
        }
    }

    /// Applies that a connection to the target was refused or broke off.
    pub(super) fn apply_connection_failure(&mut self, now: Duration, target: &TargetIncarnation) {
        if self.target_incarnation() == Some(target) {
            self.cold.assume(now);
        }
    }

    /// Applies whether the failure domain is evacuated. Once it has returned its target is cold.
    pub(super) fn set_evacuated(&mut self, now: Duration, evacuated: bool) {
        if self.evacuated && !evacuated {
            self.cold.assume(now);
        }
        self.evacuated = evacuated;
    }

    /// Time until a cold target may get a call after `ahead` others; zero if it is warm.
    pub(super) fn cold_wait(&self, now: Duration, ahead: u32) -> Duration {
        let Some(remaining) = self.cold_remaining(now) else {
            return Duration::ZERO;
        };
        let interval = self.cold_interval(now);
        let next_start = self.cold.next_start(interval);
        let wait = next_start.saturating_sub(now) + interval.saturating_mul(ahead);
        wait.min(remaining)
    }

    /// Time between two calls to a cold target; zero if it is warm.
    pub(super) fn cold_interval(&self, now: Duration) -> Duration {
        let cold_start = self
            .cold_start()
            .filter(|_| self.cold_remaining(now).is_some());
        cold_start.map_or(Duration::ZERO, |cold_start| cold_start.rate.interval())
    }

    /// Records that a call starts. Those at a warm target count, too: it may become cold at any
    /// time.
    pub(super) fn record_cold_start(&mut self, now: Duration) {
        if let Some(cold_start) = self.cold_start() {
            let is_cold = self.cold_remaining(now).is_some();
            self.cold
                .record_start(now, cold_start.rate.interval(), is_cold);
        }
    }
}
