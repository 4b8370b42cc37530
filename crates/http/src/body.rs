//! Reads complete bodies with a size limit and a timeout.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use quick_error::quick_error;
use tokio::time;

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

/// Reads a complete body.
///
/// # Errors
/// Returns a [`BodyError`] if the body is larger than `limit` bytes, takes longer than
/// `timeout`, or is incomplete.
pub async fn read(body: Incoming, limit: u64, timeout: Duration) -> Result<Bytes, BodyError> {
    let declared = body.size_hint().lower();
    if declared > limit {
        return Err(BodyError::TooLarge(limit));
    }
    if declared == 0 && body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let max_bytes = usize::try_from(limit).unwrap_or(usize::MAX);
    let collecting = time::timeout(timeout, Limited::new(body, max_bytes).collect());
    match collecting.await {
        Err(_) => Err(BodyError::Timeout(timeout)),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(err)) if err.is::<http_body_util::LengthLimitError>() => {
            Err(BodyError::TooLarge(limit))
        }
        Ok(Err(err)) => Err(BodyError::Incomplete(err.to_string())),
    }
}
