//! Bytes that wait until the caller takes them. Large bodies are not copied.

use std::collections::VecDeque;

use bytes::{Buf, Bytes, BytesMut};

/// Bodies up to this size are copied, so that they are written together with their heads, bytes.
const COPY_MAX_BYTES: usize = 16 << 10;

/// Bytes to write, in order.
#[derive(Debug, Default)]
pub struct Output {
    /// What comes before `tail`; no part is empty.
    parts: VecDeque<Bytes>,
    tail: BytesMut,
    len: usize,
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
            return;
        }
        if !self.tail.is_empty() {
            self.parts.push_back(self.tail.split().freeze());
        }
        self.parts.push_back(body.clone());
        self.len += body.len();
    }

    /// The bytes to write next.
    #[must_use]
    pub fn front(&self) -> &[u8] {
        match self.parts.front() {
            Some(part) => part,
            None => &self.tail,
        }
    }

    /// Removes bytes of [`Self::front`] that have been written.
    pub fn advance(&mut self, written: usize) {
        self.len -= written;
        match self.parts.front_mut() {
            None => self.tail.advance(written),
            Some(part) if part.len() == written => {
                self.parts.pop_front();
            }
            Some(part) => part.advance(written),
        }
    }
}
