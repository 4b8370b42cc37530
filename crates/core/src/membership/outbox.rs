//! Messages that wait for the next flush, so that many updates make few messages.

use std::collections::BTreeMap;

use crate::id;
use crate::replica::{Key, Object};

/// Versions that a host has announced and that this daemon lacks.
pub(super) type Announced = (id::HostName, BTreeMap<Key, id::Version>);

/// What waits for the next flush. The first message after a quiet interval waits for nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Outbox {
    updates: BTreeMap<Key, Object>,
    has_forwarded: bool,
    latest_announced: Option<Announced>,
    has_requested: bool,
}

impl Outbox {
    /// Adds updated objects; returns them if they may be forwarded now.
    pub(super) fn push_updates(&mut self, updates: Vec<Object>) -> Option<Vec<Object>> {
        if updates.is_empty() {
            return None;
        }
        if !self.has_forwarded {
            self.has_forwarded = true;
            return Some(updates);
        }
        let keyed = updates
            .into_iter()
            .map(|object| (object.key.clone(), object));
        self.updates.extend(keyed);
        None
    }

    /// Whether missing objects may be requested from a host now. If not, the latest host that
    /// has announced some is asked at the next flush, unless they have arrived by then.
    pub(super) fn may_request(
        &mut self,
        host: &id::HostName,
        announced: BTreeMap<Key, id::Version>,
    ) -> bool {
        if self.has_requested {
            self.latest_announced = Some((host.clone(), announced));
            return false;
        }
        self.has_requested = true;
        true
    }

    /// Begins an interval; returns the updates to forward, and what the latest host announced.
    pub(super) fn flush(&mut self) -> (Vec<Object>, Option<Announced>) {
        let updates = std::mem::take(&mut self.updates);
        self.has_forwarded = !updates.is_empty();
        self.has_requested = false;
        (
            updates.into_values().collect(),
            self.latest_announced.take(),
        )
    }
}
