//! Messages about large objects.

use pollenrouter_core::{id, membership};
use pollenrouter_daemon::message::{Command, Transfer};

use super::{Effect, Fleet};

impl Fleet {
    /// Processes a message about a large object from another daemon.
    pub fn on_transfer(&mut self, transfer: Transfer) -> Vec<Effect> {
        let Transfer {
            host,
            address,
            message,
        } = transfer;
        self.gossip_addresses.insert(host.clone(), address);
        let draw = rand::random();
        self.step(membership::Input::TransferReceived(host, message, draw))
    }

    pub(super) fn transfer_effect(
        &self,
        host: &id::HostName,
        message: membership::Transfer,
    ) -> Option<Effect> {
        let peer = self.peer(host)?;
        let transfer = Transfer {
            host: self.own.host.clone(),
            address: self.own.address,
            message,
        };
        Some(Effect::Send(Command::Transfer(peer, transfer)))
    }
}
