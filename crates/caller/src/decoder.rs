//! Reads the body of a request as its bytes arrive.

use bytes::{Bytes, BytesMut};
use pollenrouter_http::body::BodyError;

use crate::buffer::ReadBuffer;
use crate::head::Framing;

/// Maximum size of the line before a chunk, and of the trailers, bytes.
const LINE_MAX_BYTES: usize = 4096;

/// What is expected next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    /// This many bytes of the body.
    Data(u64),
    /// The line with the size of a chunk.
    ChunkSize,
    /// This many bytes of a chunk, then a line break.
    Chunk(u64),
    /// Trailers and the empty line after them.
    Trailers,
}

/// Decoder of one body.
#[derive(Debug)]
pub struct Decoder {
    next: Next,
    body: BytesMut,
    limit: u64,
    trailer_bytes: usize,
}

impl Decoder {
    /// Creates a decoder for a body of at most `limit` bytes.
    ///
    /// # Errors
    /// [`BodyError::TooLarge`] if the stated length is over the limit.
    pub fn new(framing: Framing, limit: u64) -> Result<Self, BodyError> {
        let next = match framing {
            Framing::Length(len) if len > limit => return Err(BodyError::TooLarge(limit)),
            Framing::Length(len) => Next::Data(len),
            Framing::Chunked => Next::ChunkSize,
        };
        Ok(Self {
            next,
            body: BytesMut::new(),
            limit,
            trailer_bytes: 0,
        })
    }

    /// Number of bytes of the body that are held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.body.len()
    }

    /// Whether no byte of the body has arrived.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.body.is_empty()
    }

    /// Consumes bytes of the body. Returns the body once it is complete.
    ///
    /// # Errors
    /// [`BodyError`] if the body is too large or malformed.
    pub fn decode(&mut self, buf: &mut ReadBuffer) -> Result<Option<Bytes>, BodyError> {
        loop {
            let has_ended = match self.next {
                Next::Data(left) => {
                    let left = self.take(left, buf);
                    self.next = Next::Data(left);
                    if left > 0 {
                        return Ok(None);
                    }
                    true
                }
                Next::ChunkSize => match self.chunk_size(buf)? {
                    None => return Ok(None),
                    Some(0) => {
                        self.next = Next::Trailers;
                        false
                    }
                    Some(len) => {
                        self.next = Next::Chunk(len);
                        false
                    }
                },
                Next::Chunk(left) => {
                    let left = self.take(left, buf);
                    self.next = Next::Chunk(left);
                    if left > 0 || buf.len() < 2 {
                        return Ok(None);
                    }
                    if !buf.bytes().starts_with(b"\r\n") {
                        return Err(malformed("a chunk does not end with a line break"));
                    }
                    buf.consume(2);
                    self.next = Next::ChunkSize;
                    false
                }
                Next::Trailers => match self.trailer(buf)? {
                    None => return Ok(None),
                    Some(is_last) => is_last,
                },
            };
            if has_ended {
                return Ok(Some(std::mem::take(&mut self.body).freeze()));
            }
        }
    }

    /// Moves up to `left` bytes into the body; returns how many are still missing.
    fn take(&mut self, left: u64, buf: &mut ReadBuffer) -> u64 {
        let len = usize::try_from(left).unwrap_or(usize::MAX).min(buf.len());
        if len > 0 {
            self.body.extend_from_slice(&buf.consume(len));
        }
        left - len as u64
    }

    fn chunk_size(&mut self, buf: &mut ReadBuffer) -> Result<Option<u64>, BodyError> {
        let (len, size) = match httparse::parse_chunk_size(buf.bytes()) {
            Ok(httparse::Status::Complete(parsed)) => parsed,
            Ok(httparse::Status::Partial) if buf.len() <= LINE_MAX_BYTES => return Ok(None),
            _ => return Err(malformed("the size of a chunk is invalid")),
        };
        if size > self.limit.saturating_sub(self.body.len() as u64) {
            return Err(BodyError::TooLarge(self.limit));
        }
        buf.consume(len);
        Ok(Some(size))
    }

    /// Discards a line of the trailers; returns whether it is the empty line at the end.
    fn trailer(&mut self, buf: &mut ReadBuffer) -> Result<Option<bool>, BodyError> {
        let end = buf.bytes().iter().position(|byte| *byte == b'\n');
        let len = end.map_or(buf.len(), |end| end + 1);
        if self.trailer_bytes + len > LINE_MAX_BYTES {
            return Err(malformed("the trailers are too large"));
        }
        if end.is_none() {
            return Ok(None);
        }
        self.trailer_bytes += len;
        let line = buf.consume(len);
        Ok(Some(line.as_ref() == b"\r\n" || line.as_ref() == b"\n"))
    }
}

fn malformed(reason: &str) -> BodyError {
    BodyError::Incomplete(reason.to_owned())
}
