//! HTTP answers for endings.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use pollenrouter_core::call::{Refusal, UnknownReason};
use pollenrouter_core::{http_message, id};
use pollenrouter_http::convention::Convention;
use pollenrouter_http::problem::CallOutcome;
use pollenrouter_http::{body, head, problem};

use crate::message::{Ending, EndingKind};
use crate::request;

/// Time after which a caller may come back where nothing better is known.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_secs(1);

/// The answer to a caller whose call ended.
#[must_use]
pub fn answer(convention: &Convention, ending: Ending, had_ticket: bool) -> Response<Full<Bytes>> {
    let mut answer = match ending.kind {
        EndingKind::Answer(head, body) => whole(&head, body),
        EndingKind::NotRun(refusal) => refused(convention, refusal, ending.retry_after, had_ticket),
        EndingKind::Unknown(doubt) => doubtful(doubt, had_ticket),
    };
    if let Some(ticket) = ending.ticket.filter(|_| convention.tickets) {
        name_ticket(&mut answer, &ticket);
    }
    answer
}

/// Names a ticket in an answer.
pub fn name_ticket(answer: &mut Response<Full<Bytes>>, ticket: &id::Ticket) {
    if let Ok(value) = HeaderValue::from_str(&ticket.to_string()) {
        answer.headers_mut().insert(problem::TICKET, value);
    }
}

/// The answer for a call that was refused.
#[must_use]
pub fn refused(
    convention: &Convention,
    refusal: Refusal,
    retry_after: Option<Duration>,
    had_ticket: bool,
) -> Response<Full<Bytes>> {
    let status = match refusal {
        Refusal::NoDocument | Refusal::NoRoute => StatusCode::NOT_FOUND,
        Refusal::NotPublic | Refusal::CallerNotAllowed => StatusCode::FORBIDDEN,
        // Without a ticket the caller is not to blame.
        Refusal::WrongService | Refusal::WrongRequest | Refusal::Void if had_ticket => {
            StatusCode::CONFLICT
        }
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut answer = problem::answer(status, CallOutcome::NotRun, &refusal.to_string());
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let after = retry_after.unwrap_or(RETRY_AFTER_DEFAULT);
        let text = if convention.retry_fractions {
            format!("{:.3}", after.as_secs_f64())
        } else {
            after.as_millis().div_ceil(1000).max(1).to_string()
        };
        if let Ok(value) = HeaderValue::from_str(&text) {
            answer.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    answer
}

/// The answer to a request that went no further than this listener. With a ticket
/// an earlier try may have run, so "not run" would not be true.
#[must_use]
pub fn turned_away(
    mut answer: Response<Full<Bytes>>,
    ticket: Option<&id::Ticket>,
) -> Response<Full<Bytes>> {
    if let Some(ticket) = ticket {
        let detail = UnknownReason::GateNotAsked.to_string();
        answer = problem::answer(answer.status(), CallOutcome::Unknown, &detail);
        name_ticket(&mut answer, ticket);
    }
    answer
}

/// The answer to a request whose head can not be taken.
#[must_use]
pub fn malformed(err: &request::RequestError) -> Response<Full<Bytes>> {
    let status = StatusCode::BAD_REQUEST;
    problem::answer(status, CallOutcome::NotRun, &err.to_string())
}

/// The answer to a request whose body did not arrive whole.
#[must_use]
pub fn bad_body(err: &body::BodyError) -> Response<Full<Bytes>> {
    let status = match err {
        body::BodyError::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
        body::BodyError::TooSlow(_) => StatusCode::REQUEST_TIMEOUT,
        body::BodyError::Broken(_) => StatusCode::BAD_REQUEST,
    };
    problem::answer(status, CallOutcome::NotRun, &err.to_string())
}

fn doubtful(doubt: UnknownReason, had_ticket: bool) -> Response<Full<Bytes>> {
    let status = match doubt {
        UnknownReason::NoReply => StatusCode::GATEWAY_TIMEOUT,
        UnknownReason::GateNotAsked => StatusCode::SERVICE_UNAVAILABLE,
        UnknownReason::AnswerNotKept | UnknownReason::TicketExpired if had_ticket => {
            StatusCode::GONE
        }
        _ => StatusCode::BAD_GATEWAY,
    };
    problem::answer(status, CallOutcome::Unknown, &doubt.to_string())
}

fn whole(from: &http_message::ResponseHead, body: Bytes) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = StatusCode::from_u16(from.status).unwrap_or(StatusCode::BAD_GATEWAY);
    head::add(answer.headers_mut(), &from.headers);
    answer
}
