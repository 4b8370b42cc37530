//! Members, documents and gossip of one daemon.

mod departures;
mod tables;

use std::collections::{BTreeMap, BTreeSet};
use std::net;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError, RwLock, mpsc};

use log::{info, warn};
use pollenrouter_core::gate::target::TargetIncarnation;
use pollenrouter_core::membership::{self, Membership};
use pollenrouter_core::{documents, entry, id, probe_share, replica, service, startup_sync, table};
use pollenrouter_daemon::message::{Command, Gossip, Peer};
use pollenrouter_operator::document;
use pollenrouter_platform::client::Listing;
use pollenrouter_platform::object::{self, Member, MemberState};

use crate::profile::Profile;
use crate::registry::Write;

/// What the listeners have to know.
#[derive(Debug, Default)]
pub struct Known {
    /// Whether a table can be in force yet.
    pub is_confirmed: bool,
    /// The table in force.
    pub table: Option<Arc<table::Table>>,
    /// Whether a planned stop has begun.
    pub is_stopping: bool,
}

impl Known {
    /// Whether callers may come.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_confirmed && self.table.is_some() && !self.is_stopping
    }
}

/// [`Known`], shared with the listeners.
pub type SharedKnown = Arc<RwLock<Known>>;

/// What the router has to do.
#[derive(Debug)]
pub enum Effect {
    /// Give work to the protocol.
    Send(Command),
    /// The gates that the entry may pick from changed.
    Members(Vec<entry::Member>),
    /// What holds for a service came into force.
    Document(service::Service),
    /// The life of a target on this host has left, and that will be known after a
    /// restart of this daemon too.
    Departed(TargetIncarnation),
    /// The life of a target on this host has left; other daemons know.
    Departing(TargetIncarnation),
    /// Departures before this daemon's start are known.
    Synced,
}

/// What a fleet shares with other threads.
pub struct Shared {
    /// What the listeners have to know.
    pub known: SharedKnown,
    /// Whether this daemon watches the platform.
    pub watching: Arc<AtomicBool>,
    /// Whether a fresh read of the platform was taken in.
    pub confirmed: Arc<AtomicBool>,
    /// Writes to the platform.
    pub writes: mpsc::SyncSender<Write>,
}

/// One daemon's part in the fleet.
pub struct Fleet {
    own: Member,
    membership: Membership,
    documents: documents::Documents,
    tables: pollenrouter_core::active_table::ActiveTable,
    profile: Profile,
    members: BTreeMap<id::HostName, Member>,
    versions: BTreeMap<id::HostName, id::Version>,
    /// Version of this daemon's latest registration, once it took effect.
    registered_at: Option<id::Version>,
    heard_from: BTreeMap<id::HostName, net::SocketAddr>,
    /// Daemons that hold a departure of this host, by its key.
    holders: BTreeMap<replica::Key, BTreeSet<id::HostName>>,
    catchup: startup_sync::StartupSync,
    is_synced: bool,
    shared: Shared,
}

impl Fleet {
    /// A fleet of which nothing is known but `own`, which registers.
    pub fn new(own: Member, profile: Profile, shared: Shared) -> Self {
        let mut fleet = Self {
            membership: Membership::new(membership_member(&own)),
            documents: documents::Documents::default(),
            tables: pollenrouter_core::active_table::ActiveTable::default(),
            profile,
            members: BTreeMap::new(),
            versions: BTreeMap::new(),
            registered_at: None,
            heard_from: BTreeMap::new(),
            holders: BTreeMap::new(),
            catchup: startup_sync::StartupSync::default(),
            is_synced: false,
            own,
            shared,
        };
        fleet.register();
        fleet
    }

    /// Documents in force and rejected.
    pub fn documents(&self) -> &documents::Documents {
        &self.documents
    }

    /// The table in force.
    pub fn table(&self) -> Option<&Arc<table::Table>> {
        self.tables.get()
    }

