//! Parties of the budget and how fast they move.

use std::time::Duration;

use super::Class;

/// Time over which the rate of a party is measured. At [`SLOW_BYTES_PER_S`] it is long enough for
/// two of the steps in which the system takes the bytes of a listener's connections.
const RATE_WINDOW: Duration = Duration::from_secs(3);
/// Rate below which a party gives way when the budget is short, bytes per second. At it, the
/// slowest link of a host (10 Mbit/s) still serves 38 parties at a time.
pub const SLOW_BYTES_PER_S: u64 = 32 << 10;
/// Bytes of a party in its first window by which it is not slow.
const MOVEMENT_BYTES: u64 = SLOW_BYTES_PER_S * RATE_WINDOW.as_secs();

/// Somebody at the other side of a connection that sends or takes the bytes of a share, and gives
/// way if it is too slow.
#[derive(Clone, Debug)]
pub struct Party {
    pub class: Class,
    /// Whether it takes bytes and leaves their room to others; else it sends them.
    pub is_taker: bool,
    /// When the current window began, and the bytes moved in it.
    since: Duration,
    bytes: u64,
    /// Bytes that it has yet to take before they count: the buffers between take as many while the
    /// party itself takes none.
    uncounted: u64,
    /// When it last moved bytes, or could not.
    pub moved_at: Duration,
    /// Whether it can not move because this process does not read.
    pub is_paused: bool,
    /// Bytes per second in the latest complete window, if there was one.
    pub rate: Option<u64>,
}

impl Party {
    /// Creates a party that has moved nothing, behind `buffered` bytes of buffers.
    pub fn new(now: Duration, class: Class, buffered: u64) -> Self {
        Self {
            class,
            is_taker: false,
            since: now,
            bytes: 0,
            uncounted: buffered,
            moved_at: now,
            is_paused: false,
            rate: None,
        }
    }

    /// Records that it has sent or taken bytes.
    pub fn record_progress(&mut self, now: Duration, bytes: u64) {
        self.update_rate(now);
        let uncounted = bytes.min(self.uncounted);
        self.uncounted -= uncounted;
        self.bytes += bytes - uncounted;
        self.moved_at = now;
    }

    /// Ends the current window if it is long enough.
    pub fn update_rate(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.since);
        if self.is_paused || elapsed < RATE_WINDOW {
            return;
        }
        let ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        self.rate = Some(self.bytes.saturating_mul(1000) / ms.max(1));
        self.since = now;
        self.bytes = 0;
    }

    /// Whether it moves at [`SLOW_BYTES_PER_S`] or more.
    pub fn is_moving(&self) -> bool {
        let is_fast = |rate| rate >= SLOW_BYTES_PER_S;
        !self.is_paused && self.rate.map_or(self.bytes >= MOVEMENT_BYTES, is_fast)
    }

    /// Begins a new window, since the current one holds a pause.
    pub fn resume(&mut self, now: Duration) {
        if std::mem::take(&mut self.is_paused) {
            self.moved_at = now;
            self.since = now;
            self.bytes = 0;
        }
    }
}
