//! Detection of pauses of the whole process.
//!
//! An offer carries the remaining time rather than a point in time, because the
//! clocks of two hosts differ. If an offer was in a socket buffer while the process
//! was paused, less time remains than it states, by up to the length of the pause.

use std::time::Duration;

/// A gap of this length between two recorded activities counts as a pause.
const PAUSE_MIN: Duration = Duration::from_millis(100);
/// Messages that are read within this time after a pause may have been buffered during it.
const BUFFERED_MAX: Duration = Duration::from_millis(100);

/// Detects pauses from the gaps between recorded activities.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct PauseDetector {
    last_activity: Duration,
    /// End and length of the latest pause.
    last_pause: Option<(Duration, Duration)>,
}

impl PauseDetector {
    /// Records that the process is running; must be called at least every 50 ms.
    pub fn record_activity(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last_activity);
        if gap >= PAUSE_MIN {
            self.last_pause = Some((now, gap));
        }
        self.last_activity = now;
    }

    /// Upper bound of the time that a message read now may have spent in a buffer
    /// during a pause.
    #[must_use]
    pub fn extra_age(&self, now: Duration) -> Duration {
        match self.last_pause {
            Some((at, gap)) if now <= at + BUFFERED_MAX => gap,
            _ => Duration::ZERO,
        }
    }
}