    /// All members that are known, also those that have left.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Whether this daemon watches the platform.
    pub fn is_watcher(&self) -> bool {
        self.membership.is_watcher()
    }

    /// Whether this daemon may spend a share of its service's budget.
    pub fn may_spend(&self, shared_by: u32) -> bool {
        let others = self.members.values().filter(|m| {
            m.state != MemberState::Left && m.service == self.own.service && m.host != self.own.host
        });
        let versions = others.filter_map(|m| self.versions.get(&m.host).copied());
        probe_share::has_share(
            probe_share::position(self.registered_at, versions),
            shared_by,
        )
    }

    /// Address of another daemon.
    pub fn peer(&self, host: &id::HostName) -> Option<Peer> {
        let known = self.members.get(host).map(|member| member.address);
        let address = known.or_else(|| self.heard_from.get(host).copied())?;
        Some(Peer {
            host: host.clone(),
            address,
        })
    }

    /// Registers this daemon's state at the platform when it has changed.
    pub fn set_state(&mut self, service: Option<id::ServiceName>, state: MemberState) {
        let service = service.or_else(|| self.own.service.clone());
        if self.own.service == service && self.own.state == state {
            return;
        }
        self.own.service = service;
        self.own.state = state;
        self.register();
    }

    /// A planned stop has begun.
    pub fn stopping(&self) {
        self.shared.set(|known| known.is_stopping = true);
    }

    /// All objects under a prefix were read from the platform.
    pub fn listed(&mut self, prefix: &str, listing: Listing) -> Vec<Effect> {
        if object::MEMBERS.starts_with(prefix) {
            self.catchup.on_members_listed();
        }
        let input = membership::Input::Read(listing.objects, rand::random());
        let mut effects = self.step(input);
        self.catch_up(&mut effects);
        if self.profile.parse_table.is_some() {
            return effects;
        }
        let changes = self.documents.on_listed(listing.revision);
        let confirmed = self.documents.is_confirmed();
        self.shared.confirmed.store(confirmed, Ordering::Relaxed);
        for change in changes {
            self.document_changed(change, &mut effects);
        }
        if confirmed {
            self.shared.set(|known| known.is_confirmed = true);
            self.compile(&mut effects);
        }
        effects
    }

    /// Takes a message of another daemon.
    pub fn heard(&mut self, gossip: Gossip) -> Vec<Effect> {
        self.heard_from.insert(gossip.host.clone(), gossip.address);
        let message = membership::Message {
            digest: gossip.digest,
            versions: gossip
                .versions
                .map(|versions| versions.into_iter().collect()),
            objects: gossip.objects,
            is_complete: gossip.is_complete,
        };
        let is_equal = message.digest == Some(self.membership.replica().digest());
        if message.is_complete || is_equal {
            self.catchup.on_peer_synced();
        }
        let mut effects = self.step(membership::Input::Received(
            gossip.host,
            message,
            rand::random(),
        ));
        self.catch_up(&mut effects);
        effects
    }

    /// A round begins; a daemon that has just started asks others what it lacks.
    pub fn round(&mut self) -> Vec<Effect> {
        self.catchup.on_round();
        let mut effects = self.step(membership::Input::Round(rand::random()));
        self.catch_up(&mut effects);
        effects
    }

    /// Takes any other input.
    pub fn step(&mut self, input: membership::Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        let mut members_changed = false;
        for output in self.membership.step(input) {
            match output {
                membership::Output::Send(host, message) => {
                    effects.extend(self.gossip(&host, message));
                }
                membership::Output::Changed(object) => {
                    members_changed |= self.changed(&object, &mut effects);
                }
                membership::Output::Report(member) => self.report(member),
            }
        }
        if members_changed {
            self.members_changed(&mut effects);
        }
        let watching = self.membership.is_watcher();
        self.shared.watching.store(watching, Ordering::Relaxed);
        effects
    }

    fn gossip(&self, host: &id::HostName, message: membership::Message) -> Option<Effect> {
        let peer = self.peer(host)?;
        Some(Effect::Send(Command::Gossip(peer, self.gossip_of(message))))
    }

