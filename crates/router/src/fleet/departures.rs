//! Departures of targets on this host, stored so that they survive a restart of the daemon.

use log::{info, warn};
use pollenrouter_core::gate::target::{self, TargetIncarnation};
use pollenrouter_core::{id, membership, replica, startup_sync};
use pollenrouter_daemon::message::Command;
use pollenrouter_platform::object::{self, Member, MemberState};

use super::{Effect, Fleet};

/// Number of daemons asked to store a departure while the platform is unavailable.
const REPLICAS_REQUESTED: usize = 4;

impl Fleet {
    /// Registers the departure of a target on this host and the resulting member state in
    /// one write to the platform.
    pub fn record_departure(&mut self, incarnation: TargetIncarnation, state: MemberState) {
        let is_new =
            target::record_departure(&mut self.own.departed, incarnation, object::DEPARTED_MAX);
        if is_new || self.own.state != state {
            self.own.state = state;
            self.register();
        }
    }

    /// Asks other daemons to store a departure that the platform has not stored yet.
    pub fn replicate_departure(&mut self, incarnation: &TargetIncarnation) -> Vec<Effect> {
        let object = object::departure(&self.own.host, incarnation);
        let read = membership::Input::Read(vec![object.clone()], rand::random());
        let mut effects = self.step(read);
        effects.extend(self.replicate(&object, REPLICAS_REQUESTED));
        effects
    }

    /// Asks other daemons to store this daemon's registration, which the platform has stored.
    pub fn copy_registration(&self) -> Vec<Effect> {
        let key = object::member_key(&self.own.host);
        let registration = self.membership.replica().get(&key);
        registration.map_or_else(Vec::new, |registration| {
            self.replicate(registration, startup_sync::COPIES)
        })
    }

    /// Sends an object to `count` other daemons, first to those that a starting daemon asks, then
    /// to those of its own failure domain.
    fn replicate(&self, object: &replica::Object, count: usize) -> Vec<Effect> {
        let mut hosts: Vec<&Member> = self.other_members().collect();
        let offset = usize::from(rand::random::<u16>()) % hosts.len().max(1);
        hosts.rotate_left(offset);
        let asked = self.membership.sync_peers(startup_sync::COPIES);
        let is_remote = |member: &Member| member.failure_domain != self.own.failure_domain;
        hosts.sort_by_key(|member| (!asked.contains(&member.host), is_remote(member)));
        let hosts = hosts.into_iter().map(|member| &member.host).take(count);
        let replicate = |peer| {
            let message = membership::Message {
                objects: vec![object.clone()],
                ..membership::Message::default()
            };
            Effect::Send(Command::Replicate(peer, self.to_gossip(message)))
        };
        hosts
            .filter_map(|host| self.peer(host).map(replicate))
            .collect()
    }

    /// The daemons of other hosts that have not left.
    fn other_members(&self) -> impl Iterator<Item = &Member> {
        let members = self.members.values();
        members.filter(|member| member.state != MemberState::Left && member.host != self.own.host)
    }

    /// Records that another daemon stores objects; returns the departures of targets on
    /// this host that enough daemons store now. One that the platform has stored, too, does not
    /// need more copies than there are other daemons.
    pub fn on_replicated(
        &mut self,
        host: &id::HostName,
        objects: &[replica::Object],
    ) -> Vec<TargetIncarnation> {
        let mut replicated = Vec::new();
        let others = self.other_members().count();
        for object in objects {
            if object.key == object::member_key(&self.own.host) {
                let member = serde_json::from_str::<Member>(&object.value);
                for departed in member.into_iter().flat_map(|member| member.departed) {
                    let key = object::departure_key(&self.own.host, &departed);
                    let replicas = self.count_replica(key, host);
                    if replicas >= startup_sync::CONFIRMATIONS.min(others) {
                        replicated.push(departed);
                    }
                }
                continue;
            }
            let replicas = self.count_replica(object.key.clone(), host);
            if replicas >= startup_sync::CONFIRMATIONS {
                replicated.extend(self.parse_departure(object));
            }
        }
        replicated
    }

    /// Records that another daemon stores a departure; returns how many do.
    fn count_replica(&mut self, key: replica::Key, host: &id::HostName) -> usize {
        let replicas = self.departure_replicas.entry(key).or_default();
        replicas.insert(host.clone());
        replicas.len()
    }

    /// Parses a departure object; `None` if it is malformed or concerns another host.
    pub(super) fn parse_departure(&self, object: &replica::Object) -> Option<TargetIncarnation> {
        let suffix = object.key.strip_prefix(object::DEPARTURES)?;
        let (host, _) = suffix.split_once('/')?;
        if self.own.host != host {
            return None;
        }
        match serde_json::from_str(&object.value) {
            Ok(incarnation) => Some(incarnation),
            Err(err) => {
                warn!(key:% = object.key; "malformed departure object: {err}");
                None
            }
        }
    }

    /// Whether the members of the fleet are known: this daemon has read them from the platform,
    /// or another daemon has sent them.
    pub fn knows_members(&self) -> bool {
        self.is_synced && self.startup_sync.knows_members()
    }

    /// Whether a peer that has sent all that it has knows enough to open the gate. One that does
    /// not know this host cannot know of its departures either.
    pub(super) fn is_peer_informed(&self) -> bool {
        self.members.contains_key(&self.own.host) && self.knows_evacuations()
    }

    /// Opens the gate if the departures acknowledged before this daemon started are known;
    /// otherwise requests missing objects from other daemons.
    pub(super) fn check_startup_sync(&mut self, effects: &mut Vec<Effect>) {
        if self.is_synced {
            return;
        }
        let view = startup_sync::FleetView {
            has_own_object: self.members.contains_key(&self.own.host),
            has_other_members: self.other_members().next().is_some(),
            asked: &self.membership.sync_peers(startup_sync::COPIES),
        };
        self.is_synced = self.startup_sync.is_complete(view);
        if self.is_synced {
            effects.push(Effect::OpenGate);
        } else if self.knows_evacuations() {
            effects.extend(self.step(membership::Input::Sync));
        }
    }

    /// Applies the departures in a stored member object of this host. They hold whichever
    /// incarnation of this daemon registered them, and whoever sent the object.
    pub(super) fn apply_stored_departures(&mut self, member: &Member, effects: &mut Vec<Effect>) {
        for incarnation in &member.departed {
            let is_news = target::record_departure(
                &mut self.own.departed,
                incarnation.clone(),
                object::DEPARTED_MAX,
            );
            if is_news {
                info!(
                    target:% = incarnation.name,
                    born = incarnation.started_ms,
                    registered_by = member.incarnation;
                    "stored departure applied"
                );
            }
            effects.push(Effect::ConfirmDeparture(incarnation.clone()));
        }
    }

    /// Records that the platform stored the registration of this incarnation.
    pub(super) fn on_registered(&mut self, effects: &mut Vec<Effect>) {
        self.startup_sync.on_registered();
        self.check_startup_sync(effects);
    }
}
