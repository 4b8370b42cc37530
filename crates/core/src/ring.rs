//! Order of members on a hash ring, used to assign duties to a few of them.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use crate::id;

/// The first `n` hosts in hash order.
#[must_use]
pub fn first<'a>(hosts: impl Iterator<Item = &'a id::HostName>, n: usize) -> Vec<id::HostName> {
    let mut hosts: Vec<&id::HostName> = hosts.collect();
    hosts.sort_by_key(|host| (ring_position(host), *host));
    hosts.into_iter().take(n).cloned().collect()
}

/// All other hosts, nearest after `host` on the ring first; `hosts` is in hash order.
#[must_use]
pub fn successors(host: &id::HostName, hosts: &[id::HostName]) -> Vec<id::HostName> {
    let position = hosts.iter().position(|other| other == host);
    let (before, after) = hosts.split_at(position.unwrap_or(0));
    let others = after.iter().chain(before).filter(|other| *other != host);
    others.cloned().collect()
}

/// The peers at distances 1, 2, 4, 8 and so on after `host` on the ring, nearest first.
///
/// There are few of them and they rarely change, yet every member can be reached in a
/// logarithmic number of hops.
#[must_use]
pub fn peers_at_doubling_distances<'a>(
    host: &id::HostName,
    peers: impl Iterator<Item = &'a id::HostName>,
) -> Vec<id::HostName> {
    let own = (ring_position(host), host);
    // The flag sorts peers past the ring's origin behind the others.
    let mut successors: Vec<(bool, u64, &id::HostName)> = peers
        .filter(|peer| *peer != host)
        .map(|peer| ((ring_position(peer), peer) < own, ring_position(peer), peer))
        .collect();
    successors.sort();
    let distances = (0..usize::BITS).map(|power| 1_usize << power);
    distances
        .map_while(|distance| successors.get(distance - 1))
        .map(|(_, _, peer)| (*peer).clone())
        .collect()
}

fn ring_position(host: &id::HostName) -> u64 {
    let mut hasher = DefaultHasher::new();
    host.hash(&mut hasher);
    hasher.finish()
}
