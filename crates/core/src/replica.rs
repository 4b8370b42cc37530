//! A copy of the platform's objects in which versions never decrease.

use std::collections::BTreeMap;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::id;

/// Key of an object at the platform.
pub type Key = SmolStr;

/// An object stored at the platform.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Object {
    /// The object's key.
    pub key: Key,
    /// Version assigned by the platform.
    pub version: id::Version,
    /// The value, as text.
    pub value: SmolStr,
}

/// Compact summary of a replica, used to detect differences between two replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest {
    /// Hash over all keys and versions.
    pub hash: u64,
    /// Highest version of any object.
    pub newest: id::Version,
}

/// The newest known version of each object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Replica {
    objects: BTreeMap<Key, Object>,
}

impl Replica {
    /// Stores an object if it is newer than the held version; returns whether it was.
    pub fn merge(&mut self, object: &Object) -> bool {
        let is_newer = self
            .objects
            .get(&object.key)
            .is_none_or(|held| held.version < object.version);
        if is_newer {
            self.objects.insert(object.key.clone(), object.clone());
        }
        is_newer
    }

    /// All objects, ordered by key.
    pub fn objects(&self) -> impl Iterator<Item = &Object> {
        self.objects.values()
    }

    /// The object with a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Object> {
        self.objects.get(key)
    }

    /// Versions of all objects, by key.
    #[must_use]
    pub fn versions(&self) -> BTreeMap<Key, id::Version> {
        self.objects
            .values()
            .map(|object| (object.key.clone(), object.version))
            .collect()
    }

    /// Objects that are newer than in `versions`, or missing from it.
    #[must_use]
    pub fn newer_than(&self, versions: &BTreeMap<Key, id::Version>) -> Vec<Object> {
        self.objects
            .values()
            .filter(|object| {
                versions
                    .get(&object.key)
                    .is_none_or(|v| *v < object.version)
            })
            .cloned()
            .collect()
    }

    /// Computes the replica's digest.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let mut hasher = DefaultHasher::new();
        for object in self.objects.values() {
            (&object.key, object.version).hash(&mut hasher);
        }
        Digest {
            hash: hasher.finish(),
            newest: self.objects.values().map(|o| o.version).max().unwrap_or(0),
        }
    }
}
