//! Sends calls to the target, each at most once.

mod statement;

use std::cell::RefCell;
use std::collections::HashMap;
use std::net;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HOST, HeaderName, HeaderValue};
use hyper::http::response::Parts;
use hyper::{HeaderMap, Method, Request, StatusCode};
use log::warn;
use pollenrouter_core::call::Refusal;
use pollenrouter_core::gate::statement::Statement;
use pollenrouter_core::gate::target::TargetIncarnation;
use pollenrouter_core::{gate, http_message, id};
use pollenrouter_http::clock::Clock;
use pollenrouter_http::convention::Convention;
use pollenrouter_http::memory::Memory;
use pollenrouter_http::{body, client, head};
use tokio::sync::Notify;
use tokio::{task, time};

use crate::message::{Command, Event, OutboundCall};

/// Header that marks requests of the daemon itself: probes, load queries and cancellations.
pub const PROBE_HEADER: &str = "pollenrouter-probe";
/// Memory that a kept answer takes in addition to its body and headers, bytes.
const ANSWER_OVERHEAD_BYTES: usize = 256;
/// Memory that a header of a kept answer takes in addition to its name and value, bytes.
const HEADER_OVERHEAD_BYTES: usize = 64;
/// Interval at which an event is offered again while the event queue is full.
const EVENT_RETRY_INTERVAL: Duration = Duration::from_millis(1);
/// Timeout of probes and cancellations.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
const PROBE_BODY_MAX_BYTES: u64 = 4096;
/// Short because calls wait for the target's load; a target on the same host reports it
/// within a few milliseconds.
const LOAD_QUERY_TIMEOUT: Duration = Duration::from_millis(30);
const CANCEL_PATH: &str = "/.target/cancel/";
/// Maximum idle time of a connection that is reused for a call that may run at most once.
/// The target may have closed a connection that was idle for longer, and the call would be
/// lost.
const AT_MOST_ONCE_IDLE_MAX: Duration = Duration::from_millis(250);

/// Receives events; returns the event if the event queue is full.
pub type Sink = Rc<dyn Fn(Event) -> Result<(), Event>>;
type Answer = (http_message::ResponseHead, Bytes);

/// Why a request of the daemon itself got no response.
enum NoReply {
    /// The connection was refused or broke off.
    ConnectionFailed,
    /// Another reason.
    Other,
}

/// Sends calls to the target that announced itself last.
#[derive(Clone)]
pub struct Sender {
    /// `None` until a target has announced itself.
    client: Rc<RefCell<Option<client::Client>>>,
    /// Cancellation signals of the calls in flight.
    cancellations: Rc<RefCell<HashMap<id::CallId, Rc<Notify>>>>,
    convention: Convention,
    clock: Clock,
    /// How long to wait for an answer after the call's deadline.
    answer_wait: Duration,
    answer_memory: Rc<body::Memory>,
    /// Value that was last found unreadable of each header that states something.
    unreadable: Rc<RefCell<HashMap<&'static str, HeaderValue>>>,
    sink: Sink,
}

impl Sender {
    /// Creates a sender that has no target yet. It waits for the answer to a call until
    /// `answer_wait` after the call's deadline. Deadlines go by `clock`.
    #[must_use]
    pub fn new(convention: Convention, clock: Clock, answer_wait: Duration, sink: Sink) -> Self {
        Self {
            client: Rc::default(),
            cancellations: Rc::default(),
            convention,
            clock,
            answer_wait,
            answer_memory: Rc::new(body::Memory::new(Memory::unlimited())),
            unreadable: Rc::default(),
            sink,
        }
    }

    /// Takes the memory for answers from `memory`.
    #[must_use]
    pub fn with_memory(mut self, memory: Memory) -> Self {
        self.answer_memory = Rc::new(body::Memory::new(memory));
        self
    }

    fn set_address(&self, address: net::SocketAddr) {
        let mut client = self.client.borrow_mut();
        if client.as_ref().is_none_or(|c| c.address() != address) {
            *client = Some(client::Client::new(address));
        }
    }

    /// Reports an event to the embedder. Waits while the event queue is full, because no
    /// event may be lost.
    pub async fn emit(&self, event: Event) {
        let mut event = event;
        while let Err(returned) = (self.sink)(event) {
            event = returned;
            time::sleep(EVENT_RETRY_INTERVAL).await;
        }
    }

