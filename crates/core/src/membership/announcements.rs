//! What other daemons have announced and sent, for decisions about requests and for operators.

use std::collections::BTreeMap;

use crate::id;
use crate::replica::{Key, Object, Replica};

/// Sizes of the values that other daemons have sent, bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Received {
    /// Values that were new to this daemon.
    pub new_bytes: u64,
    /// Values that this daemon already had.
    pub known_bytes: u64,
}

/// Newest version of each object that any daemon has announced.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Announcements {
    newest: BTreeMap<Key, id::Version>,
    received: Received,
}

impl Announcements {
    /// Records versions that another daemon has. Only those are kept that this daemon lacks.
    pub fn record<'a>(
        &mut self,
        versions: impl IntoIterator<Item = (&'a Key, &'a id::Version)>,
        held: &Replica,
    ) {
        for (key, version) in versions {
            let is_held = held.get(key).is_some_and(|held| held.version >= *version);
            if !is_held {
                let newest = self.newest.entry(key.clone()).or_default();
                *newest = version.max(newest).to_owned();
            }
        }
    }

    /// Records that this daemon has a version.
    pub fn on_held(&mut self, object: &Object) {
        let newest = self.newest.get(&object.key);
        if newest.is_some_and(|newest| *newest <= object.version) {
            self.newest.remove(&object.key);
        }
    }

    /// The newest version of any object under a prefix that was announced and that this daemon
    /// lacks.
    pub fn newest(&self, prefix: &str) -> Option<id::Version> {
        let from_prefix = self.newest.range(Key::new(prefix)..);
        let under_prefix = from_prefix.take_while(|(key, _)| key.starts_with(prefix));
        under_prefix.map(|(_, version)| *version).max()
    }

    /// Counts a value that another daemon has sent.
    pub fn count(&mut self, bytes: usize, is_new: bool) {
        let count = if is_new {
            &mut self.received.new_bytes
        } else {
            &mut self.received.known_bytes
        };
        *count += bytes as u64;
    }

    /// Takes the counts since the latest call.
    pub fn take_received(&mut self) -> Received {
        std::mem::take(&mut self.received)
    }
}
