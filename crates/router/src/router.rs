//! The router: takes events in order and decides.

mod departures;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use log::info;
use pollenrouter_caller::message as caller;
use pollenrouter_core::gate::target::TargetIncarnation;
use pollenrouter_core::{bucket, id, membership};
use pollenrouter_daemon::message as daemon;
use pollenrouter_platform::object::MemberState;
use pollenrouter_target::message as target;
use tokio::sync::{mpsc as ring, oneshot, watch};

use crate::calls::{Calls, Routed};
use crate::event::Event;
use crate::fleet::{Effect, Fleet};
use crate::routes;
use crate::status;

/// Longest time for which a daemon that stops takes callers: they are told within two
/// seconds to go elsewhere. At most half of the time for the stop, so that the other
/// half is left for what was taken.
const LISTEN_AFTER_STOP: Duration = Duration::from_secs(3);
/// Least time between the news that this daemon leaves and its end.
const LINGER: Duration = Duration::from_millis(1500);

/// The router.
pub struct Router {
    fleet: Fleet,
    calls: Calls,
    service: Option<id::ServiceName>,
    daemons: ring::Sender<daemon::Command>,
    target: ring::Sender<target::Command>,
    probes: bucket::Bucket,
    stop_timeout: Duration,
    /// Closes the listeners for callers.
    closing: watch::Sender<bool>,
    stopping_since: Option<Duration>,
    /// Whether a target's life is known to the platform to have left.
    departed: BTreeSet<TargetIncarnation>,
    /// Targets that leave and wait until that will last.
    leaving: Vec<departures::Leaving>,
}

impl Router {
    /// A router that has taken no event yet.
    pub fn new(
        fleet: Fleet,
        calls: Calls,
        daemons: ring::Sender<daemon::Command>,
        target: ring::Sender<target::Command>,
        stop_timeout: Duration,
        closing: watch::Sender<bool>,
    ) -> Self {
        Self {
            fleet,
            calls,
            service: None,
            daemons,
            target,
            probes: bucket::Bucket::default(),
            stop_timeout,
            closing,
            stopping_since: None,
            departed: BTreeSet::new(),
            leaving: Vec::new(),
        }
    }

    /// Takes events until a planned stop is done.
    pub async fn run(mut self, mut rx: ring::Receiver<Event>) {
        while let Some(event) = rx.recv().await {
            self.take(event);
            if self.is_done() {
                break;
            }
        }
        self.fleet.set_state(None, MemberState::Left);
        info!("all calls have ended");
    }

    fn take(&mut self, event: Event) {
        self.calls.note_running();
        match event {
            Event::Caller(event) => self.caller(event),
            Event::Daemon(event) => self.daemon(event),
            Event::Target(event) => self.target(event),
            Event::Listed(prefix, listing) => {
                let effects = self.fleet.on_listed(prefix, listing);
                self.apply(effects);
            }
            Event::Read(objects) => {
                self.fleet_step(membership::Input::Read(objects, rand::random()));
            }
            Event::Status(reply_to) => {
                let stopping = self.stopping_since.is_some();
                // The operator may have left.
                let _ = reply_to.send(status::of(&self.fleet, &self.calls, stopping));
            }
            Event::Tick => {
                self.calls.tick();
                self.copy_departures();
                self.close_to_callers();
            }
            Event::Round => self.round(),
            Event::Stop => self.stop(),
        }
    }

    fn caller(&mut self, event: caller::Event) {
        match event {
            caller::Event::Call(call) => {
                let table = self.fleet.table().map(AsRef::as_ref);
                let document = table.and_then(|table| table.services.get(&call.service));
                let limits = document.map(|document| &document.limits);
                let (retry_percent, retry_slack) =
                    limits.map_or((0, 0), |limits| (limits.retry_percent, limits.retry_slack));
                match routes::admit(table, self.service.as_ref(), &call) {
                    Ok(()) => self.calls.call(Routed {
                        gives_way: table
                            .is_some_and(|table| table.is_sheddable(&call.route.policy)),
                        call,
                        retry_percent,
                        retry_slack,
                    }),
                    Err(refusal) => self.calls.refuse(call, refusal),
                }
            }
            caller::Event::Disconnected(token) => self.calls.gone(token),
            caller::Event::TicketRequested(service, reply_to) => {
                // The caller may have left.
                let _ = reply_to.send(self.calls.issue(&service));
            }
        }
    }

    fn daemon(&mut self, event: daemon::Event) {
        match event {
            daemon::Event::OfferReceived(offer, request, reply_to) => {
                self.calls.offered(offer, request, reply_to);
            }
            daemon::Event::QueryReceived(query, reply_to) => self.calls.asked(query, reply_to),
            daemon::Event::WithdrawalReceived(query) => self.calls.withdrawn(query),
            daemon::Event::ReplyReceived(host, id, replied) => {
                self.calls.replied(host, id, replied);
            }
            daemon::Event::ConnectionLost(host, id, sent) => self.calls.lost(host, id, sent),
            daemon::Event::Reachable(host) => self.calls.reachable(host),
            daemon::Event::Replicated(host, objects) => {
                for life in self.fleet.on_replicated(&host, &objects) {
                    self.departure_kept(life);
                }
            }
            daemon::Event::Unreachable(host) => {
                self.fleet_step(membership::Input::Unreachable(host));
            }
            daemon::Event::GossipReceived(gossip) => {
                let effects = self.fleet.on_gossip(gossip);
                self.apply(effects);
            }
        }
    }

