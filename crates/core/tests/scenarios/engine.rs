//! Simulation in virtual time: hosts with an entry, a gate and a target each, and the
//! connections between them.

mod outputs;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use pollenrouter_core::call::{Offer, Query, Reply};
use pollenrouter_core::entry::{self, Entry, Request, Sent};
use pollenrouter_core::gate::{self, Gate, Outcome};
use pollenrouter_core::hint::Hint;
use pollenrouter_core::id::{CallId, Ticket};
use pollenrouter_core::pause::PauseDetector;
use pollenrouter_core::service::Limits;

use crate::links::{HostName, Links};
use crate::service::{SERVICE, service};

const LATENCY: Duration = Duration::from_millis(1);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time without a reply after which an entry checks its connection.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(400);
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
const TICK: Duration = Duration::from_millis(10);

#[allow(
    clippy::struct_excessive_bools,
    reason = "each is an independent fault"
)]
pub struct Host {
    pub entry: Entry,
    pub gate: Gate,
    pub incarnation: u64,
    pub alive: bool,
    pub frozen: bool,
    /// Whether membership updates reach the host.
    pub receives_members: bool,
    pub announces: bool,
    pub target_draining: bool,
    /// Whether the target answers with server errors.
    pub target_fails: bool,
    pub slots: u32,
    pub service_time: Duration,
    pub limits: Limits,
    /// Events that arrived while the host was frozen.
    deferred: Vec<Event>,
    running: BTreeSet<CallId>,
    pause_detector: PauseDetector,
    waiters: BTreeMap<CallId, Vec<(HostName, u64)>>,
}

#[derive(Clone, Debug)]
enum Packet {
    Offer(Offer),
    Query(Query),
    Withdraw(Query),
}

#[derive(Clone, Debug)]
enum Event {
    Deliver(HostName, HostName, u64, Packet),
    Reply(HostName, HostName, CallId, Reply, Hint),
    LivenessCheck(HostName, HostName, u64, CallId),
    ConnectionLost(HostName, HostName, CallId, Sent),
    TargetDone(HostName, u64, CallId),
}

/// A call of the script; `label` names it in the output.
pub struct ScriptCall {
    pub label: String,
    pub number: u64,
}

#[derive(Default)]
pub struct Engine {
    pub now: Duration,
    pub hosts: BTreeMap<HostName, Host>,
    pub links: Links,
    pub calls: BTreeMap<entry::Token, ScriptCall>,
    pub tickets: BTreeMap<u64, Ticket>,
    pub runs: BTreeMap<u64, u32>,
    pub log: Vec<String>,
    number_of_id: BTreeMap<CallId, u64>,
    /// Offers and queries without a reply, by the entry's host.
    awaiting_reply: BTreeSet<(HostName, CallId)>,
    events: BTreeMap<(Duration, u64), Event>,
    last_number: u64,
}

impl Engine {
    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn schedule(&mut self, wait: Duration, event: Event) {
        let key = (self.now + wait, self.next_number());
        self.events.insert(key, event);
    }

    fn log_event(&mut self, text: &str) {
        self.log.push(format!("{}ms: {text}", self.now.as_millis()));
    }

    pub fn start_host(&mut self, name: &str, slots: u32, service_time: Duration, limits: Limits) {
        let incarnation = self.next_number() + 1000;
        let host = Host {
            entry: Entry::new(incarnation),
            gate: Gate::new(incarnation, 64),
            incarnation,
            alive: true,
            frozen: false,
            receives_members: true,
            announces: true,
            target_draining: false,
            target_fails: false,
            slots,
            service_time,
            limits: limits.clone(),
            deferred: Vec::new(),
            running: BTreeSet::new(),
            pause_detector: PauseDetector::default(),
            waiters: BTreeMap::new(),
        };
        self.hosts.insert(name.to_owned(), host);
        self.gate_step(name, gate::Input::Document(service(limits)));
        self.announce(name);
        self.publish_members();
    }

