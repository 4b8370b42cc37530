//! One connection of a caller: works on the requests that the caller pipelines at the same
//! time, and responds to them in the order in which they were sent.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use futures_util::FutureExt;
use futures_util::future::{self, LocalBoxFuture};
use futures_util::stream::{FuturesOrdered, StreamExt};
use hyper::{Method, Response};
use log::debug;
use pollenrouter_core::table;
use pollenrouter_http::body::BodyError;
use tokio::io::{self, AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::watch;
use tokio::time::{self, Instant, Sleep};

use crate::buffer::ReadBuffer;
use crate::decoder::Decoder;
use crate::head::{self, Framing, HeadError};
use crate::{encode, response};

/// Maximum number of requests of one connection that are worked on at the same time.
pub const AT_WORK_MAX: usize = 8;
/// Maximum number of bytes that are read ahead of the requests at work; at least the size of a
/// request head.
pub const READ_AHEAD_MAX_BYTES: usize = 32 << 10;
/// While requests at work and unsent responses hold more bytes, no further request begins.
pub const HELD_MAX_BYTES: usize = 256 << 10;
/// Space for one read.
const READ_BYTES: usize = 2048;
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which a caller has to take some bytes of a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after the stop for a request that has arrived in part.
const STOP_READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval of checks for a caller that has left while no bytes are read.
const LEFT_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which the connection stays open after the last response. A connection that is closed
/// with unread bytes is reset, and the caller could lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
const LINGER_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A request whose body has been read, or could not be read.
#[derive(Debug)]
pub struct ReadRequest {
    /// The body.
    pub body: Result<Bytes, BodyError>,
    /// Time since the head of the request arrived.
    pub waited: Duration,
}

/// Performs a request.
pub type Run = Box<dyn FnOnce(ReadRequest) -> LocalBoxFuture<'static, Response<Bytes>>>;

/// Decision on a request whose head has arrived.
pub enum Admission {
    /// Read the body and perform the request.
    Run {
        /// Maximum size of the body, bytes.
        body_max_bytes: u64,
        /// Whether other requests of the connection may be at work at the same time.
        is_concurrent: bool,
        /// Performs the request.
        run: Run,
    },
    /// Respond without reading the body.
    Respond(Response<Bytes>),
}

/// Decides on a request by its head.
pub type Admit = Rc<dyn Fn(&hyper::http::request::Parts) -> Admission>;
/// Returns the current limits for callers, which can change at run time.
pub type CurrentLimits = Arc<dyn Fn() -> table::CallerLimits + Send + Sync>;

/// A request whose head has arrived.
struct Accepted {
    run: Run,
    is_concurrent: bool,
    to_head_request: bool,
    arrived_at: Instant,
}

/// A request whose body is being read.
struct Receiving {
    accepted: Accepted,
    decoder: Decoder,
    since: Instant,
    /// Whether the caller still waits for [`encode::CONTINUE`].
    is_continue_due: bool,
}

/// A request that waits until it may begin.
struct Waiting {
    accepted: Accepted,
    body: Result<Bytes, BodyError>,
}

/// A response, and whether it responds to a `HEAD` request.
type Ready = (Response<Bytes>, bool);

/// State of one connection.
struct Connection {
    admit: Admit,
    limits: CurrentLimits,
    input: ReadBuffer,
    receiving: Option<Receiving>,
    waiting: Option<Waiting>,
    at_work: FuturesOrdered<LocalBoxFuture<'static, Ready>>,
    /// Whether the request at work must remain the only one.
    is_exclusive: bool,
    /// Bytes of the request bodies at work and of the responses that are not encoded yet.
    held_bytes: Rc<Cell<usize>>,
    output: BytesMut,
    /// Whether no further request is read.
    is_closing: bool,
    /// Whether the caller may still be sending when the connection closes.
    lingers: bool,
    /// Set by a planned stop: when the rest of a request must have arrived.
    stop_deadline: Option<Instant>,
    last_activity: Instant,
    last_write: Instant,
}

/// Serves a connection until one side closes it. After `stop` becomes true, the requests that
/// have been received are completed.
pub async fn serve(
    mut stream: TcpStream,
    admit: Admit,
    limits: CurrentLimits,
    mut stop: watch::Receiver<bool>,
) {
    // Nagle's algorithm delays small responses until previous data is acknowledged.
    let _ = stream.set_nodelay(true);
    let (mut reader, mut writer) = stream.split();
    let connection = Connection::new(admit, limits);
    match connection.run(&mut reader, &mut writer, &mut stop).await {
        Err(err) => debug!("connection closed with an error: {err}"),
        Ok(lingers) => {
            // The caller may have closed the connection first.
            let _ = writer.shutdown().await;
            if lingers {
                // A caller that stays is cut off.
                let _ = time::timeout(LINGER_TIMEOUT, wait_until_left(&reader)).await;
            }
        }
    }
}

async fn wait_until_left(reader: &ReadHalf<'_>) {
    while !has_left(reader) {
        time::sleep(LINGER_CHECK_INTERVAL).await;
    }
}

/// Whether the caller has closed the connection, also while bytes of it are unread.
fn has_left(reader: &ReadHalf<'_>) -> bool {
    let ready = reader.ready(Interest::READABLE).now_or_never();
    ready.is_some_and(|ready| ready.is_ok_and(io::Ready::is_read_closed))
}

impl Connection {
    fn new(admit: Admit, limits: CurrentLimits) -> Self {
        let now = Instant::now();
        Self {
            admit,
            limits,
            input: ReadBuffer::default(),
            receiving: None,
            waiting: None,
            at_work: FuturesOrdered::new(),
            is_exclusive: false,
            held_bytes: Rc::default(),
            output: BytesMut::new(),
            is_closing: false,
            lingers: false,
            stop_deadline: None,
            last_activity: now,
            last_write: now,
        }
    }

    /// Runs until the connection has ended; returns whether the caller may still be sending.
    /// If the caller leaves, the requests at work are dropped.
    async fn run(
        mut self,
        reader: &mut ReadHalf<'_>,
        writer: &mut WriteHalf<'_>,
        stop: &mut watch::Receiver<bool>,
    ) -> std::io::Result<bool> {
        let mut timer = Box::pin(time::sleep_until(self.due()));
        loop {
            self.advance();
            if self.has_ended() {
                return Ok(self.lingers || !self.input.is_empty());
            }
            self.schedule(&mut timer);
            let reads = self.reads();
            tokio::select! {
                written = writer.write(&self.output), if !self.output.is_empty() => {
                    self.output.advance(written?);
                    self.last_write = Instant::now();
                }
                Some(done) = self.at_work.next(), if !self.at_work.is_empty() => {
                    self.respond(&done);
                }
                read = reader.read_buf(self.input.space(READ_BYTES)), if reads => match read? {
                    0 if self.at_work.is_empty() => {
                        writer.write_all(&self.output).await?;
                        return Ok(false);
                    }
                    0 => return Ok(false),
                    len => self.input.record_read(len, Instant::now()),
                },
                () = &mut timer => {
                    if self.has_expired() || !reads && has_left(reader) {
                        return Ok(false);
                    }
                }
                _ = stop.wait_for(|stop| *stop), if self.stop_deadline.is_none() => self.stop(),
            }
        }
    }

    /// Whether there is space to read ahead.
    fn reads(&self) -> bool {
        let head_max_bytes = (self.limits)().head_bytes;
        self.input.len() < READ_AHEAD_MAX_BYTES.max(head_max_bytes + 1)
    }

    fn has_ended(&self) -> bool {
        self.is_closing && !self.has_requests() && self.output.is_empty()
    }

    fn has_requests(&self) -> bool {
        !self.at_work.is_empty() || self.waiting.is_some() || self.receiving.is_some()
    }

    /// Parses what has arrived and begins the requests that may begin.
    fn advance(&mut self) {
        loop {
            self.begin_waiting();
            if self.waiting.is_some() || !self.has_room() {
                return;
            }
            let has_progress = match self.receiving.take() {
                Some(receiving) => self.receive(receiving),
                None => !self.is_closing && !self.input.is_empty() && self.accept(),
            };
            if !has_progress {
                return;
            }
        }
    }

    /// Whether another request may be read.
    fn has_room(&self) -> bool {
        let held = self.held_bytes.get() + self.output.len();
        self.at_work.len() < AT_WORK_MAX && held < HELD_MAX_BYTES
    }

    /// Parses the next head; returns whether it was complete.
    fn accept(&mut self) -> bool {
        let head_max_bytes = (self.limits)().head_bytes;
        let (head, len) = match head::parse(self.input.bytes()) {
            Ok(None) if self.input.len() <= head_max_bytes => return false,
            Ok(Some((head, len))) if len <= head_max_bytes => (head, len),
            Ok(_) => return self.fail(response::head_error(&HeadError::TooLarge)),
            Err(err) => return self.fail(response::head_error(&err)),
        };
        let now = Instant::now();
        let arrived_at = self.input.arrival(len - 1).unwrap_or(now);
        self.input.consume(len);
        self.is_closing |= head.closes || self.stop_deadline.is_some();
        let to_head_request = head.parts.method == Method::HEAD;
        match (self.admit)(&head.parts) {
            Admission::Respond(response) => {
                if head.framing != Framing::Length(0) {
                    self.close();
                }
                self.push(response, to_head_request);
            }
            Admission::Run {
                body_max_bytes,
                is_concurrent,
                run,
            } => {
                let accepted = Accepted {
                    run,
                    is_concurrent,
                    to_head_request,
                    arrived_at,
                };
                match Decoder::new(head.framing, body_max_bytes) {
                    Err(err) => self.reject(accepted, err),
                    Ok(decoder) => {
                        self.receiving = Some(Receiving {
                            accepted,
                            decoder,
                            since: now,
                            is_continue_due: head.expects_continue,
                        });
                    }
                }
            }
        }
        true
    }

    /// Reads the body of a request; returns whether it is complete.
    fn receive(&mut self, mut receiving: Receiving) -> bool {
        match receiving.decoder.decode(&mut self.input) {
            Ok(Some(body)) => {
                self.waiting = Some(Waiting {
                    accepted: receiving.accepted,
                    body: Ok(body),
                });
                true
            }
            Ok(None) => {
                if receiving.is_continue_due && self.at_work.is_empty() {
                    self.output.extend_from_slice(encode::CONTINUE);
                    receiving.is_continue_due = false;
                }
                self.receiving = Some(receiving);
                false
            }
            Err(err) => {
                self.reject(receiving.accepted, err);
                true
            }
        }
    }

    /// Ends the connection with the response to a request whose body cannot be read.
    fn reject(&mut self, accepted: Accepted, err: BodyError) {
        self.close();
        self.waiting = Some(Waiting {
            accepted,
            body: Err(err),
        });
    }

    /// Ends the connection with a response to bytes that are not a request.
    fn fail(&mut self, response: Response<Bytes>) -> bool {
        self.close();
        self.push(response, false);
        true
    }

    /// Reads no further request; the caller may have sent more.
    fn close(&mut self) {
        self.is_closing = true;
        self.lingers = true;
    }

    /// Begins the waiting request if the requests at work permit it.
    fn begin_waiting(&mut self) {
        let Some(waiting) = &self.waiting else {
            return;
        };
        let is_permitted = waiting.accepted.is_concurrent && !self.is_exclusive;
        if !is_permitted && !self.at_work.is_empty() {
            return;
        }
        let Some(Waiting { accepted, body }) = self.waiting.take() else {
            return;
        };
        self.is_exclusive = !accepted.is_concurrent;
        let body_len = body.as_ref().map_or(0, Bytes::len);
        let held_bytes = self.held_bytes.clone();
        held_bytes.set(held_bytes.get() + body_len);
        let work = (accepted.run)(ReadRequest {
            body,
            waited: accepted.arrived_at.elapsed(),
        });
        let to_head_request = accepted.to_head_request;
        let work = work.map(move |response| {
            held_bytes.set(held_bytes.get() + response.body().len() - body_len);
            (response, to_head_request)
        });
        self.at_work.push_back(work.boxed_local());
    }

    /// Adds a response that needs no work.
    fn push(&mut self, response: Response<Bytes>, to_head_request: bool) {
        let held = self.held_bytes.get() + response.body().len();
        self.held_bytes.set(held);
        self.at_work
            .push_back(future::ready((response, to_head_request)).boxed_local());
    }

    /// Encodes the response to the earliest request.
    fn respond(&mut self, (response, to_head_request): &Ready) {
        let held = self.held_bytes.get() - response.body().len();
        self.held_bytes.set(held);
        let now = Instant::now();
        if self.output.is_empty() {
            self.last_write = now;
        }
        self.last_activity = now;
        self.is_exclusive &= !self.at_work.is_empty();
        let is_last = self.is_closing && !self.has_requests();
        encode::response(&mut self.output, response, *to_head_request, is_last);
    }

    /// Completes the requests that have been received, and a request that has arrived in part.
    fn stop(&mut self) {
        self.stop_deadline = Some(Instant::now() + STOP_READ_TIMEOUT);
        self.lingers = self.has_requests() || !self.input.is_empty();
        let has_partial_request = self.waiting.is_none() && !self.input.is_empty();
        self.is_closing |= self.receiving.is_some() || !has_partial_request;
    }

    /// When the incomplete head or body must have arrived.
    fn read_deadline(&self) -> Option<Instant> {
        let timeout = match &self.receiving {
            Some(receiving) => receiving.since + BODY_TIMEOUT,
            None if self.is_closing || self.waiting.is_some() || !self.has_room() => return None,
            // A head that was read ahead can be parsed only after the last response.
            None => {
                self.input.first_arrival()?.max(self.last_activity) + (self.limits)().head_timeout
            }
        };
        let stop_deadline = self.stop_deadline.unwrap_or(timeout);
        Some(timeout.min(stop_deadline))
    }

    /// When the connection closes because nothing happens on it.
    fn idle_deadline(&self) -> Option<Instant> {
        if !self.output.is_empty() {
            return Some(self.last_write + WRITE_TIMEOUT);
        }
        let is_idle = !self.has_requests() && self.input.is_empty();
        is_idle.then(|| self.last_activity + (self.limits)().idle_timeout)
    }

    /// When [`Self::has_expired`] has to be called at the latest.
    fn due(&self) -> Instant {
        let check = if self.reads() {
            (self.limits)().idle_timeout
        } else {
            LEFT_CHECK_INTERVAL
        };
        let deadlines = [self.read_deadline(), self.idle_deadline()];
        let deadline = deadlines.into_iter().flatten().min();
        let check = Instant::now() + check;
        deadline.map_or(check, |deadline| deadline.min(check))
    }

    /// Moves the timer forward if it is due sooner. A timer that is early is harmless and
    /// cheaper than one that is moved with each request.
    fn schedule(&self, timer: &mut Pin<Box<Sleep>>) {
        let due = self.due();
        if due < timer.deadline() || timer.is_elapsed() {
            timer.as_mut().reset(due);
        }
    }

    /// Acts on the deadlines that have passed; returns whether the connection has to close
    /// without a response.
    fn has_expired(&mut self) -> bool {
        let now = Instant::now();
        if self.idle_deadline().is_some_and(|deadline| deadline <= now) {
            return true;
        }
        if self.read_deadline().is_some_and(|deadline| deadline <= now) {
            match self.receiving.take() {
                Some(receiving) => {
                    self.reject(receiving.accepted, BodyError::Timeout(BODY_TIMEOUT));
                }
                None => {
                    self.fail(response::head_timeout());
                }
            }
        }
        false
    }
}
