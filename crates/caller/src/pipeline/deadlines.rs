//! Deadlines of a connection: for the bytes of a request, for the caller that takes a response,
//! and for a connection on which nothing happens.

use std::time::Duration;

use log::info;
use pollenrouter_http::body::BodyError;
use pollenrouter_http::memory::{GIVE_WAY_CHECK_INTERVAL, Party};
use tokio::time::Instant;

use super::Pipeline;
use crate::decoder::Decoder;
use crate::response;

/// Time in which a body has to end or [`BODY_PROGRESS_BYTES`] of it have to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// 4 KiB per second, a fraction of what the slowest links of callers carry.
const BODY_PROGRESS_BYTES: u64 = 40 << 10;
/// Time in which a caller has to take its responses or [`WRITE_PROGRESS_BYTES`] of them.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// 1 KiB per second. Less than for bodies, because the system takes written bytes in large steps
/// while the caller reads slowly.
const WRITE_PROGRESS_BYTES: usize = 30 << 10;
/// The same time during a planned stop, which must not wait for one caller.
const STOP_WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval of checks for a caller that has left while no bytes are read.
const LEFT_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Progress of a body over time.
pub struct Progress {
    /// When the current period of [`BODY_TIMEOUT`] began.
    since: Instant,
    /// Bytes that had arrived by then.
    before: u64,
    /// Since when the body waits for memory, which is not the caller's fault.
    blocked_at: Option<Instant>,
}

impl Progress {
    /// Begins with the head.
    pub fn new(now: Instant) -> Self {
        Self {
            since: now,
            before: 0,
            blocked_at: None,
        }
    }

    /// Begins a new period if enough has arrived in the current one.
    pub fn record(&mut self, decoder: &Decoder) {
        let is_enough = decoder.consumed() >= self.before + BODY_PROGRESS_BYTES;
        if !(is_enough || decoder.is_blocked() || self.blocked_at.is_some()) {
            return;
        }
        let now = Instant::now();
        if let Some(at) = self.blocked_at.take() {
            self.since += now - at;
        }
        if is_enough {
            self.since = now;
            self.before = decoder.consumed();
        }
        if decoder.is_blocked() {
            self.blocked_at = Some(now);
        }
    }

    /// When the body has to be given up; `None` while it waits for memory.
    fn deadline(&self) -> Option<Instant> {
        let is_running = self.blocked_at.is_none();
        is_running.then(|| self.since + BODY_TIMEOUT)
    }
}

impl Pipeline {
    /// When the incomplete head or body must have arrived.
    fn read_deadline(&self) -> Option<Instant> {
        let timeout = match &self.receiving {
            Some(receiving) => match receiving.progress.deadline() {
                Some(deadline) => deadline,
                None => return self.stop_deadline,
            },
            None if self.is_closing || self.waiting.is_some() || !self.has_room() => return None,
            // A head that was read ahead can be parsed only after the last response.
            None => {
                self.input.first_arrival()?.max(self.last_activity) + (self.limits)().head_timeout
            }
        };
        let stop_deadline = self.stop_deadline.unwrap_or(timeout);
        Some(timeout.min(stop_deadline))
    }

    /// When the connection closes because nothing happens on it.
    fn idle_deadline(&self) -> Option<Instant> {
        if !self.output.is_empty() {
            let deadline = self.last_write + WRITE_TIMEOUT;
            let stopping = self
                .stop_deadline
                .map(|at| at.max(self.last_write) + STOP_WRITE_TIMEOUT);
            return Some(stopping.map_or(deadline, |stopping| stopping.min(deadline)));
        }
        let is_idle = self.idle_since().is_some() && self.input.is_empty();
        is_idle.then(|| self.last_activity + (self.limits)().idle_timeout)
    }

    /// Since when the connection has had no complete request; `None` while it has one.
    #[must_use]
    pub fn idle_since(&self) -> Option<Instant> {
        let is_idle = !self.has_requests() && self.output.is_empty();
        is_idle.then_some(self.last_activity)
    }

    /// When [`Self::has_expired`] has to be called at the latest.
    #[must_use]
    pub fn due(&self) -> Instant {
        let check = if self.reads() {
            (self.limits)().idle_timeout
        } else {
            LEFT_CHECK_INTERVAL
        };
        let deadlines = [self.read_deadline(), self.idle_deadline()];
        let deadline = deadlines.into_iter().flatten().min();
        let check = if self.may_give_way() {
            check.min(GIVE_WAY_CHECK_INTERVAL)
        } else {
            check
        };
        let check = Instant::now() + check;
        deadline.map_or(check, |deadline| deadline.min(check))
    }

    /// Whether the connection may have to give way if memory is short.
    fn may_give_way(&self) -> bool {
        let receiving = self.receiving.as_ref();
        self.taker.is_some() || receiving.is_some_and(|r| r.decoder.has_share())
    }

    /// Records that the caller has taken bytes of responses.
    pub(super) fn record_taken(&mut self, len: usize) {
        self.taken_bytes += len;
        if self.taken_bytes >= WRITE_PROGRESS_BYTES {
            self.taken_bytes = 0;
            self.last_write = Instant::now();
        }
    }

    /// Acts on the deadlines that have passed; returns whether the connection has to close
    /// without a response.
    pub fn has_expired(&mut self) -> bool {
        let now = Instant::now();
        if self.idle_deadline().is_some_and(|deadline| deadline <= now) {
            return true;
        }
        if self.taker.as_ref().is_some_and(Party::must_give_way) {
            info!("connection closed: its caller takes a response too slowly, memory is short");
            return true;
        }
        let receiving = self.receiving.as_ref();
        if receiving.is_some_and(|r| r.decoder.must_give_way())
            && let Some(receiving) = self.receiving.take()
        {
            self.reject(receiving.accepted, BodyError::NoRoom);
        }
        if self.read_deadline().is_some_and(|deadline| deadline <= now) {
            match self.receiving.take() {
                Some(receiving) => {
                    self.reject(receiving.accepted, BodyError::Timeout(BODY_TIMEOUT));
                }
                None => {
                    self.fail(response::head_timeout(), &"the head did not arrive in time");
                }
            }
        }
        false
    }
}
