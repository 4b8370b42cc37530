//! Connections to the platform, and how long each part of a request may take.

use std::time::{Duration, Instant};

use ureq::Timeout;
use ureq::http::{Request, Response};
use ureq::unversioned::resolver::DefaultResolver;
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, DefaultConnector, NextTimeout, Transport, time,
};

/// Timeout for a new connection. A connection to a platform that is gone, or whose queue of
/// connections was full, is better opened anew than waited for.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(750);
/// Longest pause in a body. A connection that brings nothing for longer counts as silent, as one
/// that cannot be opened within [`CONNECT_TIMEOUT`].
const BODY_PAUSE_MAX: Duration = Duration::from_millis(750);
/// Bytes per second that a response gets of the slowest supported link, 10 Mbit/s, while other
/// traffic takes half of it.
const SLOWEST_BYTES_PER_SECOND: u64 = 10_000_000 / 8 / 2;
/// Time in which the largest body arrives over the slowest link, 6.7 s, beyond the time for the
/// head. It bounds a body that arrives in small pieces without end.
const BODY_TIMEOUT: Duration =
    Duration::from_millis(BODY_MAX_BYTES * 1000 / SLOWEST_BYTES_PER_SECOND);
/// Maximum size of a response's body; a page or an object has about 1 MiB.
pub const BODY_MAX_BYTES: u64 = 4 << 20;
/// Maximum size of a response's head.
const HEAD_MAX_BYTES: usize = 16 << 10;

/// Sends a request; returns the response once its head has arrived, within `head_timeout`. Its
/// body may arrive later: a read of it fails after [`BODY_PAUSE_MAX`] without a byte, but not
/// before the end of `head_timeout`.
///
/// # Errors
/// Those of the connection, and [`ureq::Error::Timeout`].
pub fn send<T: ureq::AsSendBody>(
    request: Request<T>,
    head_timeout: Duration,
) -> Result<Response<ureq::Body>, ureq::Error> {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_resolve(Some(head_timeout))
        .timeout_connect(Some(CONNECT_TIMEOUT))
        // Makes ureq tell reads of the body apart; the connection counts the time from the start of
        // the request. A platform may send the head of a watch at once and its body after the wait.
        .timeout_recv_body(Some(head_timeout + BODY_TIMEOUT))
        .max_response_header_size(HEAD_MAX_BYTES)
        .build();
    let connector = BoundedConnector {
        inner: DefaultConnector::default(),
        head_deadline: Instant::now() + head_timeout,
    };
    // Each request has a connection of its own: calls are rare, and a kept connection may have
    // gone silent without notice.
    let agent = ureq::Agent::with_parts(config, connector, DefaultResolver::default());
    agent.run(request)
}

/// Opens the connection of one request. ureq bounds either the steps up to the head one by one, or
/// all of them together with the body.
#[derive(Debug)]
struct BoundedConnector {
    inner: DefaultConnector,
    head_deadline: Instant,
}

impl Connector for BoundedConnector {
    type Out = BoundedTransport;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        chained: Option<()>,
    ) -> Result<Option<Self::Out>, ureq::Error> {
        let details = ConnectionDetails {
            uri: details.uri,
            addrs: details.addrs.clone(),
            config: details.config,
            request_level: details.request_level,
            resolver: details.resolver,
            now: details.now,
            timeout: until(self.head_deadline, Timeout::Connect, details.timeout)?,
            current_time: details.current_time.clone(),
            run_connector: details.run_connector.clone(),
            register_shutdown: details.register_shutdown.clone(),
        };
        let connection = self.inner.connect(&details, chained)?;
        Ok(connection.map(|inner| BoundedTransport {
            inner,
            head_deadline: self.head_deadline,
        }))
    }
}

/// Connection of one request.
#[derive(Debug)]
struct BoundedTransport {
    inner: Box<dyn Transport>,
    head_deadline: Instant,
}

impl Transport for BoundedTransport {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.inner.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), ureq::Error> {
        let timeout = until(self.head_deadline, Timeout::SendRequest, timeout)?;
        self.inner.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, ureq::Error> {
        let timeout = if timeout.reason == Timeout::RecvBody {
            let before_deadline = self.head_deadline.saturating_duration_since(Instant::now());
            let pause = before_deadline.max(BODY_PAUSE_MAX);
            let body_deadline = self.head_deadline + BODY_TIMEOUT;
            NextTimeout {
                per_read: Some(pause.into()),
                ..until(body_deadline, Timeout::RecvBody, timeout)?
            }
        } else {
            until(self.head_deadline, Timeout::RecvResponse, timeout)?
        };
        self.inner.await_input(timeout)
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }

    fn is_tls(&self) -> bool {
        self.inner.is_tls()
    }
}

/// The earlier one of `deadline`, which is there for `reason`, and `timeout`.
fn until(
    deadline: Instant,
    reason: Timeout,
    timeout: NextTimeout,
) -> Result<NextTimeout, ureq::Error> {
    let left = deadline.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(ureq::Error::Timeout(reason));
    }
    if *timeout.after <= left {
        return Ok(timeout);
    }
    Ok(NextTimeout {
        after: time::Duration::Exact(left),
        reason,
        ..timeout
    })
}
