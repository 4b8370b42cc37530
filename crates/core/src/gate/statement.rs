//! What a target states about itself with its answers.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Gate;
use super::target::TargetIncarnation;
use crate::rate::RateLimit;

/// The rate that an answer names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum StatedRate {
    /// The answer names no rate.
    #[default]
    None,
    /// The rate that the target takes.
    Limit(RateLimit),
    /// A value that cannot be read.
    Unreadable,
}

/// Statements of a target in the head of one answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Statement {
    /// Target that answered.
    pub target: TargetIncarnation,
    /// When the request was sent.
    pub asked_at: Duration,
    /// Whether it answers a health check and not a call.
    pub is_probe: bool,
    /// Rate of calls that the target takes from all hosts together.
    pub rate: StatedRate,
    /// Whether the target is leaving.
    pub leaving: bool,
    /// How long the target stays cold, if it states that.
    pub cold: Option<Duration>,
}

/// What other hosts know about the target of a gate. They tell it to the gate with each
/// offer, because a daemon that restarts forgets what its target has stated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TargetNotice {
    /// The target that the rest is about.
    pub target: TargetIncarnation,
    /// Rate of calls that it takes, if it has named one.
    pub rate_limit: Option<RateLimit>,
    /// Whether it is leaving or gone.
    pub leaving: bool,
}

impl fmt::Display for StatedRate {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::None => f.write_str("none"),
            Self::Limit(limit) => limit.fmt(f),
            Self::Unreadable => f.write_str("unreadable"),
        }
    }
}

impl Gate {
    /// Applies what the target states about itself.
    pub(super) fn apply_statement(&mut self, now: Duration, statement: &Statement) {
        self.apply_stated_rate(now, statement);
        self.apply_stated_cold(now, statement);
        // A health check names no target, so another one may have answered it.
        if statement.leaving && !statement.is_probe {
            self.targets.apply_stated_departure(&statement.target);
        }
    }

    /// Applies what another host knows about the target.
    pub(super) fn apply_notice(&mut self, now: Duration, notice: &TargetNotice) {
        self.apply_noticed_rate(now, notice);
        if notice.leaving {
            self.targets.apply_departure(notice.target.clone());
        }
    }

    /// What other hosts should tell a later incarnation of this gate about its target, if
    /// anything.
    #[must_use]
    pub fn target_notice(&self) -> Option<TargetNotice> {
        let target = self.target_incarnation()?;
        let notice = TargetNotice {
            target: target.clone(),
            rate_limit: self.rate_limit(),
            leaving: self.has_departed(target),
        };
        (notice.rate_limit.is_some() || notice.leaving).then_some(notice)
    }
}
