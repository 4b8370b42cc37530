//! Reads complete bodies within limits of size, time and memory.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use quick_error::quick_error;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::{self, Instant};

/// A body up to this size needs no share of [`Memory`], bytes.
pub const SMALL_MAX_BYTES: u64 = 64 << 10;
/// Unit of the shares of [`Memory`], bytes.
const SHARE_BYTES: u64 = 1 << 10;

quick_error! {
    /// Why a body could not be read completely.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum BodyError {
        /// The body exceeds the size limit.
        TooLarge(limit: u64) {
            display("body is over the limit of {limit} bytes")
        }
        /// The body did not arrive before the timeout.
        Timeout(timeout: Duration) {
            display("body did not arrive within {} ms", timeout.as_millis())
        }
        /// The connection failed or closed before the end of the body.
        Incomplete(reason: String) {
            display("body is not whole: {reason}")
        }
    }
}

/// Memory that large bodies share while they are read. A body that does not get its share
/// waits, so that the other side cannot send on.
#[derive(Debug)]
pub struct Memory {
    shares: Semaphore,
    total: u32,
}

impl Memory {
    /// Creates memory for large bodies. One body may take all of it.
    #[must_use]
    pub fn new(bytes: u64) -> Self {
        let total = shares(bytes);
        Self {
            shares: Semaphore::new(total as usize),
            total,
        }
    }

    /// Takes a share of `bytes`, or all of the memory if there is less.
    async fn take(&self, bytes: u64) -> Option<SemaphorePermit<'_>> {
        let wanted = shares(bytes).min(self.total);
        // The semaphore is never closed.
        self.shares.acquire_many(wanted).await.ok()
    }
}

fn shares(bytes: u64) -> u32 {
    u32::try_from(bytes.div_ceil(SHARE_BYTES)).unwrap_or(u32::MAX)
}

/// Reads a complete body.
///
/// # Errors
/// Returns a [`BodyError`] if the body is larger than `limit` bytes, takes longer than
/// `timeout`, or is incomplete.
pub async fn read(body: Incoming, limit: u64, timeout: Duration) -> Result<Bytes, BodyError> {
    let reading = time::timeout(timeout, collect(body, limit, None));
    reading.await.unwrap_or(Err(BodyError::Timeout(timeout)))
}

/// Reads a complete body that shares `memory` with others.
///
/// # Errors
/// Returns a [`BodyError`] if the body is larger than `limit` bytes, is not complete at
/// `deadline`, or is incomplete.
pub async fn read_until(
    body: Incoming,
    limit: u64,
    deadline: Instant,
    memory: &Memory,
) -> Result<Bytes, BodyError> {
    let timeout = deadline.saturating_duration_since(Instant::now());
    let reading = time::timeout_at(deadline, collect(body, limit, Some(memory)));
    reading.await.unwrap_or(Err(BodyError::Timeout(timeout)))
}

/// Copies the body into one buffer. The frames are not kept, because each may hold a buffer that
/// is many times its size.
async fn collect(
    mut body: Incoming,
    limit: u64,
    memory: Option<&Memory>,
) -> Result<Bytes, BodyError> {
    let hint = body.size_hint();
    if hint.lower() > limit {
        return Err(BodyError::TooLarge(limit));
    }
    let max_bytes = hint.exact().unwrap_or(limit);
    let mut collected = BytesMut::new();
    let mut share = None;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|err| BodyError::Incomplete(err.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let len = (collected.len() + data.len()) as u64;
        if len > limit {
            return Err(BodyError::TooLarge(limit));
        }
        if len > SMALL_MAX_BYTES
            && share.is_none()
            && let Some(memory) = memory
        {
            share = memory.take(max_bytes).await;
        }
        collected.extend_from_slice(&data);
    }
    Ok(collected.freeze())
}
