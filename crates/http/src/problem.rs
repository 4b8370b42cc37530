//! Error answers as `application/problem+json`.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde::Serialize;

/// Header that says on every failure whether the call ran.
pub const OUTCOME: &str = "pollenrouter-outcome";
/// Header that carries a call's ticket.
pub const TICKET: &str = "pollenrouter-ticket";

/// Whether a failed call ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallOutcome {
    /// It did not run and never will.
    NotRun,
    /// It may have run.
    Unknown,
}

impl CallOutcome {
    /// The header's value.
    #[must_use]
    pub fn text(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

#[derive(Serialize)]
struct Problem<'a> {
    title: &'a str,
    status: u16,
    detail: &'a str,
    outcome: CallOutcome,
}

/// An error answer.
#[must_use]
pub fn answer(status: StatusCode, outcome: CallOutcome, detail: &str) -> Response<Full<Bytes>> {
    let problem = Problem {
        title: status.canonical_reason().unwrap_or("Error"),
        status: status.as_u16(),
        detail,
        outcome,
    };
    let mut answer = json(status, &problem);
    let kind = HeaderValue::from_static("application/problem+json");
    answer.headers_mut().insert(CONTENT_TYPE, kind);
    let outcome = HeaderValue::from_static(outcome.text());
    answer.headers_mut().insert(OUTCOME, outcome);
    answer
}

/// An answer in JSON.
#[must_use]
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    *answer.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, kind);
    answer
}

/// An answer in plain text.
#[must_use]
pub fn text(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    *answer.status_mut() = status;
    answer
}
