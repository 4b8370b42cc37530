//! HTTP client for the platform's object API.

use std::sync::Arc;
use std::time::Duration;

use log::warn;
use pollenrouter_core::{id, replica, version};
use quick_error::quick_error;
use smol_str::SmolStr;
use ureq::http::{HeaderMap, Request};

use crate::dialect::{self, Dialect, Freshness, SyncMode};
use crate::era;
use crate::listing::Listing;
use crate::transport;

/// Time for the head of a response. A healthy platform answers within milliseconds, so a request
/// that takes this long is better retried than waited for.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time for the head of the response to a watch once its wait is over. Later, its connection counts
/// as silent.
const WATCH_GRACE: Duration = Duration::from_millis(750);
const OK: u16 = 200;
const CREATED: u16 = 201;
const NOT_FOUND: u16 = 404;
const CONFLICT: u16 = 409;
const GONE: u16 = 410;

quick_error! {
    /// Error of a request to the platform.
    #[derive(Debug)]
    pub enum PlatformError {
        /// The object is not at the expected version; with the stored object if the
        /// platform returns it.
        Conflict(
            key: SmolStr,
            expected: id::Version,
            current: id::Version,
            stored: Option<replica::Object>
        ) {
            display("object `{key}` is at version {current}, the change is based on version {expected}")
        }
        /// The platform no longer keeps the changes since the requested revision.
        Compacted {
            display("the platform no longer keeps the changes since the requested revision")
        }
        /// No response, or one that is not valid in the object API; a write may have been
        /// applied.
        Unavailable(reason: String) {
            display("platform is unavailable: {reason}")
        }
    }
}

/// Response of the platform.
struct Response {
    status: u16,
    /// Era in which it was given.
    era: u64,
    /// Whether it states that era; else it is the current one.
    states_era: bool,
    body: String,
}

/// Client for one platform.
#[derive(Clone, Debug)]
pub struct Client {
    base_url: SmolStr,
    dialect: Dialect,
    era: Arc<era::Tracker>,
}

impl Client {
    /// Creates a client for a platform that uses pollenrouter's own object API at
    /// `base_url`, such as `http://10.0.0.1:7000`.
    #[must_use]
    pub fn new(base_url: &str) -> Self {
        Self::with_dialect(base_url, dialect::OWN)
    }

    /// Creates a client for a platform that uses `dialect` at `base_url`.
    #[must_use]
    pub fn with_dialect(base_url: &str, dialect: Dialect) -> Self {
        Self {
            base_url: base_url.trim_end_matches('/').into(),
            dialect,
            era: Arc::default(),
        }
    }

