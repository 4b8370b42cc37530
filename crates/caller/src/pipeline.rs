//! The requests of one connection: parsed from its bytes, performed together or one after the
//! other, and responded to in the order in which they arrived.

mod deadlines;
mod read_ahead;
mod unsent;

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::{self, LocalBoxFuture};
use futures_util::stream::FuturesOrdered;
use hyper::{Method, Response};
use log::info;
use pollenrouter_core::memory::Class;
use pollenrouter_core::table;
use pollenrouter_http::body::BodyError;
use pollenrouter_http::memory::{Memory, Party};
use tokio::time::Instant;

use crate::admission::{Admission, Admit, ReadRequest, Run};
use crate::buffer::ReadBuffer;
use crate::decoder::Decoder;
use crate::encode;
use crate::head::{self, Framing, HeadError};
use crate::output::Output;

/// Maximum number of requests of one connection that are worked on at the same time.
pub const AT_WORK_MAX: usize = 8;
/// Maximum number of bytes that are read ahead of the requests at work; at least the size of a
/// request head.
pub const READ_AHEAD_MAX_BYTES: usize = 32 << 10;
/// While requests at work and unsent responses hold more bytes, no further request begins.
pub const HELD_MAX_BYTES: usize = 256 << 10;
/// Size of the system's buffers for each direction of a connection, bytes; the system doubles it.
/// Larger ones would take memory of the host, and would hide for seconds how fast a caller takes a
/// response. A round trip of 10 ms still permits 200 Mbit/s.
pub(crate) const SOCKET_BUFFER_BYTES: usize = 128 << 10;
/// Bytes that a caller's system takes for a caller that reads nothing: the default of Linux.
const CALLER_BUFFER_BYTES: usize = 128 << 10;
/// Space for one read, bytes.
pub(crate) const READ_BYTES: usize = 2048;
/// Time after the stop for a request that has arrived in part.
const STOP_READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the current limits for callers, which can change at run time.
pub type CurrentLimits = Arc<dyn Fn() -> table::CallerLimits + Send + Sync>;

/// The response to bytes that are not a request head.
pub type RejectHead = Rc<dyn Fn(&HeadError) -> Response<Bytes>>;

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
    progress: deadlines::Progress,
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

/// The requests of one connection.
pub struct Pipeline {
    admit: Admit,
    reject_head: RejectHead,
    limits: CurrentLimits,
    pub(crate) memory: Memory,
    pub(crate) input: ReadBuffer,
    read_ahead: read_ahead::ReadAhead,
    receiving: Option<Receiving>,
    waiting: Option<Waiting>,
    pub(crate) at_work: FuturesOrdered<LocalBoxFuture<'static, Ready>>,
    /// Whether the request at work must remain the only one.
    is_exclusive: bool,
    /// Bytes of the request bodies at work and of the responses that are not encoded yet.
    held_bytes: Rc<Cell<usize>>,
    pub(crate) output: Output,
    unsent: unsent::Unsent,
    /// The caller, from more than [`unsent::SMALL_BYTES`] on until it has taken all.
    taker: Option<Party>,
    /// Whether no further request is read.
    is_closing: bool,
    /// Whether the caller may still be sending when the connection closes.
    pub(crate) lingers: bool,
    /// Set by a planned stop: when the rest of a request must have arrived.
    pub(crate) stop_deadline: Option<Instant>,
    last_activity: Instant,
    /// When the caller last showed that it takes responses.
    last_write: Instant,
    /// Bytes that it has taken since.
    taken_bytes: usize,
}

impl Pipeline {
    /// Creates a pipeline without requests.
    #[must_use]
    pub fn new(
        admit: Admit,
        reject_head: RejectHead,
        limits: CurrentLimits,
        memory: Memory,
    ) -> Self {
        let now = Instant::now();
        Self {
            admit,
            reject_head,
            limits,
            memory,
            input: ReadBuffer::default(),
            read_ahead: read_ahead::ReadAhead::default(),
            receiving: None,
            waiting: None,
            at_work: FuturesOrdered::new(),
            is_exclusive: false,
            held_bytes: Rc::default(),
            output: Output::default(),
            unsent: unsent::Unsent::default(),
            taker: None,
            is_closing: false,
            lingers: false,
            stop_deadline: None,
            last_activity: now,
            last_write: now,
            taken_bytes: 0,
        }
    }

    /// Whether there is space to read ahead.
    #[must_use]
    pub fn reads(&self) -> bool {
        let head_max_bytes = (self.limits)().head_bytes;
        !self.is_blocked() && self.input.len() < READ_AHEAD_MAX_BYTES.max(head_max_bytes + 1)
    }

