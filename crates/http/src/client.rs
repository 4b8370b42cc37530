//! HTTP/1.1 client with connection reuse that never sends a request twice.

use std::cell::RefCell;
use std::io::ErrorKind;
use std::net;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use tokio::net::TcpStream;
use tokio::{task, time};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The system refuses a connection to a closed port of the same host within this time.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(50);
/// Maximum size of a response head, and of the bytes that are read ahead of a body.
const HEAD_MAX_BYTES: usize = 32 << 10;
/// Connections that have been idle for longer are discarded. The limit is below the keep-alive
/// timeout of common servers, which is 5 s or more.
pub const IDLE_MAX: Duration = Duration::from_secs(4);

quick_error! {
    /// Why a request got no response.
    #[derive(Debug)]
    pub enum ClientError {
        /// The connection could not be established; nothing was sent.
        Connect(address: net::SocketAddr, reason: String) {
            display("could not connect to {address}: {reason}")
        }
        /// The connection failed after the request may have been sent.
        ConnectionLost(err: hyper::Error) {
            source(err)
            display("connection failed before the response: {err}")
        }
    }
}

type Connection = SendRequest<Full<Bytes>>;
type IdlePool = Rc<RefCell<Vec<(Connection, Instant)>>>;

/// Client for one address with a pool of idle connections.
#[derive(Clone)]
pub struct Client {
    address: net::SocketAddr,
    idle: IdlePool,
}

impl Client {
    /// Creates a client; connections are opened on demand.
    #[must_use]
    pub fn new(address: net::SocketAddr) -> Self {
        Self {
            address,
            idle: Rc::default(),
        }
    }

    /// The address that requests are sent to.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Sends a request at most once, on a connection that has been idle for at most
    /// `idle_max`. If a connection closes before any byte of the request is written,
    /// the request is sent on another one.
    ///
    /// # Errors
    /// Returns [`ClientError::Connect`] if nothing was sent, and
    /// [`ClientError::ConnectionLost`] if the request may have been sent.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        idle_max: Duration,
    ) -> Result<(Response<Incoming>, PooledConnection), ClientError> {
        self.send_until(request, idle_max, None).await
    }

    /// The same; a connection that is not established by `deadline` counts as an error, too.
    ///
    /// # Errors
    /// As [`Client::send`].
    pub async fn send_until(
        &self,
        request: Request<Full<Bytes>>,
        idle_max: Duration,
        deadline: Option<time::Instant>,
    ) -> Result<(Response<Incoming>, PooledConnection), ClientError> {
        let mut request = request;
        loop {
            let mut connection = self.acquire(idle_max, deadline).await?;
            match connection.try_send_request(request).await {
                Ok(response) => return Ok((response, self.pooled(connection))),
                Err(mut err) => match err.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(ClientError::ConnectionLost(err.into_error())),
                },
            }
        }
    }

    /// Whether connections are refused, as after the end of the process that listened.
    pub async fn is_refused(&self) -> bool {
        let connecting = time::timeout(REFUSAL_TIMEOUT, TcpStream::connect(self.address));
        let connected = connecting.await;
        matches!(connected, Ok(Err(err)) if err.kind() == ErrorKind::ConnectionRefused)
    }

    fn pooled(&self, connection: Connection) -> PooledConnection {
        PooledConnection {
            connection: Some(connection),
            idle: self.idle.clone(),
        }
    }

    async fn acquire(
        &self,
        idle_max: Duration,
        deadline: Option<time::Instant>,
    ) -> Result<Connection, ClientError> {
        while let Some(mut connection) = self.take_idle(idle_max) {
            if connection.ready().await.is_ok() {
                return Ok(connection);
            }
        }
        self.connect(deadline).await
    }

    /// Takes the most recently used connection unless it has been idle for longer than
    /// `idle_max`.
    fn take_idle(&self, idle_max: Duration) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|(connection, since)| !connection.is_closed() && since.elapsed() <= IDLE_MAX);
        let (_, since) = idle.last()?;
        if since.elapsed() > idle_max {
            return None;
        }
        idle.pop().map(|(connection, _)| connection)
    }

    async fn connect(&self, deadline: Option<time::Instant>) -> Result<Connection, ClientError> {
        let connect_error =
            |err: &dyn std::fmt::Display| ClientError::Connect(self.address, err.to_string());
        let latest = time::Instant::now() + CONNECT_TIMEOUT;
        let latest = deadline.map_or(latest, |deadline| deadline.min(latest));
        let connecting = time::timeout_at(latest, TcpStream::connect(self.address));
        let stream = connecting
            .await
            .map_err(|err| connect_error(&err))?
            .map_err(|err| connect_error(&err))?;
        // Nagle's algorithm delays small requests until previous data is acknowledged.
        let _ = stream.set_nodelay(true);
        let (connection, driver) = http1::Builder::new()
            .max_buf_size(HEAD_MAX_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|err| connect_error(&err))?;
        task::spawn_local(async move {
            if let Err(err) = driver.await {
                log::debug!("connection closed with an error: {err}");
            }
        });
        Ok(connection)
    }
}

/// A connection in use. It returns to the pool only by [`Self::return_to_pool`], after the
/// response body has been read; otherwise it is closed when dropped.
pub struct PooledConnection {
    connection: Option<Connection>,
    idle: IdlePool,
}

impl PooledConnection {
    /// Returns the connection to the pool after a complete response.
    pub fn return_to_pool(mut self) {
        if let Some(connection) = self.connection.take().filter(|c| !c.is_closed()) {
            self.idle.borrow_mut().push((connection, Instant::now()));
        }
    }
}
