//! Listener on which the target announces itself to the daemon on its host.

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

use crate::message::{Event, Heard};
use crate::sender;

/// Path of announcements.
pub const PATH: &str = "/.pollenrouter/target";
const BODY_MAX_BYTES: u64 = 4096;
const BODY_TIMEOUT: Duration = Duration::from_secs(1);
/// A target takes an acknowledgement within a second; it asks again after that.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(900);

/// Reads what a target says, from the method, the path and the body of a request.
pub type Read = fn(&Method, &str, &[u8]) -> Result<Heard, ReadError>;

/// Why a request is not an announcement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// No announcement is made there.
    NoSuchPath,
    /// The text is wrong.
    Malformed(String),
}

/// What a target puts to [`PATH`] once a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service that it serves.
    pub service: id::ServiceName,
    /// Address that takes calls.
    pub address: net::SocketAddr,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// Time that it takes to warm up, milliseconds.
    pub cold_start_ms: u64,
    /// Its name; one that has left does not come back in the same life.
    #[serde(default)]
    pub name: id::TargetName,
    /// When this life of it started, milliseconds since 1970.
    #[serde(default)]
    pub born_ms: u64,
    /// Number that grows with each announcement.
    #[serde(default)]
    pub sequence: u64,
}

/// Reads an announcement of the product's own form.
///
/// # Errors
/// [`ReadError`].
pub fn read_own(method: &Method, path: &str, body: &[u8]) -> Result<Heard, ReadError> {
    if method != Method::PUT || path != PATH {
        return Err(ReadError::NoSuchPath);
    }
    let read = serde_json::from_slice::<Announcement>(body);
    let read = read.map_err(|err| ReadError::Malformed(err.to_string()))?;
    let announcement = gate::Announcement {
        life: gate::target::Life {
            name: read.name,
            born: read.born_ms,
        },
        sequence: read.sequence,
        service: read.service,
        slots: read.slots,
        draining: read.draining,
        cold_start: Duration::from_millis(read.cold_start_ms),
    };
    Ok(Heard::Announced(announcement, read.address))
}

/// What the listener needs of its embedder.
#[derive(Clone)]
pub struct Context {
    /// Reads announcements.
    pub read: Read,
    /// Where they go.
    pub sender: sender::Sender,
    /// The only service that is announced here, where it is known.
    pub service: Option<id::ServiceName>,
    /// The only address that is announced here, where it is known.
    pub address: Option<net::SocketAddr>,
}

/// Serves announcements until `stop` turns true.
///
/// # Errors
/// The listener can not be used.
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
    let read = (cx.read)(&parts.method, parts.uri.path(), &body).and_then(|heard| cx.check(heard));
    match read {
        Err(ReadError::NoSuchPath) => {
            problem::text_response(StatusCode::NOT_FOUND, "no such announcement\n".to_owned())
        }
        Err(ReadError::Malformed(reason)) => {
            warn!(path:% = parts.uri.path(); "announcement rejected: {reason}");
            problem::text_response(StatusCode::BAD_REQUEST, format!("announcement: {reason}\n"))
        }
        Ok(heard) => acknowledge(cx, heard).await,
    }
}

impl Context {
    fn check(&self, heard: Heard) -> Result<Heard, ReadError> {
        let Heard::Announced(announcement, address) = &heard else {
            return Ok(heard);
        };
        let wrong = |what: &str, found: SmolStr| {
            Err(ReadError::Malformed(format!(
                "{what} `{found}` is not that of this host"
            )))
        };
        if self
            .service
            .as_ref()
            .is_some_and(|own| *own != announcement.service)
        {
            return wrong("service", announcement.service.clone());
        }
        if self.address.is_some_and(|own| own != *address) {
            return wrong("address", address.to_string().into());
        }
        Ok(heard)
    }
}

/// Hands on what was heard and waits until it may be acknowledged: the word that
/// a target leaves must outlast this daemon first.
async fn acknowledge(cx: &Context, heard: Heard) -> Response<Full<Bytes>> {
    let (reply_to, kept) = oneshot::channel();
    cx.sender
        .tell(Event::Heard(Box::new(heard), reply_to))
        .await;
    if let Ok(Ok(())) = time::timeout(ACKNOWLEDGE_TIMEOUT, kept).await {
        problem::json_response(StatusCode::OK, &serde_json::json!({}))
    } else {
        let text = "the departure could not be made to last yet\n";
        warn!("departure not acknowledged: neither the platform nor enough daemons have it");
        problem::text_response(StatusCode::SERVICE_UNAVAILABLE, text.to_owned())
    }
}
