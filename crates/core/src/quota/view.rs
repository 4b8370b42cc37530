//! Which hosts hold the quota of an organisation, by the members that one daemon knows.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::hash::Hasher;
use std::time::Duration;

use siphasher::sip::SipHasher13;

use crate::id;

/// Number of member sets that are kept. A host that has been a holder for longer than these
/// were in force counts as a holder since the oldest, which only makes its bucket fill later.
const SETS_MAX: usize = 16;

/// Number of hosts that are sorted to find the holders; more only if all of these are in a few
/// failure domains.
const SORTED: usize = 16;

/// A host of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Host {
    /// Its name.
    pub name: id::HostName,
    /// Its failure domain.
    pub failure_domain: id::DomainName,
}

/// A host with the hash of its name.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Ranked {
    host: Host,
    hash: u64,
}

/// The member sets that one daemon has seen, and since when each was in force.
#[derive(Clone, Debug, Default)]
pub struct View {
    sets: VecDeque<(Duration, Vec<Ranked>)>,
    generation: u64,
}

impl View {
    /// Sets the present members; returns whether they differ from the previous ones.
    pub fn replace(&mut self, now: Duration, mut hosts: Vec<Host>) -> bool {
        hosts.sort();
        hosts.dedup();
        let hosts = hosts.into_iter().map(|host| Ranked {
            hash: hash(&host.name),
            host,
        });
        let hosts: Vec<Ranked> = hosts.collect();
        if self.hosts() == hosts {
            return false;
        }
        self.sets.push_back((now, hosts));
        if self.sets.len() > SETS_MAX {
            self.sets.pop_front();
        }
        self.generation += 1;
        true
    }

    /// Number of changes so far.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Number of present members.
    #[must_use]
    pub fn member_count(&self) -> usize {
        self.hosts().len()
    }

    /// Up to `count` holders of an organisation, highest rank first.
    #[must_use]
    pub fn holders(&self, organisation: &str, count: usize) -> Vec<id::HostName> {
        let holders = pick_holders(self.hosts(), organisation, count);
        holders.into_iter().cloned().collect()
    }

    /// Since when a host has been one of the holders without interruption, if it is one.
    #[must_use]
    pub fn holder_since(&self, organisation: &str, count: usize, host: &str) -> Option<Duration> {
        self.since(|hosts| {
            let holders = pick_holders(hosts, organisation, count);
            holders.iter().any(|holder| *holder == host)
        })
    }

    /// Since when a host has been one of the `count` hosts ranked highest for the
    /// organisation without interruption, if it is one.
    #[must_use]
    pub fn ranked_since(&self, organisation: &str, count: usize, host: &str) -> Option<Duration> {
        let organisation = hash(organisation);
        self.since(|hosts| {
            let Some(own) = hosts.iter().find(|other| other.host.name == host) else {
                return false;
            };
            let own = rank(organisation, own);
            let better = hosts.iter().filter(|other| rank(organisation, other) < own);
            better.count() < count
        })
    }

    fn since(&self, is_chosen: impl Fn(&[Ranked]) -> bool) -> Option<Duration> {
        let sets = self.sets.iter().rev();
        let chosen = sets.take_while(|(_, hosts)| is_chosen(hosts));
        chosen.last().map(|(at, _)| *at)
    }

    fn hosts(&self) -> &[Ranked] {
        self.sets.back().map_or(&[], |(_, hosts)| hosts)
    }
}

/// Rendezvous hashing: the hosts with the highest hashes, of which at most one half are in one
/// failure domain if there are enough others.
fn pick_holders<'a>(
    hosts: &'a [Ranked],
    organisation: &str,
    count: usize,
) -> Vec<&'a id::HostName> {
    let organisation = hash(organisation);
    let ranked = hosts
        .iter()
        .map(|host| (rank(organisation, host), &host.host));
    let mut ranked: Vec<(Rank, &Host)> = ranked.collect();
    let count = count.min(ranked.len());
    // Sorting all of hundreds of hosts would take most of the time of a request.
    if ranked.len() > SORTED {
        ranked.select_nth_unstable_by_key(SORTED, |(rank, _)| *rank);
    }
    let sorted = ranked.len().min(SORTED);
    ranked[..sorted].sort_unstable_by_key(|(rank, _)| *rank);
    let picked = pick_spread(&ranked[..sorted], count);
    if is_spread(&picked) {
        return picked.into_iter().map(|host| &host.name).collect();
    }
    ranked.sort_unstable_by_key(|(rank, _)| *rank);
    let picked = pick_spread(&ranked, count);
    picked.into_iter().map(|host| &host.name).collect()
}

/// The first hosts of which at most one half are in one failure domain, and others if these are
/// too few.
fn pick_spread<'a>(ranked: &[(Rank, &'a Host)], count: usize) -> Vec<&'a Host> {
    let domain_max = domain_max(count);
    let mut picked: Vec<&Host> = Vec::with_capacity(count);
    let mut spare = Vec::new();
    for (_, host) in ranked {
        if picked.len() == count {
            break;
        }
        if count_in_domain(&picked, host) < domain_max {
            picked.push(host);
        } else if spare.len() < count {
            spare.push(*host);
        }
    }
    let missing = count - picked.len();
    picked.extend(spare.into_iter().take(missing));
    picked
}

/// Whether no failure domain has more than its part of the hosts.
fn is_spread(picked: &[&Host]) -> bool {
    let domain_max = domain_max(picked.len());
    let mut hosts = picked.iter();
    hosts.all(|host| count_in_domain(picked, host) <= domain_max)
}

fn domain_max(count: usize) -> usize {
    (count / 2).max(1)
}

fn count_in_domain(picked: &[&Host], host: &Host) -> usize {
    let same = picked
        .iter()
        .filter(|other| other.failure_domain == host.failure_domain);
    same.count()
}

/// Sort key of a host: the highest hash comes first.
type Rank = Reverse<u64>;

fn rank(organisation: u64, host: &Ranked) -> Rank {
    Reverse(mix(organisation ^ host.hash))
}

/// A hash that is the same on all daemons.
pub(super) fn hash(text: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(text.as_bytes());
    hasher.finish()
}

/// A permutation in which each bit of the input changes about half of the bits of the output:
/// the finalizer of the `SplitMix64` generator.
pub(super) fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
