//! Sends calls to the target, each exactly once.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HOST, HeaderName, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Method, Request, StatusCode};
use log::warn;
use pollenrouter_core::call::Refusal;
use pollenrouter_core::{exchange, gate, id};
use pollenrouter_http::convention::Convention;
use pollenrouter_http::{body, client, head};
use tokio::sync::Notify;
use tokio::{task, time};

use crate::message::{Command, Event, Run};

/// Header that tells a probe from other requests.
pub const PROBE: &str = "pollenrouter-probe";
/// Memory that a kept answer and each of its headers take besides their text,
/// bytes.
const ANSWER_COST: usize = 256;
const HEADER_COST: usize = 64;
const ROOM_PAUSE: Duration = Duration::from_millis(1);
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
const PROBE_BODY_MAX_BYTES: u64 = 4096;
/// Calls wait for the answer; a target on the same host tells within a few
/// milliseconds.
const LOAD_TIMEOUT: Duration = Duration::from_millis(30);
const CANCEL_PATH: &str = "/.target/cancel/";
/// A call that may run once goes out on a connection that was in use this lately:
/// a target may have dropped one that idles, and the call would be lost.
const ONCE_IDLE_MAX: Duration = Duration::from_millis(250);

/// Takes events; gives one back that there is no room for.
pub type Sink = Rc<dyn Fn(Event) -> Result<(), Event>>;
type Answer = (exchange::AnswerHead, Bytes);

/// Sends calls to the target that announced itself last.
#[derive(Clone)]
pub struct Sender {
    client: Rc<RefCell<Option<client::Client>>>,
    cancels: Rc<RefCell<HashMap<id::CallId, Rc<Notify>>>>,
    convention: Convention,
    answer_wait: Duration,
    sink: Sink,
}

impl Sender {
    /// A sender without a target; the answer to a started call is awaited for
    /// `answer_wait` after its deadline.
    #[must_use]
    pub fn new(convention: Convention, answer_wait: Duration, sink: Sink) -> Self {
        Self {
            client: Rc::default(),
            cancels: Rc::default(),
            convention,
            answer_wait,
            sink,
        }
    }

    fn set_address(&self, address: net::SocketAddr) {
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
        if let Command::Use(address) = command {
            self.set_address(address);
            return;
        }
        let sender = self.clone();
        task::spawn_local(async move {
            match command {
                Command::Run(run) => sender.call(run).await,
                Command::Cancel(id) => sender.cancel(id).await,
                Command::Probe => sender.probe().await,
                Command::AskLoad => sender.ask_load().await,
                Command::Use(_) => {}
            }
        });
    }

