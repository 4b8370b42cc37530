//! Spread of the platform's objects between daemons, and the duties of a few.
//!
//! A few daemons of each failure domain watch the platform. Each daemon has a
//! few lasting peers around the ring of its failure domain: news goes on to all of
//! them at once, and a digest to one of them each round repairs what was lost. Only
//! watchers talk to other failure domains, and only to their watchers. Each daemon
//! checks its successor around the ring, watches in its place while a watcher can not
//! be reached, and reports one that stays unreachable.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id;
use crate::replica::{Digest, Key, Object, Replica};
use crate::ring;

/// Time between two rounds.
pub const ROUND: Duration = Duration::from_secs(1);
/// Daemons of a failure domain that watch the platform.
pub const WATCHERS: usize = 2;
/// Peers that news goes on to; the others are told of it, and ask if they lack it.
const FANOUT: usize = 3;
/// Daemons that one is asked of which has just started.
const ASKED: usize = 3;
const BITS_PER_DRAW: u32 = 16;
/// Rounds without contact after which a daemon watches in its successor's place: one
/// may be missed by the loss of a datagram.
const STAND_IN_AFTER: u32 = 2;
/// Rounds without contact after which a successor is reported.
const MISSED_MAX: u32 = 30;

/// Another daemon, or this one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    /// Its host.
    pub host: id::HostName,
    /// Its failure domain.
    pub failure_domain: id::DomainName,
    /// Its incarnation.
    pub incarnation: id::Incarnation,
}

/// What is sent to a peer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Message {
    /// Digest of the sender's replica, where it is to be compared. News carries
    /// none: while news spreads, replicas differ and comparing is in vain.
    pub digest: Option<Digest>,
    /// With a digest, the sender's versions, where it asks for newer objects; without
    /// one, versions that are news.
    pub versions: Option<BTreeMap<Key, id::Version>>,
    /// Objects that may be news.
    pub objects: Vec<Object>,
    /// Whether these are all that the sender holds and the receiver lacked when it asked.
    pub is_whole: bool,
}

/// What happens to a membership.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// Objects read from the platform.
    Read(Vec<Object>, u64),
    /// A message from a peer, with a random draw.
    Heard(id::HostName, Message, u64),
    /// A message did not reach a peer.
    Unreachable(id::HostName),
    /// The members that have not left.
    Members(Vec<Member>),
    /// A round begins; with a random draw.
    Round(u64),
    /// Others are to send what is lacking here.
    Ask,
}

/// What the embedder has to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send a message to a peer.
    Send(id::HostName, Message),
    /// Take in a newer version of an object.
    Changed(Object),
    /// Report a member as gone.
    Report(Member),
}

/// One daemon's view of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Membership {
    own: Member,
    replica: Replica,
    members: BTreeMap<id::HostName, Member>,
    missed: BTreeMap<id::HostName, u32>,
    peers: Vec<id::HostName>,
    /// Watchers of each other failure domain.
    far_watchers: Vec<Vec<id::HostName>>,
    successor: Option<id::HostName>,
}

impl Membership {
    /// A view that holds nothing yet.
    #[must_use]
    pub fn new(own: Member) -> Self {
        Self {
            own,
            replica: Replica::default(),
            members: BTreeMap::new(),
            missed: BTreeMap::new(),
            peers: Vec::new(),
            far_watchers: Vec::new(),
            successor: None,
        }
    }

    /// Takes one input and returns what has to be done, in order.
    pub fn step(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        match input {
            Input::Read(objects, draw) => self.merge(objects, draw, &mut out),
            Input::Heard(host, message, draw) => self.heard(host, message, draw, &mut out),
            Input::Unreachable(host) => self.unreachable(&host, &mut out),
            Input::Members(members) => self.members(members),
            Input::Round(draw) => self.round(draw, &mut out),
            Input::Ask => self.ask(&mut out),
        }
        out
    }

