//! Evacuated failure domains: an operator asks that nothing more is sent to the targets there.
//!
//! Each evacuation is one object of the platform. A replica never drops an object, since a peer
//! could bring it back; the removal is a later version of the object, with [`REMOVED`] as its value.

use std::collections::BTreeSet;

use crate::id;
use crate::replica::{Object, Replica};

/// Value of an object that exists. What else the operator has written into it has no meaning.
pub const EXISTS: &str = "{}";
/// Value of an object that has been removed.
pub const REMOVED: &str = "removed";

/// The failure domains that are evacuated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Evacuations {
    domains: BTreeSet<id::DomainName>,
}

impl Evacuations {
    /// Applies the newest version of the evacuation of a domain; returns whether it changes
    /// anything.
    pub fn apply(&mut self, domain: &str, value: &str) -> bool {
        if value == REMOVED {
            self.domains.remove(domain)
        } else {
            self.domains.insert(domain.into())
        }
    }

    /// Whether nothing may be sent to the targets of a domain.
    #[must_use]
    pub fn contains(&self, domain: &str) -> bool {
        self.domains.contains(domain)
    }

    /// The evacuated domains, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &id::DomainName> {
        self.domains.iter()
    }
}

/// Removals that follow from a listing of all objects under `prefix` as of `revision`, which must
/// not be stale: of each object that is held in an earlier version and is not listed. One that is
/// held in a later version was written after the listing.
#[must_use]
pub fn removals(
    held: &Replica,
    prefix: &str,
    listed: &[Object],
    revision: id::Version,
) -> Vec<Object> {
    let listed: BTreeSet<&str> = listed.iter().map(|object| object.key.as_str()).collect();
    let of_kind = held.objects().filter(|o| o.key.starts_with(prefix));
    let removed = of_kind.filter(|object| {
        let is_earlier = object.version < revision;
        is_earlier && object.value != REMOVED && !listed.contains(object.key.as_str())
    });
    let removed = removed.map(|object| Object {
        key: object.key.clone(),
        version: revision,
        value: REMOVED.into(),
    });
    removed.collect()
}
