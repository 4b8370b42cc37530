//! Heads of HTTP requests and responses, as daemons forward them.

use std::ops::RangeInclusive;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Name and value of a header.
pub type Header = (SmolStr, Vec<u8>);

/// Head of a request, without hop-by-hop headers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestHead {
    /// HTTP method.
    pub method: SmolStr,
    /// Value of the `Host` header to forward; `None` for the target's address.
    pub host: Option<SmolStr>,
    /// Path and query as the target receives them.
    pub path: SmolStr,
    /// End-to-end headers.
    pub headers: Vec<Header>,
}

/// Head of a response, without hop-by-hop headers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Vec<Header>,
}

/// Statuses that end an exchange. Lower ones are interim, and values outside 100 to 599 are invalid
/// (RFC 9110, section 15).
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Whether a response with this status is an answer.
#[must_use]
pub fn is_final(status: u16) -> bool {
    FINAL_STATUSES.contains(&status)
}

/// Hop-by-hop headers, and those that each hop sets itself.
const NOT_FORWARDED: [&str; 9] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];
const RESERVED_PREFIX: &str = "pollenrouter-";

/// Whether a header is end-to-end: neither bound to one connection, by itself or because
/// `listed_in_connection` names it, nor reserved for pollenrouter.
#[must_use]
pub fn is_end_to_end(name: &str, listed_in_connection: &[String]) -> bool {
    !NOT_FORWARDED.contains(&name)
        && !name.starts_with(RESERVED_PREFIX)
        && !listed_in_connection.iter().any(|other| other == name)
}
