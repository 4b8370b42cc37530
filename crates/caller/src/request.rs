//! Reading of a caller's request head.

use std::str::FromStr;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::body::Incoming;
use hyper::header::HOST;
use pollenrouter_core::{call, id};
use pollenrouter_http::convention::Convention;
use pollenrouter_http::{head, problem};
use quick_error::quick_error;
use smol_str::SmolStr;

const IDEMPOTENCY_KEY: &str = "idempotency-key";

quick_error! {
    /// A request that can not be taken as it is.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RequestError {
        /// A header's value is not of its kind.
        Header(name: &'static str, expected: String) {
            display("header `{name}` {expected}")
        }
        /// Keys chosen by callers are not supported.
        IdempotencyKey {
            display("header `idempotency-key` is not supported: ask for a ticket with POST /.pollenrouter/tickets/SERVICE and send it in `{}`", problem::TICKET)
        }
    }
}

/// Head of a request, read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parsed {
    /// Host that the request names; empty where it names none.
    pub host: SmolStr,
    /// HTTP method.
    pub method: SmolStr,
    /// Path and query.
    pub path: SmolStr,
    /// Time left, where stated.
    pub remaining: Option<Duration>,
    /// Depth that the caller states.
    pub depth: u8,
    /// Ticket.
    pub ticket: Option<id::Ticket>,
}

impl Parsed {
    /// The path without the query.
    #[must_use]
    pub fn plain_path(&self) -> &str {
        self.path.split('?').next().unwrap_or_default()
    }
}

/// Reads a request's head.
///
/// # Errors
/// [`RequestError`] says which part is wrong.
pub fn parse(
    convention: &Convention,
    request: &hyper::Request<Incoming>,
) -> Result<Parsed, RequestError> {
    let headers = request.headers();
    if convention.tickets && headers.contains_key(IDEMPOTENCY_KEY) {
        return Err(RequestError::IdempotencyKey);
    }
    let uri = request.uri();
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let host = uri.authority().map(hyper::http::uri::Authority::as_str);
    let host = host.or_else(|| head::text(headers, HOST.as_str()));
    let remaining = number::<u32>(headers, convention.deadline_ms)?;
    let depth = match convention.depth {
        Some(name) => number::<u8>(headers, name)?,
        None => None,
    };
    Ok(Parsed {
        host: host.unwrap_or_default().into(),
        method: request.method().as_str().into(),
        path: path.into(),
        remaining: remaining.map(|ms| Duration::from_millis(ms.into())),
        depth: depth.unwrap_or(0).min(call::MAX_DEPTH),
        ticket: if convention.tickets {
            ticket(headers)?
        } else {
            None
        },
    })
}

fn number<T: FromStr>(headers: &HeaderMap, name: &'static str) -> Result<Option<T>, RequestError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    let wrong = || RequestError::Header(name, "is not a whole number in its range".to_owned());
    parsed.map(Some).ok_or_else(wrong)
}

/// The ticket that a request carries.
///
/// # Errors
/// [`RequestError::Header`] if the header is there and holds no ticket.
pub fn ticket(headers: &HeaderMap) -> Result<Option<id::Ticket>, RequestError> {
    let Some(text) = head::text(headers, problem::TICKET) else {
        return Ok(None);
    };
    let wrong = |err: id::TicketError| RequestError::Header(problem::TICKET, err.to_string());
    text.parse().map(Some).map_err(wrong)
}
