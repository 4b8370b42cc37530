//! Frames on a stream: a length, a head in postcard, then the body to the end.

use bytes::Bytes;
use pollenrouter_core::{call, hint, http_message};
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::message;

/// Largest head, bytes.
const HEAD_MAX_BYTES: u32 = 1 << 20;
/// Largest body, bytes.
pub const BODY_MAX_BYTES: u64 = 64 << 20;

/// Head of a message that expects a reply.
#[derive(Debug, Serialize, Deserialize)]
pub enum Ask {
    /// An offer; the request's body follows.
    Offer {
        /// The offer.
        offer: call::Offer,
        /// Head of the request.
        head: http_message::RequestHead,
        /// Size of the body, bytes.
        body_bytes: u64,
    },
    /// A query.
    Query(call::Query),
}

/// Head of a message without a reply.
#[derive(Debug, Serialize, Deserialize)]
pub enum Tell {
    /// A call is withdrawn.
    Withdraw(call::Query),
    /// Objects or a digest.
    Gossip(message::Gossip),
    /// Nothing; delivery is what counts.
    Probe,
}

/// Head of a reply; an answer's body follows.
#[derive(Debug, Serialize, Deserialize)]
pub struct ReplyHead {
    /// The gate's word.
    pub reply: call::Reply,
    /// Its load.
    pub hint: hint::Hint,
    /// Head of the answer.
    pub head: Option<http_message::ResponseHead>,
    /// Size of the answer's body, bytes.
    pub body_bytes: u64,
}

quick_error! {
    /// A frame could not be written or read.
    #[derive(Debug)]
    pub enum FrameError {
        /// The head can not be encoded or decoded.
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
        /// The head or the body is over its bound.
        TooLong(part: &'static str, bytes: u64) {
            display("{part} of {bytes} bytes is over the bound")
        }
        /// The body ended early or late.
        BodySize(expected: u64, found: u64) {
            display("body of {found} bytes where {expected} were announced")
        }
    }
}

/// Writes a head and a body, and ends the stream.
///
/// # Errors
/// [`FrameError`] if the connection fails or the head is over its bound.
pub async fn write<T: Serialize>(
    tx: &mut quinn::SendStream,
    head: &T,
    body: &Bytes,
) -> Result<(), FrameError> {
    let head = postcard::to_stdvec(head)?;
    let len = u32::try_from(head.len()).unwrap_or(u32::MAX);
    if len > HEAD_MAX_BYTES {
        return Err(FrameError::TooLong("head", len.into()));
    }
    let mut buf = Vec::with_capacity(head.len() + size_of::<u32>());
    buf.extend_from_slice(&len.to_be_bytes());
    buf.extend_from_slice(&head);
    tx.write_all_chunks(&mut [Bytes::from(buf), body.clone()])
        .await?;
    // Fails only when the peer stopped the stream; its reply tells the rest.
    let _ = tx.finish();
    Ok(())
}

/// Reads a head.
///
/// # Errors
/// [`FrameError`] if the connection fails or the head is not one.
pub async fn read_head<T: DeserializeOwned>(rx: &mut quinn::RecvStream) -> Result<T, FrameError> {
    let mut len = [0; size_of::<u32>()];
    rx.read_exact(&mut len).await.map_err(read_error)?;
    let len = u32::from_be_bytes(len);
    if len > HEAD_MAX_BYTES {
        return Err(FrameError::TooLong("head", len.into()));
    }
    let mut buf = vec![0; len as usize];
    rx.read_exact(&mut buf).await.map_err(read_error)?;
    Ok(postcard::from_bytes(&buf)?)
}

/// Reads a body to the end of the stream and checks its size.
///
/// # Errors
/// [`FrameError`] if the body is not whole.
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

/// A failure of the connection while reading.
pub fn read_error(err: impl std::fmt::Display) -> FrameError {
    FrameError::Read(err.to_string())
}
