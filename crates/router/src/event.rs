//! Events that the router handles, and the bounded channel that carries them.

use pollenrouter_core::replica;
use pollenrouter_platform::listing::Listing;
use tokio::sync::{mpsc, oneshot};

/// Number of events that can wait for the router.
pub const CHANNEL_CAPACITY: usize = 8192;

/// Event that the router handles.
#[derive(Debug)]
pub enum Event {
    /// Event from the listeners for callers.
    Caller(pollenrouter_caller::message::Event),
    /// Event from the protocol between daemons.
    Daemon(pollenrouter_daemon::message::Event),
    /// Event from the client of the target.
    Target(pollenrouter_target::message::Event),
    /// All objects under a prefix were read from the platform.
    ObjectsListed(&'static str, Listing),
    /// A watch or a write returned objects.
    ObjectsReceived(Vec<replica::Object>),
    /// An operator requested the status.
    StatusRequested(oneshot::Sender<serde_json::Value>),
    /// Time has passed.
    Tick,
    /// A membership round is due.
    MembershipRound,
    /// A beat of the watch duty is due.
    WatchBeat,
    /// A signal requested a planned stop.
    StopRequested,
}

/// Sender of the event channel.
pub type Sender = mpsc::Sender<Event>;

/// Sends an event without blocking. Returns whether there was room for it.
pub fn try_send(tx: &Sender, event: Event) -> bool {
    tx.try_send(event).is_ok()
}

/// Sends an event, blocking the calling thread until there is room. An event for a
/// router that has ended is dropped.
pub fn send_blocking(tx: &Sender, event: Event) {
    let _ = tx.blocking_send(event);
}
