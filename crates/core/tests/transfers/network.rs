//! A fleet of daemons in virtual time, on whose messages a test decides.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use pollenrouter_core::id::{HostName, Version};
use pollenrouter_core::membership::{Input, Member, Membership, Output, Transfer};
use pollenrouter_core::replica::{Key, Object};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

pub const KEY: &str = "tables/main";
/// Time that a message takes, steps; with it, a flush interval has room for several requests.
const DELAY: u64 = 1;
/// Steps in a flush interval.
pub const FLUSH_STEPS: u64 = 12;
/// Flush intervals in a round.
const ROUND_FLUSHES: u64 = 40;
/// Lines of a value; a whole one has several parts, and so does a change.
const LINES: usize = 9_000;

/// What happens to a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Deliver,
    /// It is lost, and the sender learns nothing.
    Lose,
    /// It is lost, and the sender learns that the host cannot be reached.
    Fail,
    /// It arrives later by this many steps.
    Delay(u64),
    /// It arrives, and again later by this many steps.
    Repeat(u64),
}

/// A message on its way.
#[derive(Clone, Debug)]
pub struct Envelope {
    pub from: HostName,
    pub to: HostName,
    pub input: Input,
}

impl Envelope {
    pub fn transfer(&mut self) -> Option<&mut Transfer> {
        match &mut self.input {
            Input::TransferReceived(_, transfer, _) => Some(transfer),
            _ => None,
        }
    }

    /// The host that fetches and the key, if this belongs to the transfer of a value.
    fn exchange(&self) -> Option<(HostName, Key)> {
        let Input::TransferReceived(_, transfer, _) = &self.input else {
            return None;
        };
        match transfer {
            Transfer::Announce(_) => None,
            Transfer::Fetch(fetch) => Some((self.from.clone(), fetch.key.clone())),
            Transfer::Part(part) => Some((self.to.clone(), part.key.clone())),
            Transfer::Unavailable { key, .. } => Some((self.to.clone(), key.clone())),
        }
    }
}

/// What a host has sent since the counts were reset.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sent {
    pub fetches: usize,
    /// Requests for the first part of a value.
    pub first_fetches: usize,
    pub parts: usize,
    pub part_bytes: usize,
}

pub struct Network {
    pub daemons: BTreeMap<HostName, Membership>,
    /// Hosts whose messages are lost, and those to them.
    pub silent: BTreeSet<HostName>,
    pub sent: BTreeMap<HostName, Sent>,
    /// Versions that each host has had, in order.
    pub versions: BTreeMap<(HostName, Key), Vec<Version>>,
    /// Whether at most one request for a value may be on its way.
    pub is_reliable: bool,
    pub rng: SmallRng,
    members: Vec<Member>,
    published: BTreeMap<(Key, Version), String>,
    lines: BTreeMap<Key, Vec<u64>>,
    newest: BTreeMap<Key, Version>,
    in_flight: BTreeMap<(u64, u64), Envelope>,
    posted: u64,
    now: u64,
}

pub fn host(n: usize) -> HostName {
    format!("host-{n}").into()
}

impl Network {
    pub fn new(hosts: usize, domains: usize, seed: u64) -> Self {
        let member = |n: usize| Member {
            host: host(n),
            failure_domain: format!("domain-{}", n % domains).into(),
            incarnation: 1,
        };
        let mut network = Self {
            daemons: BTreeMap::new(),
            silent: BTreeSet::new(),
            sent: BTreeMap::new(),
            versions: BTreeMap::new(),
            is_reliable: true,
            rng: SmallRng::seed_from_u64(seed),
            members: (0..hosts).map(member).collect(),
            published: BTreeMap::new(),
            lines: BTreeMap::new(),
            newest: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            posted: 0,
            now: 0,
        };
        for n in 0..hosts {
            network.restart(&host(n));
        }
        network
    }

    /// Starts a daemon, without anything that it knew.
    pub fn restart(&mut self, host: &HostName) {
        let own = self.members.iter().find(|member| member.host == *host);
        let mut daemon = Membership::new(own.expect("host must exist").clone());
        daemon.step(Input::Members(self.members.clone()));
        self.daemons.insert(host.clone(), daemon);
        self.versions.retain(|(other, _), _| other != host);
    }

    /// The next version of a value; a part of its lines has changed.
    pub fn new_version(&mut self, key: &str) -> Object {
        let version = self.newest.entry(key.into()).or_default();
        *version += 1;
        let lines = self.lines.entry(key.into()).or_default();
        let is_first = lines.is_empty();
        lines.resize(LINES, 0);
        for line in lines.iter_mut() {
            if is_first || self.rng.random_range(0..3) == 0 {
                *line = self.rng.random();
            }
        }
        let lines: Vec<String> = lines.iter().map(|line| format!("{line:016x}")).collect();
        let text = lines.join("\n");
        self.published.insert((key.into(), *version), text.clone());
        Object {
            key: key.into(),
            version: *version,
            value: text.into(),
        }
    }

    /// Writes the next version of a value, which one host reads.
    pub fn publish(&mut self, host: &HostName, key: &str) -> Version {
        let object = self.new_version(key);
        let version = object.version;
        self.read(host, object);
        version
    }

    /// Writes the text of an earlier version as the next one, which one host reads.
    pub fn publish_again(&mut self, host: &HostName, earlier: &Object) -> Version {
        let key = earlier.key.clone();
        let version = self.newest(&key) + 1;
        self.newest.insert(key.clone(), version);
        let text = earlier.value.to_string();
        self.published.insert((key, version), text);
        let object = Object {
            version,
            ..earlier.clone()
        };
        self.read(host, object);
        version
    }

