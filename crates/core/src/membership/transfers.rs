//! Transfers of large values. A daemon announces the version of a large value, and those that lack
//! it fetch it from one daemon at a time, part by part, as a change of the version that they have.
//! At most one part is in flight in each transfer, so that other messages are not held up.

mod downloads;
mod uploads;

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub(super) use downloads::Downloads;
use downloads::Progress;
pub(super) use uploads::Uploads;

use super::{Membership, Message, Output};
use crate::id;
use crate::replica::{Key, Object};

/// Size above which values are transferred in parts, bytes. Members are smaller.
pub const LARGE_VALUE_BYTES: usize = 32 << 10;
/// Maximum size of a part, bytes. It occupies a link of 10 Mbit/s for 13 ms.
pub const PART_BYTES: usize = 16 << 10;
/// Number of daemons that fetch from one at the same time. Their parts occupy a link of 10 Mbit/s
/// for 105 ms, less than the check of silence, which is 400 ms.
const UPLOADS_MAX: usize = 8;
/// Bytes in each flush interval within which further daemons may begin to fetch: what a link of
/// 10 Mbit/s carries in it.
const UPLOAD_BYTES: usize = 32 << 10;
/// Maximum number of such bytes that unused intervals may add up to.
const UPLOAD_BYTES_MAX: usize = UPLOADS_MAX * PART_BYTES;
/// Flush intervals without a part after which another host is asked, 500 ms.
const REQUEST_TIMEOUT_FLUSHES: u32 = 20;
/// Flush intervals before the next request once all hosts that have a value have failed, 100 ms.
const RETRY_FLUSHES: u32 = 4;

/// A message about a large value.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Transfer {
    /// Versions that the sender has.
    Announce(BTreeMap<Key, id::Version>),
    /// A request for a part.
    Fetch(Fetch),
    /// The requested part.
    Part(Part),
    /// The sender has nothing newer, or serves too many others.
    Unavailable {
        /// Key of the object.
        key: Key,
        /// Whether the sender has the object but serves too many others.
        is_busy: bool,
    },
}

/// A request for a part of an object's encoded value.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fetch {
    /// Key of the object.
    pub key: Key,
    /// Version that the requester has.
    pub held: Option<id::Version>,
    /// Hash of that version's value; `None` to get the whole new value.
    pub held_hash: Option<u64>,
    /// The encoding that the requester has a part of; 0 for none.
    pub encoding: u64,
    /// Position of the part in the encoding, bytes.
    pub offset: u64,
}

/// A part of an object's encoded value.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Part {
    /// Key of the object.
    pub key: Key,
    /// Version of the object.
    pub version: id::Version,
    /// Version that the encoding refers to; `None` for the whole value.
    pub base: Option<id::Version>,
    /// Hash of the encoding.
    pub encoding: u64,
    /// Size of the encoding, bytes.
    pub encoded_bytes: u64,
    /// Size of the value, bytes.
    pub value_bytes: u64,
    /// Hash of the value.
    pub value_hash: u64,
    /// Position of the part in the encoding, bytes.
    pub offset: u64,
    /// The part.
    pub bytes: Vec<u8>,
}

/// An encoded value.
#[derive(Debug, PartialEq, Eq, Hash)]
pub(super) struct Encoding {
    version: id::Version,
    base: Option<id::Version>,
    hash: u64,
    value_bytes: u64,
    value_hash: u64,
    bytes: Vec<u8>,
}

type SharedEncoding = Arc<Encoding>;

/// Separates the versions of large objects from the other objects.
pub(super) fn split(objects: Vec<Object>) -> (BTreeMap<Key, id::Version>, Vec<Object>) {
    let is_large = |object: &Object| object.value.len() > LARGE_VALUE_BYTES;
    let (large, others): (Vec<Object>, Vec<Object>) = objects.into_iter().partition(is_large);
    let large = large.into_iter().map(|object| (object.key, object.version));
    (large.collect(), others)
}

/// Sends an update, and the versions of large objects in it.
pub(super) fn send_update(
    host: &id::HostName,
    message: &Message,
    large: &BTreeMap<Key, id::Version>,
    out: &mut Vec<Output>,
) {
    let has_versions = message.versions.as_ref().is_some_and(|v| !v.is_empty());
    if has_versions || !message.objects.is_empty() {
        out.push(Output::Send(host.clone(), message.clone()));
    }
    if !large.is_empty() {
        let announcement = Transfer::Announce(large.clone());
        out.push(Output::SendTransfer(host.clone(), announcement));
    }
}

impl Membership {
    pub(super) fn transfer_received(
        &mut self,
        host: &id::HostName,
        transfer: Transfer,
        draw: u64,
        out: &mut Vec<Output>,
    ) {
        self.missed_rounds.remove(host);
        match transfer {
            Transfer::Announce(versions) => {
                self.announcements.record(&versions, &self.replica);
                for (key, version) in versions {
                    let held = self.replica.get(&key);
                    if held.is_none_or(|held| held.version < version) {
                        self.downloads.announced(host, key, version);
                    }
                }
            }
            Transfer::Fetch(fetch) => {
                let reply = self.uploads.reply(host, &fetch, &self.replica);
                out.push(Output::SendTransfer(host.clone(), reply));
            }
            Transfer::Part(part) => self.part_received(host, &part, draw, out),
            Transfer::Unavailable { key, is_busy } => {
                self.downloads.unavailable(host, &key, is_busy);
            }
        }
        self.request_parts(out);
    }

    pub(super) fn transfer_undelivered(&mut self, host: &id::HostName, out: &mut Vec<Output>) {
        self.downloads.unreachable(host);
        self.request_parts(out);
    }

    pub(super) fn flush_transfers(&mut self, out: &mut Vec<Output>) {
        self.uploads.flush();
        self.downloads.flush();
        self.request_parts(out);
    }

    /// Requests the first part of values that are announced and not being fetched.
    pub(super) fn request_parts(&mut self, out: &mut Vec<Output>) {
        for key in self.downloads.idle() {
            self.request_part(&key, out);
        }
    }

    fn request_part(&mut self, key: &Key, out: &mut Vec<Output>) {
        let held = self.replica.get(key);
        let held = held.map(|object| (object.version, &object.value));
        if let Some((host, fetch)) = self.downloads.request(key, held) {
            out.push(Output::SendTransfer(host, Transfer::Fetch(fetch)));
        }
    }

    fn part_received(
        &mut self,
        host: &id::HostName,
        part: &Part,
        draw: u64,
        out: &mut Vec<Output>,
    ) {
        let (replica, uploads) = (&self.replica, &self.uploads);
        let base = |version| {
            let held = replica
                .get(&part.key)
                .filter(|held| held.version == version);
            let earlier = || uploads.earlier(&part.key, version);
            held.map(|held| &held.value).or_else(earlier)
        };
        let progress = self.downloads.received(host, part, base);
        let is_new = !matches!(progress, Progress::Ignored);
        self.announcements.count(part.bytes.len(), is_new);
        match progress {
            Progress::Ignored => {}
            Progress::Continue => self.request_part(&part.key, out),
            Progress::Complete(object, encoding) => {
                self.merge(vec![object], draw, out);
                let held = self.replica.get(&part.key);
                if held.is_some_and(|held| held.version == encoding.version) {
                    self.uploads.keep(&part.key, encoding);
                }
            }
            Progress::Failed(err) => {
                let reason = err.to_string().into();
                out.push(Output::TransferFailed(
                    host.clone(),
                    part.key.clone(),
                    reason,
                ));
            }
        }
    }
}
