//! Organisations: the keys of their callers, their priority and their quotas.

use std::collections::BTreeMap;
use std::fmt;
use std::str;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::id;
use crate::rate::RateLimit;

const DIGEST_BYTES: usize = 32;
const HEX: u32 = 16;

/// SHA-256 digest of a key. Keys themselves are not kept. A look-up takes time that depends on
/// digests only, from which nothing can be learned about keys.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

quick_error! {
    /// The text is not a digest of a key.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum DigestError {
        /// It is not a hexadecimal number of 256 bits.
        Malformed { display("the digest of a key is not a hexadecimal number of 256 bits") }
    }
}

/// An organisation, whose callers are told by their keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Organisation {
    /// Priority of its calls in place of that of their route; 0 is the highest.
    pub rank: Option<u8>,
    /// Calls that the whole fleet admits for it; `None` for no limit.
    pub quota: Option<Quota>,
}

/// Limit on the calls of one organisation over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Quota {
    /// Calls per second.
    pub rate: RateLimit,
    /// Calls beyond the rate that may come at once.
    pub burst: u32,
}

/// All organisations of a routing table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Organisations {
    by_name: BTreeMap<id::OrganisationName, Organisation>,
    by_key: BTreeMap<KeyDigest, id::OrganisationName>,
}

impl KeyDigest {
    /// The digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "KeyDigest({self})")
    }
}

impl str::FromStr for KeyDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        let is_hex = text.len() == 2 * DIGEST_BYTES && text.bytes().all(|b| b.is_ascii_hexdigit());
        if !is_hex {
            return Err(DigestError::Malformed);
        }
        let mut digest = [0; DIGEST_BYTES];
        for (index, byte) in digest.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, HEX).map_err(|_| DigestError::Malformed)?;
        }
        Ok(Self(digest))
    }
}

impl Organisations {
    /// Adds an organisation with the digests of its keys. Returns the names of other
    /// organisations that hold one of the same keys; the key stays theirs.
    pub fn insert(
        &mut self,
        name: id::OrganisationName,
        organisation: Organisation,
        keys: impl IntoIterator<Item = KeyDigest>,
    ) -> Vec<id::OrganisationName> {
        let mut holders = Vec::new();
        for key in keys {
            let holder = self.by_key.entry(key).or_insert_with(|| name.clone());
            if *holder != name {
                holders.push(holder.clone());
            }
        }
        self.by_name.insert(name, organisation);
        holders
    }

    /// The organisation with a name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Organisation> {
        self.by_name.get(name)
    }

    /// Name of the organisation that holds a key.
    #[must_use]
    pub fn holder_of(&self, key: KeyDigest) -> Option<&id::OrganisationName> {
        self.by_key.get(&key)
    }

    /// All organisations, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (&id::OrganisationName, &Organisation)> {
        self.by_name.iter()
    }

    /// Lowest priority that an organisation names, if any does.
    #[must_use]
    pub fn last_rank(&self) -> Option<u8> {
        self.by_name.values().filter_map(|o| o.rank).max()
    }
}
