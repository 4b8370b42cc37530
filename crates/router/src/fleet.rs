//! One daemon's view of the fleet: members, active documents and gossip.

mod activation;
mod checks;
mod crashes;
mod departures;
mod eras;
mod evacuations;
mod members;
pub mod staleness;
mod transfers;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError, RwLock, mpsc};

use log::{info, warn};
use pollenrouter_core::evacuations::Evacuations;
use pollenrouter_core::gate::target::TargetIncarnation;
use pollenrouter_core::membership::{self, Membership};
use pollenrouter_core::{
    documents, entry, id, probe_share, quarantine, replica, service, startup_sync, table, version,
};
use pollenrouter_daemon::message::{Command, Gossip, Peer};
use pollenrouter_operator::document;
use pollenrouter_platform::listing::Listing;
use pollenrouter_platform::object::{self, Member, MemberState};

use crate::platform_io::Write;
use crate::platform_io::duty;
use crate::profile::Profile;

/// State that the listeners read.
#[derive(Debug, Default)]
pub struct ListenerState {
    /// Whether `table` may be used: set after a read of the documents that is at least as
    /// new as this daemon's registration or, if whole tables are stored at the platform,
    /// when the first one is received.
    pub is_confirmed: bool,
    /// The active routing table.
    pub table: Option<Arc<table::Table>>,
    /// Newest version of a table that another daemon has announced, if it is newer than `table`.
    pub announced_table: id::Version,
    /// Services whose documents this daemon cannot use, so that it does not know their routes.
    pub unusable: BTreeSet<id::ServiceName>,
    /// Whether a planned stop has begun.
    pub is_stopping: bool,
}

impl ListenerState {
    /// Whether the daemon reports that it is ready for callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_confirmed && self.table.is_some() && !self.is_stopping
    }
}

/// [`ListenerState`], shared with the listeners.
pub type SharedListenerState = Arc<RwLock<ListenerState>>;

/// Action for the router.
#[derive(Debug)]
pub enum Effect {
    /// Send a message to another daemon.
    Send(Command),
    /// Replace the gates that the entry can choose from.
    SetMembers(Vec<entry::Member>),
    /// Apply the active configuration of a service.
    SetService(service::Service),
    /// Apply and acknowledge the departure of a target on this host. The platform stores
    /// the departure, so it survives a restart of this daemon.
    ConfirmDeparture(TargetIncarnation),
    /// Apply the departure of a target on this host without acknowledging it: the departure
    /// came in an object that only daemons store.
    ApplyDeparture(TargetIncarnation),
    /// Apply whether the failure domain of this host is evacuated.
    SetEvacuated(bool),
    /// Open the gate: departures acknowledged before this daemon started are known.
    OpenGate,
}

/// State that a fleet shares with other threads.
pub struct SharedState {
    /// State that the listeners read.
    pub listener_state: SharedListenerState,
    /// Whether this daemon watches the platform.
    pub watch_duty: Arc<duty::Duty>,
    /// Whether the documents were read after this daemon's registration.
    pub confirmed: Arc<AtomicBool>,
    /// Queue of writes to the platform.
    pub writes: mpsc::SyncSender<Write>,
}

/// One daemon's view of the fleet.
pub struct Fleet {
    own: Member,
    membership: Membership,
    documents: documents::Documents,
    active_table: pollenrouter_core::active_table::ActiveTable,
    profile: Profile,
    members: BTreeMap<id::HostName, Member>,
    member_versions: BTreeMap<id::HostName, id::Version>,
    /// Earlier incarnations of each host, oldest first.
    replaced: BTreeMap<id::HostName, VecDeque<id::Incarnation>>,
    /// Version of this daemon's latest registration; `None` until the platform stored it.
    registered_at: Option<id::Version>,
    /// Addresses stated in gossip messages.
    gossip_addresses: BTreeMap<id::HostName, net::SocketAddr>,
    /// Daemons that store a departure of a target on this host, by the departure's key.
    departure_replicas: BTreeMap<replica::Key, BTreeSet<id::HostName>>,
    /// The platform's era.
    era: eras::Era,
    staleness: staleness::Staleness,
    startup_sync: startup_sync::StartupSync,
    is_synced: bool,
    /// Crashes of targets on this host.
    crash_observer: quarantine::Observer,
    /// Crashes of targets in the whole fleet.
    crash_evidence: quarantine::Evidence,
    evacuations: Evacuations,
    shared: SharedState,
}

