//! What other daemons have announced and sent, for decisions about requests and for operators.

use std::collections::BTreeMap;

use crate::id;
use crate::replica::{Key, Object, Replica};

/// Rounds after which an announcement that no daemon repeats no longer counts. A daemon that has
/// the version repeats it within about two rounds, so nobody in reach has it after ten, and callers
/// of routes that exist nowhere must not be told to come back for ever.
const ANNOUNCEMENT_TTL_ROUNDS: u32 = 10;

/// Sizes of the values that other daemons have sent, bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Received {
    /// Values that were new to this daemon.
    pub new_bytes: u64,
    /// Values that this daemon already had.
    pub known_bytes: u64,
}

/// Versions that other daemons have announced and that this daemon lacks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Announcements {
    /// Rounds since a daemon announced a version of an object.
    rounds: BTreeMap<(Key, id::Version), u32>,
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
                self.rounds.insert((key.clone(), *version), 0);
            }
        }
    }

    /// Records that this daemon has a version, also if that is one it cannot use.
    pub fn on_held(&mut self, object: &Object) {
        let versions = |version| (object.key.clone(), version);
        let up_to_held = self.rounds.range(versions(0)..=versions(object.version));
        let up_to_held: Vec<_> = up_to_held.map(|(version, _)| version.clone()).collect();
        for version in up_to_held {
            self.rounds.remove(&version);
        }
    }

    /// Counts a round; forgets versions that no daemon has announced for
    /// [`ANNOUNCEMENT_TTL_ROUNDS`].
    pub fn on_round(&mut self) {
        self.rounds.retain(|_, rounds| {
            *rounds += 1;
            *rounds < ANNOUNCEMENT_TTL_ROUNDS
        });
    }

    /// The newest version of any object under a prefix that was announced and that this daemon
    /// lacks.
    pub fn newest(&self, prefix: &str) -> Option<id::Version> {
        let from_prefix = self.rounds.range((Key::new(prefix), 0)..);
        let under_prefix = from_prefix.take_while(|((key, _), _)| key.starts_with(prefix));
        under_prefix.map(|((_, version), _)| *version).max()
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
