//! Listener with bounds on connections, headers and time.

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
use tokio::sync::{Semaphore, watch};
use tokio::{task, time};

/// Pause after a failed accept, which is mostly a lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
const HEAD_TOO_SLOW: &str =
    r#"{"status":408,"detail":"the head did not arrive in time","outcome":"not-run"}"#;

/// Bounds of a listener.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Connections open at once.
    pub connections: usize,
    /// Size of a request's head, bytes.
    pub head_bytes: usize,
    /// Headers in a request.
    pub headers: usize,
    /// Time for a request's head, counted from the end of the one before.
    pub head_timeout: Duration,
}

/// Time that a connection may stay idle, as it is in force at the moment.
pub type IdleTimeout = Rc<dyn Fn() -> Duration>;

/// Least time between two checks of whether a connection is idle for too long.
const IDLE_CHECK: Duration = Duration::from_secs(1);

impl Default for Bounds {
    fn default() -> Self {
        Self {
            connections: 1024,
            head_bytes: 16 << 10,
            headers: 64,
            head_timeout: Duration::from_secs(10),
        }
    }
}

/// Serves requests until `stop` turns true, then finishes those in flight.
/// Needs a current-thread runtime inside a [`task::LocalSet`].
///
/// # Errors
/// The listener can not be used.
pub async fn serve<H, F>(
    listener: net::TcpListener,
    bounds: Bounds,
    stop: watch::Receiver<bool>,
    handler: H,
) -> std::io::Result<()>
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<Full<Bytes>>> + 'static,
{
    let idle: IdleTimeout = Rc::new(move || bounds.head_timeout);
    serve_with_idle(listener, bounds, idle, stop, handler).await
}

/// Like [`serve`], with a bound on idle connections that may change.
///
/// # Errors
/// The listener can not be used.
pub async fn serve_with_idle<H, F>(
    listener: net::TcpListener,
    bounds: Bounds,
    idle: IdleTimeout,
    mut stop: watch::Receiver<bool>,
    handler: H,
) -> std::io::Result<()>
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<Full<Bytes>>> + 'static,
{
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    let handler = Rc::new(handler);
    let room = Arc::new(Semaphore::new(bounds.connections));
    let mut open = task::JoinSet::new();
    loop {
        let Ok(permit) = room.clone().acquire_owned().await else {
            break;
        };
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(err) => {
                    warn!("could not accept a connection: {err}");
                    time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            },
            _ = stop.wait_for(|stop| *stop) => break,
        };
        let work = connection(stream, bounds, idle.clone(), stop.clone(), handler.clone());
        open.spawn_local(async move {
            work.await;
            drop(permit);
        });
        while open.try_join_next().is_some() {}
    }
    drop(listener);
    while open.join_next().await.is_some() {}
    Ok(())
}

async fn connection<H, F>(
    stream: TcpStream,
    bounds: Bounds,
    idle: IdleTimeout,
    mut stop: watch::Receiver<bool>,
    handler: Rc<H>,
) where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<Full<Bytes>>> + 'static,
{
    // Without it small answers wait for acknowledgements.
    let _ = stream.set_nodelay(true);
    let used = Rc::new(Cell::new((0_u32, time::Instant::now())));
    let using = used.clone();
    let service = service_fn(move |req| {
        let answer = handler(req);
        let open = Use::begin(using.clone());
        Box::pin(async move {
            let answer = answer.await;
            drop(open);
            Ok::<_, Infallible>(answer)
        })
    });
    let mut serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(bounds.head_timeout)
        .max_buf_size(bounds.head_bytes)
        .max_headers(bounds.headers)
        .serve_connection(TokioIo::new(stream), service);
    let mut stopping = false;
    let mut check = Box::pin(time::sleep(idle()));
    let result = loop {
        tokio::select! {
            () = &mut check, if !stopping => {
                let (open, since) = used.get();
                if open == 0 && since.elapsed() >= idle() {
                    Pin::new(&mut serving).graceful_shutdown();
                    stopping = true;
                }
                let due = since + idle();
                check.as_mut().reset(due.max(time::Instant::now() + IDLE_CHECK));
            }
            result = poll_fn(|cx| serving.poll_without_shutdown(cx)) => break result,
            _ = stop.wait_for(|stop| *stop), if !stopping => {
                Pin::new(&mut serving).graceful_shutdown();
                stopping = true;
            }
        }
    };
    close(serving.into_parts().io.into_inner(), result).await;
}

/// A request that is being served on a connection.
struct Use(Rc<Cell<(u32, time::Instant)>>);

impl Use {
    fn begin(used: Rc<Cell<(u32, time::Instant)>>) -> Self {
        used.set((used.get().0 + 1, time::Instant::now()));
        Self(used)
    }
}

impl Drop for Use {
    fn drop(&mut self) {
        self.0.set((self.0.get().0 - 1, time::Instant::now()));
    }
}

/// Closes a connection; the library says nothing to a caller whose head did
/// not arrive in time.
async fn close(mut stream: TcpStream, result: hyper::Result<()>) {
    if let Err(err) = result {
        debug!("connection ended: {err}");
        if err.is_timeout() {
            // The caller may have left.
            let _ = stream.write_all(head_too_slow().as_bytes()).await;
        }
    }
    // The caller may have closed its end first.
    let _ = stream.shutdown().await;
}

fn head_too_slow() -> String {
    format!(
        "HTTP/1.1 408 Request Timeout\r\n\
         content-type: application/problem+json\r\n\
         pollenrouter-outcome: not-run\r\n\
         content-length: {}\r\n\
         connection: close\r\n\r\n{HEAD_TOO_SLOW}",
        HEAD_TOO_SLOW.len()
    )
}
