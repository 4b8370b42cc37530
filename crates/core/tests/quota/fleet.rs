//! A fleet of daemons that keep the quota of one organisation, with a simulated network.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use pollenrouter_core::call::Refusal;
use pollenrouter_core::organisation::Quota;
use pollenrouter_core::quota::allowance::{self, Allowances};
use pollenrouter_core::quota::holder::{self, Holder};
use pollenrouter_core::quota::view::Host;
use pollenrouter_core::quota::{Ask, Grant, Permit, Settings};
use pollenrouter_core::rate::RateLimit;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The organisation of all calls.
pub const ORGANISATION: &str = "org";
/// Interval at which daemons run what is due, as in the daemon.
const TICK: Duration = Duration::from_millis(25);

/// What happens at one daemon.
#[derive(Clone, Debug)]
pub enum Event {
    Call(u64),
    Ask(String, Ask),
    Grant(String, Grant),
    Members(Vec<Host>),
    NotRun(Permit),
    Quota(Quota),
    Tick,
    /// A gossip message arrives.
    Heard,
    Kill,
    Start,
    /// The process does not run for this time; its events wait.
    Pause(Duration),
}

/// What the network does to messages.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    pub delay_min: Duration,
    pub delay_max: Duration,
    /// Share of messages that are lost.
    pub loss: f64,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// Admitted, at this time.
    Admitted(Duration, Option<Permit>),
    /// Refused, at this time.
    Refused(Duration, Refusal, Duration),
}

struct Node {
    host: Host,
    /// `None` while the process does not run.
    machines: Option<(Allowances, Holder)>,
    quota: Quota,
    members: Vec<Host>,
    resumes_at: Duration,
}

/// See the module documentation.
pub struct Fleet {
    pub rng: StdRng,
    pub network: Network,
    pub ends: BTreeMap<u64, End>,
    /// Messages sent.
    pub messages: u64,
    /// Groups of daemons that are cut from each other; all of group 0 by default.
    pub groups: Vec<u32>,
    settings: Settings,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    events: BTreeMap<u64, Event>,
    next_event: u64,
    calls: u64,
    now: Duration,
}

/// A quota of `rate` calls per second.
pub fn quota(rate: f64, burst: u32) -> Quota {
    let rate = RateLimit::per_second(rate).expect("rate must be valid");
    Quota { rate, burst }
}

