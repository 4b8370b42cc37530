//! Members of the fleet, as the gossip and the entry need them.

use pollenrouter_core::{entry, membership};
use pollenrouter_platform::object::{Member, MemberState};

use super::{Effect, Fleet};

impl Fleet {
    pub(super) fn update_members(&mut self, effects: &mut Vec<Effect>) {
        let is_present = |member: &&Member| member.state != MemberState::Left;
        let peers = self.members.values().filter(is_present).map(to_membership);
        self.membership
            .step(membership::Input::Members(peers.collect()));
        // This daemon's own entry comes from its local state: its member object may be stale
        // or that of an earlier incarnation.
        let is_own = |member: &&Member| member.host == self.own.host;
        let others = self.members.values().filter(|member| !is_own(member));
        let gates = others.filter(is_present).chain([&self.own]);
        let gates = gates
            .filter_map(|member| self.entry_member(member))
            .collect();
        effects.push(Effect::SetMembers(gates));
    }

    fn entry_member(&self, member: &Member) -> Option<entry::Member> {
        Some(entry::Member {
            host: member.host.clone(),
            incarnation: member.incarnation,
            service: member.service.clone()?,
            failure_domain: member.failure_domain.clone(),
            serving: member.state == MemberState::Serving,
            evacuated: self.evacuations.contains(&member.failure_domain),
        })
    }
}

pub(super) fn to_membership(member: &Member) -> membership::Member {
    membership::Member {
        host: member.host.clone(),
        failure_domain: member.failure_domain.clone(),
        incarnation: member.incarnation,
    }
}
