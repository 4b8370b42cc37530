//! Listener for status and metrics.

use std::net;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use pollenrouter_http::{problem, server};
use tokio::sync::{oneshot, watch};

/// Asks the embedder for its status; tells whether there was room.
pub type Status = Arc<dyn Fn(oneshot::Sender<serde_json::Value>) -> bool + Send + Sync>;
/// Renders all metrics as text.
pub type Metrics = Arc<dyn Fn() -> String + Send + Sync>;

/// Tells whether the daemon takes callers.
pub type Ready = Arc<dyn Fn() -> bool + Send + Sync>;

/// What the listener needs of its embedder.
#[derive(Clone)]
pub struct Context {
    /// Status of the daemon.
    pub status: Status,
    /// Its metrics.
    pub metrics: Metrics,
    /// Whether it takes callers.
    pub ready: Ready,
    /// Path at which that is told.
    pub ready_path: &'static str,
}

/// Serves operators until `stop` turns true.
///
/// # Errors
/// The listener can not be used.
pub async fn serve(
    listener: net::TcpListener,
    cx: Context,
    stop: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let cx = Rc::new(cx);
    let handler = move |req: Request<Incoming>| {
        let cx = cx.clone();
        async move { handle(&cx, req.uri().path()).await }
    };
    server::serve(listener, server::Bounds::default(), stop, handler).await
}

async fn handle(cx: &Context, path: &str) -> Response<Full<Bytes>> {
    match path {
        path if path == cx.ready_path => ready((cx.ready)()),
        "/metrics" => problem::text(StatusCode::OK, (cx.metrics)()),
        "/status" => {
            let (tx, rx) = oneshot::channel();
            let asked = (cx.status)(tx);
            match rx.await {
                Ok(value) if asked => problem::json(StatusCode::OK, &value),
                _ => problem::text(StatusCode::SERVICE_UNAVAILABLE, "busy\n".to_owned()),
            }
        }
        _ => problem::text(
            StatusCode::NOT_FOUND,
            format!("expected /status, /metrics or {}\n", cx.ready_path),
        ),
    }
}

fn ready(is_ready: bool) -> Response<Full<Bytes>> {
    if is_ready {
        problem::text(StatusCode::OK, "ready\n".to_owned())
    } else {
        problem::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned())
    }
}
