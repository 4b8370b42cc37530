//! Frames on a stream: the length of the head, the head in postcard, then the body up
//! to the end of the stream.

use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use pollenrouter_core::gate::statement::TargetNotice;
use pollenrouter_core::memory::Class;
use pollenrouter_core::{call, hint, http_message, id, quota};
use pollenrouter_http::memory::{GIVE_WAY_CHECK_INTERVAL, Memory, Party, Share};
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use tokio::time::{self, Instant};

use crate::message;

/// Maximum size of the head of an offer, a query or a reply, bytes.
const HEAD_MAX_BYTES: u32 = 1 << 20;
/// Maximum size of a notification, bytes. Gossip may carry all replicated objects at once. The
/// platform's client reads at most 4 MiB of objects; digests are longer than short keys.
const NOTIFICATION_MAX_BYTES: u32 = 16 << 20;
/// Maximum size of a body, bytes.
pub const BODY_MAX_BYTES: u64 = 64 << 20;
/// Heads and bodies up to this size take no share of the memory, bytes.
const SMALL_MAX_BYTES: usize = 4 << 10;
/// First size of a larger buffer, bytes.
const BUFFER_MIN_BYTES: usize = 16 << 10;
/// Maximum size of one read or write, bytes.
const PIECE_BYTES: usize = 64 << 10;
/// Time in which a peer has to take a piece. Far longer than a loss of packets lasts on a
/// connection that is not silent.
const PIECE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which a request waits for memory. Less than most deadlines, so that the entry can
/// offer the call elsewhere.
const ROOM_TIMEOUT: Duration = Duration::from_secs(2);

/// What a frame begins with.
pub trait Head {
    /// Maximum size, bytes.
    const MAX_BYTES: u32;
}

impl Head for RpcHead {
    const MAX_BYTES: u32 = HEAD_MAX_BYTES;
}

impl Head for ReplyHead {
    const MAX_BYTES: u32 = HEAD_MAX_BYTES;
}

impl Head for NotificationHead {
    const MAX_BYTES: u32 = NOTIFICATION_MAX_BYTES;
}

impl Head for id::Incarnation {
    const MAX_BYTES: u32 = HEAD_MAX_BYTES;
}

/// Head of a message that expects a reply, sent on a bidirectional stream.
#[derive(Debug, Serialize, Deserialize)]
pub enum RpcHead {
    /// Offers a call; the request's body follows.
    Offer {
        /// The offer.
        offer: Box<call::Offer>,
        /// Method, path and headers of the request.
        head: http_message::RequestHead,
        /// Size of the request's body, bytes.
        body_bytes: u64,
    },
    /// Asks what became of a call.
    Query(call::Query),
}

/// Head of a message without a reply, sent on a unidirectional stream.
#[derive(Debug, Serialize, Deserialize)]
pub enum NotificationHead {
    /// Withdraws a call.
    Withdraw(call::Query),
    /// Carries replicated objects or a digest of them.
    Gossip(message::Gossip),
    /// Carries nothing: the acknowledgement shows that the daemon is reachable.
    Probe,
    /// Asks a holder for tokens, or returns some; with the host of the sender.
    Ask(id::HostName, quota::Ask),
    /// Replies to a request for tokens; with the host of the sender.
    Grant(id::HostName, quota::Grant),
    /// Concerns a large object; with at most a part of it.
    Transfer(message::Transfer),
}

/// Head of a reply; the body of the answer follows, if there is one.
#[derive(Debug, Serialize, Deserialize)]
pub struct ReplyHead {
    /// What became of the call.
    pub reply: call::Reply,
    /// Load of the gate.
    pub load: hint::Hint,
    /// What is known about the gate's target.
    pub target_notice: Option<TargetNotice>,
    /// Status and headers of the answer, if there is one.
    pub answer_head: Option<http_message::ResponseHead>,
    /// Size of the answer's body, bytes; 0 without an answer.
    pub body_bytes: u64,
}

quick_error! {
    /// A frame could not be written or read.
    #[derive(Debug)]
    pub enum FrameError {
        /// The head cannot be encoded or decoded.
        Head(err: postcard::Error) {
            from()
            source(err)
            display("could not encode or decode the head of a frame: {err}")
        }
        /// The connection failed while writing.
        Write(err: quinn::WriteError) {
            from()
            source(err)
            display("could not write to the stream: {err}")
        }
        /// The connection failed while reading.
        Read(reason: String) {
            display("could not read from the stream: {reason}")
        }
        /// The peer takes the bytes too slowly.
        Slow {
            display("the peer takes the bytes too slowly")
        }
        /// There was no memory for the bytes in time.
        NoRoom {
            display("no memory for the bytes within {} ms", ROOM_TIMEOUT.as_millis())
        }
        /// The head or the body exceeds its size limit.
        TooLong(part: &'static str, bytes: u64) {
            display("{part} of {bytes} bytes exceeds the size limit")
        }
        /// The body is shorter than announced.
        BodySize(expected: u64, found: u64) {
            display("body has {found} bytes, {expected} were announced")
        }
    }
}