    /// Key prefixes that are read separately, and how daemons learn of changes under each.
    #[must_use]
    pub fn prefixes(&self) -> &'static [(&'static str, SyncMode)] {
        self.dialect.prefixes
    }

    /// Reads one object.
    ///
    /// # Errors
    /// [`PlatformError::Unavailable`].
    pub fn get(&self, key: &str) -> Result<Option<replica::Object>, PlatformError> {
        let path = (self.dialect.object_path)(key);
        let response = self.fetch(&path, REQUEST_TIMEOUT)?;
        match response.status {
            OK => {
                let parsed = (self.dialect.parse_object)(key, &response.body);
                let object = parsed.map_err(malformed_response)?;
                Ok(Some(self.in_era(response.era, object)))
            }
            NOT_FOUND => Ok(None),
            other => Err(unexpected_status(other)),
        }
    }

    /// Reads all objects whose keys begin with `prefix`. The revision is the lowest one of the
    /// pages, so that a watch from there misses no change.
    ///
    /// # Errors
    /// [`PlatformError::Unavailable`].
    pub fn list(&self, prefix: &str, freshness: Freshness) -> Result<Listing, PlatformError> {
        let mut listing = Listing {
            revision: id::Version::MAX,
            objects: Vec::new(),
            is_complete: freshness == Freshness::Current,
        };
        let mut cursor = SmolStr::default();
        loop {
            let path = (self.dialect.list_path)(prefix, &cursor, freshness);
            let response = self.fetch(&path, REQUEST_TIMEOUT)?;
            if response.status != OK {
                return Err(unexpected_status(response.status));
            }
            let page = (self.dialect.parse_page)(prefix, &response.body);
            let page = page.map_err(malformed_response)?;
            let part = self.listing_in_era(response.era, page.listing);
            listing.revision = listing.revision.min(part.revision);
            listing.objects.extend(part.objects);
            listing.is_complete &= part.is_complete;
            match page.next_cursor {
                Some(next) if next != cursor => cursor = next,
                Some(_) => {
                    warn!(prefix, cursor:%; "the platform's listing does not go on, the rest of it is skipped");
                    listing.is_complete = false;
                    return Ok(listing);
                }
                None => return Ok(listing),
            }
        }
    }

    /// Waits, `wait` at most, for objects that changed after the revision `after`.
    ///
    /// # Errors
    /// [`PlatformError::Unavailable`], or [`PlatformError::Compacted`] if the objects have to
    /// be listed again first: the changes are no longer kept, or belong to another era.
    pub fn watch(
        &self,
        prefix: &str,
        after: id::Version,
        wait: Duration,
    ) -> Result<Listing, PlatformError> {
        self.changes(prefix, after, wait, |_| true)
    }

    /// Reads the objects that changed after the revision `after`, without a wait, where requests
    /// have failed since it was reached: the platform may have come back from a copy meanwhile, and
    /// may have given out the revision again. Only an era that the response states rules that out.
    ///
    /// # Errors
    /// Those of [`Client::watch`], with [`PlatformError::Compacted`] also if no era is stated.
    pub fn resume(&self, prefix: &str, after: id::Version) -> Result<Listing, PlatformError> {
        let wait = Duration::from_millis(1);
        self.changes(prefix, after, wait, |response| response.states_era)
    }

    fn changes(
        &self,
        prefix: &str,
        after: id::Version,
        wait: Duration,
        is_valid: impl Fn(&Response) -> bool,
    ) -> Result<Listing, PlatformError> {
        if self.era() != version::era(after) {
            return Err(PlatformError::Compacted);
        }
        let path = (self.dialect.watch_path)(prefix, version::revision(after), wait);
        let response = self.fetch(&path, wait + WATCH_GRACE)?;
        match response.status {
            OK if response.era == version::era(after) && is_valid(&response) => {
                let parsed = (self.dialect.parse_changes)(prefix, &response.body);
                let changes = parsed.map_err(malformed_response)?;
                if changes.revision < version::revision(after) {
                    return Err(PlatformError::Compacted);
                }
                Ok(self.listing_in_era(response.era, changes))
            }
            OK | GONE => Err(PlatformError::Compacted),
            other => Err(unexpected_status(other)),
        }
    }

    /// Writes an object if its version is still `expected`; 0 creates the object.
    ///
    /// # Errors
    /// [`PlatformError::Conflict`] holds both versions; after
    /// [`PlatformError::Unavailable`] the write may or may not have been applied.
    pub fn put(
        &self,
        key: &str,
        value: &str,
        expected: id::Version,
    ) -> Result<id::Version, PlatformError> {
        if expected != 0 && self.era() != version::era(expected) {
            // The revision may have been given out again, for another state of the object.
            let stored = self.get(key)?;
            if self.era() != version::era(expected) {
                let current = stored.as_ref().map_or(0, |object| object.version);
                return Err(PlatformError::Conflict(
                    key.into(),
                    expected,
                    current,
                    stored,
                ));
            }
        }
        let write = (self.dialect.write_request)(key, value, version::revision(expected));
        let response =
            self.request(write.method, &write.path, Some(write.body), REQUEST_TIMEOUT)?;
        match response.status {
            OK | CREATED => {
                let parsed = (self.dialect.parse_version)(&response.body);
                let revision = parsed.map_err(malformed_response)?;
                Ok(version::in_era(response.era, revision))
            }
            CONFLICT => {
                // Not every platform returns the object, or one that can be read.
                let stored = match (self.dialect.parse_object)(key, &response.body) {
                    Ok(object) => Some(self.in_era(response.era, object)),
                    Err(_) => self.get(key)?,
                };
                let current = stored.as_ref().map_or(0, |object| object.version);
                Err(PlatformError::Conflict(
                    key.into(),
                    expected,
                    current,
                    stored,
                ))
            }
            other => Err(unexpected_status(other)),
        }
    }

    /// Writes an object like [`Client::put`]. After a conflict or a failure it compares the stored
    /// object, which it reads if need be: with the same value, the write was applied.
    ///
    /// # Errors
    /// Those of [`Client::put`].
    pub fn put_idempotent(
        &self,
        key: &str,
        value: &str,
        expected: id::Version,
    ) -> Result<id::Version, PlatformError> {
        let error = match self.put(key, value, expected) {
            Ok(version) => return Ok(version),
            Err(error) => error,
        };
        let stored = match &error {
            PlatformError::Conflict(_, _, _, Some(stored)) => Some(stored.clone()),
            // If the read fails too, the error of the write is the one returned.
            _ => self.get(key).unwrap_or_default(),
        };
        match stored {
            Some(object) if object.value == value => Ok(object.version),
            _ => Err(error),
        }
    }

    /// The era of the platform's latest response; 0 if none has stated one.
    #[must_use]
    pub fn era(&self) -> u64 {
        self.era.current()
    }

    fn in_era(&self, era: u64, object: replica::Object) -> replica::Object {
        let own_versions = self.dialect.own_versions.iter();
        let mut own_versions = own_versions.filter(|prefix| object.key.starts_with(**prefix));
        if own_versions.next().is_some() {
            return object;
        }
        replica::Object {
            version: version::in_era(era, object.version),
            ..object
        }
    }

    fn listing_in_era(&self, era: u64, listing: Listing) -> Listing {
        let objects = listing.objects.into_iter();
        Listing {
            revision: version::in_era(era, listing.revision),
            objects: objects.map(|object| self.in_era(era, object)).collect(),
            is_complete: listing.is_complete,
        }
    }

    fn fetch(&self, path: &str, timeout: Duration) -> Result<Response, PlatformError> {
        self.request("GET", path, None, timeout)
    }

    fn request(
        &self,
        method: &str,
        path: &str,
        body: Option<String>,
        timeout: Duration,
    ) -> Result<Response, PlatformError> {
        let unavailable = |err: &dyn std::fmt::Display| {
            PlatformError::Unavailable(format!("{method} {path}: {err}"))
        };
        let request = Request::builder()
            .method(method)
            .uri(format!("{}/{path}", self.base_url))
            .header("content-type", "application/json");
        let number = self.era.begin();
        let response = match body {
            None => request
                .body(())
                .map_err(ureq::Error::from)
                .and_then(|request| transport::send(request, timeout)),
            Some(body) => request
                .body(body)
                .map_err(ureq::Error::from)
                .and_then(|request| transport::send(request, timeout)),
        };
        let mut response = response.map_err(|err| unavailable(&err))?;
        let status = response.status().as_u16();
        let stated_era = self.read_era(response.headers(), number)?;
        let body = response
            .body_mut()
            .with_config()
            .limit(transport::BODY_MAX_BYTES);
        let bytes = body.read_to_vec().map_err(|err| unavailable(&err))?;
        Ok(Response {
            status,
            era: stated_era.unwrap_or_else(|| self.era()),
            states_era: stated_era.is_some(),
            // Bytes that are no text spoil the object that has them, and no other.
            body: String::from_utf8_lossy(&bytes).into_owned(),
        })
    }

    /// The era that the response to a request states; `None` if it states none that can be read.
    fn read_era(
        &self,
        headers: &HeaderMap,
        number: era::RequestNumber,
    ) -> Result<Option<u64>, PlatformError> {
        let header = headers.get(self.dialect.era_header);
        let stated = header.map(|value| value.to_str().ok().and_then(|era| era.parse().ok()));
        let Some(era) = stated.flatten().map(version::from_stated_era) else {
            if let Some(value) = header {
                warn!(value:?; "the platform states an era that cannot be read");
            }
            return Ok(None);
        };
        if self.era.record(era, number) {
            return Ok(Some(era));
        }
        let reason = format!("a response of era {era} came after one of a later era");
        Err(PlatformError::Unavailable(reason))
    }
}

fn malformed_response(reason: dialect::ParseError) -> PlatformError {
    PlatformError::Unavailable(reason)
}

fn unexpected_status(status: u16) -> PlatformError {
    PlatformError::Unavailable(format!("unexpected status {status}"))
}
