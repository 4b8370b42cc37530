//! Gossip of the platform's objects between daemons, and the duties of watchers.
//!
//! A few daemons of each failure domain, the watchers, watch the platform;
//! [`crate::watching`] decides which. Each daemon has
//! a few stable peers on the hash ring of its failure domain. It forwards updates to all of
//! them, those that come soon after others together; a digest that it sends to one of them each round repairs lost
//! messages. Only watchers communicate with other failure domains, and only with the
//! watchers there. Each daemon checks its successor on the ring, and reports it as gone if it
//! stays unreachable.

mod announcements;
mod event;
mod heartbeats;
mod message;
mod outbox;
mod topology;
mod transfers;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub use announcements::Received;
pub use event::{Input, Member, Output};
pub use message::Message;
pub use transfers::{Fetch, LARGE_VALUE_BYTES, PART_BYTES, Part, Transfer};

use crate::id;
use crate::replica::{Key, Object, Replica};
use crate::startup_sync;
use crate::watching::{Duty, Waits};

/// Interval between gossip rounds.
pub const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Time in which a daemon forwards one message with updates to a peer, and requests missing objects
/// from one. Without it, a start of all daemons makes as many messages as there are pairs of them.
pub const FLUSH_INTERVAL: Duration = Duration::from_millis(25);
/// Number of peers that receive updated objects in full; the others receive only their
/// versions and request what they lack.
const FANOUT: usize = 3;
/// Rotation that derives a second random choice from the same random number.
const DRAW_ROTATION: u32 = 16;
/// Size up to which each daemon of a failure domain is a peer of all others. With fewer peers, the
/// loss of a few daemons could cut another one off from updates until the next rounds.
const SMALL_DOMAIN: usize = 8;
/// Missed rounds after which a successor is reported as gone.
const REPORT_AFTER: u32 = 30;

/// One daemon's view of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Membership {
    own: Member,
    replica: Replica,
    members: BTreeMap<id::HostName, Member>,
    /// Rounds without contact, by host.
    missed_rounds: BTreeMap<id::HostName, u32>,
    peers: Vec<id::HostName>,
    /// Watchers of each other failure domain.
    remote_watchers: Vec<Vec<id::HostName>>,
    successor: Option<id::HostName>,
    /// Whether this daemon watches the platform.
    duty: Duty,
    /// How long its watches wait.
    watch_waits: Waits,
    outbox: outbox::Outbox,
    /// Hosts that were asked for all missing objects in this round.
    asked: BTreeSet<id::HostName>,
    announcements: announcements::Announcements,
    downloads: transfers::Downloads,
    uploads: transfers::Uploads,
}

impl Membership {
    /// An empty view.
    #[must_use]
    pub fn new(own: Member) -> Self {
        Self {
            own,
            replica: Replica::default(),
            members: BTreeMap::new(),
            missed_rounds: BTreeMap::new(),
            peers: Vec::new(),
            remote_watchers: Vec::new(),
            successor: None,
            duty: Duty::default(),
            watch_waits: Waits::ALONE,
            outbox: outbox::Outbox::default(),
            asked: BTreeSet::new(),
            announcements: announcements::Announcements::default(),
            downloads: transfers::Downloads::default(),
            uploads: transfers::Uploads::default(),
        }
    }

    /// Processes one input and returns the resulting actions, in order.
    pub fn step(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        match input {
            Input::Read(objects, draw) => self.merge(objects, draw, &mut out),
            Input::Received(host, message, draw) => self.received(host, message, draw, &mut out),
            Input::TransferReceived(host, transfer, draw) => {
                self.transfer_received(&host, transfer, draw, &mut out);
            }
            Input::TransferUndelivered(host) => self.transfer_undelivered(&host, &mut out),
            Input::Unreachable(host) => self.unreachable(&host, &mut out),
            Input::Members(members) => self.set_members(members),
            Input::Round(draw) => self.round(draw, &mut out),
            Input::Flush(draw) => self.flush(draw, &mut out),
            Input::Sync => self.sync(&mut out),
            Input::Beat(is_connected) => {
                self.duty.count_beat(is_connected);
                if self.duty.is_heartbeat_due() {
                    self.send_heartbeats(&mut out);
                }
            }
            Input::Listed => {
                // The others should not take over as well.
                if self.duty.has_taken_over() {
                    self.duty.count_listing();
                    self.send_heartbeats(&mut out);
                }
            }
        }
        out
    }

    /// The objects that this daemon holds.
    #[must_use]
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// The newest version of an object under a prefix that another daemon has announced within the
    /// latest rounds and that this daemon lacks.
    #[must_use]
    pub fn announced(&self, prefix: &str) -> Option<id::Version> {
        self.announcements.newest(prefix)
    }

