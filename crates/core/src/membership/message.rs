//! Gossip messages between daemons.

use std::collections::BTreeMap;

use crate::id;
use crate::replica::{Digest, Key, Object};

/// A gossip message to another daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Message {
    /// Digest of the sender's replica, for comparison. Updates carry none: replicas differ
    /// while an update spreads, so a comparison would be useless.
    pub digest: Option<Digest>,
    /// With a digest, all versions of the sender, as a request for newer objects; without
    /// one, versions of updated objects.
    pub versions: Option<BTreeMap<Key, id::Version>>,
    /// Objects that may be new to the receiver.
    pub objects: Vec<Object>,
    /// Whether `objects` contains everything that the receiver lacked when it sent its
    /// request, but large values, which are announced.
    pub is_complete: bool,
}

impl Message {
    /// A heartbeat of a watcher. Daemons of earlier versions ignore it.
    #[must_use]
    pub fn heartbeat(receives_updates: bool) -> Self {
        Self {
            versions: receives_updates.then(BTreeMap::new),
            ..Self::default()
        }
    }

    /// Whether updates of the platform reach the sender, if this is a heartbeat.
    #[must_use]
    pub fn as_heartbeat(&self) -> Option<bool> {
        let receives_updates = self.versions.is_some();
        (*self == Self::heartbeat(receives_updates)).then_some(receives_updates)
    }
}
