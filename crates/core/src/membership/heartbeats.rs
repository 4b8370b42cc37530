//! Heartbeats of watchers, by which daemons notice that updates of the platform do not reach them.

use super::{Membership, Message, Output};
use crate::id;

impl Membership {
    pub(super) fn send_heartbeats(&self, out: &mut Vec<Output>) {
        let own_domain = self.domain_hosts().filter(|host| **host != self.own.host);
        let message = Message::heartbeat(self.duty.receives_updates());
        out.extend(own_domain.map(|host| Output::SendHeartbeat(host.clone(), message.clone())));
        // Traffic between failure domains is billed: their watchers are asked only in an outage.
        if !self.duty.is_connected() {
            let message = Message::heartbeat(false);
            let remote = self.remote_watchers.iter().flatten();
            out.extend(remote.map(|host| Output::SendHeartbeat(host.clone(), message.clone())));
        }
    }

    pub(super) fn record_heartbeat(
        &mut self,
        host: id::HostName,
        receives_updates: bool,
        out: &mut Vec<Output>,
    ) {
        let Some(member) = self.members.get(&host) else {
            return;
        };
        if member.failure_domain != self.own.failure_domain {
            // Only the own watch counts, or two daemons could keep each other in a false belief.
            if !receives_updates && self.duty.is_connected() {
                let message = Message::heartbeat(true);
                out.push(Output::SendHeartbeat(host.clone(), message));
            }
            self.duty.record_remote_heartbeat(host, receives_updates);
        } else if self.duty.record_heartbeat(host.clone(), receives_updates) {
            out.push(Output::Send(host, self.digest_message()));
        }
    }
}
