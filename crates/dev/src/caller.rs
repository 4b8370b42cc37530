//! Calls of the tools: each names its request and checks its answer.

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

const ANSWER_MAX_BYTES: u64 = 16 << 20;
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// A call to make.
#[derive(Clone, Debug)]
pub struct Call {
    /// Name of the request.
    pub request: SmolStr,
    /// Method.
    pub method: &'static str,
    /// Path, with the service where it goes to an entry.
    pub path: SmolStr,
    /// Body.
    pub body: Bytes,
    /// Service time that the target should take.
    pub work: Option<Duration>,
    /// Padding of the answer, bytes.
    pub answer_bytes: usize,
    /// Ticket to send.
    pub ticket: Option<SmolStr>,
    /// Time left, to state in the call.
    pub deadline: Option<Duration>,
    /// Calls from target to target that it brings about.
    pub chain: u32,
}

impl Call {
    /// A call without work, body, ticket or deadline.
    #[must_use]
    pub fn plain(method: &'static str, path: &str, request: &str) -> Self {
        Self {
            request: request.into(),
            method,
            path: path.into(),
            body: Bytes::new(),
            work: Some(Duration::ZERO),
            answer_bytes: 100,
            ticket: None,
            deadline: None,
            chain: 0,
        }
    }
}

/// What a caller was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// Its own whole answer.
    Answered {
        /// Time that the run took at the target.
        took: Duration,
    },
    /// The call did not run.
    NotRun(SmolStr),
    /// The call may have run.
    Unknown(SmolStr),
    /// An answer that is not its own, or not whole.
    Wrong(SmolStr),
}

/// A call that ended.
#[derive(Clone, Debug)]
pub struct Ended {
    /// What the caller was told.
    pub told: Told,
    /// Time from sending to the end of the answer.
    pub latency: Duration,
    /// Ticket that the answer names.
    pub ticket: Option<SmolStr>,
    /// HTTP status; 0 without an answer.
    pub status: u16,
}

/// Makes a call.
pub async fn call(client: &client::Client, call: &Call) -> Ended {
    let begun = Instant::now();
    let (told, ticket, status) = match exchange(client, call).await {
        Ok(exchanged) => exchanged,
        // With a ticket an earlier try may have run; nobody has said otherwise.
        Err(client::ClientError::Connect(_, reason)) if call.ticket.is_none() => {
            (Told::NotRun(reason.into()), None, 0)
        }
        Err(err) => (Told::Unknown(err.to_string().into()), None, 0),
    };
    Ended {
        told,
        latency: begun.elapsed(),
        ticket,
        status,
    }
}

/// Makes a call over a connection of its own and waits for its end.
///
/// # Panics
/// No runtime can be had.
#[must_use]
pub fn call_once(entry: SocketAddr, made: &Call) -> Ended {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("runtime must start");
    let client = client::Client::new(entry);
    task::LocalSet::new().block_on(&runtime, call(&client, made))
}

type Exchanged = (Told, Option<SmolStr>, u16);

async fn exchange(client: &client::Client, call: &Call) -> Result<Exchanged, client::ClientError> {
    let request = build(client.address(), call);
    let (response, lent) = client.send(request, client::IDLE_MAX).await?;
    let (parts, body) = response.into_parts();
    let body = match body::read(body, ANSWER_MAX_BYTES, ANSWER_TIMEOUT).await {
        Ok(body) => body,
        Err(err) => return Ok((Told::Unknown(err.to_string().into()), None, 0)),
    };
    lent.return_to_pool();
    let header = |name| head::text(&parts.headers, name).map(SmolStr::new);
    let told = match header(problem::OUTCOME_HEADER).as_deref() {
        Some("not-run") => Told::NotRun(detail(&body)),
        Some("unknown") => Told::Unknown(detail(&body)),
        Some(other) => Told::Wrong(format!("outcome {other}").into()),
        None => judge(call, &body, header(target::TOOK)),
    };
    Ok((told, header(problem::TICKET_HEADER), parts.status.as_u16()))
}

fn build(address: SocketAddr, call: &Call) -> Request<Full<Bytes>> {
    let mut builder = Request::builder()
        .method(call.method)
        .uri(call.path.as_str())
        .header("host", address.to_string())
        .header(ledger::REQUEST, call.request.as_str())
        .header(target::SIZE, call.answer_bytes.to_string());
    if call.chain > 0 {
        builder = builder.header(target::CHAIN, call.chain.to_string());
    }
    if let Some(work) = call.work {
        builder = builder.header(target::WORK, work.as_micros().to_string());
    }
    if let Some(ticket) = &call.ticket {
        builder = builder.header(problem::TICKET_HEADER, ticket.as_str());
    }
    if let Some(deadline) = call.deadline {
        builder = builder.header("pollenrouter-deadline-ms", deadline.as_millis().to_string());
    }
    let request = builder.body(Full::new(call.body.clone()));
    request.expect("a call of the tools must be well-formed")
}

fn judge(call: &Call, body: &Bytes, took: Option<SmolStr>) -> Told {
    let head = format!("{} {} ", call.request, call.body.len());
    let whole = body.len() == head.len() + call.answer_bytes && body.starts_with(head.as_bytes());
    if !whole {
        let begin = String::from_utf8_lossy(&body[..body.len().min(80)]).into_owned();
        return Told::Wrong(begin.into());
    }
    let micros = took.and_then(|text| text.parse().ok()).unwrap_or(0);
    Told::Answered {
        took: Duration::from_micros(micros),
    }
}

fn detail(body: &Bytes) -> SmolStr {
    let problem: Result<serde_json::Value, _> = serde_json::from_slice(body);
    let detail = problem
        .ok()
        .and_then(|p| p["detail"].as_str().map(SmolStr::new));
    detail.unwrap_or_else(|| String::from_utf8_lossy(body).into())
}
