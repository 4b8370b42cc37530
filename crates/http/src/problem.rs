//! Error responses as `application/problem+json`, and plain JSON and text responses.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde::Serialize;

/// Header of every error response that states whether the call ran.
pub const OUTCOME_HEADER: &str = "pollenrouter-outcome";
/// Header with the ticket of a call.
pub const TICKET_HEADER: &str = "pollenrouter-ticket";

/// Whether a failed call was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallOutcome {
    /// The call did not run and never will.
    NotRun,
    /// The call may have run.
    Unknown,
}

impl CallOutcome {
    /// The value of the [`OUTCOME_HEADER`] header.
    #[must_use]
    pub fn as_str(self) -> &'static str {
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

/// Creates an error response.
#[must_use]
pub fn response<B: From<Bytes>>(
    status: StatusCode,
    outcome: CallOutcome,
    detail: &str,
) -> Response<B> {
    let problem = Problem {
        title: status.canonical_reason().unwrap_or("Error"),
        status: status.as_u16(),
        detail,
        outcome,
    };
    let mut response = json_response(status, &problem);
    let content_type = HeaderValue::from_static("application/problem+json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    let outcome = HeaderValue::from_static(outcome.as_str());
    response.headers_mut().insert(OUTCOME_HEADER, outcome);
    response
}

/// Creates a JSON response.
#[must_use]
pub fn json_response<B: From<Bytes>>(status: StatusCode, value: &impl Serialize) -> Response<B> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(B::from(Bytes::from(body)));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Creates a plain-text response.
#[must_use]
pub fn text_response(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
