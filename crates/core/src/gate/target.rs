//! The target of a gate: which life of it speaks, and which lives have left.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Announcement;
use crate::id;

/// Departed lives that are remembered; a host has one target at a time.
const DEPARTED_MAX: usize = 64;

/// One life of one target: a target may start again under the name that it had.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Life {
    /// The target.
    pub name: id::TargetName,
    /// When it started, milliseconds since 1970 by its own clock; 0 where it
    /// does not say.
    pub born: u64,
}

impl Life {
    /// Whether the end of this life says that `other` has ended as well: a target has
    /// one life at a time, so earlier ones under its name are over.
    #[must_use]
    pub fn covers(&self, other: &Self) -> bool {
        self.name == other.name && other.born <= self.born
    }
}

/// Adds a departed life in place of those that it covers; the oldest of more than `max`
/// are let go. Tells whether it was not covered before.
pub fn note_departed(departed: &mut Vec<Life>, life: Life, max: usize) -> bool {
    if departed.iter().any(|known| known.covers(&life)) {
        return false;
    }
    departed.retain(|known| !life.covers(known));
    departed.push(life);
    let excess = departed.len().saturating_sub(max);
    departed.drain(..excess);
    true
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
    departed: Vec<Life>,
}

impl Targets {
    pub(super) fn current(&self) -> Option<&Target> {
        self.current.as_ref()
    }

    pub(super) fn has_departed(&self, life: &Life) -> bool {
        self.departed.iter().any(|departed| departed.covers(life))
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
            && life.covers(&target.announcement.life)
        {
            target.announcement.draining = true;
        }
        note_departed(&mut self.departed, life, DEPARTED_MAX);
    }
}
