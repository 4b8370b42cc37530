//! Reports callers that disconnect before their response.

use pollenrouter_core::entry;

use crate::listener;
use crate::message::Event;

/// Sends [`Event::Disconnected`] for a call when dropped, unless it was disarmed.
pub struct DisconnectGuard {
    token: entry::Token,
    sink: listener::Sink,
    armed: bool,
}

impl DisconnectGuard {
    /// Creates an armed guard for one call.
    #[must_use]
    pub fn new(token: entry::Token, sink: listener::Sink) -> Self {
        Self {
            token,
            sink,
            armed: true,
        }
    }

    /// Disables the report, once the call has ended.
    pub fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if self.armed {
            (self.sink)(Event::Disconnected(self.token));
        }
    }
}
