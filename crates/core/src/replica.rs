//! A copy of the platform's objects that only moves forward.

use std::collections::BTreeMap;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::id;

/// Key of an object at the platform.
pub type Key = SmolStr;

/// One object of the platform.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Object {
    /// The object's key.
    pub key: Key,
    /// The platform's version of it.
    pub version: id::Version,
    /// The value, as text.
    pub value: SmolStr,
}

/// A short description of a replica, for comparing two of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest {
    /// Hash over all keys and versions.
    pub hash: u64,
    /// The highest version held.
    pub newest: id::Version,
}

/// The newest known version of each object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Replica {
    objects: BTreeMap<Key, Object>,
}

impl Replica {
    /// Takes in an object if it is newer than what is held; tells whether it was.
    pub fn merge(&mut self, object: &Object) -> bool {
        let newer = self
            .objects
            .get(&object.key)
            .is_none_or(|held| held.version < object.version);
        if newer {
            self.objects.insert(object.key.clone(), object.clone());
        }
        newer
    }

    /// All objects in the order of their keys.
    pub fn objects(&self) -> impl Iterator<Item = &Object> {
        self.objects.values()
    }

    /// The object with a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Object> {
        self.objects.get(key)
    }

    /// Versions of all objects held.
    #[must_use]
    pub fn versions(&self) -> BTreeMap<Key, id::Version> {
        self.objects
            .values()
            .map(|object| (object.key.clone(), object.version))
            .collect()
    }

    /// Objects that are newer here than in `versions`.
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

    /// The replica's digest.
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
