//! A fleet of daemons in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use pollenrouter_core::id::HostName;
use pollenrouter_core::membership::{
    FLUSH_INTERVAL, Input, Member, Membership, Message, Output, ROUND_INTERVAL, Transfer,
};
use pollenrouter_core::replica::Object;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::links::Links;

const KEY: &str = "tables/main";
/// Encoding of a version beside its key, bytes.
const VERSION_BYTES: usize = 10;
/// Encoding of a message about a large value beside the part in it, bytes.
const TRANSFER_BYTES: usize = 100;

enum Event {
    Input(HostName, Input),
    Flush(HostName),
    Round(HostName),
}

/// How a version of the table has spread.
#[derive(Clone, Debug, Default)]
pub struct Spread {
    /// Time until half of the hosts have it.
    pub median: Option<Duration>,
    /// Time until the last host has it; `None` if not all do.
    pub last: Option<Duration>,
    /// Longest time that a message has waited for a link meanwhile.
    pub longest_wait: Duration,
    /// Bytes of the table that the host that has received most has received from other daemons.
    pub received_bytes_max: usize,
}

pub struct Network {
    daemons: BTreeMap<HostName, Membership>,
    links: Links,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    inputs: BTreeMap<u64, Event>,
    scheduled: u64,
    rng: SmallRng,
    received_bytes: BTreeMap<HostName, usize>,
}

impl Network {
    pub fn new(hosts: usize, domains: usize) -> Self {
        let host = |n: usize| HostName::from(format!("host-{n:03}"));
        let member = |n: usize| Member {
            host: host(n),
            failure_domain: format!("domain-{}", n % domains).into(),
            incarnation: 1,
        };
        let members: Vec<Member> = (0..hosts).map(member).collect();
        let mut network = Self {
            daemons: BTreeMap::new(),
            links: Links::default(),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            inputs: BTreeMap::new(),
            scheduled: 0,
            rng: SmallRng::seed_from_u64(1),
            received_bytes: BTreeMap::new(),
        };
        for (n, own) in members.iter().enumerate() {
            let mut daemon = Membership::new(own.clone());
            daemon.step(Input::Members(members.clone()));
            network.daemons.insert(own.host.clone(), daemon);
            network.links.add(own.host.clone(), n, n % domains);
            let flush = FLUSH_INTERVAL.mul_f64(network.rng.random());
            let round = ROUND_INTERVAL.mul_f64(network.rng.random());
            network.schedule(flush, Event::Flush(own.host.clone()));
            network.schedule(round, Event::Round(own.host.clone()));
        }
        network
    }

    /// Writes a table to the platform, and returns how it spreads within an interval.
    pub fn publish(&mut self, version: u64, text: &str, interval: Duration) -> Spread {
        let table = Object {
            key: KEY.into(),
            version,
            value: text.into(),
        };
        let began = self.now;
        self.links.longest_wait = Duration::ZERO;
        self.received_bytes.clear();
        let watchers = self
            .daemons
            .iter()
            .filter(|(_, daemon)| daemon.is_watcher());
        let watchers: Vec<HostName> = watchers.map(|(host, _)| host.clone()).collect();
        for host in watchers {
            let at = self.links.receive(&host, text.len(), self.now);
            let input = Input::Read(vec![table.clone()], self.rng.random());
            self.schedule(at, Event::Input(host, input));
        }
        let mut arrivals: BTreeMap<HostName, Duration> = BTreeMap::new();
        while self.next_at() < began + interval {
            let Some(host) = self.run_next() else {
                continue;
            };
            let held = self.daemons[&host].replica().get(KEY);
            if held.is_some_and(|held| held.version >= version) {
                arrivals
                    .entry(host)
                    .or_insert(self.now.saturating_sub(began));
            }
        }
        self.now = began + interval;
        let mut times: Vec<Duration> = arrivals.into_values().collect();
        times.sort();
        Spread {
            median: times.get(self.daemons.len() / 2).copied(),
            last: times.get(self.daemons.len() - 1).copied(),
            longest_wait: self.links.longest_wait,
            received_bytes_max: self.received_bytes.values().copied().max().unwrap_or(0),
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((at, self.scheduled)));
        self.inputs.insert(self.scheduled, event);
    }

    fn next_at(&self) -> Duration {
        self.events.peek().map_or(Duration::MAX, |next| next.0.0)
    }

    /// Processes the next event; returns the host that it concerns.
    fn run_next(&mut self) -> Option<HostName> {
        let Reverse((at, id)) = self.events.pop()?;
        self.now = at;
        let draw = self.rng.random();
        let (host, input) = match self.inputs.remove(&id)? {
            Event::Input(host, input) => (host, input),
            Event::Flush(host) => {
                self.schedule(at + FLUSH_INTERVAL, Event::Flush(host.clone()));
                (host, Input::Flush(draw))
            }
            Event::Round(host) => {
                self.schedule(at + ROUND_INTERVAL, Event::Round(host.clone()));
                (host, Input::Round(draw))
            }
        };
        let outputs = self.daemons.get_mut(&host)?.step(input);
        for output in outputs {
            self.deliver(&host, output);
        }
        Some(host)
    }

    fn deliver(&mut self, from: &HostName, output: Output) {
        let draw = self.rng.random();
        let (to, bytes, table, input) = match output {
            Output::Send(to, message) => {
                let table = message.objects.iter().map(|object| object.value.len());
                let (bytes, table) = (size(&message), table.sum());
                (
                    to,
                    bytes,
                    table,
                    Input::Received(from.clone(), message, draw),
                )
            }
            Output::SendTransfer(to, transfer) => {
                let table = match &transfer {
                    Transfer::Part(part) => part.bytes.len(),
                    _ => 0,
                };
                let bytes = TRANSFER_BYTES + table;
                let input = Input::TransferReceived(from.clone(), transfer, draw);
                (to, bytes, table, input)
            }
            _ => return,
        };
        let at = self.links.send(from, &to, bytes, self.now);
        *self.received_bytes.entry(to.clone()).or_default() += table;
        self.schedule(at, Event::Input(to, input));
    }
}

fn size(message: &Message) -> usize {
    let versions = message.versions.iter().flatten();
    let versions = versions.map(|(key, _)| key.len() + VERSION_BYTES);
    let objects = message.objects.iter();
    let objects = objects.map(|object| object.key.len() + VERSION_BYTES + object.value.len());
    versions.chain(objects).sum()
}