    /// Sends the list of gates to every entry that receives membership updates.
    pub fn publish_members(&mut self) {
        let members: Vec<entry::Member> = self
            .hosts
            .iter()
            .map(|(name, host)| entry::Member {
                host: name.as_str().into(),
                incarnation: host.incarnation,
                service: SERVICE.into(),
                serving: true,
                ..entry::Member::default()
            })
            .collect();
        let receivers = self
            .hosts
            .iter()
            .filter(|(_, host)| host.receives_members && host.alive);
        let names: Vec<HostName> = receivers.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.entry_step(&name, entry::Input::Members(members.clone()));
        }
    }

    pub fn announce(&mut self, name: &str) {
        let host = &self.hosts[name];
        if !host.alive || host.frozen || !host.announces {
            return;
        }
        let announcement = gate::Announcement {
            service: SERVICE.into(),
            slots: host.slots,
            draining: host.target_draining,
            ..gate::Announcement::default()
        };
        self.gate_step(name, gate::Input::Announced(announcement));
    }

    pub fn call(&mut self, at: &str, call: ScriptCall, request: Request) {
        self.calls.insert(request.token, call);
        self.entry_step(at, entry::Input::Call(request));
    }

    pub fn disconnect_caller(&mut self, at: &str, token: entry::Token) {
        self.entry_step(at, entry::Input::CallerGone(token));
    }

    pub fn drain(&mut self, name: &str) {
        self.gate_step(name, gate::Input::Drain);
    }

    pub fn kill(&mut self, name: &str) {
        let host = self.hosts.get_mut(name).expect("host must exist");
        host.alive = false;
        host.deferred.clear();
        self.links.close_all(name);
    }

    pub fn resume(&mut self, name: &str) {
        let host = self.hosts.get_mut(name).expect("host must exist");
        host.frozen = false;
        for event in std::mem::take(&mut host.deferred) {
            self.handle(event);
        }
    }

    /// The target closes the connections of all calls that it runs.
    pub fn disconnect_target(&mut self, name: &str) {
        let running = self.hosts[name].running.clone();
        for id in running {
            self.finish(name, id, Outcome::Lost);
        }
    }

    pub fn advance(&mut self, time: Duration) {
        let until = self.now + time;
        loop {
            let next_tick = self.next_tick();
            let next_event = self.events.keys().next().copied();
            match next_event {
                Some(key) if key.0 <= until && key.0 <= next_tick => {
                    self.now = key.0;
                    if let Some(event) = self.events.remove(&key) {
                        self.handle(event);
                    }
                }
                _ if next_tick <= until => {
                    self.now = next_tick;
                    self.tick();
                }
                _ => break,
            }
        }
        self.now = until;
    }

    fn next_tick(&self) -> Duration {
        let ticks = self.now.as_millis() / TICK.as_millis() + 1;
        TICK * u32::try_from(ticks).expect("tick count must fit in 32 bits")
    }

    fn tick(&mut self) {
        let names: Vec<HostName> = self.hosts.keys().cloned().collect();
        for name in names {
            let now = self.now;
            let host = self.hosts.get_mut(&name).expect("host must exist");
            if host.alive && !host.frozen {
                host.pause_detector.record_activity(now);
                self.announce(&name);
                self.entry_step(&name, entry::Input::Tick);
                self.gate_step(&name, gate::Input::Tick);
            }
        }
    }

    /// The host that handles an event.
    fn host_of(event: &Event) -> &HostName {
        match event {
            Event::Deliver(_, to, ..) | Event::Reply(_, to, ..) => to,
            Event::LivenessCheck(at, ..)
            | Event::ConnectionLost(at, ..)
            | Event::TargetDone(at, ..) => at,
        }
    }

    fn handle(&mut self, event: Event) {
        let at = Self::host_of(&event).clone();
        let Some(host) = self.hosts.get_mut(&at) else {
            return;
        };
        if host.frozen {
            host.deferred.push(event);
            return;
        }
        if !host.alive && !matches!(event, Event::TargetDone(..)) {
            return;
        }
        match event {
            Event::Deliver(from, to, epoch, packet) => self.deliver(&from, &to, epoch, packet),
            Event::Reply(from, to, id, reply, hint) => {
                self.awaiting_reply.remove(&(to.clone(), id));
                self.entry_step(&to, entry::Input::Reply(from.into(), id, reply, hint));
            }
            Event::LivenessCheck(from, to, epoch, id) => self.check_liveness(&from, &to, epoch, id),
            Event::ConnectionLost(at, to, id, sent) => {
                self.awaiting_reply.remove(&(at.clone(), id));
                self.entry_step(&at, entry::Input::ConnectionLost(to.into(), id, sent));
            }
            Event::TargetDone(at, incarnation, id) => {
                if self.hosts[&at].incarnation == incarnation && self.hosts[&at].alive {
                    let answered = Outcome::Answered {
                        bytes: 0,
                        failed: self.hosts[&at].target_fails,
                    };
                    self.finish(&at, id, answered);
                }
            }
        }
    }

    fn finish(&mut self, at: &str, id: CallId, outcome: Outcome) {
        let host = self.hosts.get_mut(at).expect("host must exist");
        if host.running.remove(&id) {
            self.gate_step(at, gate::Input::Finished(id, outcome));
        }
    }

    fn deliver(&mut self, from: &str, to: &str, epoch: u64, packet: Packet) {
        let host = self.hosts.get_mut(to).expect("host must exist");
        let input = match packet {
            Packet::Offer(mut offer) => {
                host.pause_detector.record_activity(self.now);
                let extra_age = host.pause_detector.extra_age(self.now);
                offer.remaining = offer.remaining.saturating_sub(extra_age);
                let waiter = (from.to_owned(), epoch);
                host.waiters.entry(offer.id).or_default().push(waiter);
                gate::Input::Offer(offer)
            }
            Packet::Query(query) => {
                let waiter = (from.to_owned(), epoch);
                host.waiters.entry(query.id).or_default().push(waiter);
                gate::Input::Query(query)
            }
            Packet::Withdraw(query) => gate::Input::Withdraw(query),
        };
        self.gate_step(to, input);
    }

    fn check_liveness(&mut self, from: &str, to: &str, epoch: u64, id: CallId) {
        if !self.awaiting_reply.contains(&(from.to_owned(), id)) {
            return;
        }
        let peer = &self.hosts[to];
        let connection = self.links.get(from, to).filter(|c| c.epoch == epoch);
        let same_incarnation = connection.is_some_and(|c| c.incarnation == peer.incarnation);
        if peer.alive && !peer.frozen && same_incarnation && self.links.delivers(from, to, epoch) {
            let check = Event::LivenessCheck(from.to_owned(), to.to_owned(), epoch, id);
            self.schedule(CHECK_INTERVAL, check);
            return;
        }
        self.links.close(from, to, epoch);
        self.handle(Event::ConnectionLost(
            from.to_owned(),
            to.to_owned(),
            id,
            Sent::Maybe,
        ));
    }

    fn send(&mut self, from: &str, to: &str, id: CallId, packet: Packet) {
        if from == to {
            self.deliver(from, to, 0, packet);
            return;
        }
        let expects_reply = !matches!(packet, Packet::Withdraw(_));
        let peer = &self.hosts[to];
        let reachable = peer.alive && !peer.frozen && !self.links.is_partitioned(from, to);
        let incarnation = peer.incarnation;
        let connection = match self.links.get(from, to) {
            Some(connection) => connection,
            None if reachable => self.links.open(from, to, incarnation),
            None if expects_reply => {
                let lost = Event::ConnectionLost(from.to_owned(), to.to_owned(), id, Sent::Nothing);
                self.schedule(CONNECT_TIMEOUT, lost);
                return;
            }
            None => return,
        };
        if let Packet::Offer(offer) = &packet
            && offer.incarnation != connection.incarnation
        {
            let lost = Event::ConnectionLost(from.to_owned(), to.to_owned(), id, Sent::Nothing);
            self.schedule(LATENCY, lost);
            return;
        }
        let epoch = connection.epoch;
        if self.links.delivers(from, to, epoch) && connection.incarnation == incarnation {
            let deliver = Event::Deliver(from.to_owned(), to.to_owned(), epoch, packet);
            self.schedule(LATENCY, deliver);
        }
        if expects_reply {
            self.awaiting_reply.insert((from.to_owned(), id));
            let check = Event::LivenessCheck(from.to_owned(), to.to_owned(), epoch, id);
            self.schedule(SILENCE_TIMEOUT, check);
        }
    }

    fn entry_step(&mut self, at: &str, input: entry::Input) {
        let now = self.now;
        let host = self.hosts.get_mut(at).expect("host must exist");
        for output in host.entry.step(now, input) {
            self.entry_output(at, output);
        }
    }

    fn entry_output(&mut self, at: &str, output: entry::Output) {
        match output {
            entry::Output::Offer(host, token, offer) => {
                let number = self.calls[&token].number;
                self.number_of_id.insert(offer.id, number);
                self.send(at, &host, offer.id, Packet::Offer(offer));
            }
            entry::Output::Query(host, query) => {
                self.log_event(&format!("{at} queries {host}"));
                self.send(at, &host, query.id, Packet::Query(query));
            }
            entry::Output::Withdraw(host, query) => {
                self.send(at, &host, query.id, Packet::Withdraw(query));
            }
            entry::Output::Probe(host) => self.probe(at, &host),
            entry::Output::KeepFailure(..) => {}
            entry::Output::Done(token, result, ticket) => self.report_result(token, result, ticket),
        }
    }

    fn probe(&mut self, at: &str, host: &str) {
        let peer = &self.hosts[host];
        if peer.alive && !peer.frozen && !self.links.is_partitioned(at, host) {
            self.entry_step(at, entry::Input::Reachable(host.into()));
        }
    }
}