    /// Executes a command; all but [`Command::SetAddress`] in a task of their own.
    pub fn execute(&self, command: Command) {
        if let Command::SetAddress(address) = command {
            self.set_address(address);
            return;
        }
        let sender = self.clone();
        task::spawn_local(async move {
            match command {
                Command::Send(call) => sender.run_call(call).await,
                Command::Cancel(id) => sender.cancel(id).await,
                Command::Probe => sender.probe().await,
                Command::QueryLoad(target) => sender.query_load(target).await,
                Command::SetAddress(_) => {}
            }
        });
    }

    /// Sends a call, waits until it is answered, lost or cancelled, and reports the outcome.
    async fn run_call(&self, call: OutboundCall) {
        let id = call.id;
        let cancelled = Rc::new(Notify::new());
        self.cancellations
            .borrow_mut()
            .insert(id, cancelled.clone());
        let sent = tokio::select! {
            sent = self.send_call(call) => sent,
            // Dropping the request closes its connection; this tells the target that the
            // answer is no longer wanted.
            () = cancelled.notified() => Err(gate::Outcome::Lost),
        };
        self.cancellations.borrow_mut().remove(&id);
        let (outcome, answer) = match sent {
            Ok(answer) => (answered_outcome(&answer), Some(answer)),
            Err(outcome) => (outcome, None),
        };
        self.emit(Event::CallFinished(id, outcome, answer)).await;
    }

    async fn send_call(&self, call: OutboundCall) -> Result<Answer, gate::Outcome> {
        let client = self.client.borrow().clone();
        let client = client.ok_or(gate::Outcome::NotStarted(Refusal::NoTarget))?;
        // Checked immediately before the write, because the process may have been paused
        // since the call was started.
        let remaining = call.deadline.saturating_sub((self.clock)());
        if remaining.is_zero() {
            return Err(gate::Outcome::NotStarted(Refusal::Late));
        }
        let request = self.build_request(client.address(), &call, remaining)?;
        let sent_id = self.echoed(request.headers());
        let asked_at = (self.clock)();
        // The deadline holds for the whole answer, however slowly its bytes arrive.
        let call_deadline = time::Instant::now() + remaining;
        let deadline = call_deadline + self.answer_wait;
        let idle_max = if call.at_most_once {
            AT_MOST_ONCE_IDLE_MAX
        } else {
            client::IDLE_MAX
        };
        // Nothing is sent before the connection is established.
        let sending = client.send_until(request, idle_max, Some(call_deadline));
        let sent = time::timeout_at(deadline, sending).await;
        let (response, connection) = match sent {
            Ok(Ok(sent)) => sent,
            Ok(Err(client::ClientError::Connect(..))) => {
                self.report_connection_failure(&call.target).await;
                return Err(gate::Outcome::NotStarted(Refusal::Unreachable));
            }
            Err(_) => return Err(self.log_lost(&call, "no answer in time")),
            Ok(Err(client::ClientError::ConnectionLost(err))) => {
                // A target that answers with something else than HTTP has not restarted.
                if !err.is_parse() {
                    self.report_connection_failure(&call.target).await;
                }
                return Err(self.broken_off(&client, &call, &err.to_string()).await);
            }
        };
        let (parts, body) = response.into_parts();
        if !http_message::is_final(parts.status.as_u16()) {
            return Err(self.log_lost(&call, "the answer has no final status"));
        }
        let is_misdirected = self.convention.wrong_target_status == Some(parts.status.as_u16());
        if self.belongs_to(sent_id.as_ref(), &parts) && !is_misdirected {
            let statement = self.read_statement(&parts.headers);
            let statement = Statement {
                target: call.target.clone(),
                asked_at,
                ..statement
            };
            self.emit(Event::Stated(statement)).await;
        }
        let max_bytes = call.answer_max_bytes;
        let body = body::read_until(body, max_bytes, deadline, &self.answer_memory).await;
        let body = match body {
            Ok(body) => body,
            Err(body::BodyError::Incomplete(reason)) => {
                self.report_connection_failure(&call.target).await;
                return Err(self.broken_off(&client, &call, &reason).await);
            }
            Err(err @ body::BodyError::NoRoom) => {
                self.log_lost(&call, &err.to_string());
                return Err(gate::Outcome::NotKept);
            }
            Err(err) => return Err(self.log_lost(&call, &err.to_string())),
        };
        let head = http_message::ResponseHead {
            status: parts.status.as_u16(),
            headers: head::end_to_end(&parts.headers),
        };
        self.report_load(&head).await;
        let is_reusable = self.verify(&call, sent_id.as_ref(), &parts)?;
        if is_reusable {
            connection.return_to_pool();
        }
        if self.was_not_run(&head) {
            return Err(gate::Outcome::NotStarted(Refusal::Shed));
        }
        Ok((self.without_load(head), body))
    }

