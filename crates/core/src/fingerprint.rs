//! Fingerprints, by which daemons recognize a request that is sent again.
//!
//! The same request may crash targets when one caller sends it and be sound when another does, or
//! crash them whoever sends it. So a fingerprint has a part for the request and one for its caller.

use std::collections::BTreeMap;
use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::http_message::RequestHead;
use crate::id::Fingerprint;

/// Bits that hold the digest of the request; those above hold the digest of the caller.
const REQUEST_BITS: u32 = 48;
const REQUEST_MASK: Fingerprint = (1 << REQUEST_BITS) - 1;

/// The fingerprint of a request. `caller_header` names the header that states which service calls.
///
/// Daemons exchange and store fingerprints, so the digests do not depend on the compiler.
#[must_use]
pub fn of(head: &RequestHead, body: &[u8], caller_header: &str) -> Fingerprint {
    let mut headers = head.headers.iter();
    let caller = headers.find(|(name, _)| name == caller_header);
    let caller = digest_of_caller(caller.map_or(&[], |(_, value)| value));
    caller << REQUEST_BITS | digest_of_request(head, body) & REQUEST_MASK
}

fn digest_of_request(head: &RequestHead, body: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(&u64::from(head.host.is_some()).to_le_bytes());
    let texts = [head.host.as_deref(), Some(&head.method), Some(&head.path)];
    for text in texts.into_iter().flatten() {
        hasher.write(text.as_bytes());
        // Ends the text: no text contains this byte.
        hasher.write(&[0xff]);
    }
    hasher.write(&(body.len() as u64).to_le_bytes());
    hasher.write(body);
    hasher.finish()
}

/// Digest of a caller, never 0, which stands for any caller.
fn digest_of_caller(caller: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(caller);
    (hasher.finish() >> REQUEST_BITS).max(1)
}

/// The fingerprint that stands for the same request of any caller.
#[must_use]
pub fn of_any_caller(fingerprint: Fingerprint) -> Fingerprint {
    fingerprint & REQUEST_MASK
}

/// Whether two fingerprints are of the same request, whoever calls.
#[must_use]
pub fn is_same_request(a: Fingerprint, b: Fingerprint) -> bool {
    of_any_caller(a) == of_any_caller(b)
}

/// Whether a fingerprint is `key`, or `key` is that of the same request of any caller.
#[must_use]
pub fn matches(key: Fingerprint, fingerprint: Fingerprint) -> bool {
    key == fingerprint || key == of_any_caller(fingerprint)
}

/// The entry for a fingerprint, or for the same request of any caller.
#[must_use]
pub fn get<T>(
    map: &BTreeMap<Fingerprint, T>,
    fingerprint: Fingerprint,
) -> Option<(Fingerprint, &T)> {
    let keys = [fingerprint, of_any_caller(fingerprint)];
    let mut entries = keys.iter().filter_map(|key| map.get_key_value(key));
    entries.next().map(|(key, value)| (*key, value))
}