/// Writes a head and a body, and finishes the stream. `taker` is told of the progress.
///
/// # Errors
/// [`FrameError`] if the connection fails, the peer takes the bytes too slowly, or the head cannot
/// be encoded or is too long.
pub async fn write<T: Head + Serialize>(
    tx: &mut quinn::SendStream,
    head: &T,
    body: &Bytes,
    taker: Option<&Party>,
) -> Result<(), FrameError> {
    let head = postcard::to_stdvec(head)?;
    let len = u32::try_from(head.len()).unwrap_or(u32::MAX);
    if len > T::MAX_BYTES {
        return Err(FrameError::TooLong("head", len.into()));
    }
    let mut buf = Vec::with_capacity(head.len() + size_of::<u32>());
    buf.extend_from_slice(&len.to_be_bytes());
    buf.extend_from_slice(&head);
    if body.len() <= PIECE_BYTES {
        let pieces = &mut [Bytes::from(buf), body.clone()];
        within(tx.write_all_chunks(pieces), taker).await??;
    } else {
        within(tx.write_all_chunks(&mut [Bytes::from(buf)]), taker).await??;
        let mut left = body.clone();
        while !left.is_empty() {
            let piece = left.split_to(PIECE_BYTES.min(left.len()));
            let len = piece.len();
            within(tx.write_chunk(piece), taker).await??;
            if let Some(taker) = taker {
                taker.record_progress(len);
            }
        }
    }
    // Fails only if the peer has stopped the stream; the peer's reply, or its absence,
    // then determines the outcome.
    let _ = tx.finish();
    Ok(())
}

/// Waits for a read or a write, and gives up if the peer does not move in time or has to give way.
async fn within<T>(work: impl Future<Output = T>, peer: Option<&Party>) -> Result<T, FrameError> {
    let mut work = pin!(work);
    let deadline = Instant::now() + PIECE_TIMEOUT;
    loop {
        match time::timeout(GIVE_WAY_CHECK_INTERVAL, work.as_mut()).await {
            Ok(done) => return Ok(done),
            Err(_) if Instant::now() >= deadline => return Err(FrameError::Slow),
            Err(_) if peer.is_some_and(Party::must_give_way) => return Err(FrameError::Slow),
            Err(_) => {}
        }
    }
}

/// Waits until the peer has received a finished stream, and gives up if it is too slow.
///
/// # Errors
/// [`FrameError::Slow`] if it is too slow.
pub async fn wait_until_taken(
    tx: &mut quinn::SendStream,
    taker: Option<&Party>,
) -> Result<(), FrameError> {
    let stopped = tx.stopped();
    // A lost connection needs no further wait.
    within(stopped, taker).await.map(drop)
}

/// Reads a head.
///
/// # Errors
/// [`FrameError`] if the connection fails, there is no memory, or the head is too long or cannot be
/// decoded.
pub async fn read_head<T: Head + DeserializeOwned>(
    rx: &mut quinn::RecvStream,
    memory: &Memory,
) -> Result<T, FrameError> {
    let mut len = [0; size_of::<u32>()];
    rx.read_exact(&mut len).await.map_err(read_error)?;
    let len = u32::from_be_bytes(len);
    if len > T::MAX_BYTES {
        return Err(FrameError::TooLong("head", len.into()));
    }
    let mut share = memory.share(Class::Request);
    let head = collect(rx, len as usize, &mut share).await?;
    if head.len() < len as usize {
        return Err(read_error("the stream ends within a head"));
    }
    Ok(postcard::from_bytes(&head)?)
}

/// Reads a body to the end of the stream and checks its size.
///
/// # Errors
/// [`FrameError`] if the connection fails, there is no memory, or the body does not have the
/// expected size.
pub async fn read_body(
    rx: &mut quinn::RecvStream,
    expected: u64,
    mut share: Share,
) -> Result<Bytes, FrameError> {
    if expected > BODY_MAX_BYTES {
        return Err(FrameError::TooLong("body", expected));
    }
    let limit = usize::try_from(expected).unwrap_or(usize::MAX);
    let body = collect(rx, limit, &mut share).await?;
    let more = rx.read_chunk(1, true).await.map_err(read_error)?;
    let found = body.len() + more.map_or(0, |more| more.bytes.len());
    if found as u64 != expected {
        return Err(FrameError::BodySize(expected, found as u64));
    }
    Ok(if body.len() > SMALL_MAX_BYTES {
        share.hold(body)
    } else {
        body.into()
    })
}

/// Reads `len` bytes, or less if the stream ends before. Memory is taken as the bytes arrive.
async fn collect(
    rx: &mut quinn::RecvStream,
    len: usize,
    share: &mut Share,
) -> Result<Vec<u8>, FrameError> {
    let mut buf = Vec::new();
    let mut sender = None;
    while buf.len() < len {
        if buf.len() == buf.capacity() {
            let total = (2 * buf.len()).max(BUFFER_MIN_BYTES).min(len);
            if total > SMALL_MAX_BYTES {
                if share.class() == Class::Answer {
                    // It holds no slot while it waits: it is not refused so that others find one.
                    sender = None;
                } else {
                    sender.get_or_insert_with(|| share.party());
                }
                grow(share, total as u64).await?;
                sender.get_or_insert_with(|| share.party());
            }
            buf.reserve_exact(total - buf.len());
        }
        let max = (buf.capacity().min(len) - buf.len()).min(PIECE_BYTES);
        let reading = within(rx.read_chunk(max, true), sender.as_ref()).await?;
        let Some(chunk) = reading.map_err(read_error)? else {
            break;
        };
        buf.extend_from_slice(&chunk.bytes);
        if let Some(sender) = &sender {
            sender.record_progress(chunk.bytes.len());
        }
    }
    Ok(buf)
}

/// Takes memory. An answer waits until there is some, because the target has made it; a request
/// does not wait for long, because it can go elsewhere.
async fn grow(share: &mut Share, total: u64) -> Result<(), FrameError> {
    if share.class() == Class::Answer {
        share.grow(total).await;
        return Ok(());
    }
    let growing = time::timeout(ROOM_TIMEOUT, share.grow(total)).await;
    growing.map_err(|_| FrameError::NoRoom)
}

/// Converts an error of a stream or a connection into [`FrameError::Read`].
pub fn read_error(err: impl std::fmt::Display) -> FrameError {
    FrameError::Read(err.to_string())
}
