//! HTTP answers for endings.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use pollenrouter_core::call::{Doubt, Refusal};
use pollenrouter_core::{exchange, id};
use pollenrouter_http::problem::CallOutcome;
use pollenrouter_http::{body, head, problem};

use crate::message::{Ending, EndingKind};
use crate::request;

/// The answer to a caller whose call ended.
#[must_use]
pub fn answer(ending: Ending) -> Response<Full<Bytes>> {
    let mut answer = match ending.kind {
        EndingKind::Answer(head, body) => whole(&head, body),
        EndingKind::NotRun(refusal) => refused(refusal),
        EndingKind::Unknown(doubt) => doubtful(doubt),
    };
    if let Some(ticket) = ending.ticket {
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
pub fn refused(refusal: Refusal) -> Response<Full<Bytes>> {
    let status = match refusal {
        Refusal::NoDocument | Refusal::NoRoute => StatusCode::NOT_FOUND,
        Refusal::NotPublic | Refusal::NotCaller => StatusCode::FORBIDDEN,
        Refusal::WrongService | Refusal::WrongRequest | Refusal::Void => StatusCode::CONFLICT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut answer = problem::answer(status, CallOutcome::NotRun, &refusal.to_string());
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let seconds = HeaderValue::from_static("1");
        answer.headers_mut().insert(RETRY_AFTER, seconds);
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
        let detail = Doubt::NotAsked.to_string();
        answer = problem::answer(answer.status(), CallOutcome::Unknown, &detail);
        name_ticket(&mut answer, ticket);
    }
    answer
}

/// The answer to a request whose head can not be taken.
#[must_use]
pub fn malformed(err: &request::RequestError) -> Response<Full<Bytes>> {
    let status = match err {
        request::RequestError::NoLength => StatusCode::LENGTH_REQUIRED,
        request::RequestError::Path => StatusCode::NOT_FOUND,
        _ => StatusCode::BAD_REQUEST,
    };
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

fn doubtful(doubt: Doubt) -> Response<Full<Bytes>> {
    let status = match doubt {
        Doubt::Silent => StatusCode::GATEWAY_TIMEOUT,
        Doubt::NotAsked => StatusCode::SERVICE_UNAVAILABLE,
        Doubt::AnswerNotKept | Doubt::TicketExpired => StatusCode::GONE,
        Doubt::GateGone | Doubt::TargetLost | Doubt::EarlierAttempt => StatusCode::BAD_GATEWAY,
    };
    problem::answer(status, CallOutcome::Unknown, &doubt.to_string())
}

fn whole(from: &exchange::AnswerHead, body: Bytes) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = StatusCode::from_u16(from.status).unwrap_or(StatusCode::BAD_GATEWAY);
    head::add(answer.headers_mut(), &from.headers);
    answer
}