    fn target(&mut self, event: target::Event) {
        match event {
            target::Event::LifecycleReceived(heard, reply_to) => self.heard(*heard, reply_to),
            target::Event::LoadReported(report) => self.calls.reported(report),
            target::Event::LoadUnavailable => self.calls.unreported(),
            target::Event::CallFinished(id, outcome, answer) => {
                self.calls.finished(id, outcome, answer);
            }
            target::Event::ProbeFinished(healthy, took) => {
                let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
                info!(healthy, micros; "target probed");
            }
        }
    }

    fn heard(&mut self, heard: target::LifecycleMessage, reply_to: oneshot::Sender<()>) {
        match heard {
            target::LifecycleMessage::Announcement(announcement, address) => {
                let life = announcement.incarnation.clone();
                let leaves = announcement.draining && !life.name.is_empty();
                let service = announcement.service.clone();
                self.calls.announced(announcement);
                if self.calls.gate().target_incarnation() == Some(&life) {
                    // A full ring keeps the address that was known.
                    let _ = self.target.try_send(target::Command::SetAddress(address));
                }
                if self.service.as_ref() != Some(&service) {
                    self.serve(service);
                }
                if leaves {
                    self.departs(life, reply_to);
                } else {
                    self.update_state();
                    acknowledge(reply_to);
                }
            }
            target::LifecycleMessage::Departure(life) => {
                self.departs(self.full_life(life), reply_to);
            }
        }
    }

    fn serve(&mut self, service: id::ServiceName) {
        info!(service:%; "target announced itself");
        let table = self.fleet.table();
        if let Some(document) = table.and_then(|table| table.services.get(&service)) {
            self.calls.document(document.clone());
        }
        self.service = Some(service);
    }

    /// State of this daemon as others should see it.
    fn state(&self) -> MemberState {
        match self.calls.gate().active_service(self.calls.now()) {
            Some(_) => MemberState::Serving,
            None => MemberState::Leaving,
        }
    }

    fn update_state(&mut self) {
        // A daemon that has just started stands in the fleet as it will in a moment: each
        // change of its state is a write.
        if self.calls.gate().is_starting(self.calls.now()) && self.stopping_since.is_none() {
            return;
        }
        let state = self.state();
        if self.service.is_some() {
            self.fleet.set_state(self.service.clone(), state);
        }
    }

    fn round(&mut self) {
        self.update_state();
        let effects = self.fleet.on_round();
        self.apply(effects);
        self.probe();
        let hint = self.calls.gate().hint(self.calls.now());
        let remembered = self.calls.gate().record_count();
        let members = self.fleet.members().count();
        self.calls.instruments().gate(&hint, remembered, members);
    }

    /// Probes the target when its share of the service's budget allows it.
    fn probe(&mut self) {
        let Some(service) = &self.service else {
            return;
        };
        let table = self.fleet.table();
        let Some(document) = table.and_then(|table| table.services.get(service)) else {
            return;
        };
        let rate = bucket::Rate {
            per_minute: document.probe_budget.probes_per_minute,
            shared_by: document.probe_budget.targets_max,
        };
        let has_share = self.fleet.has_probe_share(rate.shared_by);
        if has_share && self.probes.take(rate, self.calls.now()) {
            self.calls.instruments().probed();
            // A probe that a full ring turned away was not made.
            let _ = self.target.try_send(target::Command::Probe);
        }
    }

    fn fleet_step(&mut self, input: membership::Input) {
        let effects = self.fleet.step(input);
        self.apply(effects);
    }

    fn apply(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send(command) => {
                    // Digests of later rounds repair what a full ring turned away.
                    let _ = self.daemons.try_send(command);
                }
                Effect::SetMembers(members) => {
                    let hosts = members.iter().map(|member| member.host.clone());
                    let peers: BTreeMap<_, _> = hosts
                        .filter_map(|host| Some((host.clone(), self.fleet.peer(&host)?)))
                        .collect();
                    self.calls.members(members, peers);
                }
                Effect::SetService(document) => {
                    if self.service.as_ref() == Some(&document.name) {
                        self.calls.document(document);
                    }
                }
                Effect::ConfirmDeparture(life) => self.departure_kept(life),
                Effect::ApplyDeparture(life) => self.calls.departed(life),
                Effect::OpenGate => {
                    self.calls.synced();
                    self.update_state();
                }
            }
        }
    }

    fn stop(&mut self) {
        if self.stopping_since.is_some() {
            return;
        }
        info!("planned stop: no new work, finishing calls in flight");
        self.stopping_since = Some(self.calls.now());
        self.calls.drain();
        self.fleet.on_stop();
        self.update_state();
    }

    /// Takes no further callers once a planned stop has gone on for long enough.
    fn close_to_callers(&self) {
        let Some(since) = self.stopping_since else {
            return;
        };
        let waited = self.calls.now().saturating_sub(since);
        let is_due = waited >= LISTEN_AFTER_STOP.min(self.stop_timeout / 2);
        if is_due && !self.closing.send_replace(true) {
            info!("planned stop: no further callers");
        }
    }

    fn is_done(&self) -> bool {
        let Some(since) = self.stopping_since else {
            return false;
        };
        let waited = self.calls.now().saturating_sub(since);
        (waited >= LINGER && self.calls.is_idle()) || waited >= self.stop_timeout.max(LINGER)
    }
}

/// Tells a target that its word was taken; it may have given up on that.
fn acknowledge(reply_to: oneshot::Sender<()>) {
    let _ = reply_to.send(());
}
