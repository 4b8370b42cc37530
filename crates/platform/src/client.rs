//! Client of the object API.

use std::time::Duration;

use pollenrouter_core::{id, replica};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use ureq::http::Request;

use crate::dialect::{self, Dialect, Follow, Freshness};

/// A healthy platform answers in milliseconds; one that is slower by this much is
/// asked again.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time for which a watch waits for changes.
pub const WATCH_WAIT: Duration = Duration::from_secs(10);
const OK: u16 = 200;
const CREATED: u16 = 201;
const NOT_FOUND: u16 = 404;
const CONFLICT: u16 = 409;
const GONE: u16 = 410;

quick_error! {
    /// A call to the platform failed.
    #[derive(Debug)]
    pub enum PlatformError {
        /// The object has another version than the one that was named; with the object,
        /// where the platform tells it.
        Conflict(
            key: SmolStr,
            named: id::Version,
            current: id::Version,
            held: Option<replica::Object>
        ) {
            display("object `{key}` is at version {current}, the change is based on version {named}")
        }
        /// The changes since the named revision are no longer there.
        Compacted {
            display("the platform no longer has the changes since that revision")
        }
        /// No answer, or not one of the object API; a write may have taken effect.
        Unavailable(reason: String) {
            display("platform is unavailable: {reason}")
        }
    }
}

/// Objects as of a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The platform's revision.
    pub revision: id::Version,
    /// The objects.
    pub objects: Vec<replica::Object>,
}

/// Client of one platform.
#[derive(Clone, Debug)]
pub struct Client {
    base: SmolStr,
    dialect: Dialect,
    agent: ureq::Agent,
}

impl Client {
    /// A client of a platform that speaks the product's own object API; `base` is
    /// an address such as `http://10.0.0.1:7000`.
    #[must_use]
    pub fn new(base: &str) -> Self {
        Self::with_dialect(base, dialect::OWN)
    }