    fn gossip_of(&self, message: membership::Message) -> Gossip {
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

    /// Takes in an object; tells whether it is a member's.
    fn changed(&mut self, object: &replica::Object, effects: &mut Vec<Effect>) -> bool {
        if let Some(name) = object.key.strip_prefix(object::SERVICES) {
            let name = id::ServiceName::new(name);
            let verdict = verdict(&name, &object.value);
            if let Some(change) = self.documents.apply(&name, object.version, verdict) {
                self.document_changed(change, effects);
            }
            return false;
        }
        if object.key.starts_with(object::DEPARTURES) {
            effects.extend(self.departure(object).map(Effect::Departing));
            return false;
        }
        if object.key.starts_with(object::TABLES) {
            self.table_changed(object, effects);
            return false;
        }
        if !object.key.starts_with(object::MEMBERS) {
            return false;
        }
        match serde_json::from_str::<Member>(&object.value) {
            Err(err) => warn!(key:% = object.key; "could not read a member: {err}"),
            Ok(member) => self.member_changed(member, object.version, effects),
        }
        true
    }

    fn member_changed(&mut self, member: Member, version: id::Version, effects: &mut Vec<Effect>) {
        let own_life = member.host == self.own.host && member.incarnation == self.own.incarnation;
        if own_life {
            self.documents.on_registered(version);
            self.registered(&member, effects);
            let is_latest = member.state == self.own.state && member.service == self.own.service;
            self.registered_at = is_latest.then_some(version);
        }
        if own_life && member.state == MemberState::Left && self.own.state != MemberState::Left {
            warn!("another daemon reported this one as gone, registering again");
            self.register();
        }
        info!(
            host:% = member.host,
            state:? = member.state,
            incarnation = member.incarnation;
            "member changed"
        );
        self.versions.insert(member.host.clone(), version);
        self.members.insert(member.host.clone(), member);
    }

    fn members_changed(&mut self, effects: &mut Vec<Effect>) {
        let there = |member: &&Member| member.state != MemberState::Left;
        let peers = self.members.values().filter(there).map(membership_member);
        self.membership
            .step(membership::Input::Members(peers.collect()));
        // Of itself a daemon knows more than its object says, which may be that of an
        // earlier life.
        let is_own = |member: &&Member| member.host == self.own.host;
        let others = self.members.values().filter(|member| !is_own(member));
        let gates = others.filter(there).chain([&self.own]);
        let gates = gates.filter_map(entry_member).collect();
        effects.push(Effect::Members(gates));
    }

    fn register(&mut self) {
        self.registered_at = None;
        self.write(Write::Register(self.own.clone()));
    }

    fn report(&self, member: membership::Member) {
        self.write(Write::Report(member.host, member.incarnation));
    }

    fn write(&self, write: Write) {
        if let Err(err) = self.shared.writes.try_send(write) {
            warn!("too many writes wait for the platform: {err}");
        }
    }
}

impl Shared {
    fn set(&self, change: impl FnOnce(&mut Known)) {
        let known = self.known.write();
        change(&mut known.unwrap_or_else(PoisonError::into_inner));
    }
}

/// Verdict on a document as it stands at the platform.
fn verdict(name: &id::ServiceName, value: &str) -> documents::Checked {
    let held: object::Document = serde_json::from_str(value)
        .map_err(|err| vec![format!("could not read the object: {err}")])?;
    let service = document::check(&held.text)
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

fn membership_member(member: &Member) -> membership::Member {
    membership::Member {
        host: member.host.clone(),
        failure_domain: member.failure_domain.clone(),
        incarnation: member.incarnation,
    }
}

fn entry_member(member: &Member) -> Option<entry::Member> {
    Some(entry::Member {
        host: member.host.clone(),
        incarnation: member.incarnation,
        service: member.service.clone()?,
        failure_domain: member.failure_domain.clone(),
        serving: member.state == MemberState::Serving,
    })
}
