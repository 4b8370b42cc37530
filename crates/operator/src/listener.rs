//! Listener for readiness, status and metrics.

use std::net;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use pollenrouter_http::{problem, server};
use tokio::sync::{oneshot, watch};

/// Requests the status from the router; returns false if its queue is full.
pub type RequestStatus = Arc<dyn Fn(oneshot::Sender<serde_json::Value>) -> bool + Send + Sync>;
/// Renders all metrics as text.
pub type RenderMetrics = Arc<dyn Fn() -> String + Send + Sync>;

/// Returns whether the daemon accepts callers.
pub type IsReady = Arc<dyn Fn() -> bool + Send + Sync>;

/// Dependencies of the listener.
#[derive(Clone)]
pub struct Context {
    /// Requests the status of the daemon.
    pub status: RequestStatus,
    /// Renders the metrics of the daemon.
    pub metrics: RenderMetrics,
    /// Whether the daemon accepts callers.
    pub ready: IsReady,
    /// Path of the readiness check.
    pub ready_path: &'static str,
}

/// Serves operators until `stop` becomes true, then completes the requests in flight.
///
/// # Errors
/// Returns an error if the listener cannot be registered with the runtime.
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
    server::serve(listener, server::Limits::default(), stop, handler).await
}

async fn handle(cx: &Context, path: &str) -> Response<Full<Bytes>> {
    match path {
        path if path == cx.ready_path => readiness((cx.ready)()),
        "/metrics" => problem::text_response(StatusCode::OK, (cx.metrics)()),
        "/status" => {
            let (tx, rx) = oneshot::channel();
            let is_queued = (cx.status)(tx);
            match rx.await {
                Ok(value) if is_queued => problem::json_response(StatusCode::OK, &value),
                _ => problem::text_response(StatusCode::SERVICE_UNAVAILABLE, "busy\n".to_owned()),
            }
        }
        _ => problem::text_response(
            StatusCode::NOT_FOUND,
            format!("expected /status, /metrics or {}\n", cx.ready_path),
        ),
    }
}

fn readiness(is_ready: bool) -> Response<Full<Bytes>> {
    if is_ready {
        problem::text_response(StatusCode::OK, "ready\n".to_owned())
    } else {
        problem::text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned())
    }
}
