//! Heads of HTTP requests and answers, as daemons pass them on.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Name and value of a header.
pub type Header = (SmolStr, Vec<u8>);

/// Head of a request, without headers that belong to one connection.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestHead {
    /// HTTP method.
    pub method: SmolStr,
    /// Host that the request is passed on with; `None` for the target's address.
    pub host: Option<SmolStr>,
    /// Path and query as the target gets them.
    pub path: SmolStr,
    /// End-to-end headers.
    pub headers: Vec<Header>,
}

/// Head of an answer, without headers that belong to one connection.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Vec<Header>,
}

const PER_CONNECTION: [&str; 9] = [
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
const INTERNAL_PREFIX: &str = "pollenrouter-";

/// Whether a header goes from end to end: neither bound to one connection nor
/// reserved for the system.
#[must_use]
pub fn is_end_to_end(name: &str, named_by_connection: &[String]) -> bool {
    !PER_CONNECTION.contains(&name)
        && !name.starts_with(INTERNAL_PREFIX)
        && !named_by_connection.iter().any(|other| other == name)
}
