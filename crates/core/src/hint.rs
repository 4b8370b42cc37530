//! Load of a gate as it reports it with each reply.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Load of a gate at the time of a reply; an entry keeps it with its age.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Hint {
    /// Calls that the target runs.
    pub running: u32,
    /// Calls that wait at the gate.
    pub waiting: u32,
    /// Slots of the target that are open at present.
    pub slots: u32,
    /// Mean service time of the target.
    pub mean: Duration,
    /// How long work takes there at this moment, in hundredths of the usual;
    /// 0 where the target does not say.
    pub slowness: u32,
    /// Whether most of the latest calls failed.
    pub failing: bool,
    /// Whether it takes no new work for good.
    pub leaving: bool,
    /// Whether it takes no new work at the moment.
    pub closed: bool,
}
