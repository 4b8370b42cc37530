//! Events of the router, and the bounded ring that carries them.

use pollenrouter_core::replica;
use pollenrouter_platform::client::Listing;
use tokio::sync::{mpsc, oneshot};

/// Events that may wait for the router.
pub const RING: usize = 8192;

/// What happens to a daemon.
#[derive(Debug)]
pub enum Event {
    /// From callers.
    Caller(pollenrouter_caller::message::Event),
    /// From other daemons.
    Daemon(pollenrouter_daemon::message::Event),
    /// From the target.
    Target(pollenrouter_target::message::Event),
    /// All objects under a prefix were read from the platform.
    Listed(&'static str, Listing),
    /// A watch or a write brought objects.
    Read(Vec<replica::Object>),
    /// An operator asks for the status.
    Status(oneshot::Sender<serde_json::Value>),
    /// Time has passed.
    Tick,
    /// A round of membership begins.
    Round,
    /// A planned stop begins.
    Stop,
}

/// Sending end of the ring.
pub type Sender = mpsc::Sender<Event>;

/// Sends an event unless the ring is full.
pub fn offer(tx: &Sender, event: Event) -> bool {
    tx.try_send(event).is_ok()
}

/// Sends an event from another thread and waits for room; a router that has
/// ended needs none.
pub fn deliver(tx: &Sender, event: Event) {
    let _ = tx.blocking_send(event);
}
