//! Hosts in virtual time: an entry and a gate each, a target, and connections.

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

use crate::links::{Links, Name};
use crate::service::{SERVICE, service};

const LATENCY: Duration = Duration::from_millis(1);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
const SILENCE: Duration = Duration::from_millis(400);
const CHECK: Duration = Duration::from_millis(200);
const TICK: Duration = Duration::from_millis(10);

#[allow(clippy::struct_excessive_bools, reason = "each is a fault of its own")]
pub struct Host {
    pub entry: Entry,
    pub gate: Gate,
    pub incarnation: u64,
    pub alive: bool,
    pub frozen: bool,
    /// Whether news of other members reaches it.
    pub hears: bool,
    pub announces: bool,
    pub draining: bool,
    /// Whether its target answers with server errors.
    pub fails: bool,
    pub slots: u32,
    pub work: Duration,
    pub limits: Limits,
    held: Vec<Event>,
    running: BTreeSet<CallId>,
    pauses: PauseDetector,
    waiters: BTreeMap<CallId, Vec<(Name, u64)>>,
}

#[derive(Clone, Debug)]
enum Packet {
    Offer(Offer),
    Query(Query),
    Withdraw(Query),
}

#[derive(Clone, Debug)]
enum Event {
    Deliver(Name, Name, u64, Packet),
    Reply(Name, Name, CallId, Reply, Hint),
    Check(Name, Name, u64, CallId),
    Lost(Name, Name, CallId, Sent),
    Done(Name, u64, CallId),
}

/// A call as the script knows it.
pub struct Press {
    pub label: String,
    pub number: u64,
}

#[derive(Default)]
pub struct Engine {
    pub now: Duration,
    pub hosts: BTreeMap<Name, Host>,
    pub links: Links,
    pub presses: BTreeMap<entry::Token, Press>,
    pub tickets: BTreeMap<u64, Ticket>,
    pub runs: BTreeMap<u64, u32>,
    pub log: Vec<String>,
    press_of_id: BTreeMap<CallId, u64>,
    open: BTreeSet<(Name, CallId)>,
    events: BTreeMap<(Duration, u64), Event>,
    next: u64,
}

impl Engine {
    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn after(&mut self, wait: Duration, event: Event) {
        let key = (self.now + wait, self.number());
        self.events.insert(key, event);
    }

    fn say(&mut self, text: &str) {
        self.log.push(format!("{}ms: {text}", self.now.as_millis()));
    }

    pub fn start(&mut self, name: &str, slots: u32, work: Duration, limits: Limits) {
        let incarnation = self.number() + 1000;
        let host = Host {
            entry: Entry::new(incarnation),
            gate: Gate::new(incarnation, 64),
            incarnation,
            alive: true,
            frozen: false,
            hears: true,
            announces: true,
            draining: false,
            fails: false,
            slots,
            work,
            limits: limits.clone(),
            held: Vec::new(),
            running: BTreeSet::new(),
            pauses: PauseDetector::default(),
            waiters: BTreeMap::new(),
        };
        self.hosts.insert(name.to_owned(), host);
        self.gate_step(name, gate::Input::Document(service(limits)));
        self.announce(name);
        self.spread();
    }

