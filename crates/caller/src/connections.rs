//! The open connections of a listener. If there are as many as it may have, the one that has been
//! idle for the longest time makes way for a new one.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use log::info;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Descriptors for files, logs, the program's own pipes and timers.
const FILE_DESCRIPTORS: u64 = 200;
/// Part of the other descriptors that is kept for the platform, other daemons, the target and
/// operators: one of so many.
const RESERVED_SHARE: u64 = 8;
/// Descriptors that are kept for them at least: the listeners for the target and for operators
/// accept up to 96 connections.
const RESERVED_MIN: u64 = 128;
/// A connection that has been idle for a shorter time is not closed: a caller that has just
/// connected sends its request within this time.
const IDLE_MIN: Duration = Duration::from_secs(1);

/// Number of callers' connections that a process with this many descriptors may have.
#[must_use]
pub fn max_of(descriptors: u64) -> usize {
    let left = descriptors.saturating_sub(FILE_DESCRIPTORS);
    let reserved = (left / RESERVED_SHARE).max(RESERVED_MIN);
    usize::try_from(left.saturating_sub(reserved)).unwrap_or(usize::MAX)
}

/// A crowd of connections would fill the log otherwise.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// State of one connection.
#[derive(Debug, Default)]
pub struct Slot {
    /// Since when the connection has no request; `None` while it has one.
    pub idle_since: Cell<Option<Instant>>,
    /// Notified when the connection has to make way.
    pub close: Notify,
    is_closing: Cell<bool>,
}

/// Connections of one listener.
#[derive(Debug, Default)]
pub struct Connections {
    slots: RefCell<Vec<Rc<Slot>>>,
    logged_at: Cell<Option<Instant>>,
}

impl Connections {
    /// Adds a connection. It is removed once the returned guard is dropped.
    pub fn add(self: &Rc<Self>) -> Guard {
        let slot = Rc::<Slot>::default();
        slot.idle_since.set(Some(Instant::now()));
        self.slots.borrow_mut().push(slot.clone());
        Guard {
            slot,
            connections: self.clone(),
        }
    }

    /// Closes the connection that has been idle for the longest time; returns whether there is one.
    pub fn make_way(&self) -> bool {
        let now = Instant::now();
        let slots = self.slots.borrow();
        let idle = slots.iter().filter(|slot| !slot.is_closing.get());
        let idle = idle.filter_map(|slot| Some((slot.idle_since.get()?, slot)));
        let longest = idle.min_by_key(|(since, _)| *since);
        let Some((_, slot)) = longest.filter(|(since, _)| *since + IDLE_MIN <= now) else {
            return false;
        };
        if self
            .logged_at
            .get()
            .is_none_or(|at| at + LOG_INTERVAL <= now)
        {
            self.logged_at.set(Some(now));
            info!(connections = slots.len(); "too many connections: closing one that is idle");
        }
        slot.is_closing.set(true);
        slot.close.notify_one();
        true
    }
}

/// Keeps a connection among the open ones.
pub struct Guard {
    /// State of the connection.
    pub slot: Rc<Slot>,
    connections: Rc<Connections>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut slots = self.connections.slots.borrow_mut();
        if let Some(at) = slots.iter().position(|slot| Rc::ptr_eq(slot, &self.slot)) {
            slots.swap_remove(at);
        }
    }
}