    /// Takes the sizes of the values that other daemons have sent since the latest call.
    pub fn take_received(&mut self) -> Received {
        self.announcements.take_received()
    }

    /// Whether this daemon is a watcher: it forwards updates to other failure domains.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        self.duty.is_assigned() || self.duty.is_watching()
    }

    /// Whether this daemon watches the platform because it hears of no watcher that does.
    #[must_use]
    pub fn has_taken_over(&self) -> bool {
        self.duty.has_taken_over()
    }

    /// How long no update of the platform has been able to reach this daemon.
    #[must_use]
    pub fn silent_for(&self) -> Duration {
        self.duty.silent_for()
    }

    /// How long this daemon's watches wait, if it should watch the platform.
    #[must_use]
    pub fn watch_waits(&self) -> Option<Waits> {
        let waits = if self.duty.has_taken_over() {
            Waits::ALONE
        } else {
            self.watch_waits
        };
        self.duty.is_watching().then_some(waits)
    }

    fn domain_hosts(&self) -> impl Iterator<Item = &id::HostName> {
        self.members
            .values()
            .filter(|member| member.failure_domain == self.own.failure_domain)
            .map(|member| &member.host)
    }

    fn merge(&mut self, objects: Vec<Object>, draw: u64, out: &mut Vec<Output>) {
        let updated: Vec<Object> = objects
            .into_iter()
            .filter(|object| self.merge_one(object))
            .collect();
        out.extend(updated.iter().cloned().map(Output::Changed));
        if let Some(due) = self.outbox.push_updates(updated) {
            self.forward(due, draw, out);
        }
    }

    fn merge_one(&mut self, object: &Object) -> bool {
        let replaced = self.replica.get(&object.key).cloned();
        if !self.replica.merge(object) {
            return false;
        }
        if let Some(replaced) = replaced {
            self.uploads.on_replaced(&replaced);
        }
        self.downloads.on_held(&object.key, object.version);
        self.announcements.on_held(object);
        true
    }

    /// Sends what has waited since the last flush.
    fn flush(&mut self, draw: u64, out: &mut Vec<Output>) {
        let (updates, request) = self.outbox.flush();
        if !updates.is_empty() {
            self.forward(updates, draw, out);
        }
        if let Some((host, announced)) = request {
            self.versions_announced(host, announced, out);
        }
        self.flush_transfers(out);
    }

    /// Sends updated objects to peers, but of large ones only the versions.
    fn forward(&self, updated: Vec<Object>, draw: u64, out: &mut Vec<Output>) {
        let (large, updated) = transfers::split(updated);
        let versions = updated.iter().map(|o| (o.key.clone(), o.version)).collect();
        let notice = Message {
            versions: Some(versions),
            ..Message::default()
        };
        let message = Message {
            objects: updated,
            ..Message::default()
        };
        // All peers are notified: if some were left out, one daemon in twenty would not
        // get the update before the next round. If watchers are lost, peers may be, too.
        let peers = if self.has_taken_over() {
            let others = self.domain_hosts().filter(|host| **host != self.own.host);
            others.cloned().collect()
        } else {
            self.peers.clone()
        };
        let n = u64::try_from(peers.len()).unwrap_or(u64::MAX).max(1);
        let start = usize::try_from(draw % n).unwrap_or(0);
        let (before, after) = peers.split_at(start);
        for (index, host) in after.iter().chain(before).enumerate() {
            let message = if index < FANOUT { &message } else { &notice };
            transfers::send_update(host, message, &large, out);
        }
        // Other failure domains receive only versions and request what they lack: their own
        // watchers have read most of it.
        let remote = self.remote_watchers.iter().filter(|_| self.is_watcher());
        let remote = remote.filter_map(|watchers| self.pick_watcher(watchers, draw));
        for host in remote {
            transfers::send_update(&host, &notice, &large, out);
        }
    }

    /// One watcher of another failure domain; one that has asked for updates, if there is any.
    fn pick_watcher(&self, watchers: &[id::HostName], draw: u64) -> Option<id::HostName> {
        let asking = watchers.iter().filter(|host| self.duty.hears_remote(host));
        let asking: Vec<id::HostName> = asking.cloned().collect();
        pick(&asking, draw).or_else(|| pick(watchers, draw))
    }

    /// Handles versions announced by a daemon; requests the objects that are newer there.
    fn versions_announced(
        &mut self,
        host: id::HostName,
        mut announced: BTreeMap<Key, id::Version>,
        out: &mut Vec<Output>,
    ) {
        announced.retain(|key, version| {
            let held = self.replica.get(key);
            held.is_none_or(|object| object.version < *version)
        });
        if !announced.is_empty() && self.outbox.may_request(&host, announced) {
            out.push(Output::Send(host, self.sync_request()));
        }
    }

    /// A request for all objects that are newer than the held ones.
    fn sync_request(&self) -> Message {
        Message {
            digest: Some(self.replica.digest()),
            versions: Some(self.replica.versions()),
            ..Message::default()
        }
    }

    /// Requests missing objects from a few daemons, those of the own failure domain first, and from
    /// each once a round: each reply to a starting daemon leads here.
    fn sync(&mut self, out: &mut Vec<Output>) {
        for host in self.sync_peers(startup_sync::COPIES) {
            if self.asked.insert(host.clone()) {
                out.push(Output::Send(host, self.sync_request()));
            }
        }
    }

    /// The first `count` daemons that a starting daemon requests missing objects from.
    #[must_use]
    pub fn sync_peers(&self, count: usize) -> Vec<id::HostName> {
        let remote = self.remote_watchers.iter().flatten();
        let hosts = self.peers.iter().chain(remote);
        hosts.take(count).cloned().collect()
    }

    fn received(&mut self, host: id::HostName, message: Message, draw: u64, out: &mut Vec<Output>) {
        self.missed_rounds.remove(&host);
        if let Some(receives_updates) = message.as_heartbeat() {
            self.record_heartbeat(host, receives_updates, out);
            return;
        }
        for object in &message.objects {
            let held = self.replica.get(&object.key);
            let is_new = held.is_none_or(|held| held.version < object.version);
            self.announcements.count(object.value.len(), is_new);
        }
        self.merge(message.objects, draw, out);
        let announced = message.versions.iter().flatten();
        self.announcements.record(announced, &self.replica);
        if message.digest.is_none()
            && let Some(announced) = message.versions
        {
            self.versions_announced(host, announced, out);
            return;
        }
        let digest = self.replica.digest();
        let Some(theirs) = message.digest else {
            return;
        };
        let digest = Some(digest);
        let reply = match message.versions {
            None if digest == Some(theirs) || message.is_complete => return,
            None => self.sync_request(),
            Some(theirs) => {
                let (large, objects) = transfers::split(self.replica.newer_than(&theirs));
                if !large.is_empty() {
                    let announcement = Transfer::Announce(large);
                    out.push(Output::SendTransfer(host.clone(), announcement));
                }
                let is_behind = theirs
                    .iter()
                    .any(|(key, v)| self.replica.get(key).is_none_or(|held| held.version < *v));
                Message {
                    digest,
                    versions: is_behind.then(|| self.replica.versions()),
                    objects,
                    is_complete: true,
                }
            }
        };
        out.push(Output::Send(host, reply));
    }

    fn unreachable(&mut self, host: &id::HostName, out: &mut Vec<Output>) {
        self.asked.remove(host);
        // The peers that pass updates on to this daemon may be out of its reach as well, while a
        // watcher is not.
        if let Some(watcher) = self.duty.watcher_to_ask() {
            out.push(Output::Send(watcher, self.digest_message()));
        }
        let is_successor = self.successor.as_ref() == Some(host);
        let Some(member) = self.members.get(host).filter(|_| is_successor) else {
            return;
        };
        let missed = self.missed_rounds.entry(host.clone()).or_default();
        *missed += 1;
        if *missed >= REPORT_AFTER {
            *missed = 0;
            out.push(Output::Report(member.clone()));
        }
    }

    fn digest_message(&self) -> Message {
        Message {
            digest: Some(self.replica.digest()),
            ..Message::default()
        }
    }

    fn round(&mut self, draw: u64, out: &mut Vec<Output>) {
        self.asked.clear();
        self.announcements.on_round();
        let message = self.digest_message();
        let mut recipients: Vec<id::HostName> = self.successor.iter().cloned().collect();
        recipients.extend(pick(&self.peers, draw));
        recipients.dedup();
        if self.is_watcher() {
            let n = self.remote_watchers.len().max(1);
            let domain = usize::try_from(draw).map_or(0, |draw| draw % n);
            let watchers = self.remote_watchers.get(domain);
            let draw = draw.rotate_right(DRAW_ROTATION);
            recipients.extend(watchers.and_then(|watchers| pick(watchers, draw)));
        }
        out.extend(
            recipients
                .into_iter()
                .map(|host| Output::Send(host, message.clone())),
        );
    }
}

fn pick(hosts: &[id::HostName], draw: u64) -> Option<id::HostName> {
    let n = u64::try_from(hosts.len()).ok().filter(|n| *n > 0)?;
    let index = usize::try_from(draw % n).ok()?;
    Some(hosts[index].clone())
}