    /// The header by which an answer shows which request it belongs to.
    fn echoed(&self, headers: &HeaderMap) -> Option<HeaderValue> {
        headers.get(self.convention.echo?.header).cloned()
    }

    /// Checks that an answer comes from the target and belongs to this request; returns whether
    /// it shows so. If it does not, the connection must not be reused: the next answer on it
    /// could be a second copy of this one, or of one before.
    fn verify(
        &self,
        call: &OutboundCall,
        sent_id: Option<&HeaderValue>,
        answer: &Parts,
    ) -> Result<bool, gate::Outcome> {
        if !self.belongs_to(sent_id, answer) {
            return Err(self.log_lost(call, "the answer belongs to another request"));
        }
        if let Some(name) = self.convention.signature_header
            && answer.status.is_success()
            && !answer.headers.contains_key(name)
        {
            return Err(self.log_lost(call, "the answer has no signature"));
        }
        let answered_id = self.echoed(&answer.headers);
        Ok(answered_id.is_some() && answered_id.as_ref() == sent_id)
    }

    /// Whether an answer belongs to this request, as far as it shows.
    fn belongs_to(&self, sent_id: Option<&HeaderValue>, answer: &Parts) -> bool {
        let answered_id = self.echoed(&answer.headers);
        let is_required = self.convention.echo.is_some_and(|echo| echo.is_required);
        answered_id.as_ref() == sent_id || !is_required && answered_id.is_none()
    }

    /// Outcome of a call whose connection broke: the target has ended if it accepts no other.
    async fn broken_off(
        &self,
        client: &client::Client,
        call: &OutboundCall,
        reason: &str,
    ) -> gate::Outcome {
        let outcome = self.log_lost(call, reason);
        if client.is_refused().await {
            gate::Outcome::Crashed
        } else {
            outcome
        }
    }

    /// Logs why a call was lost, and returns [`gate::Outcome::Lost`].
    fn log_lost(&self, call: &OutboundCall, reason: &str) -> gate::Outcome {
        let name = self.convention.request_id_header;
        let found = call.head.headers.iter().find(|(n, _)| n == name);
        let request = found.map(|(_, value)| String::from_utf8_lossy(value));
        warn!(
            request:% = request.unwrap_or_default(),
            call:% = format_call_id(call.id),
            digest:% = format_args!("{:016x}", call.fingerprint),
            by:% = call.target.name;
            "call lost at the target: {reason}"
        );
        gate::Outcome::Lost
    }

    /// Whether the target states that it did not run the call.
    fn was_not_run(&self, head: &http_message::ResponseHead) -> bool {
        let has_not_run_header = head
            .headers
            .iter()
            .any(|(name, _)| name == self.convention.not_run_header);
        let is_error = head.status >= StatusCode::BAD_REQUEST.as_u16();
        is_error && has_not_run_header || self.convention.wrong_target_status == Some(head.status)
    }

    /// Removes the load header, which only the daemon on the target's host uses.
    fn without_load(&self, mut head: http_message::ResponseHead) -> http_message::ResponseHead {
        if let Some((name, _)) = self.convention.load_header {
            head.headers.retain(|(n, _)| n != name);
        }
        head
    }

    async fn report_load(&self, head: &http_message::ResponseHead) {
        if let Some(slowness) = self.slowness(&head.headers) {
            self.emit(Event::LoadReported(gate::LoadReport { slowness }))
                .await;
        }
    }

    /// How long work takes at the target at the moment, in hundredths of the usual time, if
    /// the headers of an answer state it.
    fn slowness(&self, headers: &[http_message::Header]) -> Option<u32> {
        let (name, read) = self.convention.load_header?;
        let (_, value) = headers.iter().find(|(n, _)| n == name)?;
        read(std::str::from_utf8(value).ok()?)
    }

    async fn cancel(&self, id: id::CallId) {
        if self.convention.cancels_by_request {
            let path = format!("{CANCEL_PATH}{}", format_call_id(id));
            self.request_succeeds(Method::POST, &path).await;
        } else if let Some(cancelled) = self.cancellations.borrow().get(&id) {
            cancelled.notify_one();
        }
    }

    async fn probe(&self) {
        let started_at = Instant::now();
        let healthy = self
            .request_succeeds(Method::GET, self.convention.health_path)
            .await;
        self.emit(Event::ProbeFinished(healthy, started_at.elapsed()))
            .await;
    }

