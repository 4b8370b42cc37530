//! Clock that also counts the time for which the machine was suspended. Deadlines go by it: the
//! steady clock stands still during a suspension, and a deadline on it passes too late.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Returns the time since a fixed moment in the past.
pub type Clock = fn() -> Duration;

/// Time since the machine started, including suspensions.
#[must_use]
pub fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    // Neither part is negative.
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanoseconds)
}