impl Fleet {
    /// Creates a view without members and enqueues the registration of `own`.
    pub fn new(own: Member, profile: Profile, shared: SharedState) -> Self {
        let mut fleet = Self {
            membership: Membership::new(members::to_membership(&own)),
            documents: documents::Documents::default(),
            active_table: pollenrouter_core::active_table::ActiveTable::default(),
            profile,
            members: BTreeMap::new(),
            member_versions: BTreeMap::new(),
            replaced: BTreeMap::new(),
            registered_at: None,
            gossip_addresses: BTreeMap::new(),
            departure_replicas: BTreeMap::new(),
            era: eras::Era::default(),
            staleness: staleness::Staleness::default(),
            startup_sync: startup_sync::StartupSync::default(),
            is_synced: false,
            crash_observer: quarantine::Observer::default(),
            crash_evidence: quarantine::Evidence::default(),
            evacuations: Evacuations::default(),
            own,
            shared,
        };
        fleet.await_evacuations();
        fleet.register();
        fleet
    }

    /// Active and rejected documents.
    pub fn documents(&self) -> &documents::Documents {
        &self.documents
    }

    /// The active routing table.
    pub fn table(&self) -> Option<&Arc<table::Table>> {
        self.active_table.get()
    }

    /// All known members, including those that have left.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Whether this daemon watches the platform.
    pub fn is_watcher(&self) -> bool {
        self.membership.is_watcher()
    }

    /// Whether this daemon holds a share of its service's probe budget.
    pub fn has_probe_share(&self, shared_by: u32) -> bool {
        let others = self.members.values().filter(|m| {
            m.state != MemberState::Left && m.service == self.own.service && m.host != self.own.host
        });
        let versions = others.filter_map(|m| self.member_versions.get(&m.host).copied());
        probe_share::has_share(
            probe_share::position(self.registered_at, versions),
            shared_by,
        )
    }

    /// Address of another daemon: that of its member object, else that of its gossip.
    pub fn peer(&self, host: &id::HostName) -> Option<Peer> {
        let registered = self.members.get(host).map(|member| member.address);
        let address = registered.or_else(|| self.gossip_addresses.get(host).copied())?;
        Some(Peer {
            host: host.clone(),
            address,
        })
    }

    /// Registers this daemon's service and state at the platform if they differ from the
    /// registered ones; `None` keeps the service.
    pub fn set_state(&mut self, service: Option<id::ServiceName>, state: MemberState) {
        let service = service.or_else(|| self.own.service.clone());
        if self.own.service == service && self.own.state == state {
            return;
        }
        self.own.service = service;
        self.own.state = state;
        self.register();
    }

    /// Records that a planned stop has begun.
    pub fn on_stop(&self) {
        self.shared.update(|state| state.is_stopping = true);
    }

    /// Applies a listing of all objects under a prefix, read from the platform.
    pub fn on_listed(&mut self, prefix: &str, mut listing: Listing) -> Vec<Effect> {
        if object::MEMBERS.starts_with(prefix) {
            self.startup_sync.on_members_listed();
        }
        self.on_evacuations_listed(prefix, &mut listing);
        self.log_older(&listing.objects);
        let input = membership::Input::Read(listing.objects, rand::random());
        let mut effects = self.step(input);
        effects.extend(self.step(membership::Input::Listed));
        self.announce_era(version::era(listing.revision), &mut effects);
        self.check_startup_sync(&mut effects);
        if self.profile.parse_table.is_some() {
            return effects;
        }
        let changes = self.documents.on_listed(listing.revision);
        let confirmed = self.documents.is_confirmed();
        self.shared.confirmed.store(confirmed, Ordering::Relaxed);
        for change in changes {
            self.on_document_change(change, &mut effects);
        }
        if confirmed {
            self.shared.update(|state| state.is_confirmed = true);
            self.compile_table(&mut effects);
        }
        effects
    }

    /// Applies objects that a watch or a write returned.
    pub fn on_received(&mut self, objects: Vec<replica::Object>) -> Vec<Effect> {
        self.log_older(&objects);
        self.step(membership::Input::Read(objects, rand::random()))
    }

