//! Who tells whom: the peers of a daemon, its successor, and the watchers of the failure domains.

use std::collections::BTreeMap;

use super::{Member, Membership, SMALL_DOMAIN};
use crate::id;
use crate::ring;
use crate::watching::{WATCHERS_PER_DOMAIN, Waits};

impl Membership {
    pub(super) fn set_members(&mut self, members: Vec<Member>) {
        self.members = members
            .into_iter()
            .map(|member| (member.host.clone(), member))
            .collect();
        let known = &self.members;
        self.missed_rounds
            .retain(|host, _| known.contains_key(host));
        let domain = ring::first(self.domain_hosts(), self.members.len());
        self.peers = if domain.len() <= SMALL_DOMAIN {
            ring::successors(&self.own.host, &domain)
        } else {
            ring::peers_at_doubling_distances(&self.own.host, domain.iter())
        };
        self.successor = self.peers.first().cloned();
        self.duty.set_domain(&self.own.host, domain);
        let mut domains: BTreeMap<&id::DomainName, Vec<&id::HostName>> = BTreeMap::new();
        for member in self.members.values() {
            let hosts = domains.entry(&member.failure_domain).or_default();
            hosts.push(&member.host);
        }
        let watchers = domains.into_iter().map(|(domain, hosts)| {
            let watchers = ring::first(hosts.into_iter(), WATCHERS_PER_DOMAIN);
            (domain.clone(), watchers)
        });
        let mut watchers: BTreeMap<id::DomainName, Vec<id::HostName>> = watchers.collect();
        self.watch_waits = watch_waits(&self.own.host, watchers.values());
        watchers.remove(&self.own.failure_domain);
        self.remote_watchers = watchers.into_values().collect();
    }
}

/// Waits of a host's watches, by its position among the watchers of all domains.
fn watch_waits<'a>(
    host: &id::HostName,
    domains: impl Iterator<Item = &'a Vec<id::HostName>>,
) -> Waits {
    let watchers = domains.flat_map(|watchers| watchers.iter().enumerate());
    // The watchers of one domain are far apart, as they may be lost together.
    let mut watchers: Vec<(usize, &id::HostName)> = watchers.collect();
    watchers.sort();
    let position = watchers.iter().position(|(_, watcher)| *watcher == host);
    Waits::new(position.unwrap_or(0), watchers.len())
}
