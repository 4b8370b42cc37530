//! The target of a gate: its current incarnation, and the incarnations that have left.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Announcement;
use crate::id;

/// Departed incarnations that a gate remembers; a host has one target at a time.
const DEPARTED_MAX: usize = 64;

/// One start of a target: a target may start again under the same name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TargetIncarnation {
    /// Name of the target.
    pub name: id::TargetName,
    /// When it started, milliseconds since 1970 by the target's clock; 0 if not stated.
    #[serde(rename = "born")]
    pub started_ms: u64,
}

impl TargetIncarnation {
    /// Whether `other` has ended if this incarnation has: a target has one incarnation at
    /// a time, so the earlier ones under its name are over.
    #[must_use]
    pub fn implies_departure_of(&self, other: &Self) -> bool {
        self.name == other.name && other.started_ms <= self.started_ms
    }
}

/// Adds a departed incarnation in place of earlier ones under its name, and drops the
/// oldest beyond `max`. Returns `false` if its departure was implied already.
pub fn record_departure(
    departed: &mut Vec<TargetIncarnation>,
    incarnation: TargetIncarnation,
    max: usize,
) -> bool {
    if departed
        .iter()
        .any(|known| known.implies_departure_of(&incarnation))
    {
        return false;
    }
    departed.retain(|known| !incarnation.implies_departure_of(known));
    departed.push(incarnation);
    let excess = departed.len().saturating_sub(max);
    departed.drain(..excess);
    true
}

/// A target that announced itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Target {
    pub(super) announcement: Announcement,
    pub(super) first_announced_at: Duration,
    pub(super) last_announced_at: Duration,
}

/// The targets on the gate's host: the current one and those that departed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Targets {
    current: Option<Target>,
    departed: Vec<TargetIncarnation>,
}

impl Targets {
    pub(super) fn current(&self) -> Option<&Target> {
        self.current.as_ref()
    }

    pub(super) fn has_departed(&self, incarnation: &TargetIncarnation) -> bool {
        self.departed
            .iter()
            .any(|departed| departed.implies_departure_of(incarnation))
    }

    /// Applies an announcement unless it is outdated; returns whether it was applied.
    pub(super) fn apply_announcement(&mut self, now: Duration, announcement: Announcement) -> bool {
        let incarnation = &announcement.incarnation;
        // Without a name or a sequence the announcement received last is the newest.
        let is_named = !incarnation.name.is_empty();
        if is_named && self.is_outdated(&announcement) {
            return false;
        }
        if is_named && announcement.draining {
            self.apply_departure(incarnation.clone());
        }
        let first_announced_at = match &self.current {
            Some(target) if target.announcement.incarnation == *incarnation => {
                target.first_announced_at
            }
            _ => now,
        };
        self.current = Some(Target {
            announcement,
            first_announced_at,
            last_announced_at: now,
        });
        true
    }

    fn is_outdated(&self, announcement: &Announcement) -> bool {
        if self.has_departed(&announcement.incarnation) {
            return true;
        }
        let Some(current) = self.current.as_ref().map(|target| &target.announcement) else {
            return false;
        };
        if current.incarnation == announcement.incarnation {
            announcement.sequence < current.sequence
        } else {
            announcement.incarnation.started_ms < current.incarnation.started_ms
        }
    }

    /// Applies that an incarnation has stated that it leaves. One without a name can be told
    /// from the next only by its next announcement.
    pub(super) fn apply_stated_departure(&mut self, incarnation: &TargetIncarnation) {
        if !incarnation.name.is_empty() {
            self.apply_departure(incarnation.clone());
        } else if let Some(target) = &mut self.current {
            target.announcement.draining = true;
        }
    }

    /// Applies the departure of an incarnation; its later announcements do not revoke it.
    pub(super) fn apply_departure(&mut self, incarnation: TargetIncarnation) {
        if let Some(target) = &mut self.current
            && incarnation.implies_departure_of(&target.announcement.incarnation)
        {
            target.announcement.draining = true;
        }
        record_departure(&mut self.departed, incarnation, DEPARTED_MAX);
    }
}