impl Fleet {
    /// A fleet of `hosts` daemons in three failure domains, which all start at time 0.
    pub fn new(seed: u64, hosts: usize, quota: Quota, settings: Settings) -> Self {
        let host = |index: usize| Host {
            name: format!("host-{index}").into(),
            failure_domain: format!("domain-{}", index % 3).into(),
        };
        let members: Vec<Host> = (0..hosts).map(host).collect();
        let nodes = members.iter().map(|host| Node {
            host: host.clone(),
            machines: None,
            quota,
            members: members.clone(),
            resumes_at: Duration::ZERO,
        });
        let mut fleet = Self {
            rng: StdRng::seed_from_u64(seed),
            network: Network {
                delay_min: Duration::from_millis(1),
                delay_max: Duration::from_millis(4),
                loss: 0.0,
            },
            ends: BTreeMap::new(),
            messages: 0,
            groups: vec![0; hosts],
            settings,
            nodes: nodes.collect(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            calls: 0,
            now: Duration::ZERO,
        };
        for node in 0..hosts {
            fleet.schedule(Duration::ZERO, node, Event::Start);
            let offset = fleet.rng.random_range(0..25);
            fleet.schedule(Duration::from_millis(offset), node, Event::Tick);
        }
        fleet
    }

    /// Number of daemons.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// The host of a daemon.
    pub fn host(&self, node: usize) -> Host {
        self.nodes[node].host.clone()
    }

    /// Lets something happen at a daemon.
    pub fn schedule(&mut self, at: Duration, node: usize, event: Event) {
        self.next_event += 1;
        self.queue.push(Reverse((at, self.next_event, node)));
        self.events.insert(self.next_event, event);
    }

    /// Lets a call arrive at a daemon; returns its number.
    pub fn call(&mut self, at: Duration, node: usize) -> u64 {
        self.calls += 1;
        self.schedule(at, node, Event::Call(self.calls));
        self.calls
    }

    /// Lets all daemons learn of a new set of members within `spread`.
    pub fn announce_members(&mut self, at: Duration, members: &[Host], spread: Duration) {
        for node in 0..self.len() {
            let delay = spread.mul_f64(self.rng.random_range(0.0..1.0));
            self.schedule(at + delay, node, Event::Members(members.to_vec()));
        }
    }

    /// Handles all events up to a time.
    pub fn run(&mut self, until: Duration) {
        while let Some(Reverse((at, id, node))) = self.queue.pop() {
            if at > until {
                self.queue.push(Reverse((at, id, node)));
                break;
            }
            self.now = at;
            let resumes_at = self.nodes[node].resumes_at;
            if resumes_at > at {
                self.queue.push(Reverse((resumes_at, id, node)));
                continue;
            }
            if let Some(event) = self.events.remove(&id) {
                self.handle(node, event);
            }
        }
    }

    fn handle(&mut self, index: usize, event: Event) {
        let now = self.now;
        if matches!(event, Event::Tick) {
            self.schedule(now + TICK, index, Event::Tick);
            // Each daemon gossips once a second.
            if self.nodes[index].machines.is_some() && self.rng.random_bool(TICK.as_secs_f64()) {
                let to = self.rng.random_range(0..self.len());
                if to != index {
                    let to = self.host(to).name;
                    self.send(index, &to, Event::Heard);
                    self.messages -= 1;
                }
            }
        }
        let seed = self.rng.random();
        let settings = self.settings;
        let node = &mut self.nodes[index];
        let name = node.host.name.clone();
        match &event {
            Event::Start => {
                let mut allowances = Allowances::new(name.clone(), seed, settings);
                let mut holder = Holder::new(name, seed, settings);
                let members = node.members.clone();
                allowances.step(now, allowance::Input::Members(members.clone()));
                holder.step(now, holder::Input::Members(members));
                node.machines = Some((allowances, holder));
            }
            Event::Kill => node.machines = None,
            Event::Pause(length) => node.resumes_at = now + *length,
            Event::Members(members) => node.members.clone_from(members),
            Event::Quota(quota) => node.quota = *quota,
            _ => {}
        }
        let quota = node.quota;
        let Some((allowances, holder)) = &mut node.machines else {
            if let Event::Call(token) = event {
                let end = End::Refused(now, Refusal::NotReady, Duration::ZERO);
                self.ends.insert(token, end);
            }
            return;
        };
        let input = match event {
            Event::Call(token) => allowance::Input::Call(token, ORGANISATION.into(), quota),
            Event::Grant(from, grant) => allowance::Input::Granted(from.into(), grant),
            Event::NotRun(permit) => allowance::Input::NotRun(permit),
            Event::Members(members) => {
                holder.step(now, holder::Input::Members(members.clone()));
                allowance::Input::Members(members)
            }
            Event::Tick => {
                holder.step(now, holder::Input::Tick);
                allowance::Input::Tick
            }
            Event::Heard => {
                holder.step(now, holder::Input::Heard);
                return;
            }
            Event::Ask(from, ask) => {
                let outputs = holder.step(now, holder::Input::Ask(from.into(), ask, Some(quota)));
                for holder::Output::Grant(to, grant) in outputs {
                    let from = self.nodes[index].host.name.to_string();
                    self.send(index, &to, Event::Grant(from, grant));
                }
                return;
            }
            _ => return,
        };
        let outputs = allowances.step(now, input);
        self.apply(index, outputs);
    }

    fn apply(&mut self, index: usize, outputs: Vec<allowance::Output>) {
        let now = self.now;
        let mut outputs = VecDeque::from(outputs);
        while let Some(output) = outputs.pop_front() {
            let node = &mut self.nodes[index];
            match output {
                allowance::Output::Admit(token, permit) => {
                    self.ends.insert(token, End::Admitted(now, permit));
                }
                allowance::Output::Refuse(token, refusal, retry) => {
                    self.ends.insert(token, End::Refused(now, refusal, retry));
                }
                allowance::Output::Ask(to, ask) if to == node.host.name => {
                    let Some((allowances, holder)) = &mut node.machines else {
                        continue;
                    };
                    let input = holder::Input::Ask(to.clone(), ask, Some(node.quota));
                    for holder::Output::Grant(_, grant) in holder.step(now, input) {
                        let input = allowance::Input::Granted(to.clone(), grant);
                        outputs.extend(allowances.step(now, input));
                    }
                }
                allowance::Output::Ask(to, ask) => {
                    let from = node.host.name.to_string();
                    self.send(index, &to, Event::Ask(from, ask));
                }
                allowance::Output::Unreachable(_) => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: &str, message: Event) {
        self.messages += 1;
        let to = self.nodes.iter().position(|node| node.host.name == to);
        let to = to.expect("receiver must exist");
        let is_cut = self.groups[from] != self.groups[to];
        if is_cut || self.rng.random_bool(self.network.loss) {
            return;
        }
        let Network {
            delay_min,
            delay_max,
            ..
        } = self.network;
        let span = delay_max.saturating_sub(delay_min);
        let delay = delay_min + span.mul_f64(self.rng.random_range(0.0..1.0));
        self.schedule(self.now + delay, to, message);
    }

    /// Times of the calls that were admitted, without those that did not run.
    pub fn admitted(&self, not_run: &[u64]) -> Vec<Duration> {
        let ran = self
            .ends
            .iter()
            .filter(|(token, _)| !not_run.contains(token));
        let times = ran.filter_map(|(_, end)| match end {
            End::Admitted(at, _) => Some(*at),
            End::Refused(..) => None,
        });
        let mut times: Vec<Duration> = times.collect();
        times.sort();
        times
    }

    /// Number of calls refused for a reason.
    pub fn refused(&self, reason: Refusal) -> usize {
        let ends = self.ends.values();
        let refused = ends.filter(|end| matches!(end, End::Refused(_, r, _) if *r == reason));
        refused.count()
    }
}

/// Largest number of times within any window, both ends included.
pub fn most_in_window(times: &[Duration], window: Duration) -> usize {
    let ends = times.iter().enumerate().map(|(first, start)| {
        let end = *start + window;
        times.partition_point(|at| *at <= end) - first
    });
    ends.max().unwrap_or(0)
}
