//! The side of a transfer that lacks the value.

use std::collections::{BTreeMap, VecDeque};

use smol_str::SmolStr;

use super::{Encoding, Fetch, Part, REQUEST_TIMEOUT_FLUSHES, RETRY_FLUSHES};
use crate::delta::{self, DecodeError};
use crate::id;
use crate::replica::{Key, Object};

/// A request that waits for its part.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Request {
    host: id::HostName,
    /// Version that this daemon has.
    held: Option<id::Version>,
    /// Hash of its value; `None` to get the whole new one.
    held_hash: Option<u64>,
    /// Flush intervals since the latest part.
    waiting: u32,
}

/// A value that is being fetched.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Download {
    /// Newest version that was announced.
    newest: id::Version,
    /// Hosts that have announced a version, the next one to ask first.
    sources: VecDeque<(id::HostName, id::Version)>,
    request: Option<Request>,
    /// Hash of the encoding that `received` is the beginning of; 0 before the first part.
    encoding: u64,
    /// Parts that have arrived, from any host.
    received: Vec<u8>,
    /// Failed requests since the latest pause.
    failures: usize,
    /// Flush intervals until the next request.
    pause: u32,
    /// Whether a change of the held version did not lead to the value, so that the whole is fetched.
    needs_whole: bool,
}

/// What a part leads to.
#[derive(Debug)]
pub(in crate::membership) enum Progress {
    /// The part is not the next one.
    Ignored,
    /// Further parts are missing.
    Continue,
    /// The object is complete; with its encoding, for others that lack it.
    Complete(Object, Encoding),
    /// The parts do not make up the value.
    Failed(DecodeError),
}

/// Values that this daemon fetches from others, and the versions that they are fetched for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(in crate::membership) struct Downloads {
    downloads: BTreeMap<Key, Download>,
}

impl Download {
    /// Gives up the request to a host; the others are asked first.
    fn give_up(&mut self, host: &id::HostName) {
        if self.request.take_if(|r| r.host == *host).is_some() {
            self.count_failure(host);
        }
    }

    /// Records a failed request to a host. Once all hosts have failed, the next request waits: hosts
    /// that are busy or out of reach would otherwise be asked as fast as they answer.
    fn count_failure(&mut self, host: &id::HostName) {
        let position = self.sources.iter().position(|(h, _)| h == host);
        if let Some(source) = position.and_then(|position| self.sources.remove(position)) {
            self.sources.push_back(source);
        }
        self.failures += 1;
        if self.failures >= self.sources.len() {
            self.failures = 0;
            self.pause = RETRY_FLUSHES;
        }
    }
}

impl Downloads {
    /// Records that a host has a version that this daemon lacks.
    pub fn announced(&mut self, host: &id::HostName, key: Key, version: id::Version) {
        let download = self.downloads.entry(key).or_default();
        let position = download.sources.iter().position(|(h, _)| h == host);
        if version > download.newest {
            // Asked first, so that no version is fetched that is replaced by the next one.
            download.newest = version;
            position.and_then(|position| download.sources.remove(position));
            download.sources.push_front((host.clone(), version));
            return;
        }
        match position.and_then(|position| download.sources.get_mut(position)) {
            Some((_, known)) => *known = version.max(*known),
            None => download.sources.push_back((host.clone(), version)),
        }
    }

    /// Records the version that this daemon has now.
    pub fn on_held(&mut self, key: &Key, held: id::Version) {
        let Some(download) = self.downloads.get_mut(key) else {
            return;
        };
        download.sources.retain(|(_, version)| *version > held);
        download.needs_whole = false;
        download.failures = 0;
        download.pause = 0;
        if download.newest <= held {
            self.downloads.remove(key);
        }
    }

    /// Keys of which a part has to be requested, because no request is under way.
    pub fn idle(&self) -> Vec<Key> {
        let is_idle = |download: &&Download| {
            download.request.is_none() && download.pause == 0 && !download.sources.is_empty()
        };
        let idle = self.downloads.iter();
        let idle = idle.filter(|(_, download)| is_idle(download));
        idle.map(|(key, _)| key.clone()).collect()
    }

