//! Sends calls to the target, each exactly once.

use std::cell::RefCell;
use std::net;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HOST, HeaderName, HeaderValue};
use hyper::{Method, Request, StatusCode};
use pollenrouter_core::call::Refusal;
use pollenrouter_core::{exchange, gate, id};
use pollenrouter_http::{body, client, head};
use tokio::{task, time};

use crate::message::{Command, Event, Run};

/// Header that a target sets on 503 when it refused a call before it began.
pub const SHED: &str = "target-shed";
/// Header that tells a probe from other requests.
pub const PROBE: &str = "pollenrouter-probe";
const CALL: &str = "pollenrouter-call";
const DEADLINE: &str = "pollenrouter-deadline-ms";
const DEPTH: &str = "pollenrouter-depth";
/// Time after the deadline for which a started call's answer is awaited.
const AFTER_DEADLINE: Duration = Duration::from_mins(1);
/// Memory that a kept answer and each of its headers take besides their text,
/// bytes.
const ANSWER_COST: usize = 256;
const HEADER_COST: usize = 64;
const ROOM_PAUSE: Duration = Duration::from_millis(1);
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
const CANCEL_PATH: &str = "/.target/cancel/";
const HEALTH_PATH: &str = "/.target/health";

/// Takes events; gives one back that there is no room for.
pub type Sink = Rc<dyn Fn(Event) -> Result<(), Event>>;
type Answer = (exchange::AnswerHead, Bytes);

/// Sends calls to the target that announced itself last.
#[derive(Clone)]
pub struct Sender {
    client: Rc<RefCell<Option<client::Client>>>,
    sink: Sink,
}

impl Sender {
    /// A sender without a target.
    #[must_use]
    pub fn new(sink: Sink) -> Self {
        Self {
            client: Rc::default(),
            sink,
        }
    }

    /// Sends later calls to this address.
    pub fn set_address(&self, address: net::SocketAddr) {
        let mut client = self.client.borrow_mut();
        if client.as_ref().is_none_or(|c| c.address() != address) {
            *client = Some(client::Client::new(address));
        }
    }

    /// Tells the embedder; waits for room, since no event may be lost.
    pub async fn tell(&self, event: Event) {
        let mut event = event;
        while let Err(returned) = (self.sink)(event) {
            event = returned;
            time::sleep(ROOM_PAUSE).await;
        }
    }

    /// Starts work on a command.
    pub fn run(&self, command: Command) {
        let sender = self.clone();
        task::spawn_local(async move {
            match command {
                Command::Run(run) => sender.call(run).await,
                Command::Cancel(id) => sender.cancel(id).await,
                Command::Probe => sender.probe().await,
            }
        });
    }

    async fn call(&self, run: Run) {
        let id = run.id;
        let (outcome, answer) = match self.send(run).await {
            Ok(answer) if is_shed(&answer.0) => (gate::Outcome::NotStarted(Refusal::Shed), None),
            Ok(answer) => (answered(&answer), Some(answer)),
            Err(outcome) => (outcome, None),
        };
        self.tell(Event::Finished(id, outcome, answer)).await;
    }

    async fn send(&self, run: Run) -> Result<Answer, gate::Outcome> {
        let client = self.client.borrow().clone();
        let client = client.ok_or(gate::Outcome::NotStarted(Refusal::NoTarget))?;
        // The last check before the write: a paused daemon may resume here.
        let remaining = run.deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(gate::Outcome::NotStarted(Refusal::Late));
        }
        let request = request(client.address(), &run, remaining)?;
        let patience = remaining + AFTER_DEADLINE;
        let sent = time::timeout(patience, client.send(request)).await;
        let (response, lent) = match sent {
            Ok(Ok(sent)) => sent,
            Ok(Err(client::ClientError::Connect(..))) => {
                return Err(gate::Outcome::NotStarted(Refusal::Unreachable));
            }
            Err(_) | Ok(Err(client::ClientError::Broken(_))) => return Err(gate::Outcome::Lost),
        };
        let (parts, body) = response.into_parts();
        let body = body::read(body, run.answer_bytes, patience)
            .await
            .map_err(|_| gate::Outcome::Lost)?;
        lent.give_back();
        let head = exchange::AnswerHead {
            status: parts.status.as_u16(),
            headers: head::end_to_end(&parts.headers),
        };
        Ok((head, body))
    }

    async fn cancel(&self, id: id::CallId) {
        let path = format!("{CANCEL_PATH}{}", call_text(id));
        self.ask(Method::POST, &path).await;
    }

    async fn probe(&self) {
        let begun = Instant::now();
        let healthy = self.ask(Method::GET, HEALTH_PATH).await;
        self.tell(Event::Probed(healthy, begun.elapsed())).await;
    }

    async fn ask(&self, method: Method, path: &str) -> bool {
        let Some(client) = self.client.borrow().clone() else {
            return false;
        };
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, client.address().to_string())
            .header(PROBE, "1")
            .body(Full::new(Bytes::new()));
        let Ok(request) = request else {
            return false;
        };
        match time::timeout(PROBE_TIMEOUT, client.send(request)).await {
            Ok(Ok((response, _))) => response.status().is_success(),
            _ => false,
        }
    }
}

fn request(
    address: net::SocketAddr,
    run: &Run,
    remaining: Duration,
) -> Result<Request<Full<Bytes>>, gate::Outcome> {
    let built = Request::builder()
        .method(run.head.method.as_str())
        .uri(run.head.path.as_str())
        .header(HOST, address.to_string())
        .body(Full::new(run.body.clone()));
    let mut request = built.map_err(|_| gate::Outcome::NotStarted(Refusal::NoRoute))?;
    let headers = request.headers_mut();
    head::add(headers, &run.head.headers);
    set(headers, CALL, &call_text(run.id));
    set(headers, DEADLINE, &remaining.as_millis().to_string());
    set(headers, DEPTH, &run.depth.to_string());
    Ok(request)
}

fn set(headers: &mut hyper::HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

fn call_text(id: id::CallId) -> String {
    format!("{:x}-{:x}-{:x}", id.entry, id.seq, id.nonce)
}

fn is_shed(head: &exchange::AnswerHead) -> bool {
    let unavailable = head.status == StatusCode::SERVICE_UNAVAILABLE.as_u16();
    unavailable && head.headers.iter().any(|(name, _)| name == SHED)
}

fn answered(answer: &Answer) -> gate::Outcome {
    let (head, body) = answer;
    let headers = head.headers.iter();
    let headers: usize = headers
        .map(|(name, value)| name.len() + value.len() + HEADER_COST)
        .sum();
    gate::Outcome::Answered {
        bytes: (body.len() + headers + ANSWER_COST) as u64,
        failed: answer.0.status >= StatusCode::INTERNAL_SERVER_ERROR.as_u16(),
    }
}
