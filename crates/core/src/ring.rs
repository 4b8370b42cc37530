//! Order of members around a ring, for duties that few of them take.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use crate::id;

/// Whether `host` is among the first `n` of its peers by hash.
#[must_use]
pub fn among_first<'a>(
    host: &id::HostName,
    peers: impl Iterator<Item = &'a id::HostName>,
    n: usize,
) -> bool {
    let own = (rank(host), host);
    peers
        .filter(|peer| (rank(peer), *peer) < own)
        .take(n)
        .count()
        < n
}

/// The `n` peers that follow `host` around the ring.
#[must_use]
pub fn successors<'a>(
    host: &id::HostName,
    peers: impl Iterator<Item = &'a id::HostName>,
    n: usize,
) -> Vec<id::HostName> {
    let own = (rank(host), host);
    let mut after: Vec<(bool, u64, &id::HostName)> = peers
        .filter(|peer| *peer != host)
        .map(|peer| ((rank(peer), peer) < own, rank(peer), peer))
        .collect();
    after.sort();
    after
        .into_iter()
        .take(n)
        .map(|(_, _, peer)| peer.clone())
        .collect()
}

fn rank(host: &id::HostName) -> u64 {
    let mut hasher = DefaultHasher::new();
    host.hash(&mut hasher);
    hasher.finish()
}
