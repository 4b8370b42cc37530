//! Test calls: each carries a request ID and verifies its response.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use pollenrouter_http::{body, client, head, problem};
use smol_str::SmolStr;
use tokio::{runtime, task};

use crate::ledger;
use crate::target;

const RESPONSE_MAX_BYTES: u64 = 16 << 20;
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// A call to make.
#[derive(Clone, Debug)]
pub struct Call {
    /// Request ID, sent in a header and expected in the response.
    pub request_id: SmolStr,
    /// Method.
    pub method: &'static str,
    /// Path; it begins with the service when the call goes to an entry.
    pub path: SmolStr,
    /// Body.
    pub body: Bytes,
    /// Service time that the target should use; `None` lets it sample one.
    pub service_time: Option<Duration>,
    /// Padding of the response, bytes.
    pub response_bytes: usize,
    /// Ticket to send.
    pub ticket: Option<SmolStr>,
    /// Time budget to send with the call.
    pub deadline: Option<Duration>,
    /// Number of follow-up calls that targets make, each on the same path.
    pub chained_calls: u32,
}

impl Call {
    /// A call without service time, body, ticket or deadline.
    #[must_use]
    pub fn new(method: &'static str, path: &str, request_id: &str) -> Self {
        Self {
            request_id: request_id.into(),
            method,
            path: path.into(),
            body: Bytes::new(),
            service_time: Some(Duration::ZERO),
            response_bytes: 100,
            ticket: None,
            deadline: None,
            chained_calls: 0,
        }
    }
}

/// Outcome of a call, as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete response to this call.
    Answered {
        /// Duration of the run at the target.
        run_time: Duration,
    },
    /// The call did not run.
    NotRun(SmolStr),
    /// The call may have run.
    Unknown(SmolStr),
    /// A response that is incomplete or belongs to another call.
    Wrong(SmolStr),
}

/// Result of a call.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// Outcome that the caller saw.
    pub outcome: Outcome,
    /// Time from sending to the end of the response.
    pub latency: Duration,
    /// Ticket returned with the response.
    pub ticket: Option<SmolStr>,
    /// HTTP status; 0 without a response.
    pub status: u16,
}

/// Makes a call and classifies its outcome.
pub async fn make_call(client: &client::Client, call: &Call) -> CallResult {
    let started_at = Instant::now();
    let (outcome, ticket, status) = match exchange(client, call).await {
        Ok(parts) => parts,
        // With a ticket this may be a retry, and an earlier attempt may have run.
        Err(client::ClientError::Connect(_, reason)) if call.ticket.is_none() => {
            (Outcome::NotRun(reason.into()), None, 0)
        }
        Err(err) => (Outcome::Unknown(err.to_string().into()), None, 0),
    };
    CallResult {
        outcome,
        latency: started_at.elapsed(),
        ticket,
        status,
    }
}

/// Makes a call over a new connection and blocks until it ends.
///
/// # Panics
/// The runtime cannot be started.
#[must_use]
pub fn call_blocking(entry: SocketAddr, call: &Call) -> CallResult {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("runtime must start");
    let client = client::Client::new(entry);
    task::LocalSet::new().block_on(&runtime, make_call(&client, call))
}

type ResultParts = (Outcome, Option<SmolStr>, u16);

async fn exchange(
    client: &client::Client,
    call: &Call,
) -> Result<ResultParts, client::ClientError> {
    let request = build_request(client.address(), call);
    let (response, connection) = client.send(request, client::IDLE_MAX).await?;
    let (parts, body) = response.into_parts();
    let body = match body::read(body, RESPONSE_MAX_BYTES, RESPONSE_TIMEOUT).await {
        Ok(body) => body,
        Err(err) => return Ok((Outcome::Unknown(err.to_string().into()), None, 0)),
    };
    connection.return_to_pool();
    let header = |name| head::text(&parts.headers, name).map(SmolStr::new);
    let outcome = match header(problem::OUTCOME_HEADER).as_deref() {
        Some("not-run") => Outcome::NotRun(problem_detail(&body)),
        Some("unknown") => Outcome::Unknown(problem_detail(&body)),
        Some(other) => Outcome::Wrong(format!("outcome {other}").into()),
        None => check_response(call, &body, header(target::RUN_TIME_HEADER)),
    };
    Ok((
        outcome,
        header(problem::TICKET_HEADER),
        parts.status.as_u16(),
    ))
}

fn build_request(address: SocketAddr, call: &Call) -> Request<Full<Bytes>> {
    let mut builder = Request::builder()
        .method(call.method)
        .uri(call.path.as_str())
        .header("host", address.to_string())
        .header(ledger::REQUEST_ID_HEADER, call.request_id.as_str())
        .header(
            target::RESPONSE_BYTES_HEADER,
            call.response_bytes.to_string(),
        );
    if call.chained_calls > 0 {
        builder = builder.header(target::CHAIN_HEADER, call.chained_calls.to_string());
    }
    if let Some(service_time) = call.service_time {
        builder = builder.header(
            target::SERVICE_TIME_HEADER,
            service_time.as_micros().to_string(),
        );
    }
    if let Some(ticket) = &call.ticket {
        builder = builder.header(problem::TICKET_HEADER, ticket.as_str());
    }
    if let Some(deadline) = call.deadline {
        builder = builder.header("pollenrouter-deadline-ms", deadline.as_millis().to_string());
    }
    let request = builder.body(Full::new(call.body.clone()));
    request.expect("request must be well-formed")
}

fn check_response(call: &Call, body: &Bytes, run_time: Option<SmolStr>) -> Outcome {
    let prefix = format!("{} {} ", call.request_id, call.body.len());
    let is_complete =
        body.len() == prefix.len() + call.response_bytes && body.starts_with(prefix.as_bytes());
    if !is_complete {
        let excerpt = String::from_utf8_lossy(&body[..body.len().min(80)]).into_owned();
        return Outcome::Wrong(excerpt.into());
    }
    let run_time_us = run_time.and_then(|text| text.parse().ok()).unwrap_or(0);
    Outcome::Answered {
        run_time: Duration::from_micros(run_time_us),
    }
}

fn problem_detail(body: &Bytes) -> SmolStr {
    let problem: Result<serde_json::Value, _> = serde_json::from_slice(body);
    let detail = problem
        .ok()
        .and_then(|problem| problem["detail"].as_str().map(SmolStr::new));
    detail.unwrap_or_else(|| String::from_utf8_lossy(body).into())
}
