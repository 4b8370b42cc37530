//! Messages between daemons, and the commands and events that the protocol
//! exchanges with its embedder.

use std::net;

use bytes::Bytes;
use pollenrouter_core::gate::statement::TargetNotice;
use pollenrouter_core::{call, entry, hint, http_message, id, membership, quota, replica};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

/// Host and address of another daemon.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Host that the daemon runs on.
    pub host: id::HostName,
    /// Address at which the daemon accepts connections from other daemons.
    pub address: net::SocketAddr,
}

/// A request with its complete body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Method, path and headers.
    pub head: http_message::RequestHead,
    /// Complete body.
    pub body: Bytes,
}

/// An answer with its complete body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Status and headers.
    pub head: http_message::ResponseHead,
    /// Complete body.
    pub body: Bytes,
}

/// A gate's reply to an offer or a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GateReply {
    /// What became of the call.
    pub reply: call::Reply,
    /// Load of the gate.
    pub load: hint::Hint,
    /// What is known about the gate's target.
    pub target_notice: Option<TargetNotice>,
    /// The target's answer, if the reply carries one.
    pub answer: Option<Answer>,
}

/// Gossip message with replicated objects, or with a digest of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Host of the sender.
    pub host: id::HostName,
    /// Address at which the sender accepts connections from other daemons.
    pub address: net::SocketAddr,
    /// Digest of the sender's replica, if the receiver should compare it with its own.
    pub digest: Option<replica::Digest>,
    /// With a digest, the versions that the sender holds: it asks for newer objects.
    /// Without a digest, versions that are new.
    pub versions: Option<Vec<(replica::Key, id::Version)>>,
    /// Objects that may be new to the receiver.
    pub objects: Vec<replica::Object>,
    /// Whether `objects` holds everything that the sender has and the receiver lacked
    /// when it asked.
    pub is_complete: bool,
}

/// Message about a large replicated object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// Host of the sender.
    pub host: id::HostName,
    /// Address at which the sender accepts connections from other daemons.
    pub address: net::SocketAddr,
    /// The message.
    pub message: membership::Transfer,
}

/// Commands that the protocol executes.
#[derive(Debug)]
pub enum Command {
    /// Offer a call to a gate.
    Offer(Peer, call::Offer, Request),
    /// Ask a gate what became of a call.
    Query(Peer, call::Query),
    /// Withdraw a call from a gate.
    Withdraw(Peer, call::Query),
    /// Send objects or a digest; only a failure is reported.
    Gossip(Peer, Gossip),
    /// Send a message about a large object; only a failure is reported.
    Transfer(Peer, Transfer),
    /// Send a heartbeat; nothing is reported.
    Heartbeat(Peer, Gossip),
    /// Send objects, and report when the daemon has received them.
    Replicate(Peer, Gossip),
    /// Check whether a daemon is reachable.
    Probe(Peer),
    /// Ask a holder for tokens in the name of this host; a failure is reported.
    Ask(Peer, id::HostName, quota::Ask),
    /// Reply to a request for tokens in the name of this host; nothing is reported.
    Grant(Peer, id::HostName, quota::Grant),
}

/// The event for a message that was not delivered to a host.
pub type Failure = fn(id::HostName) -> Event;

/// Channel for the reply to a received offer or query.
pub type ReplySender = oneshot::Sender<GateReply>;

/// Events that the protocol reports to its embedder.
#[derive(Debug)]
pub enum Event {
    /// An entry offers a call.
    OfferReceived(call::Offer, Request, ReplySender),
    /// An entry asks what became of a call.
    QueryReceived(call::Query, ReplySender),
    /// An entry withdraws a call.
    WithdrawalReceived(call::Query),
    /// Another daemon sent objects or a digest.
    GossipReceived(Gossip),
    /// Another daemon sent a message about a large object.
    TransferReceived(Transfer),
    /// A gate replied to an offer or a query.
    ReplyReceived(id::HostName, id::CallId, GateReply),
    /// The connection to a gate failed before it replied.
    ConnectionLost(id::HostName, id::CallId, entry::Sent),
    /// A daemon has received these objects.
    Replicated(id::HostName, Vec<replica::Object>),
    /// A daemon did not receive a message about a large object.
    TransferUndelivered(id::HostName),
    /// A daemon did not receive a gossip message.
    Unreachable(id::HostName),
    /// A daemon received a probe.
    Reachable(id::HostName),
    /// The entry of another daemon asks for tokens.
    AskReceived(id::HostName, quota::Ask),
    /// A holder replied to a request for tokens.
    GrantReceived(id::HostName, quota::Grant),
    /// A request for tokens, with this number, did not reach the holder.
    AskFailed(id::HostName, id::OrganisationName, u64),
}