    /// A client of a platform with a dialect of its own.
    #[must_use]
    pub fn with_dialect(base: &str, dialect: Dialect) -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CALL_TIMEOUT))
            .max_idle_connections(4)
            .build();
        Self {
            base: base.trim_end_matches('/').into(),
            dialect,
            agent: config.into(),
        }
    }

    /// Prefixes of keys that are read, each by calls of its own, and how they are
    /// followed.
    #[must_use]
    pub fn prefixes(&self) -> &'static [(&'static str, Follow)] {
        self.dialect.prefixes
    }

    /// Reads one object.
    ///
    /// # Errors
    /// [`PlatformError::Unavailable`].
    pub fn get(&self, key: &str) -> Result<Option<replica::Object>, PlatformError> {
        let path = (self.dialect.object)(key);
        match self.read(&path, CALL_TIMEOUT)? {
            (OK, body) => {
                let object = (self.dialect.read_object)(key, &body).map_err(malformed)?;
                Ok(Some(object))
            }
            (NOT_FOUND, _) => Ok(None),
            (other, _) => Err(unexpected(other)),
        }
    }

    /// Reads all objects whose keys begin with `prefix`; the revision is the lowest
    /// one of its pages.
    ///
    /// # Errors
    /// [`PlatformError::Unavailable`].
    pub fn list(&self, prefix: &str, freshness: Freshness) -> Result<Listing, PlatformError> {
        let mut whole = Listing {
            revision: id::Version::MAX,
            objects: Vec::new(),
        };
        let mut after = SmolStr::default();
        loop {
            let path = (self.dialect.list)(prefix, &after, freshness);
            let body = match self.read(&path, CALL_TIMEOUT)? {
                (OK, body) => body,
                (other, _) => return Err(unexpected(other)),
            };
            let page = (self.dialect.read_page)(prefix, &body).map_err(malformed)?;
            whole.revision = whole.revision.min(page.listing.revision);
            whole.objects.extend(page.listing.objects);
            match page.next {
                Some(next) => after = next,
                None => return Ok(whole),
            }
        }
    }

    /// Waits for objects that are newer than a revision.
    ///
    /// # Errors
    /// [`PlatformError::Unavailable`], or [`PlatformError::Compacted`] if a listing
    /// has to come first.
    pub fn watch(&self, prefix: &str, after: id::Version) -> Result<Listing, PlatformError> {
        let path = (self.dialect.watch)(prefix, after, WATCH_WAIT);
        match self.read(&path, WATCH_WAIT + CALL_TIMEOUT)? {
            (OK, body) => (self.dialect.read_changes)(prefix, &body).map_err(malformed),
            (GONE, _) => Err(PlatformError::Compacted),
            (other, _) => Err(unexpected(other)),
        }
    }

    /// Writes an object if it is still at version `named`; 0 creates it.
    ///
    /// # Errors
    /// [`PlatformError::Conflict`] names both versions;
    /// [`PlatformError::Unavailable`] leaves open whether the write took effect.
    pub fn put(
        &self,
        key: &str,
        value: &str,
        named: id::Version,
    ) -> Result<id::Version, PlatformError> {
        let write = (self.dialect.write)(key, value, named);
        let (status, body) =
            self.call(write.method, &write.path, Some(write.body), CALL_TIMEOUT)?;
        match status {
            OK | CREATED => (self.dialect.read_version)(&body).map_err(malformed),
            CONFLICT => {
                let current = (self.dialect.read_version)(&body).map_err(malformed)?;
                let held = (self.dialect.read_object)(key, &body).ok();
                Err(PlatformError::Conflict(key.into(), named, current, held))
            }
            other => Err(unexpected(other)),
        }
    }

    /// Writes an object like [`Client::put`]; after a failure or a conflict it
    /// reads the object, and takes a value equal to its own for its own write.
    ///
    /// # Errors
    /// Those of [`Client::put`].
    pub fn put_recognized(
        &self,
        key: &str,
        value: &str,
        named: id::Version,
    ) -> Result<id::Version, PlatformError> {
        let failed = match self.put(key, value, named) {
            Ok(version) => return Ok(version),
            Err(failed) => failed,
        };
        let held = match &failed {
            PlatformError::Conflict(_, _, _, Some(held)) => Some(held.clone()),
            // The read's own failure says no more than that of the write.
            _ => self.get(key).unwrap_or_default(),
        };
        match held {
            Some(object) if object.value == value => Ok(object.version),
            _ => Err(failed),
        }
    }

    fn read(&self, path: &str, timeout: Duration) -> Result<(u16, String), PlatformError> {
        self.call("GET", path, None, timeout)
    }

    fn call(
        &self,
        method: &str,
        path: &str,
        body: Option<String>,
        timeout: Duration,
    ) -> Result<(u16, String), PlatformError> {
        let failed = |err: &dyn std::fmt::Display| {
            PlatformError::Unavailable(format!("{method} {path}: {err}"))
        };
        let request = Request::builder()
            .method(method)
            .uri(format!("{}/{path}", self.base))
            .header("content-type", "application/json");
        let answer = match body {
            None => request
                .body(())
                .map_err(ureq::Error::from)
                .and_then(|request| self.run(request, timeout)),
            Some(body) => request
                .body(body)
                .map_err(ureq::Error::from)
                .and_then(|request| self.run(request, timeout)),
        };
        let mut answer = answer.map_err(|err| failed(&err))?;
        let status = answer.status().as_u16();
        let text = answer.body_mut().read_to_string();
        Ok((status, text.map_err(|err| failed(&err))?))
    }

    fn run<T: ureq::AsSendBody>(
        &self,
        request: Request<T>,
        timeout: Duration,
    ) -> Result<ureq::http::Response<ureq::Body>, ureq::Error> {
        let configured = self.agent.configure_request(request);
        let request = configured.timeout_global(Some(timeout)).build();
        self.agent.run(request)
    }
}

fn malformed(reason: dialect::ReadError) -> PlatformError {
    PlatformError::Unavailable(reason)
}

fn unexpected(status: u16) -> PlatformError {
    PlatformError::Unavailable(format!("status {status}"))
}
