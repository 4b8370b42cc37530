//! The router: handles the events of a daemon one at a time, in order.

mod departures;
mod quota;
mod rounds;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use log::info;
use pollenrouter_caller::message as caller;
use pollenrouter_core::gate::Outcome;
use pollenrouter_core::gate::statement::{StatedRate, Statement};
use pollenrouter_core::gate::target::TargetIncarnation;
use pollenrouter_core::shedding::Shed;
use pollenrouter_core::{bucket, id, membership};
use pollenrouter_daemon::message as daemon;
use pollenrouter_operator::settings::Settings;
use pollenrouter_platform::object::MemberState;
use pollenrouter_target::message as target;
use tokio::sync::{mpsc, oneshot, watch};

use crate::calls::{Calls, RoutedCall};
use crate::event::Event;
use crate::fleet::{Effect, Fleet};
use crate::instruments::Instruments;
use crate::quota::Quotas;
use crate::routes;
use crate::status;

/// Maximum time for which a stopping daemon accepts callers, which learn within two seconds
/// that they should use another daemon. Capped at half of the stop timeout, so that
/// accepted calls have the other half to finish.
const LISTEN_AFTER_STOP_MAX: Duration = Duration::from_secs(3);
/// Minimum duration of a planned stop, so that other daemons learn of it before the exit.
const STOP_DURATION_MIN: Duration = Duration::from_millis(1500);

/// Time after the end of the calls for the last replies of gates: the time that an entry waits for
/// them, and some ticks.
const LAST_REPLIES_WAIT: Duration = Duration::from_millis(200);

/// State of the router of one daemon.
pub struct Router {
    fleet: Fleet,
    calls: Calls,
    quotas: Quotas,
    quotas_logged_at: Duration,
    host: id::HostName,
    service: Option<id::ServiceName>,
    /// Rate and leaving, as last stated by the target.
    stated: (StatedRate, bool),
    /// Whether the target was cold when it was last logged.
    is_target_cold: bool,
    daemon_commands: mpsc::Sender<daemon::Command>,
    target_commands: mpsc::Sender<target::Command>,
    probe_bucket: bucket::Bucket,
    stop_timeout: Duration,
    /// Set to true to close the listeners for callers.
    close_listeners: watch::Sender<bool>,
    stopping_since: Option<Duration>,
    /// Departures stored outside this process, so that a restart does not lose them.
    stored_departures: BTreeSet<TargetIncarnation>,
    /// Departures not yet stored; their targets wait for an acknowledgement.
    pending_departures: Vec<departures::PendingDeparture>,
}

impl Router {
    /// Creates a router that has handled no event.
    pub fn new(
        fleet: Fleet,
        calls: Calls,
        daemon_commands: mpsc::Sender<daemon::Command>,
        target_commands: mpsc::Sender<target::Command>,
        settings: &Settings,
        close_listeners: watch::Sender<bool>,
    ) -> Self {
        let host = settings.host.clone();
        Self {
            fleet,
            calls,
            quotas: Quotas::new(host.clone(), settings.quota),
            quotas_logged_at: Duration::ZERO,
            host,
            service: None,
            stated: Default::default(),
            is_target_cold: false,
            daemon_commands,
            target_commands,
            probe_bucket: bucket::Bucket::default(),
            stop_timeout: settings.stop_timeout,
            close_listeners,
            stopping_since: None,
            stored_departures: BTreeSet::new(),
            pending_departures: Vec::new(),
        }
    }

    /// Returns the metrics.
    pub fn instruments(&self) -> &Instruments {
        self.calls.instruments()
    }

    /// Handles events until a planned stop is complete.
    pub async fn run(mut self, mut rx: mpsc::Receiver<Event>) {
        while let Some(event) = rx.recv().await {
            self.handle(event);
            if self.is_stop_complete() {
                break;
            }
        }
        self.fleet.set_state(None, MemberState::Left);
        info!("planned stop: complete");
    }

