//! Whole bodies with a bound on size and time.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use quick_error::quick_error;
use tokio::time;

quick_error! {
    /// A body could not be read whole.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum BodyError {
        /// The body is over its bound.
        TooLarge(limit: u64) {
            display("body is over the limit of {limit} bytes")
        }
        /// The body did not arrive in time.
        TooSlow(timeout: Duration) {
            display("body did not arrive within {} ms", timeout.as_millis())
        }
        /// The body ended early.
        Broken(reason: String) {
            display("body is not whole: {reason}")
        }
    }
}

/// Reads a whole body.
///
/// # Errors
/// [`BodyError`] if it is over `limit` bytes, slower than `timeout`, or cut.
pub async fn read(body: Incoming, limit: u64, timeout: Duration) -> Result<Bytes, BodyError> {
    let stated = body.size_hint().lower();
    if stated > limit {
        return Err(BodyError::TooLarge(limit));
    }
    if stated == 0 && body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let bound = usize::try_from(limit).unwrap_or(usize::MAX);
    let whole = time::timeout(timeout, Limited::new(body, bound).collect());
    match whole.await {
        Err(_) => Err(BodyError::TooSlow(timeout)),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(err)) if err.is::<http_body_util::LengthLimitError>() => {
            Err(BodyError::TooLarge(limit))
        }
        Ok(Err(err)) => Err(BodyError::Broken(err.to_string())),
    }
}
