//! Reading of a caller's request head.

use std::str::FromStr;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::body::Incoming;
use hyper::header::TRANSFER_ENCODING;
use pollenrouter_core::{call, exchange, id};
use pollenrouter_http::{head, problem};
use quick_error::quick_error;

/// Header with the time left, in milliseconds.
pub const DEADLINE: &str = "pollenrouter-deadline-ms";
/// Header with the depth of a call between services.
pub const DEPTH: &str = "pollenrouter-depth";
const IDEMPOTENCY_KEY: &str = "idempotency-key";

quick_error! {
    /// A request that can not be taken as it is.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RequestError {
        /// The body's length is not stated.
        NoLength {
            display("header `transfer-encoding` is not accepted: state the body's length in `content-length`")
        }
        /// A header's value is not of its kind.
        Header(name: &'static str, expected: String) {
            display("header `{name}` {expected}")
        }
        /// Keys chosen by callers are not supported.
        IdempotencyKey {
            display("header `idempotency-key` is not supported: ask for a ticket with POST /.pollenrouter/tickets/SERVICE and send it in `{}`", problem::TICKET)
        }
        /// The path names no service.
        Path {
            display("path does not begin with the name of a service")
        }
    }
}

/// Head of a request, read.
#[derive(Debug, PartialEq, Eq)]
pub struct Parsed {
    /// Service that is called.
    pub service: id::ServiceName,
    /// Head, with the path below the service.
    pub head: exchange::RequestHead,
    /// Time left, where stated.
    pub remaining: Option<Duration>,
    /// Depth that the caller states.
    pub depth: u8,
    /// Ticket.
    pub ticket: Option<id::Ticket>,
}

/// Reads a request's head.
///
/// # Errors
/// [`RequestError`] says which part is wrong.
pub fn parse(request: &hyper::Request<Incoming>) -> Result<Parsed, RequestError> {
    let headers = request.headers();
    if headers.contains_key(TRANSFER_ENCODING) {
        return Err(RequestError::NoLength);
    }
    if headers.contains_key(IDEMPOTENCY_KEY) {
        return Err(RequestError::IdempotencyKey);
    }
    let whole = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let (service, path) = split(whole).ok_or(RequestError::Path)?;
    Ok(Parsed {
        service,
        head: exchange::RequestHead {
            method: request.method().as_str().into(),
            path: path.into(),
            headers: head::end_to_end(headers),
        },
        remaining: number::<u32>(headers, DEADLINE)?.map(|ms| Duration::from_millis(ms.into())),
        depth: number::<u8>(headers, DEPTH)?
            .unwrap_or(0)
            .min(call::MAX_DEPTH),
        ticket: ticket(headers)?,
    })
}

fn split(whole: &str) -> Option<(id::ServiceName, &str)> {
    let rest = whole.strip_prefix('/')?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    let path = if path.is_empty() { "/" } else { path };
    (!service.is_empty()).then(|| (service.into(), path))
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
