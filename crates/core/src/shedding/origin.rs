//! Tells the calls of callers from those that other services make.
//!
//! Callers of a route begin with the same time until the deadline and state less only when they
//! retry. A service states what is left of the call that it works on, which varies from call to
//! call. So a route has callers if enough of its latest calls state the longest time seen.

use std::time::Duration;

/// Two times that differ by less count as the same: callers state whole milliseconds, and some
/// send a request only after they have waited for a connection.
const SAME_TIME_MAX: Duration = Duration::from_millis(10);
/// A route has callers if one call in this many states the longest time. Callers that retry
/// three or four times, as in an overload, stay well above.
const FULL_DIVISOR: u32 = 8;
/// Calls that are seen before a route is taken to have callers: a wrong refusal fails a call in
/// progress, a missed one lets a single call come late.
const SEEN_MIN: u32 = 8;
/// Both counts are halved at this number of calls, and the longest time is that of the calls
/// since, so that a lowered deadline is noticed.
const SEEN_MAX: u32 = 64;

/// The times until the deadline that the latest calls of a route have stated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Origin {
    longest: Duration,
    /// Longest time since the counts were halved.
    latest_longest: Duration,
    /// Calls that stated the longest time, or none.
    full: u32,
    seen: u32,
}

impl Origin {
    /// Records the time that a call has stated, before any wait; `None` if it stated none, as
    /// only callers do. `limit` is the deadline of the route: callers state no more.
    pub fn record(&mut self, stated: Option<Duration>, limit: Duration) {
        if self.seen >= SEEN_MAX {
            self.seen /= 2;
            self.full /= 2;
            self.longest = self.latest_longest;
            self.latest_longest = Duration::ZERO;
        }
        self.seen += 1;
        let Some(stated) = stated else {
            self.full += 1;
            return;
        };
        if stated > limit + SAME_TIME_MAX {
            return;
        }
        if stated > self.longest + SAME_TIME_MAX {
            // Earlier calls did not state this time.
            self.full = 0;
        }
        self.longest = self.longest.max(stated);
        self.latest_longest = self.latest_longest.max(stated);
        self.full += u32::from(stated + SAME_TIME_MAX >= self.longest);
    }

    /// Whether the route is called by callers, and not only by other services.
    #[must_use]
    pub fn has_callers(&self) -> bool {
        self.seen >= SEEN_MIN && self.full * FULL_DIVISOR >= self.seen
    }
}
