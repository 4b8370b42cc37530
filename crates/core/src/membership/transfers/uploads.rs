//! The side of a transfer that has the value.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use smol_str::SmolStr;

use super::{
    Encoding, Fetch, PART_BYTES, Part, REQUEST_TIMEOUT_FLUSHES, SharedEncoding, UPLOADS_MAX,
};
use super::{LARGE_VALUE_BYTES, Transfer, UPLOAD_BYTES, UPLOAD_BYTES_MAX};
use crate::delta;
use crate::id;
use crate::replica::{Key, Object, Replica};

/// Earlier versions of a value that are kept to express later ones as changes. Hosts that are
/// further behind fetch the whole value.
const EARLIER_MAX: usize = 3;
/// Maximum size of the earlier versions of a value, bytes.
const EARLIER_MAX_BYTES: usize = 4 << 20;
/// Encodings of the newest version that are kept; hosts that lack it have one of a few versions.
const ENCODINGS_MAX: usize = EARLIER_MAX + 1;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Earlier {
    version: id::Version,
    value: SmolStr,
    hash: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Upload {
    key: Key,
    encoding: SharedEncoding,
    is_complete: bool,
    idle_flushes: u32,
}

/// What other daemons fetch from this one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(in crate::membership) struct Uploads {
    /// Bytes that may still be sent to daemons that begin to fetch.
    allowance: usize,
    earlier: BTreeMap<Key, VecDeque<Earlier>>,
    encodings: BTreeMap<Key, Vec<SharedEncoding>>,
    /// By the host that fetches.
    by_host: BTreeMap<id::HostName, Upload>,
}

impl Default for Uploads {
    fn default() -> Self {
        Self {
            allowance: UPLOAD_BYTES_MAX,
            earlier: BTreeMap::new(),
            encodings: BTreeMap::new(),
            by_host: BTreeMap::new(),
        }
    }
}

impl Uploads {
    /// Keeps the value that a newer version of an object replaces.
    pub fn on_replaced(&mut self, replaced: &Object) {
        if replaced.value.len() <= LARGE_VALUE_BYTES {
            return;
        }
        self.encodings.remove(&replaced.key);
        let earlier = self.earlier.entry(replaced.key.clone()).or_default();
        earlier.push_back(Earlier {
            version: replaced.version,
            hash: delta::hash(replaced.value.as_bytes()),
            value: replaced.value.clone(),
        });
        let total = |earlier: &VecDeque<Earlier>| -> usize {
            earlier.iter().map(|earlier| earlier.value.len()).sum()
        };
        while earlier.len() > EARLIER_MAX || total(earlier) > EARLIER_MAX_BYTES {
            earlier.pop_front();
        }
    }

    /// The value that an object had at an earlier version, if it is kept.
    pub fn earlier(&self, key: &Key, version: id::Version) -> Option<&SmolStr> {
        let mut earlier = self.earlier.get(key)?.iter();
        let earlier = earlier.find(|earlier| earlier.version == version)?;
        Some(&earlier.value)
    }

    /// Keeps the encoding in which this daemon received a value.
    pub fn keep(&mut self, key: &Key, encoding: Encoding) {
        let encodings = self.encodings.entry(key.clone()).or_default();
        insert(encodings, Arc::new(encoding));
    }

    /// Replies to a request of a host.
    pub fn reply(&mut self, host: &id::HostName, fetch: &Fetch, replica: &Replica) -> Transfer {
        let is_resumed =
            |upload: &&Upload| upload.key == fetch.key && upload.encoding.hash == fetch.encoding;
        if let Some(upload) = self.by_host.get(host).filter(is_resumed) {
            return self.part(host, &upload.encoding.clone(), fetch);
        }
        let unavailable = |is_busy| Transfer::Unavailable {
            key: fetch.key.clone(),
            is_busy,
        };
        let object = replica.get(&fetch.key);
        let Some(object) = object.filter(|object| Some(object.version) > fetch.held) else {
            return unavailable(false);
        };
        let others = self.by_host.iter().filter(|(other, _)| *other != host);
        let unfinished = others.filter(|(_, upload)| !upload.is_complete);
        if unfinished.count() >= UPLOADS_MAX || self.allowance == 0 {
            return unavailable(true);
        }
        let Some(encoding) = self.encoding(object, fetch) else {
            return unavailable(false);
        };
        // The entry of the host may have been replaced by its upload of another key.
        let is_known = encoding.hash == fetch.encoding;
        let next = Fetch {
            offset: if is_known { fetch.offset } else { 0 },
            ..fetch.clone()
        };
        self.part(host, &encoding, &next)
    }

    /// Forgets the uploads of hosts that have stopped asking.
    pub fn flush(&mut self) {
        self.allowance = (self.allowance + UPLOAD_BYTES).min(UPLOAD_BYTES_MAX);
        for upload in self.by_host.values_mut() {
            upload.idle_flushes += 1;
        }
        self.by_host
            .retain(|_, upload| upload.idle_flushes < REQUEST_TIMEOUT_FLUSHES);
    }

    fn part(&mut self, host: &id::HostName, encoding: &SharedEncoding, fetch: &Fetch) -> Transfer {
        let len = encoding.bytes.len();
        let begin = usize::try_from(fetch.offset).unwrap_or(len).min(len);
        let end = (begin + PART_BYTES).min(len);
        self.allowance = self.allowance.saturating_sub(end - begin);
        let upload = Upload {
            key: fetch.key.clone(),
            encoding: encoding.clone(),
            is_complete: end == len,
            idle_flushes: 0,
        };
        self.by_host.insert(host.clone(), upload);
        Transfer::Part(Part {
            key: fetch.key.clone(),
            version: encoding.version,
            base: encoding.base,
            encoding: encoding.hash,
            encoded_bytes: len as u64,
            value_bytes: encoding.value_bytes,
            value_hash: encoding.value_hash,
            offset: begin as u64,
            bytes: encoding.bytes[begin..end].to_vec(),
        })
    }

    /// The value as a change of what the host has, if that is known here, else the whole value.
    fn encoding(&mut self, object: &Object, fetch: &Fetch) -> Option<SharedEncoding> {
        let earlier = self.earlier.get(&object.key).into_iter().flatten();
        let mut earlier = earlier.filter(|earlier| Some(earlier.version) == fetch.held);
        let base = earlier.find(|earlier| Some(earlier.hash) == fetch.held_hash);
        let base_version = base.map(|base| base.version);
        let encodings = self.encodings.entry(object.key.clone()).or_default();
        let is_known =
            |known: &&SharedEncoding| known.base == base_version && known.version == object.version;
        if let Some(known) = encodings.iter().find(is_known) {
            return Some(known.clone());
        }
        let base = base.map_or("", |base| base.value.as_str());
        let bytes = delta::encode(base, &object.value).ok()?;
        let encoding = Arc::new(Encoding {
            version: object.version,
            base: base_version,
            hash: delta::hash(&bytes),
            value_bytes: object.value.len() as u64,
            value_hash: delta::hash(object.value.as_bytes()),
            bytes,
        });
        insert(encodings, encoding.clone());
        Some(encoding)
    }
}

/// Adds an encoding of the newest version; those of other versions are of no use any more.
fn insert(encodings: &mut Vec<SharedEncoding>, encoding: SharedEncoding) {
    encodings.retain(|known| known.version == encoding.version && known.base != encoding.base);
    encodings.truncate(ENCODINGS_MAX - 1);
    encodings.push(encoding);
}