    pub fn read(&mut self, host: &HostName, object: Object) {
        let draw = self.rng.random();
        self.step(host, Input::Read(vec![object], draw));
    }

    /// All watchers read the newest versions.
    pub fn read_by_watchers(&mut self) {
        let newest = self.newest.iter().map(|(key, version)| Object {
            key: key.clone(),
            version: *version,
            value: self.published[&(key.clone(), *version)].as_str().into(),
        });
        let newest: Vec<Object> = newest.collect();
        let watchers = self.daemons.iter().filter(|(_, d)| d.is_watcher());
        let watchers: Vec<HostName> = watchers.map(|(host, _)| host.clone()).collect();
        for host in watchers {
            self.step(&host, Input::Read(newest.clone(), 0));
        }
    }

    pub fn held(&self, host: &HostName, key: &str) -> Version {
        let held = self.daemons[host].replica().get(key);
        held.map_or(0, |object| object.version)
    }

    /// The newest version of a value, 0 before the first one.
    pub fn newest(&self, key: &str) -> Version {
        self.newest.get(key).copied().unwrap_or(0)
    }

    pub fn all_have(&self, key: &str, version: Version) -> bool {
        let mut hosts = self.daemons.keys();
        hosts.all(|host| self.held(host, key) == version)
    }

    pub fn announce(&mut self, from: &HostName, to: &HostName, version: Version) {
        let transfer = Transfer::Announce(BTreeMap::from([(KEY.into(), version)]));
        self.step(to, Input::TransferReceived(from.clone(), transfer, 0));
    }

    /// Runs for some flush intervals; `decide` may change messages, and says what happens to them.
    pub fn run(&mut self, flushes: u64, mut decide: impl FnMut(&mut Envelope) -> Fate) {
        let end = self.now + flushes * FLUSH_STEPS;
        while self.now < end {
            self.now += 1;
            let hosts: Vec<HostName> = self.daemons.keys().cloned().collect();
            for (n, host) in hosts.iter().enumerate() {
                let at = self.now + n as u64;
                let draw = self.rng.random();
                if at.is_multiple_of(FLUSH_STEPS) {
                    self.step(host, Input::Flush(draw));
                }
                if at.is_multiple_of(FLUSH_STEPS * ROUND_FLUSHES) {
                    self.step(host, Input::Round(draw));
                }
            }
            while let Some(entry) = self.in_flight.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let envelope = entry.remove();
                self.arrive(envelope, &mut decide);
            }
        }
    }

    fn arrive(&mut self, mut envelope: Envelope, decide: &mut impl FnMut(&mut Envelope) -> Fate) {
        let is_silent = |host| self.silent.contains(host);
        if is_silent(&envelope.from) || is_silent(&envelope.to) {
            return;
        }
        match decide(&mut envelope) {
            Fate::Deliver => self.step(&envelope.to, envelope.input),
            Fate::Lose => {}
            Fate::Fail => {
                let failure = match envelope.input {
                    Input::TransferReceived(..) => Input::TransferUndelivered,
                    _ => Input::Unreachable,
                };
                self.step(&envelope.from, failure(envelope.to));
            }
            Fate::Delay(steps) => self.post(steps, envelope),
            Fate::Repeat(steps) => {
                self.post(steps, envelope.clone());
                self.step(&envelope.to, envelope.input);
            }
        }
    }

    fn post(&mut self, delay: u64, envelope: Envelope) {
        self.posted += 1;
        let at = (self.now + delay, self.posted);
        self.in_flight.insert(at, envelope);
    }

    pub fn step(&mut self, host: &HostName, input: Input) {
        let daemon = self.daemons.get_mut(host).expect("host must exist");
        let outputs = VecDeque::from(daemon.step(input));
        self.check_held(host);
        for output in outputs {
            let draw = self.rng.random();
            let (to, input) = match output {
                Output::Send(to, message) => (to, Input::Received(host.clone(), message, draw)),
                Output::SendTransfer(to, transfer) => {
                    self.count(host, &transfer);
                    (to, Input::TransferReceived(host.clone(), transfer, draw))
                }
                _ => continue,
            };
            let from = host.clone();
            self.post(DELAY, Envelope { from, to, input });
        }
        if self.is_reliable {
            self.check_in_flight();
        }
    }

    fn count(&mut self, host: &HostName, transfer: &Transfer) {
        let sent = self.sent.entry(host.clone()).or_default();
        match transfer {
            Transfer::Fetch(fetch) => {
                sent.fetches += 1;
                sent.first_fetches += usize::from(fetch.encoding == 0);
            }
            Transfer::Part(part) => {
                sent.parts += 1;
                sent.part_bytes += part.bytes.len();
            }
            _ => {}
        }
    }

    /// A held value is one that was published, and its version never decreases.
    fn check_held(&mut self, host: &HostName) {
        for object in self.daemons[host].replica().objects() {
            let versions = self.versions.entry((host.clone(), object.key.clone()));
            let versions = versions.or_default();
            let latest = versions.last().copied().unwrap_or(0);
            assert!(object.version >= latest, "{host}: {versions:?}");
            if object.version > latest {
                versions.push(object.version);
                let id = (object.key.clone(), object.version);
                let is_published = self.published.get(&id).is_some_and(|t| *t == object.value);
                assert!(
                    is_published,
                    "{host} holds a text of {id:?} that is not published"
                );
            }
        }
    }

    fn check_in_flight(&self) {
        let mut exchanges = BTreeSet::new();
        for exchange in self.in_flight.values().filter_map(Envelope::exchange) {
            let is_first = exchanges.insert(exchange.clone());
            assert!(is_first, "two requests in flight: {exchange:?}");
        }
    }
}
