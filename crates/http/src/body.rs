//! Reads complete bodies within limits of size, time and memory.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use quick_error::quick_error;
use tokio::sync::Semaphore;
use tokio::time::{self, Instant};

/// A body up to this size is not limited by [`Memory`], bytes.
pub const SMALL_MAX_BYTES: u64 = 32 << 10;
/// Size above which a body is large, bytes.
const MEDIUM_MAX_BYTES: u64 = 256 << 10;
/// Number of bodies over [`SMALL_MAX_BYTES`] that are read at the same time.
const MEDIUM_BODIES: usize = 8;
/// Number of bodies over [`MEDIUM_MAX_BYTES`] that are read at the same time.
const LARGE_BODIES: usize = 1;

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

/// Limits how many medium and large bodies are read at the same time. A body that has to wait is
/// not read on, so that the other side cannot send on. A large body that waits keeps its place
/// among the medium ones, and none of those waits for a large one: they cannot block each other.
#[derive(Debug)]
pub struct Memory {
    medium: Semaphore,
    large: Semaphore,
}

impl Default for Memory {
    fn default() -> Self {
        Self {
            medium: Semaphore::new(MEDIUM_BODIES),
            large: Semaphore::new(LARGE_BODIES),
        }
    }
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
    let mut collected = BytesMut::new();
    let (mut medium, mut large) = (None, None);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|err| BodyError::Incomplete(err.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let len = (collected.len() + data.len()) as u64;
        if len > limit {
            return Err(BodyError::TooLarge(limit));
        }
        // The semaphores are never closed.
        if len > SMALL_MAX_BYTES
            && medium.is_none()
            && let Some(memory) = memory
        {
            medium = memory.medium.acquire().await.ok();
            reserve(&mut collected, limit.min(MEDIUM_MAX_BYTES));
        }
        if len > MEDIUM_MAX_BYTES
            && large.is_none()
            && let Some(memory) = memory
        {
            large = memory.large.acquire().await.ok();
            reserve(&mut collected, limit);
        }
        collected.extend_from_slice(&data);
    }
    Ok(collected.freeze())
}

/// Makes room for `total` bytes at once, so that the buffer does not grow by copies of itself.
fn reserve(buf: &mut BytesMut, total: u64) {
    let total = usize::try_from(total).unwrap_or(usize::MAX);
    buf.reserve(total.saturating_sub(buf.len()));
}