    fn handle(&mut self, event: Event) {
        self.calls.record_activity();
        match event {
            Event::Caller(event) => self.handle_caller_event(event),
            Event::Daemon(event) => self.handle_daemon_event(event),
            Event::Target(event) => self.handle_target_event(event),
            Event::ObjectsListed(prefix, listing) => {
                let effects = self.fleet.on_listed(prefix, listing);
                self.apply_effects(effects);
            }
            Event::ObjectsReceived(objects) => {
                let effects = self.fleet.on_received(objects);
                self.apply_effects(effects);
            }
            Event::StatusRequested(reply_to) => {
                let stopping = self.stopping_since.is_some();
                // The send fails if the operator has disconnected.
                let _ = reply_to.send(status::to_json(&self.fleet, &self.calls, stopping));
            }
            Event::Tick => {
                self.calls.tick();
                self.step_fleet(membership::Input::Flush(rand::random()));
                self.tick_quotas();
                self.update_quarantine();
                self.check_overdue_departures();
                self.close_listeners_if_due();
            }
            Event::MembershipRound => self.run_membership_round(),
            Event::WatchBeat => {
                let effects = self.fleet.on_watch_beat();
                self.apply_effects(effects);
            }
            Event::StopRequested => self.begin_stop(),
        }
        self.give_back_permits();
    }

    fn handle_caller_event(&mut self, event: caller::Event) {
        match event {
            caller::Event::Call(call) => {
                let table = self.fleet.table().map(AsRef::as_ref);
                let document = table.and_then(|table| table.services.get(&call.service));
                let limits = document.map(|document| &document.limits);
                let (retry_percent, retry_slack) =
                    limits.map_or((0, 0), |limits| (limits.retry_percent, limits.retry_slack));
                let shed = limits.map_or_else(Shed::default, |limits| limits.shed);
                match routes::admit(table, self.fleet.tables(), self.service.as_ref(), &call) {
                    Ok(()) => self.admit(RoutedCall {
                        sheddable: table.is_some_and(|table| {
                            let has_organisation = call.organisation.is_some();
                            table.may_shed(shed, &call.route.policy, has_organisation)
                        }),
                        shed,
                        call,
                        retry_percent,
                        retry_slack,
                        permit: None,
                    }),
                    Err(refusal) => self.calls.refuse(call, refusal, None),
                }
            }
            caller::Event::Disconnected(token) if self.remove_parked(token) => {}
            caller::Event::Disconnected(token) => self.calls.handle_caller_disconnected(token),
            caller::Event::TicketRequested(service, reply_to) => {
                // The send fails if the caller has disconnected.
                let _ = reply_to.send(self.calls.issue_ticket(&service));
            }
        }
    }

    fn handle_daemon_event(&mut self, event: daemon::Event) {
        match event {
            daemon::Event::OfferReceived(offer, request, reply_to) => {
                self.calls.handle_offer(offer, request, reply_to);
            }
            daemon::Event::QueryReceived(query, reply_to) => {
                self.calls.handle_query(query, reply_to);
            }
            daemon::Event::WithdrawalReceived(query) => self.calls.handle_withdrawal(query),
            daemon::Event::ReplyReceived(host, id, reply) => {
                self.calls.handle_reply(host, id, reply);
            }
            daemon::Event::ConnectionLost(host, id, sent) => {
                self.calls.handle_connection_lost(host, id, sent);
            }
            daemon::Event::Reachable(host) => self.calls.handle_reachable(host),
            daemon::Event::Replicated(host, objects) => {
                for incarnation in self.fleet.on_replicated(&host, &objects) {
                    self.handle_departure_copied(incarnation);
                }
            }
            daemon::Event::Unreachable(host) => {
                self.step_fleet(membership::Input::Unreachable(host));
            }
            daemon::Event::TransferUndelivered(host) => {
                self.step_fleet(membership::Input::TransferUndelivered(host));
            }
            daemon::Event::GossipReceived(gossip) => {
                self.quotas.on_heard(self.calls.now());
                let effects = self.fleet.on_gossip(gossip);
                self.apply_effects(effects);
            }
            daemon::Event::TransferReceived(transfer) => {
                let effects = self.fleet.on_transfer(transfer);
                self.apply_effects(effects);
            }
            daemon::Event::AskReceived(..)
            | daemon::Event::GrantReceived(..)
            | daemon::Event::AskFailed(..) => self.handle_quota_event(event),
        }
    }