    /// Asks for the load, which the target states in the answer to a health check.
    async fn query_load(&self, target: TargetIncarnation) {
        let asked_at = (self.clock)();
        let reply =
            self.send_without_body(Method::GET, self.convention.health_path, LOAD_QUERY_TIMEOUT);
        let reply = reply.await;
        if let Err(NoReply::ConnectionFailed) = reply {
            self.report_connection_failure(&target).await;
        }
        let parts = reply.ok();
        if let Some(parts) = &parts {
            let statement = Statement {
                target,
                asked_at,
                is_probe: true,
                ..self.read_statement(&parts.headers)
            };
            self.emit(Event::Stated(statement)).await;
        }
        let headers = parts.map(|parts| head::end_to_end(&parts.headers));
        let event = headers
            .and_then(|headers| self.slowness(&headers))
            .map_or(Event::LoadUnavailable, |slowness| {
                Event::LoadReported(gate::LoadReport { slowness })
            });
        self.emit(event).await;
    }

    /// Sends a request without a body; returns whether the target replied with success.
    async fn request_succeeds(&self, method: Method, path: &str) -> bool {
        let reply = self.send_without_body(method, path, PROBE_TIMEOUT).await;
        reply.is_ok_and(|parts| parts.status.is_success())
    }

    async fn report_connection_failure(&self, target: &TargetIncarnation) {
        self.emit(Event::ConnectionFailed(target.clone())).await;
    }

    /// Sends a request without a body; returns the head of the response, if one arrived.
    async fn send_without_body(
        &self,
        method: Method,
        path: &str,
        timeout: Duration,
    ) -> Result<Parts, NoReply> {
        let client = self.client.borrow().clone().ok_or(NoReply::Other)?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, client.address().to_string())
            .header(PROBE_HEADER, "1")
            .body(Full::new(Bytes::new()));
        let exchange = async {
            let request = request.map_err(|_| NoReply::Other)?;
            let sent = client.send(request, client::IDLE_MAX).await;
            let (response, connection) = sent.map_err(|err| match err {
                client::ClientError::ConnectionLost(err) if err.is_parse() => NoReply::Other,
                _ => NoReply::ConnectionFailed,
            })?;
            let (parts, body) = response.into_parts();
            let body = body::read(body, PROBE_BODY_MAX_BYTES, timeout).await;
            // A connection can be reused only if nothing is left to read and the response is not
            // the answer to a call.
            if body.is_ok() && self.echoed(&parts.headers).is_none() {
                connection.return_to_pool();
            }
            Ok(parts)
        };
        let reply = time::timeout(timeout, exchange).await;
        reply.unwrap_or(Err(NoReply::Other))
    }

    fn build_request(
        &self,
        address: net::SocketAddr,
        call: &OutboundCall,
        remaining: Duration,
    ) -> Result<Request<Full<Bytes>>, gate::Outcome> {
        let host = match &call.head.host {
            Some(host) => host.to_string(),
            None => address.to_string(),
        };
        let built = Request::builder()
            .method(call.head.method.as_str())
            .uri(call.head.path.as_str())
            .header(HOST, host)
            .body(Full::new(call.body.clone()));
        let mut request = built.map_err(|_| gate::Outcome::NotStarted(Refusal::NoRoute))?;
        let headers = request.headers_mut();
        head::add(headers, &call.head.headers);
        let Convention {
            call_id_header,
            depth_header,
            target_header,
            deadline_header,
            ..
        } = self.convention;
        set_header(
            headers,
            Some(deadline_header),
            &remaining.as_millis().to_string(),
        );
        set_header(headers, call_id_header, &format_call_id(call.id));
        set_header(headers, depth_header, &call.depth.to_string());
        set_header(
            headers,
            target_header.filter(|_| !call.target.name.is_empty()),
            &call.target.name,
        );
        Ok(request)
    }
}

fn set_header(headers: &mut HeaderMap, name: Option<&'static str>, value: &str) {
    if let (Some(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

fn format_call_id(id: id::CallId) -> String {
    format!("{:x}-{:x}-{:x}", id.entry, id.seq, id.nonce)
}

/// Outcome of an answered call, with the memory that its answer takes if it is kept.
fn answered_outcome(answer: &Answer) -> gate::Outcome {
    let (head, body) = answer;
    let headers = head.headers.iter();
    let header_bytes: usize = headers
        .map(|(name, value)| name.len() + value.len() + HEADER_OVERHEAD_BYTES)
        .sum();
    gate::Outcome::Answered {
        bytes: (body.len() + header_bytes + ANSWER_OVERHEAD_BYTES) as u64,
        failed: answer.0.status >= StatusCode::INTERNAL_SERVER_ERROR.as_u16(),
    }
}