    /// Tells every entry that hears news which gates there are.
    pub fn spread(&mut self) {
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
        let hearing = self
            .hosts
            .iter()
            .filter(|(_, host)| host.hears && host.alive);
        let names: Vec<Name> = hearing.map(|(name, _)| name.clone()).collect();
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
            draining: host.draining,
            ..gate::Announcement::default()
        };
        self.gate_step(name, gate::Input::Announced(announcement));
    }

    pub fn call(&mut self, at: &str, press: Press, request: Request) {
        self.presses.insert(request.token, press);
        self.entry_step(at, entry::Input::Call(request));
    }

    pub fn leave(&mut self, at: &str, token: entry::Token) {
        self.entry_step(at, entry::Input::CallerGone(token));
    }

    pub fn drain(&mut self, name: &str) {
        self.gate_step(name, gate::Input::Drain);
    }

    pub fn kill(&mut self, name: &str) {
        let host = self.hosts.get_mut(name).expect("host must exist");
        host.alive = false;
        host.held.clear();
        self.links.close_all(name);
    }

    pub fn resume(&mut self, name: &str) {
        let host = self.hosts.get_mut(name).expect("host must exist");
        host.frozen = false;
        for event in std::mem::take(&mut host.held) {
            self.take(event);
        }
    }

    /// The target breaks off everything that it runs.
    pub fn break_off(&mut self, name: &str) {
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
                        self.take(event);
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
        TICK * u32::try_from(ticks).expect("scenario must be short")
    }

    fn tick(&mut self) {
        let names: Vec<Name> = self.hosts.keys().cloned().collect();
        for name in names {
            let now = self.now;
            let host = self.hosts.get_mut(&name).expect("host must exist");
            if host.alive && !host.frozen {
                host.pauses.record_activity(now);
                self.announce(&name);
                self.entry_step(&name, entry::Input::Tick);
                self.gate_step(&name, gate::Input::Tick);
            }
        }
    }

    /// The host at which an event happens.
    fn place(event: &Event) -> &Name {
        match event {
            Event::Deliver(_, to, ..) | Event::Reply(_, to, ..) => to,
            Event::Check(at, ..) | Event::Lost(at, ..) | Event::Done(at, ..) => at,
        }
    }

    fn take(&mut self, event: Event) {
        let at = Self::place(&event).clone();
        let Some(host) = self.hosts.get_mut(&at) else {
            return;
        };
        if host.frozen {
            host.held.push(event);
            return;
        }
        if !host.alive && !matches!(event, Event::Done(..)) {
            return;
        }
        match event {
            Event::Deliver(from, to, epoch, packet) => self.deliver(&from, &to, epoch, packet),
            Event::Reply(from, to, id, reply, hint) => {
                self.open.remove(&(to.clone(), id));
                self.entry_step(&to, entry::Input::Reply(from.into(), id, reply, hint));
            }
            Event::Check(from, to, epoch, id) => self.check(&from, &to, epoch, id),
            Event::Lost(at, to, id, sent) => {
                self.open.remove(&(at.clone(), id));
                self.entry_step(&at, entry::Input::ConnectionLost(to.into(), id, sent));
            }
            Event::Done(at, incarnation, id) => {
                if self.hosts[&at].incarnation == incarnation && self.hosts[&at].alive {
                    let answered = Outcome::Answered {
                        bytes: 0,
                        failed: self.hosts[&at].fails,
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
                host.pauses.record_activity(self.now);
                let hidden = host.pauses.extra_age(self.now);
                offer.remaining = offer.remaining.saturating_sub(hidden);
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

    fn check(&mut self, from: &str, to: &str, epoch: u64, id: CallId) {
        if !self.open.contains(&(from.to_owned(), id)) {
            return;
        }
        let peer = &self.hosts[to];
        let connection = self.links.get(from, to).filter(|c| c.epoch == epoch);
        let same_life = connection.is_some_and(|c| c.incarnation == peer.incarnation);
        if peer.alive && !peer.frozen && same_life && self.links.carries(from, to, epoch) {
            let check = Event::Check(from.to_owned(), to.to_owned(), epoch, id);
            self.after(CHECK, check);
            return;
        }
        self.links.close(from, to, epoch);
        self.take(Event::Lost(from.to_owned(), to.to_owned(), id, Sent::Maybe));
    }

    fn send(&mut self, from: &str, to: &str, id: CallId, packet: Packet) {
        if from == to {
            self.deliver(from, to, 0, packet);
            return;
        }
        let asks = !matches!(packet, Packet::Withdraw(_));
        let peer = &self.hosts[to];
        let reachable = peer.alive && !peer.frozen && !self.links.is_cut(from, to);
        let incarnation = peer.incarnation;
        let connection = match self.links.get(from, to) {
            Some(connection) => connection,
            None if reachable => self.links.open(from, to, incarnation),
            None if asks => {
                let lost = Event::Lost(from.to_owned(), to.to_owned(), id, Sent::Nothing);
                self.after(CONNECT_TIMEOUT, lost);
                return;
            }
            None => return,
        };
        if let Packet::Offer(offer) = &packet
            && offer.incarnation != connection.incarnation
        {
            let lost = Event::Lost(from.to_owned(), to.to_owned(), id, Sent::Nothing);
            self.after(LATENCY, lost);
            return;
        }
        let epoch = connection.epoch;
        if self.links.carries(from, to, epoch) && connection.incarnation == incarnation {
            let deliver = Event::Deliver(from.to_owned(), to.to_owned(), epoch, packet);
            self.after(LATENCY, deliver);
        }
        if asks {
            self.open.insert((from.to_owned(), id));
            let check = Event::Check(from.to_owned(), to.to_owned(), epoch, id);
            self.after(SILENCE, check);
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
                let number = self.presses[&token].number;
                self.press_of_id.insert(offer.id, number);
                self.send(at, &host, offer.id, Packet::Offer(offer));
            }
            entry::Output::Query(host, query) => {
                self.say(&format!("{at} asks {host}"));
                self.send(at, &host, query.id, Packet::Query(query));
            }
            entry::Output::Withdraw(host, query) => {
                self.send(at, &host, query.id, Packet::Withdraw(query));
            }
            entry::Output::Probe(host) => self.probe(at, &host),
            entry::Output::KeepFailure(..) => {}
            entry::Output::Done(token, verdict, ticket) => self.done(token, verdict, ticket),
        }
    }

    fn probe(&mut self, at: &str, host: &str) {
        let peer = &self.hosts[host];
        if peer.alive && !peer.frozen && !self.links.is_cut(at, host) {
            self.entry_step(at, entry::Input::Reachable(host.into()));
        }
    }
}
