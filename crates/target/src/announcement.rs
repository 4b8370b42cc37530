//! Listener on which the target announces itself to the daemon on its host.

use std::net;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use pollenrouter_core::{gate, id};
use pollenrouter_http::{body, problem, server};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::message::Event;
use crate::sender;

/// Path of announcements.
pub const PATH: &str = "/.pollenrouter/target";
const BODY_MAX_BYTES: u64 = 4096;
const BODY_TIMEOUT: Duration = Duration::from_secs(1);

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
}

/// Serves announcements until `stop` turns true.
///
/// # Errors
/// The listener can not be used.
pub async fn serve(
    listener: net::TcpListener,
    sender: sender::Sender,
    stop: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let sender = Rc::new(sender);
    let handler = move |req| {
        let sender = sender.clone();
        async move { handle(&sender, req).await }
    };
    server::serve(listener, server::Bounds::default(), stop, handler).await
}

async fn handle(sender: &sender::Sender, req: Request<Incoming>) -> Response<Full<Bytes>> {
    if req.method() != Method::PUT || req.uri().path() != PATH {
        return problem::text(StatusCode::NOT_FOUND, format!("expected PUT {PATH}\n"));
    }
    let body = match body::read(req.into_body(), BODY_MAX_BYTES, BODY_TIMEOUT).await {
        Ok(body) => body,
        Err(err) => return problem::text(StatusCode::BAD_REQUEST, format!("{err}\n")),
    };
    match serde_json::from_slice::<Announcement>(&body) {
        Err(err) => problem::text(StatusCode::BAD_REQUEST, format!("announcement: {err}\n")),
        Ok(announcement) => {
            take(sender, announcement).await;
            problem::text(StatusCode::OK, String::new())
        }
    }
}

async fn take(sender: &sender::Sender, announcement: Announcement) {
    let address = announcement.address;
    sender.set_address(address);
    let announcement = gate::Announcement {
        service: announcement.service,
        slots: announcement.slots,
        draining: announcement.draining,
        cold_start: Duration::from_millis(announcement.cold_start_ms),
    };
    sender.tell(Event::Announced(announcement, address)).await;
}
