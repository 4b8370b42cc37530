//! The platform's era as its responses state it.

use std::sync::{Mutex, MutexGuard, PoisonError};

use log::{info, warn};

/// Number of a request, in the order in which they begin.
pub type RequestNumber = u64;

/// The era of the latest response. Responses may come in another order than they were given in, so
/// an earlier era counts only if its request began after the later one was known: then the platform
/// itself has gone back.
#[derive(Debug, Default)]
pub struct Tracker(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    era: u64,
    /// Latest request that has begun.
    latest: RequestNumber,
    /// Latest request that had begun when the era became known.
    latest_before: RequestNumber,
}

impl Tracker {
    /// The era of the latest response; 0 if none has stated one.
    pub fn current(&self) -> u64 {
        self.lock().era
    }

    /// Numbers a request that begins now.
    pub fn begin(&self) -> RequestNumber {
        let mut state = self.lock();
        state.latest += 1;
        state.latest
    }

    /// Records the era that the response to a request states. Returns whether the response counts:
    /// one from before the current era has come too late.
    pub fn record(&self, era: u64, request: RequestNumber) -> bool {
        let mut state = self.lock();
        let before = state.era;
        if era == before {
            return true;
        }
        if era < before {
            if request <= state.latest_before {
                return false;
            }
            warn!(before, era; "the platform's era went back");
        } else {
            info!(before, era; "the platform's era changed");
        }
        state.era = era;
        state.latest_before = state.latest;
        true
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
