//! Which hosts hold the quota of an organisation, by the members that one daemon knows.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use siphasher::sip::SipHasher13;

use crate::id;

/// Number of member sets that are kept. A host that has been a holder for longer than these
/// were in force counts as a holder since the oldest, which only makes its bucket fill later.
const SETS_MAX: usize = 16;

/// A host of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Host {
    /// Its name.
    pub name: id::HostName,
    /// Its failure domain.
    pub failure_domain: id::DomainName,
}

/// The member sets that one daemon has seen, and since when each was in force.
#[derive(Clone, Debug, Default)]
pub struct View {
    sets: VecDeque<(Duration, Vec<Host>)>,
    generation: u64,
}

impl View {
    /// Sets the present members; returns whether they differ from the previous ones.
    pub fn replace(&mut self, now: Duration, mut hosts: Vec<Host>) -> bool {
        hosts.sort();
        hosts.dedup();
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
        self.since(|hosts| {
            let Some(own) = hosts.iter().find(|other| other.name == host) else {
                return false;
            };
            let own = rank(organisation, own);
            let better = hosts.iter().filter(|other| rank(organisation, other) < own);
            better.count() < count
        })
    }

    fn since(&self, is_chosen: impl Fn(&[Host]) -> bool) -> Option<Duration> {
        let sets = self.sets.iter().rev();
        let chosen = sets.take_while(|(_, hosts)| is_chosen(hosts));
        chosen.last().map(|(at, _)| *at)
    }

    fn hosts(&self) -> &[Host] {
        self.sets.back().map_or(&[], |(_, hosts)| hosts)
    }
}

/// Rendezvous hashing: the hosts with the highest hashes, of which at most one half are in one
/// failure domain if there are enough others.
fn pick_holders<'a>(hosts: &'a [Host], organisation: &str, count: usize) -> Vec<&'a id::HostName> {
    let mut ranked: Vec<(Rank, &Host)> = hosts.iter().map(|h| (rank(organisation, h), h)).collect();
    ranked.sort_unstable_by_key(|(rank, _)| *rank);
    let count = count.min(ranked.len());
    let domain_max = (count / 2).max(1);
    let mut picked: Vec<&Host> = Vec::with_capacity(count);
    let mut spare = Vec::new();
    for (_, host) in ranked {
        if picked.len() == count {
            break;
        }
        let in_domain = picked
            .iter()
            .filter(|other| other.failure_domain == host.failure_domain);
        if in_domain.count() < domain_max {
            picked.push(host);
        } else {
            spare.push(host);
        }
    }
    let missing = count - picked.len();
    picked.extend(spare.into_iter().take(missing));
    picked.into_iter().map(|host| &host.name).collect()
}

/// Sort key of a host: the highest hash comes first.
type Rank = Reverse<u64>;

fn rank(organisation: &str, host: &Host) -> Rank {
    Reverse(hash(organisation, &host.name))
}

/// A hash that is the same on all daemons.
pub(super) fn hash(organisation: &str, host: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    (organisation, host).hash(&mut hasher);
    hasher.finish()
}
