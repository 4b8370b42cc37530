//! The router: takes events in order and decides.

use std::collections::BTreeMap;
use std::time::Duration;

use log::info;
use pollenrouter_caller::message as caller;
use pollenrouter_core::{bucket, id, membership};
use pollenrouter_daemon::message as daemon;
use pollenrouter_platform::object::MemberState;
use pollenrouter_target::message as target;
use tokio::sync::mpsc as ring;

use crate::calls::Calls;
use crate::event::Event;
use crate::fleet::{Effect, Fleet};
use crate::routes;
use crate::status;

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
    stopping_since: Option<Duration>,
}

impl Router {
    /// A router that has taken no event yet.
    pub fn new(
        fleet: Fleet,
        calls: Calls,
        daemons: ring::Sender<daemon::Command>,
        target: ring::Sender<target::Command>,
        stop_timeout: Duration,
    ) -> Self {
        Self {
            fleet,
            calls,
            service: None,
            daemons,
            target,
            probes: bucket::Bucket::default(),
            stop_timeout,
            stopping_since: None,
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
            Event::Listed(listing) => {
                let effects = self.fleet.listed(listing);
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
            Event::Tick => self.calls.tick(),
            Event::Round => self.round(),
            Event::Stop => self.stop(),
        }
    }

    fn caller(&mut self, event: caller::Event) {
        match event {
            caller::Event::Call(call) => {
                match routes::route(self.fleet.documents(), self.service.as_ref(), call) {
                    Ok(routed) => self.calls.call(routed),
                    Err((call, refusal)) => self.calls.refuse(call, refusal),
                }
            }
            caller::Event::Gone(token) => self.calls.gone(token),
            caller::Event::Ticket(service, reply_to) => {
                // The caller may have left.
                let _ = reply_to.send(self.calls.issue(&service));
            }
        }
    }

    fn daemon(&mut self, event: daemon::Event) {
        match event {
            daemon::Event::Offered(offer, request, reply_to) => {
                self.calls.offered(offer, request, reply_to);
            }
            daemon::Event::Asked(query, reply_to) => self.calls.asked(query, reply_to),
            daemon::Event::Withdrawn(query) => self.calls.withdrawn(query),
            daemon::Event::Replied(host, id, replied) => self.calls.replied(host, id, replied),
            daemon::Event::Lost(host, id, sent) => self.calls.lost(host, id, sent),
            daemon::Event::Reachable(host) => self.calls.reachable(host),
            daemon::Event::Unreachable(host) => {
                self.fleet_step(membership::Input::Unreachable(host));
            }
            daemon::Event::Gossiped(gossip) => {
                let effects = self.fleet.heard(gossip);
                self.apply(effects);
            }
        }
    }

    fn target(&mut self, event: target::Event) {
        match event {
            target::Event::Announced(announcement, _) => {
                let service = announcement.service.clone();
                self.calls.announced(announcement);
                if self.service.as_ref() != Some(&service) {
                    self.serve(service);
                }
                self.update_state();
            }
            target::Event::Finished(id, outcome, answer) => {
                self.calls.finished(id, outcome, answer);
            }
            target::Event::Probed(healthy, took) => {
                let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
                info!(healthy, micros; "target probed");
            }
        }
    }

    fn serve(&mut self, service: id::ServiceName) {
        info!(service:%; "target announced itself");
        if let Some((_, document)) = self.fleet.documents().get(&service) {
            self.calls.document(document.clone());
        }
        self.service = Some(service);
    }

    fn update_state(&mut self) {
        let serving = self.calls.gate().serving(self.calls.now()).is_some();
        let state = if serving {
            MemberState::Serving
        } else {
            MemberState::Leaving
        };
        if self.service.is_some() {
            self.fleet.set_state(self.service.clone(), state);
        }
    }

    fn round(&mut self) {
        self.update_state();
        self.fleet_step(membership::Input::Round(rand::random()));
        self.probe();
        let hint = self.calls.gate().hint(self.calls.now());
        let remembered = self.calls.gate().remembered();
        let members = self.fleet.members().count();
        self.calls.instruments().gate(&hint, remembered, members);
    }

    /// Probes the target when its share of the service's budget allows it.
    fn probe(&mut self) {
        let Some(service) = &self.service else {
            return;
        };
        let Some((_, document)) = self.fleet.documents().get(service) else {
            return;
        };
        let rate = bucket::Rate {
            per_minute: document.measuring.probes_per_minute,
            shared_by: document.measuring.targets_max,
        };
        let has_share = self.fleet.may_spend(rate.shared_by);
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
                Effect::Members(members) => {
                    let hosts = members.iter().map(|member| member.host.clone());
                    let peers: BTreeMap<_, _> = hosts
                        .filter_map(|host| Some((host.clone(), self.fleet.peer(&host)?)))
                        .collect();
                    self.calls.members(members, peers);
                }
                Effect::Document(document) => {
                    if self.service.as_ref() == Some(&document.name) {
                        self.calls.document(document);
                    }
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
        self.update_state();
    }

    fn is_done(&self) -> bool {
        let Some(since) = self.stopping_since else {
            return false;
        };
        let waited = self.calls.now().saturating_sub(since);
        (waited >= LINGER && self.calls.is_idle()) || waited >= self.stop_timeout.max(LINGER)
    }
}
