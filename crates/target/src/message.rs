//! Messages between the target's client and its embedder.

use std::net;
use std::time::{Duration, Instant};

use bytes::Bytes;
use pollenrouter_core::{exchange, gate, id};

/// A call to send to the target.
#[derive(Debug)]
pub struct Run {
    /// The call.
    pub id: id::CallId,
    /// Head.
    pub head: exchange::RequestHead,
    /// Whole body.
    pub body: Bytes,
    /// When it must be answered.
    pub deadline: Instant,
    /// Depth that the target should state in calls of its own.
    pub depth: u8,
    /// Largest answer body, bytes.
    pub answer_bytes: u64,
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
}

/// What the target's client tells its embedder.
#[derive(Debug)]
pub enum Event {
    /// The target announced itself; the address takes calls.
    Announced(gate::Announcement, net::SocketAddr),
    /// The target is done with a call.
    Finished(
        id::CallId,
        gate::Outcome,
        Option<(exchange::AnswerHead, Bytes)>,
    ),
    /// The target replied to a probe, or did not.
    Probed(bool, Duration),
}
