//! Bytes that wait until the caller takes them. Large bodies are not copied.

use std::collections::VecDeque;
use std::mem;

use bytes::{Buf, Bytes, BytesMut};

/// Bodies up to this size are copied, so that they are written together with their heads, bytes.
const COPY_MAX_BYTES: usize = 16 << 10;
/// Size from which copied bytes get a new buffer, since one that grows is copied and doubles.
const TAIL_MAX_BYTES: usize = 16 << 10;
/// Size of the buffer that is kept for the next response, bytes.
const KEPT_MAX_BYTES: usize = 4 << 10;

/// Bytes that have been handed over.
#[derive(Debug)]
struct Part {
    bytes: Bytes,
    /// Size of the buffer of copied bytes; 0 for a body.
    buffer_bytes: usize,
}

/// Bytes to write, in order.
#[derive(Debug, Default)]
pub struct Output {
    /// What comes before `tail`; no part is empty.
    parts: VecDeque<Part>,
    /// Copied bytes, of which none has been written.
    tail: BytesMut,
    len: usize,
    /// Size of the buffers of copied bytes in `parts`.
    buffer_bytes: usize,
}

impl Output {
    /// Number of bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there is nothing to write.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Size of the buffers of copied bytes. The memory of bodies that are not copied is theirs.
    #[must_use]
    pub fn buffer_bytes(&self) -> usize {
        self.buffer_bytes + self.tail.capacity()
    }

    /// Adds what `write` appends to the buffer.
    pub fn append(&mut self, write: impl FnOnce(&mut BytesMut)) {
        let before = self.tail.len();
        write(&mut self.tail);
        self.len += self.tail.len() - before;
    }

    /// Adds a body.
    pub fn append_body(&mut self, body: &Bytes) {
        if body.len() <= COPY_MAX_BYTES {
            self.append(|out| out.extend_from_slice(body));
            if self.tail.len() > TAIL_MAX_BYTES {
                self.hand_over();
            }
            return;
        }
        self.hand_over();
        self.parts.push_back(Part {
            bytes: body.clone(),
            buffer_bytes: 0,
        });
        self.len += body.len();
    }

    /// Begins a new tail, if this one has bytes.
    fn hand_over(&mut self) {
        if self.tail.is_empty() {
            return;
        }
        let tail = mem::take(&mut self.tail);
        let buffer_bytes = tail.capacity();
        self.buffer_bytes += buffer_bytes;
        self.parts.push_back(Part {
            bytes: tail.freeze(),
            buffer_bytes,
        });
    }

    /// The bytes to write next.
    #[must_use]
    pub fn front(&self) -> &[u8] {
        match self.parts.front() {
            Some(part) => &part.bytes,
            None => &self.tail,
        }
    }

    /// Removes bytes of [`Self::front`] that have been written.
    pub fn advance(&mut self, written: usize) {
        if self.parts.is_empty() {
            if written == self.tail.len() && self.tail.capacity() <= KEPT_MAX_BYTES {
                self.tail.clear();
                self.len -= written;
                return;
            }
            self.hand_over();
        }
        let Some(part) = self.parts.front_mut() else {
            return;
        };
        self.len -= written;
        if part.bytes.len() == written {
            self.buffer_bytes -= part.buffer_bytes;
            self.parts.pop_front();
        } else {
            part.bytes.advance(written);
        }
    }
}
