//! Load that a gate reports with each reply.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Load of a gate at the time of a reply. Entries use it to choose gates while it is
/// recent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Hint {
    /// Calls that are running at the target.
    pub running: u32,
    /// Calls that are queued at the gate.
    pub waiting: u32,
    /// Slots of the target that may be used at present, free or not.
    pub slots: u32,
    /// Mean service time of the target.
    pub mean_service_time: Duration,
    /// Current service time as a percentage of the normal service time; 0 if the
    /// target does not report it.
    pub slowness: u32,
    /// Time until the target's rate limit lets a further call start; zero without a limit.
    pub rate_wait: Duration,
    /// Time between two calls at the target's rate limit; zero without a limit.
    pub rate_interval: Duration,
    /// Whether most of the latest calls failed.
    pub failing: bool,
    /// Whether it is draining and will accept no further calls.
    pub leaving: bool,
    /// Whether it accepts no calls at present.
    pub closed: bool,
}
