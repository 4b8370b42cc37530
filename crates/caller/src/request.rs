//! Parses the request heads of callers.

use std::str::FromStr;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::{AUTHORIZATION, HOST};
use hyper::http::request::Parts;
use pollenrouter_core::organisation::KeyDigest;
use pollenrouter_core::{call, id};
use pollenrouter_http::convention::Convention;
use pollenrouter_http::{head, problem};
use quick_error::quick_error;
use smol_str::SmolStr;

/// Scheme of the `authorization` header that carries a key (RFC 6750).
pub const KEY_SCHEME: &str = "Bearer";
const IDEMPOTENCY_KEY: &str = "idempotency-key";

quick_error! {
    /// Why a request head is rejected.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RequestError {
        /// A header has an invalid value.
        Header(name: &'static str, reason: String) {
            display("header `{name}` {reason}")
        }
        /// Idempotency keys that callers choose are not supported.
        IdempotencyKey {
            display("header `idempotency-key` is not supported: ask for a ticket with POST /.pollenrouter/tickets/SERVICE and send it in `{}`", problem::TICKET_HEADER)
        }
    }
}

/// Parsed head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParsedRequest {
    /// Host that the request names; empty if it names none.
    pub host: SmolStr,
    /// HTTP method.
    pub method: SmolStr,
    /// Path and query.
    pub path: SmolStr,
    /// Time left until the deadline, if the caller states it.
    pub remaining: Option<Duration>,
    /// Depth in a chain of calls, as stated by the caller.
    pub depth: u8,
    /// Ticket, if the caller sends one.
    pub ticket: Option<id::Ticket>,
    /// Digest of the caller's key, if it sends one.
    pub key: Option<KeyDigest>,
}

impl ParsedRequest {
    /// The path without the query.
    #[must_use]
    pub fn path_without_query(&self) -> &str {
        self.path.split('?').next().unwrap_or_default()
    }
}

/// Parses a request head.
///
/// # Errors
/// Returns a [`RequestError`] if a header is invalid or not supported.
pub fn parse(convention: &Convention, request: &Parts) -> Result<ParsedRequest, RequestError> {
    let headers = &request.headers;
    if convention.tickets && headers.contains_key(IDEMPOTENCY_KEY) {
        return Err(RequestError::IdempotencyKey);
    }
    let uri = &request.uri;
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let host = uri.authority().map(hyper::http::uri::Authority::as_str);
    let host = host.or_else(|| head::text(headers, HOST.as_str()));
    let remaining = parse_number::<u32>(headers, convention.deadline_header)?;
    let depth = match convention.depth_header {
        Some(name) => parse_number::<u8>(headers, name)?,
        None => None,
    };
    Ok(ParsedRequest {
        host: host.unwrap_or_default().into(),
        method: request.method.as_str().into(),
        path: path.into(),
        remaining: remaining.map(|ms| Duration::from_millis(ms.into())),
        depth: depth.unwrap_or(0).min(call::MAX_DEPTH),
        ticket: if convention.tickets {
            parse_ticket(headers)?
        } else {
            None
        },
        key: parse_key(headers),
    })
}

/// Digest of the key that a request carries. A header of another form carries none, and neither do
/// several headers: whoever reads another one of them would see another caller.
fn parse_key(headers: &HeaderMap) -> Option<KeyDigest> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let credentials = values.next().filter(|_| values.next().is_none())?;
    let (scheme, key) = credentials.as_bytes().split_at_checked(KEY_SCHEME.len())?;
    let key = key.strip_prefix(b" ")?.trim_ascii();
    let is_key = scheme.eq_ignore_ascii_case(KEY_SCHEME.as_bytes()) && !key.is_empty();
    is_key.then(|| KeyDigest::of(key))
}

fn parse_number<T: FromStr>(
    headers: &HeaderMap,
    name: &'static str,
) -> Result<Option<T>, RequestError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    let invalid = || RequestError::Header(name, "is not a whole number in its range".to_owned());
    parsed.map(Some).ok_or_else(invalid)
}

/// Parses the ticket of a request, if it has one.
///
/// # Errors
/// Returns [`RequestError::Header`] if the header is present and is not a valid ticket.
pub fn parse_ticket(headers: &HeaderMap) -> Result<Option<id::Ticket>, RequestError> {
    let Some(text) = head::text(headers, problem::TICKET_HEADER) else {
        return Ok(None);
    };
    let invalid =
        |err: id::TicketError| RequestError::Header(problem::TICKET_HEADER, err.to_string());
    text.parse().map(Some).map_err(invalid)
}