    /// Logs the objects of the platform that are not used because the held ones are not older: a
    /// read may be stale, or the platform has lost later changes.
    fn log_older(&self, objects: &[replica::Object]) {
        for object in objects {
            let held = self.membership.replica().get(&object.key);
            let is_dropped = |held: &&replica::Object| {
                held.version >= object.version && held.value != object.value
            };
            if let Some(held) = held.filter(is_dropped) {
                let (held, read) = (held.version, object.version);
                info!(key:% = object.key, held, read; "the platform has an older object");
            }
        }
    }

    /// Processes a gossip message from another daemon.
    pub fn on_gossip(&mut self, gossip: Gossip) -> Vec<Effect> {
        self.gossip_addresses
            .insert(gossip.host.clone(), gossip.address);
        let message = membership::Message {
            digest: gossip.digest,
            versions: gossip
                .versions
                .map(|versions| versions.into_iter().collect()),
            objects: gossip.objects,
            is_complete: gossip.is_complete,
        };
        if message.as_heartbeat().is_some() {
            let draw = rand::random();
            return self.step(membership::Input::Received(gossip.host, message, draw));
        }
        let is_equal = message.digest == Some(self.membership.replica().digest());
        let is_peer_synced = message.is_complete || is_equal;
        let host = gossip.host.clone();
        let draw = rand::random();
        let mut effects = self.step(membership::Input::Received(gossip.host, message, draw));
        if is_peer_synced && self.is_peer_informed() {
            self.startup_sync.on_peer_synced(host);
        }
        self.check_startup_sync(&mut effects);
        effects
    }

    /// Begins a gossip round. Until the startup synchronization is complete, this also
    /// requests missing objects from other daemons.
    pub fn on_round(&mut self) -> Vec<Effect> {
        self.startup_sync.on_round();
        self.check_registration();
        let mut effects = self.step(membership::Input::Round(rand::random()));
        self.request_evacuations(&mut effects);
        self.check_startup_sync(&mut effects);
        effects
    }

    /// Counts a beat of the watch duty.
    pub fn on_watch_beat(&mut self) -> Vec<Effect> {
        let before = self.membership.has_taken_over();
        let is_connected = self.shared.watch_duty.is_connected();
        let effects = self.step(membership::Input::Beat(is_connected));
        let takes_over = self.membership.has_taken_over();
        if takes_over && !before {
            info!("no watcher that reaches the platform is heard, watching it");
        } else if before && !takes_over {
            info!("other watchers are heard, no longer watching the platform");
        }
        self.log_silence();
        effects
    }

    /// Processes an input of the membership state machine.
    pub fn step(&mut self, input: membership::Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        let mut is_member_changed = false;
        let input = checks::without_malformed(input, self.membership.replica());
        for output in self.membership.step(input) {
            match output {
                membership::Output::Send(host, message) => {
                    effects.extend(self.message_effect(&host, message, Command::Gossip));
                }
                membership::Output::SendTransfer(host, message) => {
                    effects.extend(self.transfer_effect(&host, message));
                }
                membership::Output::TransferFailed(host, key, reason) => {
                    warn!(host:% = host, key:% = key; "received value ignored: {reason}");
                }
                membership::Output::SendHeartbeat(host, message) => {
                    effects.extend(self.message_effect(&host, message, Command::Heartbeat));
                }
                membership::Output::Changed(object) => {
                    is_member_changed |= self.apply_object(&object, &mut effects);
                }
                membership::Output::Report(member) => self.report_gone(member),
            }
        }
        if is_member_changed {
            self.update_members(&mut effects);
        }
        self.record_announced_table();
        self.shared.watch_duty.set(self.membership.watch_waits());
        effects
    }

    fn message_effect(
        &self,
        host: &id::HostName,
        message: membership::Message,
        command: impl Fn(Peer, Gossip) -> Command,
    ) -> Option<Effect> {
        let peer = self.peer(host)?;
        Some(Effect::Send(command(peer, self.to_gossip(message))))
    }

    fn to_gossip(&self, message: membership::Message) -> Gossip {
        Gossip {
            host: self.own.host.clone(),
            address: self.own.address,
            digest: message.digest,
            versions: message
                .versions
                .map(|versions| versions.into_iter().collect()),
            objects: message.objects,
            is_complete: message.is_complete,
        }
    }

