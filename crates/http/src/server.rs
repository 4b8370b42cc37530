//! HTTP/1.1 server with limits on connections, request heads and idle time.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::poll_fn;
use std::net;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{debug, warn};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::{task, time};

/// Delay before accepting again after an error, usually a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Interval at which a connection is asked to make way while there are too many.
const MAKE_WAY_INTERVAL: Duration = Duration::from_millis(20);
const HEAD_TIMEOUT_PROBLEM: &str =
    r#"{"status":408,"detail":"the head did not arrive in time","outcome":"not-run"}"#;

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Maximum size of a request head, bytes.
    pub max_head_bytes: usize,
    /// Maximum number of headers in a request.
    pub max_headers: usize,
    /// Timeout for reading a request head, counted from the end of the previous request. An
    /// idle connection is closed after the same time.
    pub head_timeout: Duration,
}

/// Minimum interval between two checks for the idle timeout of a connection.
const MIN_IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

impl Default for Limits {
    fn default() -> Self {
        Self {
            // Targets, operators and probes; callers have listeners of their own.
            max_connections: 32,
            max_head_bytes: 16 << 10,
            max_headers: 64,
            head_timeout: Duration::from_secs(10),
        }
    }
}

/// Serves requests until `stop` becomes true, then completes the requests in flight.
/// Must run on a current-thread runtime inside a [`task::LocalSet`].
///
/// # Errors
/// Returns an error if the listener cannot be registered with the runtime.
pub async fn serve<H, F>(
    listener: net::TcpListener,
    limits: Limits,
    stop: watch::Receiver<bool>,
    handler: H,
) -> std::io::Result<()>
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<Full<Bytes>>> + 'static,
{
    let handler = Rc::new(handler);
    let stopping = stop.clone();
    let serve_one =
        move |stream| serve_connection(stream, limits, stopping.clone(), handler.clone());
    accept(listener, limits.max_connections, stop, || (), serve_one).await
}

/// Accepts connections and serves each with `serve_one`. While there are `max_connections`,
/// `make_way` is called for each that could be accepted, and may close another one. Returns once `stop` has become true
/// and all connections have ended. Must run inside a [`task::LocalSet`].
///
/// # Errors
/// Returns an error if the listener cannot be registered with the runtime.
pub async fn accept<F>(
    listener: net::TcpListener,
    max_connections: usize,
    mut stop: watch::Receiver<bool>,
    make_way: impl Fn(),
    serve_one: impl Fn(TcpStream) -> F,
) -> std::io::Result<()>
where
    F: Future<Output = ()> + 'static,
{
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    let permits = Arc::new(Semaphore::new(max_connections));
    let mut connections = task::JoinSet::new();
    loop {
        let Some(permit) = acquire(&permits, &mut stop, &make_way).await else {
            break;
        };
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(err) => {
                    warn!("could not accept a connection: {err}");
                    time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            },
            _ = stop.wait_for(|stop| *stop) => break,
        };
        let serving = serve_one(stream);
        connections.spawn_local(async move {
            serving.await;
            drop(permit);
        });
        while connections.try_join_next().is_some() {}
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
    Ok(())
}

/// Waits until another connection may be accepted; returns `None` once `stop` has become true.
async fn acquire(
    permits: &Arc<Semaphore>,
    stop: &mut watch::Receiver<bool>,
    make_way: &impl Fn(),
) -> Option<OwnedSemaphorePermit> {
    loop {
        if let Ok(permit) = permits.clone().try_acquire_owned() {
            return Some(permit);
        }
        make_way();
        let acquiring = time::timeout(MAKE_WAY_INTERVAL, permits.clone().acquire_owned());
        tokio::select! {
            acquired = acquiring => {
                if let Ok(permit) = acquired {
                    return permit.ok();
                }
            }
            _ = stop.wait_for(|stop| *stop) => return None,
        }
    }
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    limits: Limits,
    mut stop: watch::Receiver<bool>,
    handler: Rc<H>,
) where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<Full<Bytes>>> + 'static,
{
    // Nagle's algorithm delays small responses until previous data is acknowledged.
    let _ = stream.set_nodelay(true);
    let activity = Rc::new(Cell::new((0_u32, time::Instant::now())));
    let requests = activity.clone();
    let service = service_fn(move |req| {
        let response = handler(req);
        let active = ActiveRequest::begin(requests.clone());
        Box::pin(async move {
            let response = response.await;
            drop(active);
            Ok::<_, Infallible>(response)
        })
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.max_head_bytes)
        .max_headers(limits.max_headers)
        .serve_connection(TokioIo::new(stream), service);
    let mut stopping = false;
    let mut check = Box::pin(time::sleep(limits.head_timeout));
    let result = loop {
        tokio::select! {
            () = &mut check, if !stopping => {
                let (active, since) = activity.get();
                if active == 0 && since.elapsed() >= limits.head_timeout {
                    Pin::new(&mut connection).graceful_shutdown();
                    stopping = true;
                }
                let due = since + limits.head_timeout;
                check.as_mut().reset(due.max(time::Instant::now() + MIN_IDLE_CHECK_INTERVAL));
            }
            result = poll_fn(|cx| connection.poll_without_shutdown(cx)) => break result,
            _ = stop.wait_for(|stop| *stop), if !stopping => {
                Pin::new(&mut connection).graceful_shutdown();
                stopping = true;
            }
        }
    };
    close(connection.into_parts().io.into_inner(), result).await;
}

/// A request in flight. Updates the number of requests in flight on its connection, and the
/// time of the last change, when it begins and when it is dropped.
struct ActiveRequest(Rc<Cell<(u32, time::Instant)>>);

impl ActiveRequest {
    fn begin(activity: Rc<Cell<(u32, time::Instant)>>) -> Self {
        activity.set((activity.get().0 + 1, time::Instant::now()));
        Self(activity)
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.set((self.0.get().0 - 1, time::Instant::now()));
    }
}

/// Closes a connection. `hyper` sends no response when a request head times out, so the
/// response with status 408 is written here.
async fn close(mut stream: TcpStream, result: hyper::Result<()>) {
    if let Err(err) = result {
        debug!("connection closed with an error: {err}");
        if err.is_timeout() {
            // The caller may have disconnected.
            let _ = stream.write_all(head_timeout_response().as_bytes()).await;
        }
    }
    // The caller may have closed the connection first.
    let _ = stream.shutdown().await;
}

fn head_timeout_response() -> String {
    format!(
        "HTTP/1.1 408 Request Timeout\r\n\
         content-type: application/problem+json\r\n\
         pollenrouter-outcome: not-run\r\n\
         content-length: {}\r\n\
         connection: close\r\n\r\n{HEAD_TIMEOUT_PROBLEM}",
        HEAD_TIMEOUT_PROBLEM.len()
    )
}