    /// Whether reading waits for memory.
    #[must_use]
    pub fn is_blocked(&self) -> bool {
        let receiving = self.receiving.as_ref();
        self.read_ahead.is_blocked() || receiving.is_some_and(|r| r.decoder.is_blocked())
    }

    /// Whether anything waits for memory: reading, or the next request.
    #[must_use]
    pub fn waits_for_room(&self) -> bool {
        self.is_blocked() || self.unsent.is_blocked()
    }

    /// Whether the last response has been written.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.is_closing && !self.has_requests() && self.output.is_empty()
    }

    fn has_requests(&self) -> bool {
        !self.at_work.is_empty() || self.waiting.is_some() || self.receiving.is_some()
    }

    /// Parses what has arrived, begins the requests that may begin, and takes memory for what is
    /// read next.
    pub fn advance(&mut self) {
        self.count_unsent();
        self.parse();
        self.read_ahead.reserve(self.input.len(), &self.memory);
    }

    fn count_unsent(&mut self) {
        let held = self.output.buffer_bytes();
        self.unsent.reserve(held, &self.memory);
    }

    fn parse(&mut self) {
        loop {
            self.begin_waiting();
            if self.waiting.is_some() {
                return;
            }
            let has_progress = match self.receiving.take() {
                Some(receiving) => self.receive(receiving),
                None => self.may_accept() && self.accept(),
            };
            if !has_progress {
                return;
            }
        }
    }

    /// Whether the next head may be parsed.
    fn may_accept(&self) -> bool {
        !self.is_closing && self.has_room() && !self.input.is_empty()
    }

    /// Whether there is room for another request.
    fn has_room(&self) -> bool {
        let held = self.held_bytes.get() + self.output.len();
        self.at_work.len() < AT_WORK_MAX && held < HELD_MAX_BYTES && !self.unsent.is_blocked()
    }

    /// Parses the next head; returns whether it was complete.
    fn accept(&mut self) -> bool {
        let head_max_bytes = (self.limits)().head_bytes;
        let (head, len) = match head::parse(self.input.bytes()) {
            Ok(None) if self.input.len() <= head_max_bytes => return false,
            Ok(Some((head, len))) if len <= head_max_bytes => (head, len),
            Ok(_) => return self.reject_head(HeadError::TooLarge),
            Err(err) => return self.reject_head(err),
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
                match Decoder::new(head.framing, body_max_bytes, self.memory.clone()) {
                    Err(err) => self.reject(accepted, err),
                    Ok(decoder) => {
                        self.receiving = Some(Receiving {
                            accepted,
                            decoder,
                            progress: deadlines::Progress::new(now),
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
                receiving.progress.record(&receiving.decoder);
                if receiving.is_continue_due && self.at_work.is_empty() {
                    self.output
                        .append(|out| out.extend_from_slice(encode::CONTINUE));
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

    /// Ends the connection with the response to an invalid head.
    fn reject_head(&mut self, err: HeadError) -> bool {
        self.fail((self.reject_head)(&err), &err)
    }

    /// Ends the connection with a response to bytes that are not a request.
    fn fail(&mut self, response: Response<Bytes>, reason: &dyn fmt::Display) -> bool {
        info!(status = response.status().as_u16(); "connection rejected: {reason}");
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
    pub fn respond(&mut self, (response, to_head_request): &Ready) {
        let held = self.held_bytes.get() - response.body().len();
        self.held_bytes.set(held);
        let now = Instant::now();
        if self.output.is_empty() {
            self.last_write = now;
            self.taken_bytes = 0;
        }
        self.last_activity = now;
        self.is_exclusive &= !self.at_work.is_empty();
        let is_last = self.is_closing && !self.has_requests();
        encode::response(&mut self.output, response, *to_head_request, is_last);
        let unsent = self.output.len().max(self.output.buffer_bytes());
        if unsent > unsent::SMALL_BYTES && self.taker.is_none() {
            let buffered = 2 * SOCKET_BUFFER_BYTES + CALLER_BUFFER_BYTES;
            self.taker = Some(self.memory.taker(Class::Answer, buffered));
        }
    }

    /// Removes bytes of the output that the caller has taken.
    pub fn record_written(&mut self, len: usize) {
        self.output.advance(len);
        self.record_taken(len);
        if let Some(taker) = &self.taker {
            taker.record_progress(len);
        }
        if self.output.is_empty() {
            self.taker = None;
        }
    }

    /// Completes the requests that have been received, and a request that has arrived in part.
    pub fn stop(&mut self) {
        self.stop_deadline = Some(Instant::now() + STOP_READ_TIMEOUT);
        self.lingers = self.has_requests() || !self.input.is_empty();
        let has_partial_request = self.waiting.is_none() && !self.input.is_empty();
        self.is_closing |= self.receiving.is_some() || !has_partial_request;
    }
}
