//! Tells the embedder when a caller leaves before its answer.

use pollenrouter_core::entry;

use crate::listener;
use crate::message::Event;

/// Reports the call as abandoned when dropped, unless it was disarmed.
pub struct Guard {
    token: entry::Token,
    sink: listener::Sink,
    armed: bool,
}

impl Guard {
    /// A guard for one call.
    #[must_use]
    pub fn new(token: entry::Token, sink: listener::Sink) -> Self {
        Self {
            token,
            sink,
            armed: true,
        }
    }

    /// The call has ended.
    pub fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if self.armed {
            (self.sink)(Event::Gone(self.token));
        }
    }
}
