//! Frames on a stream: the length of the head, the head in postcard, then the body up
//! to the end of the stream.

use bytes::Bytes;
use pollenrouter_core::gate::statement::TargetNotice;
use pollenrouter_core::{call, hint, http_message, id, quota};
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::message;

/// Maximum size of the head of an offer, a query or a reply, bytes.
const HEAD_MAX_BYTES: u32 = 1 << 20;
/// Maximum size of a notification, bytes. Gossip may carry all replicated objects at once. The
/// platform's client reads at most 4 MiB of objects; digests are longer than short keys.
const NOTIFICATION_MAX_BYTES: u32 = 16 << 20;
/// A head is read in parts of this size, bytes, so that memory is taken only for what arrives.
const READ_PART_BYTES: usize = 64 << 10;
/// Maximum size of a body, bytes.
pub const BODY_MAX_BYTES: u64 = 64 << 20;

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
#[expect(
    clippy::large_enum_variant,
    reason = "most messages are offers, which a box would cost an allocation each"
)]
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

/// Writes a head and a body, and finishes the stream.
///
/// # Errors
/// [`FrameError`] if the connection fails or the head cannot be encoded or is too long.
pub async fn write<T: Head + Serialize>(
    tx: &mut quinn::SendStream,
    head: &T,
    body: &Bytes,
) -> Result<(), FrameError> {
    let head = postcard::to_stdvec(head)?;
    let len = u32::try_from(head.len()).unwrap_or(u32::MAX);
    if len > T::MAX_BYTES {
        return Err(FrameError::TooLong("head", len.into()));
    }
    let mut buf = Vec::with_capacity(head.len() + size_of::<u32>());
    buf.extend_from_slice(&len.to_be_bytes());
    buf.extend_from_slice(&head);
    tx.write_all_chunks(&mut [Bytes::from(buf), body.clone()])
        .await?;
    // Fails only if the peer has stopped the stream; the peer's reply, or its absence,
    // then determines the outcome.
    let _ = tx.finish();
    Ok(())
}

/// Reads a head.
///
/// # Errors
/// [`FrameError`] if the connection fails, or the head is too long or cannot be decoded.
pub async fn read_head<T: Head + DeserializeOwned>(
    rx: &mut quinn::RecvStream,
) -> Result<T, FrameError> {
    let mut len = [0; size_of::<u32>()];
    rx.read_exact(&mut len).await.map_err(read_error)?;
    let len = u32::from_be_bytes(len);
    if len > T::MAX_BYTES {
        return Err(FrameError::TooLong("head", len.into()));
    }
    let len = len as usize;
    let mut buf = Vec::new();
    while buf.len() < len {
        let begin = buf.len();
        buf.resize(len.min(begin + READ_PART_BYTES), 0);
        rx.read_exact(&mut buf[begin..]).await.map_err(read_error)?;
    }
    Ok(postcard::from_bytes(&buf)?)
}

/// Reads a body to the end of the stream and checks its size.
///
/// # Errors
/// [`FrameError`] if the connection fails or the body does not have the expected size.
pub async fn read_body(rx: &mut quinn::RecvStream, expected: u64) -> Result<Bytes, FrameError> {
    if expected > BODY_MAX_BYTES {
        return Err(FrameError::TooLong("body", expected));
    }
    let limit = usize::try_from(expected).unwrap_or(usize::MAX);
    let body = rx.read_to_end(limit).await.map_err(read_error)?;
    let found = body.len() as u64;
    if found != expected {
        return Err(FrameError::BodySize(expected, found));
    }
    Ok(body.into())
}

/// Converts an error of a stream or a connection into [`FrameError::Read`].
pub fn read_error(err: impl std::fmt::Display) -> FrameError {
    FrameError::Read(err.to_string())
}
