//! Deadlines of a connection: for the bytes of a request, for the caller that takes a response,
//! and for a connection on which nothing happens.

use std::time::Duration;

use pollenrouter_http::body::BodyError;
use tokio::time::Instant;

use super::Pipeline;
use crate::response;

const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which a caller has to take some bytes of a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// The same time during a planned stop, which must not wait for one caller.
const STOP_WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval of checks for a caller that has left while no bytes are read.
const LEFT_CHECK_INTERVAL: Duration = Duration::from_millis(200);

impl Pipeline {
    /// When the incomplete head or body must have arrived.
    fn read_deadline(&self) -> Option<Instant> {
        let timeout = match &self.receiving {
            Some(receiving) => receiving.since + BODY_TIMEOUT,
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
        let is_idle = !self.has_requests() && self.input.is_empty();
        is_idle.then(|| self.last_activity + (self.limits)().idle_timeout)
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
        let check = Instant::now() + check;
        deadline.map_or(check, |deadline| deadline.min(check))
    }

    /// Acts on the deadlines that have passed; returns whether the connection has to close
    /// without a response.
    pub fn has_expired(&mut self) -> bool {
        let now = Instant::now();
        if self.idle_deadline().is_some_and(|deadline| deadline <= now) {
            return true;
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
