//! Messages between the target's client and its embedder.

use std::net;
use std::time::{Duration, Instant};

use bytes::Bytes;
use pollenrouter_core::{gate, http_message, id};
use tokio::sync::oneshot;

/// A call to send to the target.
#[derive(Debug)]
pub struct Run {
    /// The call.
    pub id: id::CallId,
    /// Head.
    pub head: http_message::RequestHead,
    /// Whole body.
    pub body: Bytes,
    /// The only target that may run it; empty for any.
    pub target: id::TargetName,
    /// Whether it may run at most once.
    pub once: bool,
    /// When it must be answered.
    pub deadline: Instant,
    /// Depth that the target should state in calls of its own.
    pub depth: u8,
    /// Largest answer body, bytes.
    pub answer_bytes: u64,
}

/// What a target says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Heard {
    /// It announces itself; the address takes calls.
    Announced(gate::Announcement, net::SocketAddr),
    /// It leaves; 0 as its start means the life that announced itself last.
    Departs(gate::target::TargetIncarnation),
}

/// Work for the target's client.
#[derive(Debug)]
pub enum Command {
    /// Send a call.
    Run(Run),
    /// The answer to a call is no longer wanted.
    Cancel(id::CallId),
    /// Ask the target for its health.
    Probe,
    /// Ask the target for its load.
    AskLoad,
    /// Send later calls to this address.
    Use(net::SocketAddr),
}

/// What the target's client tells its embedder.
#[derive(Debug)]
pub enum Event {
    /// What a target said of itself; acknowledged once a restart does not lose it.
    Heard(Box<Heard>, oneshot::Sender<()>),
    /// A target reported its load.
    Reported(gate::LoadReport),
    /// A target was asked for its load and did not tell.
    Unreported,
    /// The target is done with a call.
    Finished(
        id::CallId,
        gate::Outcome,
        Option<(http_message::ResponseHead, Bytes)>,
    ),
    /// The target replied to a probe, or did not.
    Probed(bool, Duration),
}
