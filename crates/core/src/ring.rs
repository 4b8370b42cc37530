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

/// The first `n` hosts by hash.
#[must_use]
pub fn first<'a>(hosts: impl Iterator<Item = &'a id::HostName>, n: usize) -> Vec<id::HostName> {
    let mut hosts: Vec<&id::HostName> = hosts.collect();
    hosts.sort_by_key(|host| (rank(host), *host));
    hosts.into_iter().take(n).cloned().collect()
}

/// The peers at distances 1, 2, 4, 8 and so on after `host` around the ring:
/// few and lasting, yet every member is a few steps away.
#[must_use]
pub fn fingers<'a>(
    host: &id::HostName,
    peers: impl Iterator<Item = &'a id::HostName>,
) -> Vec<id::HostName> {
    let own = (rank(host), host);
    let mut after: Vec<(bool, u64, &id::HostName)> = peers
        .filter(|peer| *peer != host)
        .map(|peer| ((rank(peer), peer) < own, rank(peer), peer))
        .collect();
    after.sort();
    let distances = (0..usize::BITS).map(|power| 1_usize << power);
    distances
        .map_while(|distance| after.get(distance - 1))
        .map(|(_, _, peer)| (*peer).clone())
        .collect()
}

fn rank(host: &id::HostName) -> u64 {
    let mut hasher = DefaultHasher::new();
    host.hash(&mut hasher);
    hasher.finish()
}