    fn handle_target_event(&mut self, event: target::Event) {
        match event {
            target::Event::LifecycleReceived(message, reply_to) => {
                self.handle_lifecycle(*message, reply_to);
            }
            target::Event::LoadReported(report) => self.calls.handle_load_report(report),
            target::Event::Stated(statement) => {
                self.log_statement(&statement);
                self.handle_statement(statement);
            }
            target::Event::LoadUnavailable => self.calls.handle_load_unavailable(),
            target::Event::ConnectionFailed(target) => {
                self.calls.handle_target_connection_failed(target);
            }
            target::Event::CallFinished(id, outcome, answer) => {
                self.record_call_end(id, outcome);
                self.calls.handle_finished(id, outcome, answer);
            }
            target::Event::ProbeFinished(healthy, took) => {
                let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
                info!(healthy, micros; "target probed");
            }
        }
    }

    /// Applies what a target states about itself. That it leaves is stored as if it had
    /// announced it.
    fn handle_statement(&mut self, statement: Statement) {
        let target = statement.target.clone();
        let had_departed = self.calls.gate().has_departed(&target);
        self.calls.handle_statement(statement);
        if !had_departed && self.calls.gate().has_departed(&target) {
            self.handle_departure(target, None);
        }
    }

    /// Logs what a target states about itself when it changes.
    fn log_statement(&mut self, statement: &Statement) {
        let stated = (statement.rate, statement.leaving);
        if self.stated == stated {
            return;
        }
        self.stated = stated;
        info!(
            by:% = statement.target.name,
            rate:% = statement.rate,
            leaving = statement.leaving,
            in_health_answer = statement.is_probe;
            "the target's statements changed"
        );
    }

    fn record_call_end(&mut self, id: id::CallId, outcome: Outcome) {
        let gate = self.calls.gate();
        if let (Some(fingerprint), Some(target)) = (gate.fingerprint(id), gate.target_incarnation())
        {
            self.fleet.on_call_finished(target, fingerprint, outcome);
        }
    }

    /// Publishes new evidence on crashes of the target, and applies that of the fleet.
    fn update_quarantine(&mut self) {
        let effects = self.fleet.publish_crashes();
        self.apply_effects(effects);
        let quarantined = self.fleet.quarantined();
        if quarantined == *self.calls.quarantined() {
            return;
        }
        let digests: Vec<String> = quarantined.keys().map(|f| format!("{f:016x}")).collect();
        info!(digests:% = digests.join(" "); "quarantine changed");
        self.calls.set_quarantined(quarantined);
    }

    fn handle_lifecycle(
        &mut self,
        message: target::LifecycleMessage,
        reply_to: oneshot::Sender<()>,
    ) {
        match message {
            target::LifecycleMessage::Announcement(announcement, address) => {
                let incarnation = announcement.incarnation.clone();
                let is_leaving = announcement.draining && !incarnation.name.is_empty();
                let service = announcement.service.clone();
                self.calls.handle_announcement(announcement);
                if self.calls.gate().target_incarnation() == Some(&incarnation) {
                    // If the channel is full, the target's client keeps the previous address.
                    let _ = self
                        .target_commands
                        .try_send(target::Command::SetAddress(address));
                }
                if self.service.as_ref() != Some(&service) {
                    self.set_service(service);
                }
                if is_leaving {
                    self.handle_departure(incarnation, Some(reply_to));
                } else {
                    self.update_state();
                    acknowledge(reply_to);
                }
            }
            target::LifecycleMessage::Departure(incarnation) => {
                self.handle_departure(self.resolve_incarnation(incarnation), Some(reply_to));
            }
        }
    }

