//! Bytes read from a caller that have not been parsed, and when they arrived.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};
use tokio::time::Instant;

/// Bytes that have arrived and have not been consumed.
#[derive(Debug, Default)]
pub struct ReadBuffer {
    bytes: BytesMut,
    /// Number of unconsumed bytes of each read, and the time of the read.
    reads: VecDeque<(usize, Instant)>,
}

impl ReadBuffer {
    /// The unconsumed bytes.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Number of unconsumed bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether all bytes have been consumed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Space for the next read, at least `capacity` bytes. [`Self::record_read`] must follow a
    /// read into it.
    pub fn space(&mut self, capacity: usize) -> &mut BytesMut {
        self.bytes.reserve(capacity);
        &mut self.bytes
    }

    /// Records that a read has appended `len` bytes.
    pub fn record_read(&mut self, len: usize, now: Instant) {
        self.reads.push_back((len, now));
    }

    /// When the first unconsumed byte arrived.
    #[must_use]
    pub fn first_arrival(&self) -> Option<Instant> {
        self.reads.front().map(|(_, at)| *at)
    }

    /// When the byte at `index` of the unconsumed bytes arrived.
    #[must_use]
    pub fn arrival(&self, index: usize) -> Option<Instant> {
        let mut end = 0;
        let read = self.reads.iter().find(|(len, _)| {
            end += len;
            index < end
        });
        read.map(|(_, at)| *at)
    }

    /// Removes and returns the first `len` bytes.
    pub fn consume(&mut self, len: usize) -> Bytes {
        let mut left = len;
        while let Some((unconsumed, _)) = self.reads.front_mut() {
            if *unconsumed > left {
                *unconsumed -= left;
                break;
            }
            left -= *unconsumed;
            self.reads.pop_front();
        }
        self.bytes.split_to(len).freeze()
    }

    /// Removes all bytes.
    pub fn clear(&mut self) {
        self.bytes.clear();
        self.reads.clear();
    }
}
