//! Client of the object API.

use std::time::Duration;

use pollenrouter_core::{id, replica};
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which a watch waits for changes.
pub const WATCH_WAIT: Duration = Duration::from_secs(30);

quick_error! {
    /// A call to the platform failed.
    #[derive(Debug)]
    pub enum PlatformError {
        /// The object has another version than the one that was named.
        Conflict(key: SmolStr, named: id::Version, current: id::Version) {
            display("object `{key}` is at version {current}, the change is based on version {named}")
        }
        /// No answer, or not one of the object API; a write may have taken effect.
        Unavailable(reason: String) {
            display("platform is unavailable: {reason}")
        }
    }
}

/// Objects as of a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The platform's revision.
    pub revision: id::Version,
    /// The objects.
    pub objects: Vec<replica::Object>,
}

#[derive(Serialize, Deserialize)]
struct Written {
    version: id::Version,
}

#[derive(Serialize)]
struct Write<'a> {
    value: &'a str,
}

/// Client of one platform.
#[derive(Clone, Debug)]
pub struct Client {
    base: SmolStr,
    agent: ureq::Agent,
}

impl Client {
    /// A client; `base` is an address such as `http://10.0.0.1:7000`.
    #[must_use]
    pub fn new(base: &str) -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CALL_TIMEOUT))
            .max_idle_connections(4)
            .build();
        Self {
            base: base.trim_end_matches('/').into(),
            agent: config.into(),
        }
    }

    /// Reads one object.
    ///
    /// # Errors
    /// [`PlatformError::Unavailable`].
    pub fn get(&self, key: &str) -> Result<Option<replica::Object>, PlatformError> {
        let (status, body) = self.call("GET", &format!("objects/{key}"), None, CALL_TIMEOUT)?;
        match status {
            200 => parse(&body).map(Some),
            404 => Ok(None),
            other => Err(unexpected(other)),
        }
    }

    /// Reads all objects whose keys begin with `prefix`.
    ///
    /// # Errors
    /// [`PlatformError::Unavailable`].
    pub fn list(&self, prefix: &str) -> Result<Listing, PlatformError> {
        let path = format!("objects?prefix={prefix}");
        self.read(&path, CALL_TIMEOUT)
    }

    /// Waits for objects that are newer than a revision.
    ///
    /// # Errors
    /// [`PlatformError::Unavailable`].
    pub fn watch(&self, after: id::Version) -> Result<Listing, PlatformError> {
        let path = format!("watch?after={after}&wait_ms={}", WATCH_WAIT.as_millis());
        self.read(&path, WATCH_WAIT + CALL_TIMEOUT)
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
        let path = format!("objects/{key}?if_version={named}");
        let body = serde_json::to_string(&Write { value }).map_err(|err| unavailable(&err))?;
        let (status, body) = self.call("PUT", &path, Some(&body), CALL_TIMEOUT)?;
        let written: Written = match status {
            200 | 409 => parse(&body)?,
            other => return Err(unexpected(other)),
        };
        if status == 409 {
            return Err(PlatformError::Conflict(key.into(), named, written.version));
        }
        Ok(written.version)
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
        match self.get(key) {
            Ok(Some(object)) if object.value == value => Ok(object.version),
            _ => Err(failed),
        }
    }

    fn read<T: DeserializeOwned>(&self, path: &str, timeout: Duration) -> Result<T, PlatformError> {
        let (status, body) = self.call("GET", path, None, timeout)?;
        if status != 200 {
            return Err(unexpected(status));
        }
        parse(&body)
    }

    fn call(
        &self,
        method: &str,
        path: &str,
        body: Option<&str>,
        timeout: Duration,
    ) -> Result<(u16, String), PlatformError> {
        let uri = format!("{}/{path}", self.base);
        let answer = match body {
            None => self
                .agent
                .get(&uri)
                .config()
                .timeout_global(Some(timeout))
                .build()
                .call(),
            Some(body) => self
                .agent
                .put(&uri)
                .config()
                .timeout_global(Some(timeout))
                .build()
                .send(body),
        };
        let mut answer = answer.map_err(|err| unavailable(&format!("{method} {path}: {err}")))?;
        let status = answer.status().as_u16();
        let text = answer.body_mut().read_to_string();
        Ok((status, text.map_err(|err| unavailable(&err))?))
    }
}

fn parse<T: DeserializeOwned>(body: &str) -> Result<T, PlatformError> {
    serde_json::from_str(body).map_err(|err| unavailable(&err))
}

fn unexpected(status: u16) -> PlatformError {
    PlatformError::Unavailable(format!("status {status}"))
}

fn unavailable(err: &dyn std::fmt::Display) -> PlatformError {
    PlatformError::Unavailable(err.to_string())
}
