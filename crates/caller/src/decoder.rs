//! Reads the body of a request as its bytes arrive.

use bytes::Bytes;
use pollenrouter_core::memory::Class;
use pollenrouter_http::body::BodyError;
use pollenrouter_http::memory::{Memory, Party, Share};

use crate::buffer::ReadBuffer;
use crate::head::Framing;

/// Maximum size of the line before a chunk, and of the trailers, bytes.
const LINE_MAX_BYTES: usize = 4096;
/// Bodies up to this size take no share of the memory: each connection is accounted for with this
/// much, bytes.
const SMALL_MAX_BYTES: usize = 4 << 10;
/// First size of a larger body's buffer, bytes.
const BUFFER_MIN_BYTES: usize = 16 << 10;

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
    body: Vec<u8>,
    limit: u64,
    trailer_bytes: usize,
    memory: Memory,
    /// Share of the memory that a body over [`SMALL_MAX_BYTES`] takes, and the caller that sends it.
    share: Option<(Share, Party)>,
    /// Whether the body waits for memory.
    is_blocked: bool,
    /// Bytes of the body and its framing that have been consumed.
    consumed: u64,
}

impl Decoder {
    /// Creates a decoder for a body of at most `limit` bytes.
    ///
    /// # Errors
    /// [`BodyError::TooLarge`] if the stated length is over the limit.
    pub fn new(framing: Framing, limit: u64, memory: Memory) -> Result<Self, BodyError> {
        let next = match framing {
            Framing::Length(len) if len > limit => return Err(BodyError::TooLarge(limit)),
            Framing::Length(len) => Next::Data(len),
            Framing::Chunked => Next::ChunkSize,
        };
        Ok(Self {
            next,
            body: Vec::new(),
            limit,
            trailer_bytes: 0,
            memory,
            share: None,
            is_blocked: false,
            consumed: 0,
        })
    }

    /// Whether the body waits for memory.
    #[must_use]
    pub fn is_blocked(&self) -> bool {
        self.is_blocked
    }

    /// Number of bytes of the body and its framing that have been consumed.
    #[must_use]
    pub fn consumed(&self) -> u64 {
        self.consumed
    }

    /// Whether the body takes a share of the memory.
    #[must_use]
    pub fn has_share(&self) -> bool {
        self.share.is_some()
    }

    /// Whether the body has to be given up, so that others find memory.
    #[must_use]
    pub fn must_give_way(&self) -> bool {
        let party = self.share.as_ref().map(|(_, party)| party);
        party.is_some_and(Party::must_give_way)
    }

    /// Consumes bytes of the body. Returns the body once it is complete.
    ///
    /// # Errors
    /// [`BodyError`] if the body is too large or malformed.
    pub fn decode(&mut self, buf: &mut ReadBuffer) -> Result<Option<Bytes>, BodyError> {
        self.is_blocked = false;
        let before = buf.len();
        let decoded = self.decode_available(buf);
        let consumed = before - buf.len();
        self.consumed += consumed as u64;
        if let Some((_, party)) = &self.share
            && consumed > 0
        {
            party.record_progress(consumed);
        }
        decoded
    }

    fn decode_available(&mut self, buf: &mut ReadBuffer) -> Result<Option<Bytes>, BodyError> {
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
                return Ok(Some(self.finish()));
            }
        }
    }

    /// Moves up to `left` bytes into the body; returns how many are still missing.
    fn take(&mut self, left: u64, buf: &mut ReadBuffer) -> u64 {
        let len = usize::try_from(left).unwrap_or(usize::MAX).min(buf.len());
        let len = len.min(self.reserve(len, left));
        if len > 0 {
            self.body.extend_from_slice(&buf.consume(len));
        }
        left - len as u64
    }

    /// Makes room for `more` bytes, of `left` that are known to come; returns for how many there is
    /// some.
    fn reserve(&mut self, more: usize, left: u64) -> usize {
        let free = self.body.capacity() - self.body.len();
        if more <= free {
            return more;
        }
        let needed = self.body.len() + more;
        // A buffer that doubles is copied a bounded number of times. What is known to come bounds
        // it from above, but takes no memory before it comes.
        let known = usize::try_from(left).unwrap_or(usize::MAX);
        let known = known.saturating_add(self.body.len());
        let total = match self.next {
            _ if needed <= SMALL_MAX_BYTES => needed,
            Next::Data(_) => known.min((2 * self.body.len()).max(BUFFER_MIN_BYTES)),
            _ => (2 * self.body.len()).max(BUFFER_MIN_BYTES),
        };
        let total = total.max(needed);
        if total > SMALL_MAX_BYTES {
            let (share, _) = self.share.get_or_insert_with(|| {
                let share = self.memory.share(Class::Request);
                let party = share.party();
                (share, party)
            });
            if !share.try_grow(total as u64) {
                self.is_blocked = true;
                return free;
            }
        }
        self.body.reserve_exact(total - self.body.len());
        more
    }

    fn finish(&mut self) -> Bytes {
        let mut body = std::mem::take(&mut self.body);
        body.shrink_to_fit();
        match self.share.take() {
            None => body.into(),
            Some((share, _)) => share.hold(body),
        }
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
