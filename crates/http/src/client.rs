//! Client that keeps connections open and never sends a request twice.

use std::cell::RefCell;
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
/// A connection that was idle for longer is closed; common servers keep theirs
/// open for 5 s and more.
pub const IDLE_MAX: Duration = Duration::from_secs(4);

quick_error! {
    /// A request got no answer.
    #[derive(Debug)]
    pub enum ClientError {
        /// No connection; nothing was sent.
        Connect(address: net::SocketAddr, reason: String) {
            display("could not connect to {address}: {reason}")
        }
        /// The connection failed after the request may have been sent.
        Broken(err: hyper::Error) {
            source(err)
            display("connection broke before the answer: {err}")
        }
    }
}

type Connection = SendRequest<Full<Bytes>>;
type Idle = Rc<RefCell<Vec<(Connection, Instant)>>>;

/// Connections to one address.
#[derive(Clone)]
pub struct Client {
    address: net::SocketAddr,
    idle: Idle,
}

impl Client {
    /// A client without connections.
    #[must_use]
    pub fn new(address: net::SocketAddr) -> Self {
        Self {
            address,
            idle: Rc::default(),
        }
    }

    /// The address that requests go to.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Sends a request once, on a connection that was idle for `idle_max` at
    /// most. A connection that closed before any byte was written is replaced;
    /// the request goes out on the next one.
    ///
    /// # Errors
    /// [`ClientError::Connect`] if nothing was sent, else [`ClientError::Broken`].
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        idle_max: Duration,
    ) -> Result<(Response<Incoming>, Lent), ClientError> {
        let mut request = request;
        loop {
            let mut connection = self.connection(idle_max).await?;
            match connection.try_send_request(request).await {
                Ok(response) => return Ok((response, self.lend(connection))),
                Err(mut err) => match err.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(ClientError::Broken(err.into_error())),
                },
            }
        }
    }

    fn lend(&self, connection: Connection) -> Lent {
        Lent {
            connection: Some(connection),
            idle: self.idle.clone(),
        }
    }

    async fn connection(&self, idle_max: Duration) -> Result<Connection, ClientError> {
        while let Some(mut connection) = self.take_idle(idle_max) {
            if connection.ready().await.is_ok() {
                return Ok(connection);
            }
        }
        self.connect().await
    }

    /// The connection that was used last, if it is not idle for too long.
    fn take_idle(&self, idle_max: Duration) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|(connection, since)| !connection.is_closed() && since.elapsed() <= IDLE_MAX);
        let (_, since) = idle.last()?;
        if since.elapsed() > idle_max {
            return None;
        }
        idle.pop().map(|(connection, _)| connection)
    }

    async fn connect(&self) -> Result<Connection, ClientError> {
        let refused =
            |err: &dyn std::fmt::Display| ClientError::Connect(self.address, err.to_string());
        let connecting = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address));
        let stream = connecting
            .await
            .map_err(|err| refused(&err))?
            .map_err(|err| refused(&err))?;
        // Without it small requests wait for acknowledgements.
        let _ = stream.set_nodelay(true);
        let (connection, driver) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|err| refused(&err))?;
        task::spawn_local(async move {
            if let Err(err) = driver.await {
                log::debug!("connection ended: {err}");
            }
        });
        Ok(connection)
    }
}

/// A connection in use; goes back once the answer's body was read.
pub struct Lent {
    connection: Option<Connection>,
    idle: Idle,
}

impl Lent {
    /// Gives the connection back after a whole answer.
    pub fn give_back(mut self) {
        if let Some(connection) = self.connection.take().filter(|c| !c.is_closed()) {
            self.idle.borrow_mut().push((connection, Instant::now()));
        }
    }
}