    /// The objects held.
    #[must_use]
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Whether this daemon should watch the platform.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        self.watches(&self.own.host) || self.stands_in()
    }

    fn watches(&self, host: &id::HostName) -> bool {
        ring::among_first(host, self.neighbors(), WATCHERS)
    }

    /// Whether the successor has the duty of watching and can not be reached.
    fn stands_in(&self) -> bool {
        let Some(successor) = &self.successor else {
            return false;
        };
        let missed = self.missed.get(successor).copied().unwrap_or_default();
        missed >= STAND_IN_AFTER && self.watches(successor)
    }

    fn neighbors(&self) -> impl Iterator<Item = &id::HostName> {
        self.members
            .values()
            .filter(|member| member.failure_domain == self.own.failure_domain)
            .map(|member| &member.host)
    }

    fn merge(&mut self, objects: Vec<Object>, draw: u64, out: &mut Vec<Output>) {
        let news: Vec<Object> = objects
            .into_iter()
            .filter(|object| self.replica.merge(object))
            .collect();
        out.extend(news.iter().cloned().map(Output::Changed));
        if news.is_empty() {
            return;
        }
        let versions = news.iter().map(|o| (o.key.clone(), o.version)).collect();
        let hint = Message {
            versions: Some(versions),
            ..Message::default()
        };
        let message = Message {
            objects: news,
            ..Message::default()
        };
        // All peers hear of it: with some of them left out, one in twenty daemons would
        // have to wait for a round.
        let n = u64::try_from(self.peers.len()).unwrap_or(u64::MAX).max(1);
        let first = usize::try_from(draw % n).unwrap_or(0);
        let (before, after) = self.peers.split_at(first);
        for (at, host) in after.iter().chain(before).enumerate() {
            let message = if at < FANOUT { &message } else { &hint };
            out.push(Output::Send(host.clone(), message.clone()));
        }
        // Others ask for what they lack: most of it their own watchers have read.
        let far = self.far_watchers.iter().filter(|_| self.is_watcher());
        let far = far.filter_map(|watchers| random(watchers, draw));
        out.extend(far.map(|host| Output::Send(host, hint.clone())));
    }

    /// A peer tells of news; asks for what is lacking here.
    fn hinted(&self, host: id::HostName, news: &BTreeMap<Key, id::Version>, out: &mut Vec<Output>) {
        let lacks = |(key, version): (&Key, &id::Version)| {
            let held = self.replica.get(key);
            held.is_none_or(|object| object.version < *version)
        };
        if news.iter().any(lacks) {
            out.push(Output::Send(host, self.question()));
        }
    }

    /// Asks for all objects that are newer than those held.
    fn question(&self) -> Message {
        Message {
            digest: Some(self.replica.digest()),
            versions: Some(self.replica.versions()),
            ..Message::default()
        }
    }

    /// Asks a few daemons, those of the own failure domain first.
    fn ask(&self, out: &mut Vec<Output>) {
        let far = self.far_watchers.iter().flatten();
        let hosts = self.peers.iter().chain(far).take(ASKED);
        out.extend(hosts.map(|host| Output::Send(host.clone(), self.question())));
    }

    fn heard(&mut self, host: id::HostName, message: Message, draw: u64, out: &mut Vec<Output>) {
        self.missed.remove(&host);
        self.merge(message.objects, draw, out);
        if let (None, Some(news)) = (message.digest, &message.versions) {
            self.hinted(host, news, out);
            return;
        }
        let digest = self.replica.digest();
        let Some(theirs) = message.digest else {
            return;
        };
        let digest = Some(digest);
        let reply = match message.versions {
            None if digest == Some(theirs) || message.is_whole => return,
            None => self.question(),
            Some(theirs) => {
                let objects = self.replica.newer_than(&theirs);
                let lacks = theirs
                    .iter()
                    .any(|(key, v)| self.replica.get(key).is_none_or(|held| held.version < *v));
                Message {
                    digest,
                    versions: lacks.then(|| self.replica.versions()),
                    objects,
                    is_whole: true,
                }
            }
        };
        out.push(Output::Send(host, reply));
    }

    fn unreachable(&mut self, host: &id::HostName, out: &mut Vec<Output>) {
        let watched = self.successor.as_ref() == Some(host);
        let Some(member) = self.members.get(host).filter(|_| watched) else {
            return;
        };
        let missed = self.missed.entry(host.clone()).or_default();
        *missed += 1;
        if *missed >= MISSED_MAX {
            *missed = 0;
            out.push(Output::Report(member.clone()));
        }
    }

    fn members(&mut self, members: Vec<Member>) {
        self.members = members
            .into_iter()
            .map(|member| (member.host.clone(), member))
            .collect();
        let known = &self.members;
        self.missed.retain(|host, _| known.contains_key(host));
        self.peers = ring::fingers(&self.own.host, self.neighbors());
        self.successor = self.peers.first().cloned();
        let mut domains: BTreeMap<&id::DomainName, Vec<&id::HostName>> = BTreeMap::new();
        for member in self.members.values() {
            let hosts = domains.entry(&member.failure_domain).or_default();
            hosts.push(&member.host);
        }
        domains.remove(&self.own.failure_domain);
        let watchers = domains
            .into_values()
            .map(|hosts| ring::first(hosts.into_iter(), WATCHERS));
        self.far_watchers = watchers.collect();
    }

    fn round(&mut self, draw: u64, out: &mut Vec<Output>) {
        let message = Message {
            digest: Some(self.replica.digest()),
            ..Message::default()
        };
        let mut to: Vec<id::HostName> = self.successor.iter().cloned().collect();
        to.extend(random(&self.peers, draw));
        to.dedup();
        if self.is_watcher() {
            let n = self.far_watchers.len().max(1);
            let domain = usize::try_from(draw).map_or(0, |draw| draw % n);
            let watchers = self.far_watchers.get(domain);
            let draw = draw.rotate_right(BITS_PER_DRAW);
            to.extend(watchers.and_then(|watchers| random(watchers, draw)));
        }
        out.extend(
            to.into_iter()
                .map(|host| Output::Send(host, message.clone())),
        );
    }
}

fn random(peers: &[id::HostName], draw: u64) -> Option<id::HostName> {
    let n = u64::try_from(peers.len()).ok().filter(|n| *n > 0)?;
    let at = usize::try_from(draw % n).ok()?;
    Some(peers[at].clone())
}
