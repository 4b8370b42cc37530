//! Compressed values, each relative to an earlier version of the same value if the receiver has one.

use std::hash::Hasher;
use std::io::{self, Read, Write};

use quick_error::quick_error;
use siphasher::sip::SipHasher13;
use smol_str::SmolStr;

/// Maximum size of a value, bytes. The platform's client reads at most 4 MiB of objects.
pub const VALUE_MAX_BYTES: u64 = 16 << 20;
/// Default level of zstd.
const LEVEL: i32 = 3;
/// The window has to cover an earlier version and the new one; zstd allows 10 to 27 by default.
const WINDOW_LOG_MIN: u32 = 10;
const WINDOW_LOG_MAX: u32 = 26;

quick_error! {
    /// A value could not be decoded.
    #[derive(Debug)]
    pub enum DecodeError {
        /// The bytes are no compressed value, or belong to another earlier version.
        Compression(err: io::Error) {
            from()
            source(err)
            display("could not decompress the value: {err}")
        }
        /// The value exceeds [`VALUE_MAX_BYTES`], or the size that was announced.
        TooLong {
            display("the value is longer than announced")
        }
        /// The value is not the one that was encoded.
        Mismatch {
            display("the value differs from the one that was sent")
        }
    }
}

/// Hash of a value, independent of the compiler, as daemons exchange it.
#[must_use]
pub fn hash(value: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(value);
    hasher.finish()
}

/// Encodes a value relative to an earlier version; an empty one if the receiver has none.
///
/// # Errors
/// The compressor fails, for lack of memory.
pub fn encode(base: &str, value: &str) -> io::Result<Vec<u8>> {
    let window = (base.len() + value.len()).max(1).ilog2() + 1;
    let mut encoder = zstd::Encoder::with_ref_prefix(Vec::new(), LEVEL, base.as_bytes())?;
    encoder.window_log(window.clamp(WINDOW_LOG_MIN, WINDOW_LOG_MAX))?;
    encoder.long_distance_matching(!base.is_empty())?;
    encoder.write_all(value.as_bytes())?;
    encoder.finish()
}

/// Decodes a value of a known size and hash.
///
/// # Errors
/// [`DecodeError`] if the bytes are no such value.
pub fn decode(base: &str, encoded: &[u8], bytes: u64, hash: u64) -> Result<SmolStr, DecodeError> {
    if bytes > VALUE_MAX_BYTES {
        return Err(DecodeError::TooLong);
    }
    let mut decoder = zstd::Decoder::with_ref_prefix(encoded, base.as_bytes())?;
    decoder.window_log_max(WINDOW_LOG_MAX)?;
    let mut value = Vec::new();
    decoder.take(bytes + 1).read_to_end(&mut value)?;
    if value.len() as u64 > bytes {
        return Err(DecodeError::TooLong);
    }
    if value.len() as u64 != bytes || self::hash(&value) != hash {
        return Err(DecodeError::Mismatch);
    }
    let value = String::from_utf8(value).map_err(|_| DecodeError::Mismatch)?;
    Ok(value.into())
}
