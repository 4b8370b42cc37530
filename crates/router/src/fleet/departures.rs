//! Departures of targets on this host: what of them outlasts this daemon.

use log::warn;
use pollenrouter_core::gate::target::{self, TargetIncarnation};
use pollenrouter_core::{id, membership, replica, startup_sync};
use pollenrouter_daemon::message::Command;
use pollenrouter_platform::object::{self, Member, MemberState};

use super::{Effect, Fleet};

/// Daemons that are asked to hold a departure while the platform is out.
const COPIES_ASKED: usize = 4;
/// Daemons that must hold a departure before it is acknowledged: one may be lost.
const COPIES_MIN: usize = 2;

impl Fleet {
    /// The life of a target on this host leaves; one write to the platform says so, and
    /// the state that follows from it.
    pub fn depart(&mut self, life: TargetIncarnation, state: MemberState) {
        let is_new = target::record_departure(&mut self.own.departed, life, object::DEPARTED_MAX);
        if is_new || self.own.state != state {
            self.own.state = state;
            self.register();
        }
    }

    /// Has other daemons hold a copy of a departure that the platform has not taken.
    pub fn copy_departure(&mut self, life: &TargetIncarnation) -> Vec<Effect> {
        let object = replica::Object {
            key: object::departure_key(&self.own.host, life),
            version: 1,
            value: serde_json::to_string(life).unwrap_or_default().into(),
        };
        let read = membership::Input::Read(vec![object.clone()], rand::random());
        let mut effects = self.step(read);
        let others = self
            .members
            .values()
            .filter(|member| member.state != MemberState::Left && member.host != self.own.host);
        let hosts = others.map(|member| (&member.failure_domain, &member.host));
        let mut hosts: Vec<(&id::DomainName, &id::HostName)> = hosts.collect();
        let first = usize::from(rand::random::<u16>()) % hosts.len().max(1);
        hosts.rotate_left(first);
        // A daemon that starts asks those of its failure domain first.
        hosts.sort_by_key(|(domain, _)| **domain != self.own.failure_domain);
        let hosts: Vec<id::HostName> = hosts.into_iter().map(|(_, host)| host.clone()).collect();
        for host in hosts.into_iter().take(COPIES_ASKED) {
            if let Some(peer) = self.peer(&host) {
                let message = membership::Message {
                    objects: vec![object.clone()],
                    ..membership::Message::default()
                };
                effects.push(Effect::Send(Command::Replicate(
                    peer,
                    self.gossip_of(message),
                )));
            }
        }
        effects
    }

    /// Takes the word of another daemon that it holds objects; returns departures of
    /// this host that enough daemons hold now.
    pub fn copied(
        &mut self,
        host: &id::HostName,
        objects: &[replica::Object],
    ) -> Vec<TargetIncarnation> {
        let mut enough = Vec::new();
        for object in objects {
            let holders = self.holders.entry(object.key.clone()).or_default();
            holders.insert(host.clone());
            if holders.len() >= COPIES_MIN {
                enough.extend(self.departure(object));
            }
        }
        enough
    }

    /// The life of a target on this host that an object says has left.
    pub(super) fn departure(&self, object: &replica::Object) -> Option<TargetIncarnation> {
        let rest = object.key.strip_prefix(object::DEPARTURES)?;
        let (host, _) = rest.split_once('/')?;
        if self.own.host != host {
            return None;
        }
        match serde_json::from_str(&object.value) {
            Ok(life) => Some(life),
            Err(err) => {
                warn!(key:% = object.key; "could not read a departure: {err}");
                None
            }
        }
    }

    /// Opens the gate once departures before this daemon's start are known.
    pub(super) fn catch_up(&mut self, effects: &mut Vec<Effect>) {
        if self.is_synced {
            return;
        }
        let others = self.members.values();
        let mut others = others.filter(|m| m.state != MemberState::Left && m.host != self.own.host);
        let view = startup_sync::FleetView {
            has_own_object: self.members.contains_key(&self.own.host),
            has_other_members: others.next().is_some(),
        };
        self.is_synced = self.catchup.is_complete(view);
        if self.is_synced {
            effects.push(Effect::Synced);
        } else {
            effects.extend(self.step(membership::Input::Sync));
        }
    }

    /// This daemon's own object stands at the platform.
    pub(super) fn registered(&mut self, member: &Member, effects: &mut Vec<Effect>) {
        for life in &member.departed {
            target::record_departure(&mut self.own.departed, life.clone(), object::DEPARTED_MAX);
            effects.push(Effect::Departed(life.clone()));
        }
        self.catchup.on_registered();
        self.catch_up(effects);
    }
}
