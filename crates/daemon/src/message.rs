//! Messages between daemons, and between the protocol and its embedder.

use std::net;

use bytes::Bytes;
use pollenrouter_core::{call, entry, hint, http_message, id, replica};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

/// Another daemon.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Its host.
    pub host: id::HostName,
    /// Its address for other daemons.
    pub address: net::SocketAddr,
}

/// A request with its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Head.
    pub head: http_message::RequestHead,
    /// Whole body.
    pub body: Bytes,
}

/// An answer with its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Head.
    pub head: http_message::ResponseHead,
    /// Whole body.
    pub body: Bytes,
}

/// A gate's reply, with the answer where there is one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replied {
    /// The gate's word.
    pub reply: call::Reply,
    /// Its load.
    pub hint: hint::Hint,
    /// The answer for [`call::Reply::Answer`].
    pub answer: Option<Answer>,
}

/// Exchange of objects between two daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Host of the sender.
    pub host: id::HostName,
    /// Address of the sender for other daemons.
    pub address: net::SocketAddr,
    /// Digest of all that the sender holds, where it is to be compared.
    pub digest: Option<replica::Digest>,
    /// Versions that the sender holds, where it asks for newer ones.
    pub versions: Option<Vec<(replica::Key, id::Version)>>,
    /// Objects that the sender believes are news.
    pub objects: Vec<replica::Object>,
    /// Whether these are all that the sender holds and the receiver lacked when it asked.
    pub is_whole: bool,
}

/// Work for the protocol.
#[derive(Debug)]
pub enum Command {
    /// Send an offer.
    Offer(Peer, call::Offer, Request),
    /// Ask over a new connection.
    Query(Peer, call::Query),
    /// Withdraw a call.
    Withdraw(Peer, call::Query),
    /// Send objects or a digest.
    Gossip(Peer, Gossip),
    /// Send objects, and tell when the daemon has them.
    Copy(Peer, Gossip),
    /// Find out whether a daemon can be reached.
    Probe(Peer),
}

/// Where the reply to a received message goes.
pub type ReplyTo = oneshot::Sender<Replied>;

/// What the protocol tells its embedder.
#[derive(Debug)]
pub enum Event {
    /// An entry offers a call.
    Offered(call::Offer, Request, ReplyTo),
    /// An entry asks about a call.
    Asked(call::Query, ReplyTo),
    /// An entry withdraws a call.
    Withdrawn(call::Query),
    /// Another daemon sent objects or a digest.
    Gossiped(Gossip),
    /// A gate replied.
    Replied(id::HostName, id::CallId, Replied),
    /// A connection failed while a call was open.
    Lost(id::HostName, id::CallId, entry::Sent),
    /// A daemon has these objects now.
    Copied(id::HostName, Vec<replica::Object>),
    /// A daemon did not accept a gossip message.
    Unreachable(id::HostName),
    /// A daemon accepted a probe.
    Reachable(id::HostName),
}
