//! Inputs and outputs of the state machine.

use smol_str::SmolStr;

use super::{Message, Transfer};
use crate::id;
use crate::replica::{Key, Object};

/// A daemon of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    /// Its host.
    pub host: id::HostName,
    /// Its failure domain.
    pub failure_domain: id::DomainName,
    /// Its incarnation.
    pub incarnation: id::Incarnation,
}

/// Input of the state machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// Objects read from the platform, with a random number.
    Read(Vec<Object>, u64),
    /// A message from another daemon, with a random number.
    Received(id::HostName, Message, u64),
    /// A message about a large value from another daemon, with a random number.
    TransferReceived(id::HostName, Transfer, u64),
    /// A message about a large value was not delivered to a daemon.
    TransferUndelivered(id::HostName),
    /// Another message to a daemon was not delivered.
    Unreachable(id::HostName),
    /// The members that have not left.
    Members(Vec<Member>),
    /// A gossip round begins; with a random number.
    Round(u64),
    /// [`super::FLUSH_INTERVAL`] has passed; with a random number.
    Flush(u64),
    /// Request missing objects from other daemons.
    Sync,
    /// [`crate::watching::BEAT_INTERVAL`] has passed; whether the own watch reaches the platform.
    Beat(bool),
    /// All objects under a watched prefix were read from the platform.
    Listed,
}

/// Action for the embedder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send a message to a daemon.
    Send(id::HostName, Message),
    /// Send a message about a large value to a daemon.
    SendTransfer(id::HostName, Transfer),
    /// Report that the parts that a daemon has sent do not make up the value, and why.
    TransferFailed(id::HostName, Key, SmolStr),
    /// Send a heartbeat to a daemon; whether it arrives does not matter.
    SendHeartbeat(id::HostName, Message),
    /// Apply a newer version of an object.
    Changed(Object),
    /// Report a member as gone.
    Report(Member),
}
