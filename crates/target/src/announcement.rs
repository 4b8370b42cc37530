//! Listener on which a target announces itself to the daemon on its host.

use std::net;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use log::warn;
use pollenrouter_core::{gate, id};
use pollenrouter_http::{body, problem, server};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::{oneshot, watch};
use tokio::time;

use crate::message::{Event, LifecycleMessage};
use crate::sender;

/// Path to which targets send announcements.
pub const PATH: &str = "/.pollenrouter/target";
const BODY_MAX_BYTES: u64 = 4096;
const BODY_TIMEOUT: Duration = Duration::from_secs(1);
/// Shorter than the 1 s for which a target waits for an acknowledgement before it sends the
/// message again.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(900);

/// Parses a lifecycle message from the method, the path and the body of a request.
pub type ParseFn = fn(&Method, &str, &[u8]) -> Result<LifecycleMessage, ParseError>;

/// Why a request is not a lifecycle message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ParseError {
    /// The method or the path is not one of a lifecycle message.
    UnknownPath,
    /// The body is malformed or does not match this host.
    Malformed(String),
}

/// Body that a target sends to [`PATH`] with `PUT` once a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service that the target serves.
    pub service: id::ServiceName,
    /// Address at which the target takes calls.
    pub address: net::SocketAddr,
    /// Number of calls that the target runs concurrently.
    pub slots: u32,
    /// Whether the target is leaving.
    pub draining: bool,
    /// Time that the target takes to warm up, milliseconds.
    pub cold_start_ms: u64,
    /// Name of the target. Once a target has left, announcements with the same name and
    /// start time are ignored.
    #[serde(default)]
    pub name: id::TargetName,
    /// When this instance of the target started, milliseconds since the Unix epoch.
    #[serde(default)]
    pub born_ms: u64,
    /// Sequence number, which grows with each announcement.
    #[serde(default)]
    pub sequence: u64,
}

/// Parses an announcement in the router's own format.
///
/// # Errors
/// [`ParseError`] if the request is not an announcement, or its body is malformed.
pub fn parse_own(method: &Method, path: &str, body: &[u8]) -> Result<LifecycleMessage, ParseError> {
    if method != Method::PUT || path != PATH {
        return Err(ParseError::UnknownPath);
    }
    let parsed = serde_json::from_slice::<Announcement>(body);
    let parsed = parsed.map_err(|err| ParseError::Malformed(err.to_string()))?;
    let announcement = gate::Announcement {
        incarnation: gate::target::TargetIncarnation {
            name: parsed.name,
            started_ms: parsed.born_ms,
        },
        sequence: parsed.sequence,
        service: parsed.service,
        slots: parsed.slots,
        draining: parsed.draining,
        cold_start: Duration::from_millis(parsed.cold_start_ms),
    };
    Ok(LifecycleMessage::Announcement(announcement, parsed.address))
}

/// What the embedder provides to the listener.
#[derive(Clone)]
pub struct Context {
    /// Parses lifecycle messages.
    pub parse: ParseFn,
    /// Passes events on to the embedder.
    pub sender: sender::Sender,
    /// The only service that targets on this host may announce, if it is configured.
    pub service: Option<id::ServiceName>,
    /// The only address that targets on this host may announce, if it is configured.
    pub address: Option<net::SocketAddr>,
}

/// Serves the listener until `stop` becomes true.
///
/// # Errors
/// The listener cannot be used.
pub async fn serve(
    listener: net::TcpListener,
    cx: Context,
    stop: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let cx = Rc::new(cx);
    let handler = move |req| {
        let cx = cx.clone();
        async move { handle(&cx, req).await }
    };
    server::serve(listener, server::Limits::default(), stop, handler).await
}

async fn handle(cx: &Context, req: Request<Incoming>) -> Response<Full<Bytes>> {
    let (parts, body) = req.into_parts();
    let body = match body::read(body, BODY_MAX_BYTES, BODY_TIMEOUT).await {
        Ok(body) => body,
        Err(err) => return problem::text_response(StatusCode::BAD_REQUEST, format!("{err}\n")),
    };
    let parsed =
        (cx.parse)(&parts.method, parts.uri.path(), &body).and_then(|message| cx.check(message));
    match parsed {
        Err(ParseError::UnknownPath) => {
            problem::text_response(StatusCode::NOT_FOUND, "no such announcement\n".to_owned())
        }
        Err(ParseError::Malformed(reason)) => {
            warn!(path:% = parts.uri.path(); "announcement rejected: {reason}");
            problem::text_response(StatusCode::BAD_REQUEST, format!("announcement: {reason}\n"))
        }
        Ok(message) => acknowledge(cx, message).await,
    }
}

impl Context {
    /// Checks that an announcement matches the service and the address of this host.
    fn check(&self, message: LifecycleMessage) -> Result<LifecycleMessage, ParseError> {
        let LifecycleMessage::Announcement(announcement, address) = &message else {
            return Ok(message);
        };
        let mismatch = |what: &str, found: SmolStr| {
            Err(ParseError::Malformed(format!(
                "{what} `{found}` is not that of this host"
            )))
        };
        if self
            .service
            .as_ref()
            .is_some_and(|expected| *expected != announcement.service)
        {
            return mismatch("service", announcement.service.clone());
        }
        if self.address.is_some_and(|expected| expected != *address) {
            return mismatch("address", address.to_string().into());
        }
        Ok(message)
    }
}

/// Passes on a message and waits until it may be acknowledged. A departure is acknowledged
/// only once it is stored where a restart of this daemon does not lose it.
async fn acknowledge(cx: &Context, message: LifecycleMessage) -> Response<Full<Bytes>> {
    let (ack_tx, ack_rx) = oneshot::channel();
    cx.sender
        .emit(Event::LifecycleReceived(Box::new(message), ack_tx))
        .await;
    if let Ok(Ok(())) = time::timeout(ACKNOWLEDGE_TIMEOUT, ack_rx).await {
        problem::json_response(StatusCode::OK, &serde_json::json!({}))
    } else {
        let text = "the departure could not be made to last yet\n";
        warn!("departure not acknowledged: neither the platform nor enough daemons have it");
        problem::text_response(StatusCode::SERVICE_UNAVAILABLE, text.to_owned())
    }
}
