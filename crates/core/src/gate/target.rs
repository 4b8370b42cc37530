//! The target of a gate: which life of it speaks, and which lives have left.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Announcement, Report};
use crate::id;

/// Departed lives that are remembered; a host has one target at a time.
const DEPARTED_MAX: usize = 64;
/// A report of the momentary speed counts for this long.
const REPORT_TTL: Duration = Duration::from_millis(150);

/// One life of one target: a target may start again under the name that it had.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Life {
    /// The target.
    pub name: id::TargetName,
    /// When it started, milliseconds since 1970 by its own clock; 0 where it
    /// does not say.
    pub born: u64,
}

/// A target that announced itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Target {
    pub(super) announcement: Announcement,
    pub(super) first_heard: Duration,
    pub(super) heard: Duration,
}

/// What a gate knows of the targets on its host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Targets {
    current: Option<Target>,
    departed: VecDeque<Life>,
    report: Option<(Report, Duration)>,
}

impl Targets {
    pub(super) fn current(&self) -> Option<&Target> {
        self.current.as_ref()
    }

    pub(super) fn has_departed(&self, life: &Life) -> bool {
        self.departed.contains(life)
    }

    /// Takes in an announcement unless it is older than what is known.
    pub(super) fn announced(&mut self, now: Duration, announcement: Announcement) {
        let life = &announcement.life;
        // Without a name or a sequence the latest announcement is the newest.
        let named = !life.name.is_empty();
        if named && self.is_outdated(&announcement) {
            return;
        }
        if named && announcement.draining {
            self.departed(life.clone());
        }
        let first_heard = match &self.current {
            Some(target) if target.announcement.life == *life => target.first_heard,
            _ => now,
        };
        self.current = Some(Target {
            announcement,
            first_heard,
            heard: now,
        });
    }

    fn is_outdated(&self, announcement: &Announcement) -> bool {
        if self.has_departed(&announcement.life) {
            return true;
        }
        let Some(known) = self.current.as_ref().map(|target| &target.announcement) else {
            return false;
        };
        if known.life == announcement.life {
            announcement.sequence < known.sequence
        } else {
            announcement.life.born < known.life.born
        }
    }

    /// A life has left; nothing that it announces later brings it back.
    pub(super) fn departed(&mut self, life: Life) {
        if let Some(target) = &mut self.current
            && target.announcement.life == life
        {
            target.announcement.draining = true;
        }
        if !self.has_departed(&life) {
            self.departed.push_back(life);
        }
        if self.departed.len() > DEPARTED_MAX {
            self.departed.pop_front();
        }
    }

    pub(super) fn reported(&mut self, now: Duration, report: Report) {
        self.report = Some((report, now));
    }

    /// Slowness of this moment; 0 when it is not known.
    pub(super) fn slowness(&self, now: Duration) -> u32 {
        match self.report {
            Some((report, at)) if now <= at + REPORT_TTL => report.slowness,
            _ => 0,
        }
    }
}
