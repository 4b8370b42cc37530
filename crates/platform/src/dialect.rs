//! Dialects of the object API: paths and bodies of its requests.

use std::time::Duration;

use log::warn;
use pollenrouter_core::{id, replica};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use smol_str::SmolStr;

use crate::listing::Listing;

/// Why a body could not be parsed.
pub type ParseError = String;

/// HTTP request that writes an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteRequest {
    /// HTTP method.
    pub method: &'static str,
    /// Path and query, relative to the platform's base URL.
    pub path: String,
    /// JSON body.
    pub body: String,
}

/// One page of a listing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Objects of the page and the revision of the platform.
    pub listing: Listing,
    /// Cursor from which the next page is read; `None` on the last page.
    pub next_cursor: Option<SmolStr>,
}

/// How daemons learn of changes to the objects under a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncMode {
    /// A few daemons watch the platform.
    Watch,
    /// Daemons notify each other; a few of them also poll the platform.
    Poll,
}

/// How recent a listing has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The listing includes every change acknowledged before the request.
    Current,
    /// The listing may be some seconds old if the platform can serve it at a lower cost.
    AllowStale,
}

/// Request paths and body formats of one platform. Keys are those of [`crate::object`].
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Key prefixes that are read separately, and how daemons learn of changes under each.
    pub prefixes: &'static [(&'static str, SyncMode)],
    /// Header of every response with the era, a number that grows each time the platform comes
    /// back from a copy, has lost later changes, and gives out their revisions again.
    pub era_header: &'static str,
    /// Key prefixes of objects that state a version of their own instead of the platform's.
    pub own_versions: &'static [&'static str],
    /// Path of one object.
    pub object_path: fn(key: &str) -> String,
    /// Path of a page of a listing; `cursor` is empty for the first page.
    pub list_path: fn(prefix: &str, cursor: &str, freshness: Freshness) -> String,
    /// Path of a watch for changes after the revision `after`; the platform answers after
    /// `wait` at the latest.
    pub watch_path: fn(prefix: &str, after: id::Version, wait: Duration) -> String,
    /// Request that writes an object if its version is still `expected`; 0 creates the object.
    pub write_request: fn(key: &str, value: &str, expected: id::Version) -> WriteRequest,
    /// Parses an object.
    pub parse_object: fn(key: &str, body: &str) -> Result<replica::Object, ParseError>,
    /// Parses a page of a listing.
    pub parse_page: fn(prefix: &str, body: &str) -> Result<Page, ParseError>,
    /// Parses the response to a watch.
    pub parse_changes: fn(prefix: &str, body: &str) -> Result<Listing, ParseError>,
    /// Parses the version in the response to a write: the new version, or the current one on
    /// a conflict.
    pub parse_version: fn(body: &str) -> Result<id::Version, ParseError>,
}

/// Dialect of pollenrouter's own object API.
pub const OWN: Dialect = Dialect {
    prefixes: &[("", SyncMode::Watch)],
    era_header: "platform-era",
    own_versions: &[],
    object_path: |key| format!("objects/{key}"),
    list_path: |prefix, _, _| format!("objects?prefix={prefix}"),
    watch_path: |_, after, wait| format!("watch?after={after}&wait_ms={}", wait.as_millis()),
    write_request: own_write_request,
    parse_object: |_, body| parse(body),
    parse_page: |_, body| {
        Ok(Page {
            listing: parse_listing(body)?,
            next_cursor: None,
        })
    },
    parse_changes: |_, body| parse_listing(body),
    parse_version: |body| parse::<WriteResponse>(body).map(|response| response.version),
};

#[derive(Deserialize)]
struct ListingBody {
    revision: id::Version,
    objects: Vec<Item>,
}

#[derive(Serialize, Deserialize)]
struct WriteResponse {
    version: id::Version,
}

#[derive(Serialize)]
struct WriteBody<'a> {
    value: &'a str,
}

fn own_write_request(key: &str, value: &str, expected: id::Version) -> WriteRequest {
    WriteRequest {
        method: "PUT",
        path: format!("objects/{key}?if_version={expected}"),
        body: serde_json::json!(WriteBody { value }).to_string(),
    }
}

fn parse_listing(body: &str) -> Result<Listing, ParseError> {
    let parsed: ListingBody = parse(body)?;
    let objects: Vec<replica::Object> = parse_items(&parsed.objects);
    Ok(Listing {
        revision: parsed.revision,
        is_complete: objects.len() == parsed.objects.len(),
        objects,
    })
}

/// An item of a list that is parsed on its own.
pub type Item = Box<RawValue>;

/// Parses the items of a list, and skips those that cannot be read: other writers' objects must not
/// hide the rest.
#[must_use]
pub fn parse_items<T: DeserializeOwned>(items: &[Item]) -> Vec<T> {
    let mut parsed = Vec::with_capacity(items.len());
    let mut skipped = None;
    for item in items {
        match serde_json::from_str(item.get()) {
            Ok(item) => parsed.push(item),
            Err(err) => skipped = Some(err),
        }
    }
    if let Some(err) = skipped {
        let count = items.len() - parsed.len();
        warn!(count; "objects of the platform that cannot be read are skipped, the last one: {err}");
    }
    parsed
}

fn parse<T: DeserializeOwned>(body: &str) -> Result<T, ParseError> {
    serde_json::from_str(body).map_err(|err| err.to_string())
}