    fn set_service(&mut self, service: id::ServiceName) {
        info!(service:%; "target announced itself");
        let table = self.fleet.table();
        if let Some(document) = table.and_then(|table| table.services.get(&service)) {
            self.calls.set_document(document.clone());
        }
        self.service = Some(service);
    }

    /// Returns the state of this daemon to report to other daemons.
    fn member_state(&self) -> MemberState {
        match self.calls.gate().active_service(self.calls.now()) {
            Some(_) => MemberState::Serving,
            None => MemberState::Leaving,
        }
    }

    fn update_state(&mut self) {
        // A daemon that has just started is registered with the state that it is
        // expected to have after startup. Its interim state is not reported, because each change
        // of state is a write to the platform.
        if self.calls.gate().is_starting(self.calls.now()) && self.stopping_since.is_none() {
            return;
        }
        let state = self.member_state();
        if self.service.is_some() {
            self.fleet.set_state(self.service.clone(), state);
        }
    }

    fn step_fleet(&mut self, input: membership::Input) {
        let effects = self.fleet.step(input);
        self.apply_effects(effects);
    }

    fn apply_effects(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send(command) => {
                    // If the channel is full, the message is dropped; digests of later rounds
                    // replace it.
                    let _ = self.daemon_commands.try_send(command);
                }
                Effect::SetMembers(members) => {
                    let hosts = members.iter().map(|member| member.host.clone());
                    let peers: BTreeMap<_, _> = hosts
                        .filter_map(|host| Some((host.clone(), self.fleet.peer(&host)?)))
                        .collect();
                    self.calls.set_members(members, peers);
                    self.update_quota_members();
                }
                Effect::SetService(document) => {
                    if self.service.as_ref() == Some(&document.name) {
                        self.calls.set_document(document);
                    }
                }
                Effect::ConfirmDeparture(incarnation) => self.handle_departure_stored(incarnation),
                Effect::ApplyDeparture(incarnation) => self.calls.handle_departure(incarnation),
                Effect::SetEvacuated(evacuated) => self.calls.set_evacuated(evacuated),
                Effect::OpenGate => {
                    self.calls.handle_departures_loaded();
                    self.update_quota_members();
                    self.update_state();
                }
            }
        }
    }

    fn begin_stop(&mut self) {
        if self.stopping_since.is_some() {
            return;
        }
        info!("planned stop: no new work, finishing calls in flight");
        let now = self.calls.now();
        self.stopping_since = Some(now);
        self.calls.stop(now + self.stop_timeout);
        self.fleet.on_stop();
        self.update_state();
    }

    /// Closes the listeners for callers once a planned stop has lasted long enough.
    fn close_listeners_if_due(&self) {
        let Some(since) = self.stopping_since else {
            return;
        };
        let elapsed = self.calls.now().saturating_sub(since);
        let is_due = elapsed >= LISTEN_AFTER_STOP_MAX.min(self.stop_timeout / 2);
        if is_due && !self.close_listeners.send_replace(true) {
            info!("planned stop: no further callers");
        }
    }

    fn is_stop_complete(&self) -> bool {
        let Some(since) = self.stopping_since else {
            return false;
        };
        let elapsed = self.calls.now().saturating_sub(since);
        (elapsed >= STOP_DURATION_MIN && self.calls.is_idle() && self.quotas.is_idle())
            || elapsed >= (self.stop_timeout + LAST_REPLIES_WAIT).max(STOP_DURATION_MIN)
    }
}

/// Acknowledges a lifecycle message, unless its sender has disconnected.
fn acknowledge(reply_to: oneshot::Sender<()>) {
    let _ = reply_to.send(());
}
