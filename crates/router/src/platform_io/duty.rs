//! Whether the readers of this daemon watch the platform.

use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;

use pollenrouter_core::watching::Waits;

/// Whether this daemon watches the platform, and how long its watches wait, set by the router for
/// the threads that read; and whether they reach the platform.
#[derive(Debug, Default)]
pub struct Duty {
    waits: Mutex<Option<Waits>>,
    changed: Condvar,
    /// Whether the watch of each prefix reaches the platform.
    connected: Mutex<BTreeMap<&'static str, bool>>,
}

impl Duty {
    /// Sets the waits; `None` if this daemon does not watch.
    pub fn set(&self, waits: Option<Waits>) {
        let mut current = self.waits.lock().unwrap_or_else(PoisonError::into_inner);
        if *current != waits {
            *current = waits;
            self.changed.notify_all();
        }
    }

    /// Whether this daemon watches, and the latest request of each of its watches was answered.
    pub fn is_connected(&self) -> bool {
        let connected = self
            .connected
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        !connected.is_empty() && connected.values().all(|is_connected| *is_connected)
    }

    pub(super) fn set_connected(&self, prefix: &'static str, is_connected: bool) {
        let connected = self.connected.lock();
        let mut connected = connected.unwrap_or_else(PoisonError::into_inner);
        connected.insert(prefix, is_connected);
    }

    pub(super) fn get(&self) -> Option<Waits> {
        *self.waits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits up to `timeout` until this daemon watches; returns `None` if it does not by then.
    pub(super) fn wait(&self, timeout: Duration) -> Option<Waits> {
        let waits = self.waits.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = self
            .changed
            .wait_timeout_while(waits, timeout, |waits| waits.is_none());
        *waited.unwrap_or_else(PoisonError::into_inner).0
    }
}
