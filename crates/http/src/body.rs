//! Reads complete bodies within limits of size, time and memory.

use std::cell::Cell;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use pollenrouter_core::memory::Class;
use quick_error::quick_error;
use tokio::sync::Semaphore;
use tokio::time::{self, Instant};

use crate::memory;

/// A body up to this size takes no share of the budget, bytes.
const UNCOUNTED_MAX_BYTES: usize = 4 << 10;
/// A body up to this size does not wait for others that are read, bytes.
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
        /// The process is short of memory, and others go first.
        NoRoom {
            display("memory is short and the body came too slowly or too late")
        }
        /// The connection failed or closed before the end of the body.
        Incomplete(reason: String) {
            display("body is not whole: {reason}")
        }
    }
}

/// Limits how many medium and large bodies are read at the same time, and takes their bytes from
/// the budget of the process. A body that has to wait is
/// not read on, so that the other side cannot send on. A large body that waits keeps its place
/// among the medium ones, and none of those waits for a large one: they cannot block each other.
#[derive(Debug)]
pub struct Memory {
    medium: Semaphore,
    large: Semaphore,
    budget: memory::Memory,
}

impl Memory {
    /// Creates a limit for bodies that take their bytes from `budget`.
    #[must_use]
    pub fn new(budget: memory::Memory) -> Self {
        Self {
            budget,
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
    let is_waiting = Cell::default();
    let reading = time::timeout(timeout, collect(body, limit, None, &is_waiting));
    reading.await.unwrap_or(Err(BodyError::Timeout(timeout)))
}

/// Reads a complete body that shares `memory` with others.
///
/// # Errors
/// Returns a [`BodyError`] if the body is larger than `limit` bytes, is not complete at
/// `deadline`, or is incomplete; [`BodyError::NoRoom`] if it waits for memory or for others at
/// `deadline`, since the other side could not send on.
pub async fn read_until(
    body: Incoming,
    limit: u64,
    deadline: Instant,
    memory: &Memory,
) -> Result<Bytes, BodyError> {
    let timeout = deadline.saturating_duration_since(Instant::now());
    let is_waiting = Cell::default();
    let collecting = collect(body, limit, Some(memory), &is_waiting);
    let result = time::timeout_at(deadline, collecting).await;
    result.unwrap_or_else(|_| {
        Err(if is_waiting.get() {
            BodyError::NoRoom
        } else {
            BodyError::Timeout(timeout)
        })
    })
}

/// Copies the body into one buffer. The frames are not kept, because each may hold a buffer that
/// is many times its size. `is_waiting` is set while the body waits for memory or for others.
async fn collect(
    mut body: Incoming,
    limit: u64,
    memory: Option<&Memory>,
    is_waiting: &Cell<bool>,
) -> Result<Bytes, BodyError> {
    let hint = body.size_hint();
    if hint.lower() > limit {
        return Err(BodyError::TooLarge(limit));
    }
    let mut collected = Vec::new();
    let mut share = memory.map(|memory| memory.budget.share(Class::Answer));
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
        is_waiting.set(true);
        // The semaphores are never closed.
        if len > SMALL_MAX_BYTES
            && medium.is_none()
            && let Some(memory) = memory
        {
            let _queued = memory.budget.queue();
            medium = memory.medium.acquire().await.ok();
            reserve(&mut collected, limit.min(MEDIUM_MAX_BYTES));
        }
        if len > MEDIUM_MAX_BYTES
            && large.is_none()
            && let Some(memory) = memory
        {
            let _queued = memory.budget.queue();
            large = memory.large.acquire().await.ok();
            reserve(&mut collected, limit);
        }
        if let Some(share) = &mut share
            && len > UNCOUNTED_MAX_BYTES as u64
        {
            let total = len.max((2 * len).min(limit));
            if !share.grow_unless_refused(total).await {
                return Err(BodyError::NoRoom);
            }
        }
        is_waiting.set(false);
        collected.extend_from_slice(&data);
    }
    collected.shrink_to_fit();
    Ok(match share {
        Some(share) if collected.len() > UNCOUNTED_MAX_BYTES => share.hold(collected),
        _ => collected.into(),
    })
}

/// Makes room for `total` bytes at once, so that the buffer does not grow by copies of itself.
fn reserve(buf: &mut Vec<u8>, total: u64) {
    let total = usize::try_from(total).unwrap_or(usize::MAX);
    buf.reserve_exact(total.saturating_sub(buf.len()));
}
