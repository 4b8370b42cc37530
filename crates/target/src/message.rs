//! Commands to the client of the target, and events that it reports to its embedder.

use std::net;
use std::time::Duration;

use bytes::Bytes;
use pollenrouter_core::{gate, http_message, id};
use tokio::sync::oneshot;

/// A call to send to the target.
#[derive(Debug)]
pub struct OutboundCall {
    /// Id of the call.
    pub id: id::CallId,
    /// Method, path and headers of the request.
    pub head: http_message::RequestHead,
    /// Complete body of the request.
    pub body: Bytes,
    /// Digest of the request, for logs.
    pub fingerprint: id::Fingerprint,
    /// The only target that may run the call; its name is empty if any target may.
    pub target: gate::target::TargetIncarnation,
    /// Whether the call may run at most once.
    pub at_most_once: bool,
    /// When the call must be answered, by the clock of the sender.
    pub deadline: Duration,
    /// Depth that the target should state in the calls that it makes itself.
    pub depth: u8,
    /// Maximum size of the answer's body, bytes.
    pub answer_max_bytes: u64,
}

/// What a target tells the daemon about its own state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LifecycleMessage {
    /// The target announces itself; it takes calls at the address.
    Announcement(gate::Announcement, net::SocketAddr),
    /// The target leaves. A start time of 0 stands for the incarnation that announced itself last.
    Departure(gate::target::TargetIncarnation),
}

/// Commands that the client of the target executes.
#[derive(Debug)]
pub enum Command {
    /// Send a call.
    Send(OutboundCall),
    /// Cancel a call whose answer is no longer wanted.
    Cancel(id::CallId),
    /// Check the target's health.
    Probe,
    /// Ask this target for its load.
    QueryLoad(gate::target::TargetIncarnation),
    /// Send later calls to this address.
    SetAddress(net::SocketAddr),
}

/// Events that the client of the target reports to its embedder.
#[derive(Debug)]
pub enum Event {
    /// A target sent a lifecycle message. The sender acknowledges it, once a restart of
    /// the daemon would not lose it.
    LifecycleReceived(Box<LifecycleMessage>, oneshot::Sender<()>),
    /// The target reported its load.
    LoadReported(gate::LoadReport),
    /// A target stated something about itself in the head of an answer, or states it no more.
    Stated(gate::statement::Statement),
    /// The target did not report its load when asked.
    LoadUnavailable,
    /// A connection to this target was refused or broke off.
    ConnectionFailed(gate::target::TargetIncarnation),
    /// A call to the target has ended.
    CallFinished(
        id::CallId,
        gate::Outcome,
        Option<(http_message::ResponseHead, Bytes)>,
    ),
    /// A probe has ended: whether the target is healthy, and how long the probe took.
    ProbeFinished(bool, Duration),
}
