//! What the platform has lost when it came back from a copy: this daemon's registration, and
//! departures that other hosts have registered.

use log::info;
use pollenrouter_core::gate::target::TargetIncarnation;
use pollenrouter_core::{id, membership, replica, version};
use pollenrouter_platform::object::{self, Member, MemberState};

use super::{Effect, Fleet};

/// Rounds from the news of an era to the check of the own registration: in the first one the
/// registrations that the copy has may still be on their way from the watchers.
const CHECK_AFTER_ROUNDS: u32 = 2;

/// Times that the rounds before the next check double.
const CHECK_DOUBLINGS_MAX: u32 = 6;

/// Earlier incarnations that are remembered of each host.
const REPLACED_MAX: usize = 8;

/// The platform's era as far as this daemon knows it.
#[derive(Debug, Default)]
pub(super) struct Era {
    /// `None` until it is known.
    number: Option<u64>,
    /// Rounds since it became known, or since the latest registration for it.
    rounds: u32,
    /// Registrations for it.
    registrations: u32,
}

impl Era {
    pub(super) fn number(&self) -> Option<u64> {
        self.number
    }

    /// Whether to check the own registration. An era that the platform has stated by mistake is
    /// never reached, so that registrations for it become rare.
    fn is_check_due(&self) -> bool {
        let doublings = self.registrations.min(CHECK_DOUBLINGS_MAX);
        self.rounds >= CHECK_AFTER_ROUNDS << doublings
    }
}

impl Fleet {
    /// Tells other daemons if the platform has entered a new era; most of them do not read it.
    pub(super) fn announce_era(&mut self, era: u64, effects: &mut Vec<Effect>) {
        let is_news = self.era.number.is_some_and(|known| known < era);
        self.set_era(era);
        if is_news {
            let object = replica::Object {
                key: object::ERA.into(),
                version: era,
                value: "".into(),
            };
            let read = membership::Input::Read(vec![object], rand::random());
            effects.extend(self.step(read));
        }
    }

    pub(super) fn set_era(&mut self, era: u64) {
        if self.era.number.is_none_or(|known| known < era) {
            self.era = Era {
                number: Some(era),
                ..Era::default()
            };
        }
    }

    /// Registers again if the platform does not have this daemon's registration since it came
    /// back from a copy. Daemons do so at different times, as their rounds begin.
    pub(super) fn check_registration(&mut self) {
        self.era.rounds = self.era.rounds.saturating_add(1);
        let registered_era = self.registered_at.map(version::era);
        let is_lost = registered_era.is_some() && registered_era < self.era.number;
        if is_lost && self.era.is_check_due() {
            self.era.rounds = 0;
            self.era.registrations += 1;
            info!(era = self.era.number.unwrap_or_default(); "the platform has lost this daemon's registration");
            self.register();
        }
    }

    /// Whether a stored registration has all that this daemon has registered.
    pub(super) fn is_complete_registration(&self, stored: &Member) -> bool {
        let is_stored = |departed: &TargetIncarnation| {
            let mut stored = stored.departed.iter();
            stored.any(|stored| stored.implies_departure_of(departed))
        };
        stored.incarnation == self.own.incarnation
            && stored.state == self.own.state
            && stored.service == self.own.service
            && stored.crashes == self.own.crashes
            && self.own.departed.iter().all(is_stored)
    }

    /// Whether a member object describes the host as it was before what is known of it, so that
    /// only a restored platform can have it: an incarnation that another has replaced, or one
    /// that has left.
    pub(super) fn is_outdated(&self, member: &Member, version: id::Version) -> bool {
        let Some(held) = self.members.get(&member.host) else {
            return false;
        };
        if held.incarnation != member.incarnation {
            let replaced = self.replaced.get(&member.host);
            return replaced.is_some_and(|replaced| replaced.contains(&member.incarnation));
        }
        let held_version = self.member_versions.get(&member.host).copied();
        let is_restored =
            held_version.is_some_and(|held| version::era(held) < version::era(version));
        is_restored && held.state == MemberState::Left
    }

    /// Remembers the incarnation that this member replaces.
    pub(super) fn record_replaced(&mut self, member: &Member) {
        let held = self.members.get(&member.host).map(|held| held.incarnation);
        let Some(held) = held.filter(|held| *held != member.incarnation) else {
            return;
        };
        let replaced = self.replaced.entry(member.host.clone()).or_default();
        replaced.push_back(held);
        if replaced.len() > REPLACED_MAX {
            replaced.pop_front();
        }
    }

    /// Keeps the departures of a host that the platform has lost, for its next incarnation.
    pub(super) fn keep_lost_departures(
        &mut self,
        member: &Member,
        version: id::Version,
        effects: &mut Vec<Effect>,
    ) {
        let held_version = self.member_versions.get(&member.host).copied();
        if held_version.is_none_or(|held| version::era(held) >= version::era(version)) {
            return;
        }
        let Some(held) = self.members.get(&member.host) else {
            return;
        };
        let is_lost = |departed: &&TargetIncarnation| {
            let mut stored = member.departed.iter();
            !stored.any(|stored| stored.implies_departure_of(departed))
        };
        let lost = held.departed.iter().filter(is_lost);
        let objects: Vec<replica::Object> = lost
            .map(|incarnation| object::departure(&member.host, incarnation))
            .collect();
        if !objects.is_empty() {
            effects.extend(self.step(membership::Input::Read(objects, rand::random())));
        }
    }
}
