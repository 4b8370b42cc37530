//! How a platform's object API is spoken: paths and bodies of its calls.

use std::time::Duration;

use pollenrouter_core::{id, replica};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::client::Listing;

/// Reading of a body failed; says what is wrong.
pub type ReadError = String;

/// A write as a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// HTTP method.
    pub method: &'static str,
    /// Path with its query.
    pub path: String,
    /// Body.
    pub body: String,
}

/// One page of a listing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Its objects and the platform's revision.
    pub listing: Listing,
    /// Where the next page begins, if there is one.
    pub next: Option<SmolStr>,
}

/// How daemons learn of changes to the objects under a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Follow {
    /// A few of them watch the platform.
    Watch,
    /// Daemons tell each other; a few of them read the platform now and then.
    Poll,
}

/// Whether a listing has to be up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// It shows every change that was acknowledged before.
    Current,
    /// It may be some seconds old, where the platform reads so at a lower cost.
    MayLag,
}

/// How one platform is spoken to. Keys are those of [`crate::object`].
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Prefixes of keys that are read, each by calls of its own, and how they are followed.
    pub prefixes: &'static [(&'static str, Follow)],
    /// Path of one object.
    pub object: fn(key: &str) -> String,
    /// Path of a listing, from where the page before it ended.
    pub list: fn(prefix: &str, after: &str, freshness: Freshness) -> String,
    /// Path of a watch.
    pub watch: fn(prefix: &str, after: id::Version, wait: Duration) -> String,
    /// A write of an object that is still at a version; 0 creates it.
    pub write: fn(key: &str, value: &str, named: id::Version) -> Write,
    /// Reads an object.
    pub read_object: fn(key: &str, body: &str) -> Result<replica::Object, ReadError>,
    /// Reads a page of a listing.
    pub read_page: fn(prefix: &str, body: &str) -> Result<Page, ReadError>,
    /// Reads what a watch brought.
    pub read_changes: fn(prefix: &str, body: &str) -> Result<Listing, ReadError>,
    /// Reads the version of an object that was written, or that stands in the way.
    pub read_version: fn(body: &str) -> Result<id::Version, ReadError>,
}

/// The dialect of the product's own object API.
pub const OWN: Dialect = Dialect {
    prefixes: &[("", Follow::Watch)],
    object: |key| format!("objects/{key}"),
    list: |prefix, _, _| format!("objects?prefix={prefix}"),
    watch: |_, after, wait| format!("watch?after={after}&wait_ms={}", wait.as_millis()),
    write: own_write,
    read_object: |_, body| parse(body),
    read_page: |_, body| {
        Ok(Page {
            listing: parse(body)?,
            next: None,
        })
    },
    read_changes: |_, body| parse(body),
    read_version: |body| parse::<Written>(body).map(|written| written.version),
};

#[derive(Serialize, Deserialize)]
struct Written {
    version: id::Version,
}

#[derive(Serialize)]
struct Value<'a> {
    value: &'a str,
}

fn own_write(key: &str, value: &str, named: id::Version) -> Write {
    Write {
        method: "PUT",
        path: format!("objects/{key}?if_version={named}"),
        body: serde_json::json!(Value { value }).to_string(),
    }
}

fn parse<T: DeserializeOwned>(body: &str) -> Result<T, ReadError> {
    serde_json::from_str(body).map_err(|err| err.to_string())
}
