//! HTTP client for the platform's object API.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use log::info;
use pollenrouter_core::{id, replica};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use ureq::http::{HeaderMap, Request};

use crate::dialect::{self, Dialect, Freshness, SyncMode};

/// Timeout of a request. A healthy platform answers within milliseconds, so a request that
/// takes this long is better retried than waited for.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long the platform holds a watch request open while there are no changes.
pub const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Maximum size of a response's body; a page or an object has about 1 MiB.
const BODY_MAX_BYTES: u64 = 4 << 20;
/// Maximum size of a response's head.
const HEAD_MAX_BYTES: usize = 16 << 10;
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

/// Objects as of a revision of the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Revision of the platform.
    pub revision: id::Version,
    /// The objects.
    pub objects: Vec<replica::Object>,
}

/// Client for one platform.
#[derive(Clone, Debug)]
pub struct Client {
    base_url: SmolStr,
    dialect: Dialect,
    agent: ureq::Agent,
    /// The era that the latest response stated; 0 if none.
    era: Arc<AtomicU64>,
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
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(REQUEST_TIMEOUT))
            .max_idle_connections(4)
            .max_response_header_size(HEAD_MAX_BYTES)
            .build();
        Self {
            base_url: base_url.trim_end_matches('/').into(),
            dialect,
            agent: config.into(),
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
        match self.fetch(&path, REQUEST_TIMEOUT)? {
            (OK, body) => {
                let object = (self.dialect.parse_object)(key, &body).map_err(malformed_response)?;
                Ok(Some(object))
            }
            (NOT_FOUND, _) => Ok(None),
            (other, _) => Err(unexpected_status(other)),
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
        };
        let mut cursor = SmolStr::default();
        loop {
            let path = (self.dialect.list_path)(prefix, &cursor, freshness);
            let body = match self.fetch(&path, REQUEST_TIMEOUT)? {
                (OK, body) => body,
                (other, _) => return Err(unexpected_status(other)),
            };
            let page = (self.dialect.parse_page)(prefix, &body).map_err(malformed_response)?;
            listing.revision = listing.revision.min(page.listing.revision);
            listing.objects.extend(page.listing.objects);
            match page.next_cursor {
                Some(next) => cursor = next,
                None => return Ok(listing),
            }
        }
    }

    /// Waits for objects that changed after the revision `after`.
    ///
    /// # Errors
    /// [`PlatformError::Unavailable`], or [`PlatformError::Compacted`] if the objects have to
    /// be listed again first.
    pub fn watch(&self, prefix: &str, after: id::Version) -> Result<Listing, PlatformError> {
        let path = (self.dialect.watch_path)(prefix, after, WATCH_WAIT);
        match self.fetch(&path, WATCH_WAIT + REQUEST_TIMEOUT)? {
            (OK, body) => (self.dialect.parse_changes)(prefix, &body).map_err(malformed_response),
            (GONE, _) => Err(PlatformError::Compacted),
            (other, _) => Err(unexpected_status(other)),
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
        let write = (self.dialect.write_request)(key, value, expected);
        let (status, body) =
            self.request(write.method, &write.path, Some(write.body), REQUEST_TIMEOUT)?;
        match status {
            OK | CREATED => (self.dialect.parse_version)(&body).map_err(malformed_response),
            CONFLICT => {
                let current = (self.dialect.parse_version)(&body).map_err(malformed_response)?;
                let stored = (self.dialect.parse_object)(key, &body).ok();
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

    fn fetch(&self, path: &str, timeout: Duration) -> Result<(u16, String), PlatformError> {
        self.request("GET", path, None, timeout)
    }

    fn request(
        &self,
        method: &str,
        path: &str,
        body: Option<String>,
        timeout: Duration,
    ) -> Result<(u16, String), PlatformError> {
        let unavailable = |err: &dyn std::fmt::Display| {
            PlatformError::Unavailable(format!("{method} {path}: {err}"))
        };
        let request = Request::builder()
            .method(method)
            .uri(format!("{}/{path}", self.base_url))
            .header("content-type", "application/json");
        let response = match body {
            None => request
                .body(())
                .map_err(ureq::Error::from)
                .and_then(|request| self.send(request, timeout)),
            Some(body) => request
                .body(body)
                .map_err(ureq::Error::from)
                .and_then(|request| self.send(request, timeout)),
        };
        let mut response = response.map_err(|err| unavailable(&err))?;
        let status = response.status().as_u16();
        self.log_era(response.headers());
        let body = response.body_mut().with_config().limit(BODY_MAX_BYTES);
        let text = body.read_to_string();
        Ok((status, text.map_err(|err| unavailable(&err))?))
    }

    /// Logs the platform's era when it changes.
    fn log_era(&self, headers: &HeaderMap) {
        let header = self.dialect.era_header;
        let era = headers.get(header).and_then(|value| value.to_str().ok());
        let era: u64 = era.and_then(|era| era.parse().ok()).unwrap_or(0);
        let before = self.era.swap(era, Ordering::Relaxed);
        if before != era {
            info!(before, era; "the platform's era changed");
        }
    }

    fn send<T: ureq::AsSendBody>(
        &self,
        request: Request<T>,
        timeout: Duration,
    ) -> Result<ureq::http::Response<ureq::Body>, ureq::Error> {
        let configured = self.agent.configure_request(request);
        let request = configured.timeout_global(Some(timeout)).build();
        self.agent.run(request)
    }
}

fn malformed_response(reason: dialect::ParseError) -> PlatformError {
    PlatformError::Unavailable(reason)
}

fn unexpected_status(status: u16) -> PlatformError {
    PlatformError::Unavailable(format!("unexpected status {status}"))
}