    /// The next request for a value, and the host that it goes to. `held` is the version and the
    /// value that this daemon has.
    pub fn request(
        &mut self,
        key: &Key,
        held: Option<(id::Version, &SmolStr)>,
    ) -> Option<(id::HostName, Fetch)> {
        let download = self.downloads.get_mut(key)?;
        if download.request.is_none() {
            let (host, _) = download.sources.front()?;
            let base = held.filter(|_| !download.needs_whole);
            download.request = Some(Request {
                host: host.clone(),
                held: held.map(|(version, _)| version),
                held_hash: base.map(|(_, value)| delta::hash(value.as_bytes())),
                waiting: 0,
            });
        }
        let request = download.request.as_ref()?;
        let fetch = Fetch {
            key: key.clone(),
            held: request.held,
            held_hash: request.held_hash,
            encoding: download.encoding,
            offset: download.received.len() as u64,
        };
        Some((request.host.clone(), fetch))
    }

    /// Processes a part. `base` returns the value of a version that this daemon has or has had.
    pub fn received<'a>(
        &mut self,
        host: &id::HostName,
        part: &Part,
        base: impl FnOnce(id::Version) -> Option<&'a SmolStr>,
    ) -> Progress {
        let Some(download) = self.downloads.get_mut(&part.key) else {
            return Progress::Ignored;
        };
        if download.encoding != part.encoding && part.offset == 0 {
            // The first part, or that of a newer version than the host had before.
            download.encoding = part.encoding;
            download.received.clear();
        }
        // Parts that come late, after another host was asked, are of use as well.
        let is_expected = download.encoding == part.encoding
            && download.received.len() as u64 == part.offset
            && part.encoded_bytes <= delta::VALUE_MAX_BYTES;
        if !is_expected || part.bytes.is_empty() {
            return Progress::Ignored;
        }
        download.received.extend_from_slice(&part.bytes);
        if let Some(request) = &mut download.request {
            request.waiting = 0;
        }
        if (download.received.len() as u64) < part.encoded_bytes {
            return Progress::Continue;
        }
        let received = std::mem::take(&mut download.received);
        download.encoding = 0;
        download.request = None;
        let base = match part.base {
            None => Some(""),
            Some(version) => base(version).map(SmolStr::as_str),
        };
        let decoded = base
            .ok_or(DecodeError::Mismatch)
            .and_then(|base| delta::decode(base, &received, part.value_bytes, part.value_hash));
        match decoded {
            Ok(value) => {
                let object = Object {
                    key: part.key.clone(),
                    version: part.version,
                    value,
                };
                let encoding = Encoding {
                    version: part.version,
                    base: part.base,
                    hash: part.encoding,
                    value_bytes: part.value_bytes,
                    value_hash: part.value_hash,
                    bytes: received,
                };
                Progress::Complete(object, encoding)
            }
            Err(err) => {
                download.needs_whole = true;
                download.count_failure(host);
                Progress::Failed(err)
            }
        }
    }

    /// A host does not have the value, or serves too many others.
    pub fn unavailable(&mut self, host: &id::HostName, key: &Key, is_busy: bool) {
        if let Some(download) = self.downloads.get_mut(key) {
            if is_busy {
                download.give_up(host);
            } else {
                download.request.take_if(|request| request.host == *host);
                download.sources.retain(|(source, _)| source != host);
            }
        }
    }

    /// A message to a host was not delivered.
    pub fn unreachable(&mut self, host: &id::HostName) {
        for download in self.downloads.values_mut() {
            download.give_up(host);
        }
    }

    /// A flush interval has passed: gives up requests that were not answered.
    pub fn flush(&mut self) {
        for download in self.downloads.values_mut() {
            download.pause = download.pause.saturating_sub(1);
            let Some(request) = &mut download.request else {
                continue;
            };
            request.waiting += 1;
            if request.waiting >= REQUEST_TIMEOUT_FLUSHES {
                let host = request.host.clone();
                download.give_up(&host);
            }
        }
    }
}
