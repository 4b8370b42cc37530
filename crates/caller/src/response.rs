//! HTTP responses for call results and rejected requests.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE};
use hyper::{Response, StatusCode};
use pollenrouter_core::call::{Refusal, UnknownReason};
use pollenrouter_core::{http_message, id};
use pollenrouter_http::convention::Convention;
use pollenrouter_http::problem::CallOutcome;
use pollenrouter_http::{body, head, problem};
use smol_str::SmolStr;

use crate::head::HeadError;
use crate::message::{CallerResult, CallerResultKind};
use crate::request;

/// `retry-after` of refusals for which no better value is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// `retry-after` while a newer table is on its way, which takes tenths of a second: a caller that
/// owes its user an answer within 0.6 s still gives one after one such wait.
const STALE_TABLE_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The response for a call result.
#[must_use]
pub fn from_result(
    convention: &Convention,
    result: CallerResult,
    had_ticket: bool,
) -> Response<Bytes> {
    let mut response = match result.kind {
        CallerResultKind::Answer(head, body) => answered(&head, body, had_ticket),
        CallerResultKind::NotRun(refusal) => {
            refused(convention, refusal, result.retry_after, had_ticket)
        }
        CallerResultKind::Unknown(doubt) => unknown_outcome(doubt, had_ticket),
    };
    if let Some(ticket) = result.ticket.filter(|_| convention.tickets) {
        set_ticket(&mut response, &ticket);
    }
    response
}

/// Sets the ticket header of a response.
pub fn set_ticket(response: &mut Response<Bytes>, ticket: &id::Ticket) {
    if let Ok(value) = HeaderValue::from_str(&ticket.to_string()) {
        response.headers_mut().insert(problem::TICKET_HEADER, value);
    }
}

/// The response for a call that did not run.
#[must_use]
pub fn refused(
    convention: &Convention,
    refusal: Refusal,
    retry_after: Option<Duration>,
    had_ticket: bool,
) -> Response<Bytes> {
    let status = match refusal {
        Refusal::NoDocument | Refusal::NoRoute => StatusCode::NOT_FOUND,
        Refusal::NotPublic | Refusal::CallerNotAllowed => StatusCode::FORBIDDEN,
        Refusal::UnknownKey => StatusCode::UNAUTHORIZED,
        Refusal::QuotaUsed => StatusCode::TOO_MANY_REQUESTS,
        // Without `retry-after`: the request would only be refused again.
        Refusal::CrashesTargets => StatusCode::BAD_GATEWAY,
        // Without a ticket the caller did not cause the conflict. A void ticket is none: its gate was
        // asked for the call before it arrived there.
        Refusal::WrongService | Refusal::WrongRequest if had_ticket => StatusCode::CONFLICT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = problem::response(status, CallOutcome::NotRun, &refusal.to_string());
    if status == StatusCode::UNAUTHORIZED {
        let scheme = HeaderValue::from_static(request::KEY_SCHEME);
        response.headers_mut().insert(WWW_AUTHENTICATE, scheme);
    }
    let may_return = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    if may_return.contains(&status) {
        let default = match refusal {
            Refusal::StaleTable => STALE_TABLE_RETRY_AFTER,
            _ => DEFAULT_RETRY_AFTER,
        };
        let after = retry_after.unwrap_or(default);
        let text = if convention.fractional_retry_after {
            format!("{:.3}", after.as_secs_f64())
        } else {
            after.as_millis().div_ceil(1000).max(1).to_string()
        };
        if let Ok(value) = HeaderValue::from_str(&text) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// The response for a request that was rejected by the listener. For a request with a ticket
/// the outcome becomes unknown, since an earlier attempt with the same ticket may have run.
#[must_use]
pub fn rejected(mut response: Response<Bytes>, ticket: Option<&id::Ticket>) -> Response<Bytes> {
    if let Some(ticket) = ticket {
        let detail = UnknownReason::GateNotAsked.to_string();
        response = problem::response(response.status(), CallOutcome::Unknown, &detail);
        set_ticket(&mut response, ticket);
    }
    response
}

/// The response for a request with an invalid head.
#[must_use]
pub fn invalid_head(err: &request::RequestError) -> Response<Bytes> {
    let status = StatusCode::BAD_REQUEST;
    problem::response(status, CallOutcome::NotRun, &err.to_string())
}

/// The response for a request whose body could not be read completely.
#[must_use]
pub fn body_error(err: &body::BodyError) -> Response<Bytes> {
    let status = match err {
        body::BodyError::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
        body::BodyError::Timeout(_) => StatusCode::REQUEST_TIMEOUT,
        body::BodyError::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
        body::BodyError::Incomplete(_) => StatusCode::BAD_REQUEST,
    };
    problem::response(status, CallOutcome::NotRun, &err.to_string())
}

/// The response to bytes that are not a request head.
#[must_use]
pub fn head_error(err: &HeadError) -> Response<Bytes> {
    let status = match err {
        HeadError::Malformed(_) => StatusCode::BAD_REQUEST,
        HeadError::TooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
    };
    problem::response(status, CallOutcome::NotRun, &err.to_string())
}

/// The response to a request whose head did not arrive in time.
#[must_use]
pub fn head_timeout() -> Response<Bytes> {
    let detail = "the head did not arrive in time";
    problem::response(StatusCode::REQUEST_TIMEOUT, CallOutcome::NotRun, detail)
}

/// The response with an issued ticket.
#[must_use]
pub fn ticket(ticket: &id::Ticket) -> Response<Bytes> {
    let text = SmolStr::new(ticket.to_string());
    let body: BTreeMap<_, _> = [("ticket", text)].into();
    let mut response = problem::json_response(StatusCode::OK, &body);
    set_ticket(&mut response, ticket);
    response
}

fn unknown_outcome(doubt: UnknownReason, had_ticket: bool) -> Response<Bytes> {
    let status = match doubt {
        UnknownReason::NoReply => StatusCode::GATEWAY_TIMEOUT,
        UnknownReason::GateNotAsked => StatusCode::SERVICE_UNAVAILABLE,
        UnknownReason::AnswerNotKept | UnknownReason::TicketExpired if had_ticket => {
            StatusCode::GONE
        }
        _ => StatusCode::BAD_GATEWAY,
    };
    problem::response(status, CallOutcome::Unknown, &doubt.to_string())
}

/// The answer of a target. One with a status that is not final is none, and nothing of it is
/// passed on: callers recognize a target's own answer by its headers.
fn answered(head: &http_message::ResponseHead, body: Bytes, had_ticket: bool) -> Response<Bytes> {
    let status = StatusCode::from_u16(head.status);
    let Some(status) = status.ok().filter(|_| http_message::is_final(head.status)) else {
        return unknown_outcome(UnknownReason::TargetLost, had_ticket);
    };
    let mut response = Response::new(body);
    *response.status_mut() = status;
    head::add(response.headers_mut(), &head.headers);
    response
}
