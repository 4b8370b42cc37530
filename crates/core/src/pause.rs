//! Detection of pauses of the whole process.
//!
//! An offer states how much time is left, not until when, since clocks of two
//! hosts differ. An offer that sat in a socket's buffer while the process was
//! paused is older than it says, by up to the length of the pause.

use std::time::Duration;

/// A process that is shown no sign of time for this long was paused.
const PAUSE_MIN: Duration = Duration::from_millis(100);
/// After a pause, messages may have waited in buffers for this long.
const BUFFERED: Duration = Duration::from_millis(100);

/// Watches the time between the signs that the process runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Pauses {
    seen: Duration,
    resumed: Option<(Duration, Duration)>,
}

impl Pauses {
    /// Notes that the process runs; to be called at least every 50 ms.
    pub fn note(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.seen);
        if gap >= PAUSE_MIN {
            self.resumed = Some((now, gap));
        }
        self.seen = now;
    }

    /// How much older than stated a message may be that is taken now.
    #[must_use]
    pub fn hidden_age(&self, now: Duration) -> Duration {
        match self.resumed {
            Some((at, gap)) if now <= at + BUFFERED => gap,
            _ => Duration::ZERO,
        }
    }
}