    async fn call(&self, run: Run) {
        let id = run.id;
        let cancelled = Rc::new(Notify::new());
        self.cancels.borrow_mut().insert(id, cancelled.clone());
        let sent = tokio::select! {
            sent = self.send(run) => sent,
            // Dropping the request closes its connection.
            () = cancelled.notified() => Err(gate::Outcome::Lost),
        };
        self.cancels.borrow_mut().remove(&id);
        let (outcome, answer) = match sent {
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
        let request = self.request(client.address(), &run, remaining)?;
        let patience = remaining + self.answer_wait;
        let idle_max = if run.once {
            ONCE_IDLE_MAX
        } else {
            client::IDLE_MAX
        };
        let sent = time::timeout(patience, client.send(request, idle_max)).await;
        let (response, lent) = match sent {
            Ok(Ok(sent)) => sent,
            Ok(Err(client::ClientError::Connect(..))) => {
                return Err(gate::Outcome::NotStarted(Refusal::Unreachable));
            }
            Err(_) => return Err(self.lost(&run, "no answer in time")),
            Ok(Err(client::ClientError::ConnectionLost(err))) => {
                return Err(self.lost(&run, &err.to_string()));
            }
        };
        let (parts, body) = response.into_parts();
        let body = body::read(body, run.answer_bytes, patience)
            .await
            .map_err(|err| self.lost(&run, &err.to_string()))?;
        let head = exchange::AnswerHead {
            status: parts.status.as_u16(),
            headers: head::end_to_end(&parts.headers),
        };
        self.report(&head).await;
        self.verify(&run, &head)?;
        lent.return_to_pool();
        if self.is_not_run(&head) {
            return Err(gate::Outcome::NotStarted(Refusal::Shed));
        }
        Ok((self.stripped(head), body))
    }

    /// Checks that an answer is the target's, and that of this request. The
    /// connection of one that is not holds bytes that belong to no request.
    fn verify(&self, run: &Run, head: &exchange::AnswerHead) -> Result<(), gate::Outcome> {
        let value = |headers: &[exchange::Header], name| {
            let found = headers.iter().find(|(n, _)| n == name);
            found.map(|(_, value)| value.clone())
        };
        if let Some(name) = self.convention.echo_header
            && value(&run.head.headers, name) != value(&head.headers, name)
        {
            return Err(self.lost(run, "the answer belongs to another request"));
        }
        let success = (200..300).contains(&head.status);
        if let Some(name) = self.convention.signature_header
            && success
            && value(&head.headers, name).is_none()
        {
            return Err(self.lost(run, "the answer has no signature"));
        }
        Ok(())
    }

    fn lost(&self, run: &Run, reason: &str) -> gate::Outcome {
        let name = self.convention.request_id_header;
        let found = run.head.headers.iter().find(|(n, _)| n == name);
        let request = found.map(|(_, value)| String::from_utf8_lossy(value));
        warn!(
            request:% = request.unwrap_or_default(),
            call:% = call_text(run.id),
            by:% = run.target;
            "call lost at the target: {reason}"
        );
        gate::Outcome::Lost
    }

    fn is_not_run(&self, head: &exchange::AnswerHead) -> bool {
        let says = head
            .headers
            .iter()
            .any(|(name, _)| name == self.convention.not_run_header);
        let fails = head.status >= StatusCode::BAD_REQUEST.as_u16();
        fails && says || self.convention.wrong_target_status == Some(head.status)
    }

    /// The answer without what only the daemon beside the target needs.
    fn stripped(&self, mut head: exchange::AnswerHead) -> exchange::AnswerHead {
        if let Some((name, _)) = self.convention.load_header {
            head.headers.retain(|(n, _)| n != name);
        }
        head
    }

    async fn report(&self, head: &exchange::AnswerHead) {
        if let Some(slowness) = self.slowness(&head.headers) {
            self.tell(Event::Reported(gate::Report { slowness })).await;
        }
    }

    /// How long work takes at the moment, as the headers of an answer tell.
    fn slowness(&self, headers: &[exchange::Header]) -> Option<u32> {
        let (name, read) = self.convention.load_header?;
        let (_, value) = headers.iter().find(|(n, _)| n == name)?;
        read(std::str::from_utf8(value).ok()?)
    }

    async fn cancel(&self, id: id::CallId) {
        if self.convention.cancels_by_request {
            let path = format!("{CANCEL_PATH}{}", call_text(id));
            self.ask(Method::POST, &path).await;
        } else if let Some(cancelled) = self.cancels.borrow().get(&id) {
            cancelled.notify_one();
        }
    }

    async fn probe(&self) {
        let begun = Instant::now();
        let healthy = self.ask(Method::GET, self.convention.health_path).await;
        self.tell(Event::Probed(healthy, begun.elapsed())).await;
    }

    /// Asks for the load on the path that tells the health.
    async fn ask_load(&self) {
        let asked = self.exchange(Method::GET, self.convention.health_path, LOAD_TIMEOUT);
        let headers = asked.await.map(|parts| head::end_to_end(&parts.headers));
        let event = headers
            .and_then(|headers| self.slowness(&headers))
            .map_or(Event::Unreported, |slowness| {
                Event::Reported(gate::Report { slowness })
            });
        self.tell(event).await;
    }

    async fn ask(&self, method: Method, path: &str) -> bool {
        let replied = self.exchange(method, path, PROBE_TIMEOUT).await;
        replied.is_some_and(|parts| parts.status.is_success())
    }

    /// Sends a request without a body and returns the head of what came back.
    async fn exchange(&self, method: Method, path: &str, patience: Duration) -> Option<Parts> {
        let client = self.client.borrow().clone()?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, client.address().to_string())
            .header(PROBE, "1")
            .body(Full::new(Bytes::new()));
        let sent = time::timeout(patience, client.send(request.ok()?, client::IDLE_MAX)).await;
        let (response, lent) = sent.ok()?.ok()?;
        let (parts, body) = response.into_parts();
        // Only a connection on which nothing is left to read is used again.
        if body::read(body, PROBE_BODY_MAX_BYTES, patience)
            .await
            .is_ok()
        {
            lent.return_to_pool();
        }
        Some(parts)
    }

    fn request(
        &self,
        address: net::SocketAddr,
        run: &Run,
        remaining: Duration,
    ) -> Result<Request<Full<Bytes>>, gate::Outcome> {
        let host = match &run.head.host {
            Some(host) => host.to_string(),
            None => address.to_string(),
        };
        let built = Request::builder()
            .method(run.head.method.as_str())
            .uri(run.head.path.as_str())
            .header(HOST, host)
            .body(Full::new(run.body.clone()));
        let mut request = built.map_err(|_| gate::Outcome::NotStarted(Refusal::NoRoute))?;
        let headers = request.headers_mut();
        head::add(headers, &run.head.headers);
        let Convention {
            call_id_header,
            depth_header,
            target_header,
            deadline_header,
            ..
        } = self.convention;
        set(
            headers,
            Some(deadline_header),
            &remaining.as_millis().to_string(),
        );
        set(headers, call_id_header, &call_text(run.id));
        set(headers, depth_header, &run.depth.to_string());
        set(
            headers,
            target_header.filter(|_| !run.target.is_empty()),
            &run.target,
        );
        Ok(request)
    }
}

fn set(headers: &mut hyper::HeaderMap, name: Option<&'static str>, value: &str) {
    if let (Some(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

fn call_text(id: id::CallId) -> String {
    format!("{:x}-{:x}-{:x}", id.entry, id.seq, id.nonce)
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
