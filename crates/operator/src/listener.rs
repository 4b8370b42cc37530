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

/// Serves operators until `stop` turns true.
///
/// # Errors
/// The listener can not be used.
pub async fn serve(
    listener: net::TcpListener,
    status: Status,
    metrics: Metrics,
    stop: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let cx = Rc::new((status, metrics));
    let handler = move |req: Request<Incoming>| {
        let cx = cx.clone();
        async move { handle(req.uri().path(), &cx.0, &cx.1).await }
    };
    server::serve(listener, server::Bounds::default(), stop, handler).await
}

async fn handle(path: &str, status: &Status, metrics: &Metrics) -> Response<Full<Bytes>> {
    match path {
        "/metrics" => problem::text(StatusCode::OK, metrics()),
        "/status" => {
            let (tx, rx) = oneshot::channel();
            let asked = status(tx);
            match rx.await {
                Ok(value) if asked => problem::json(StatusCode::OK, &value),
                _ => problem::text(StatusCode::SERVICE_UNAVAILABLE, "busy\n".to_owned()),
            }
        }
        _ => problem::text(
            StatusCode::NOT_FOUND,
            "expected /status or /metrics\n".to_owned(),
        ),
    }
}