    /// Applies a new version of an object; returns whether it changes which members take calls.
    fn apply_object(&mut self, object: &replica::Object, effects: &mut Vec<Effect>) -> bool {
        if let Some(name) = object.key.strip_prefix(object::SERVICES) {
            let name = id::ServiceName::new(name);
            let checked = check_document(&name, &object.value);
            if let Some(change) = self.documents.apply(&name, object.version, checked) {
                self.on_document_change(change, effects);
            }
            return false;
        }
        if let Some(domain) = object.key.strip_prefix(object::EVACUATIONS) {
            return self.apply_evacuation(domain, object, effects);
        }
        if object.key == object::ERA {
            self.set_era(object.version);
            return false;
        }
        if object.key.starts_with(object::DEPARTURES) {
            effects.extend(self.parse_departure(object).map(Effect::ApplyDeparture));
            return false;
        }
        if let Some(host) = object.key.strip_prefix(object::CRASHES) {
            self.apply_crashes(host, &object.value);
            return false;
        }
        if object.key.starts_with(object::TABLES) {
            self.apply_table_object(object, effects);
            return false;
        }
        if !object.key.starts_with(object::MEMBERS) {
            return false;
        }
        match serde_json::from_str::<Member>(&object.value) {
            Err(err) => warn!(key:% = object.key; "malformed member object: {err}"),
            Ok(member) => self.apply_member(member, object.version, effects),
        }
        true
    }

    fn apply_member(&mut self, member: Member, version: id::Version, effects: &mut Vec<Effect>) {
        self.apply_stored_crashes(&member);
        self.keep_lost_departures(&member, version, effects);
        let is_own_host = member.host == self.own.host;
        if is_own_host {
            self.apply_stored_departures(&member, effects);
        }
        let is_own_incarnation = is_own_host && member.incarnation == self.own.incarnation;
        if is_own_incarnation {
            self.documents.on_registered(version);
            self.on_registered(effects);
            let is_current = member.state == self.own.state && member.service == self.own.service;
            let is_restored = self
                .registered_at
                .is_some_and(|at| version::era(at) < version::era(version));
            if !is_restored || self.is_complete_registration(&member) {
                self.registered_at = is_current.then_some(version);
            }
        }
        if is_own_incarnation
            && member.state == MemberState::Left
            && self.own.state != MemberState::Left
        {
            warn!("another daemon reported this one as gone, registering again");
            self.register();
        }
        let is_outdated = self.is_outdated(&member, version);
        self.member_versions.insert(member.host.clone(), version);
        if is_outdated {
            info!(host:% = member.host, incarnation = member.incarnation; "outdated member ignored");
            return;
        }
        self.record_replaced(&member);
        info!(
            host:% = member.host,
            state:? = member.state,
            incarnation = member.incarnation;
            "member changed"
        );
        self.members.insert(member.host.clone(), member);
    }

    fn register(&mut self) {
        self.registered_at = None;
        self.enqueue_write(Write::Register(self.own.clone()));
    }

    fn report_gone(&self, member: membership::Member) {
        self.enqueue_write(Write::ReportGone(member.host, member.incarnation));
    }

    fn enqueue_write(&self, write: Write) {
        if let Err(err) = self.shared.writes.try_send(write) {
            warn!("could not enqueue a write to the platform: {err}");
        }
    }
}

impl SharedState {
    fn update(&self, change: impl FnOnce(&mut ListenerState)) {
        let state = self.listener_state.write();
        change(&mut state.unwrap_or_else(PoisonError::into_inner));
    }
}

/// Checks the object that holds the document of service `name`.
fn check_document(name: &id::ServiceName, value: &str) -> documents::Checked {
    let stored: object::Document = serde_json::from_str(value)
        .map_err(|err| vec![format!("could not read the object: {err}")])?;
    let service = document::check(&stored.text)
        .map_err(|findings| findings.iter().map(ToString::to_string).collect::<Vec<_>>())?;
    if service.name != *name {
        let finding = format!(
            "document names service `{}` under key `{name}`",
            service.name
        );
        return Err(vec![finding]);
    }
    Ok(service)
}
