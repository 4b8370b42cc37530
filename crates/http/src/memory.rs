//! The byte budget of the process, shared by its listeners, its clients and the protocol between
//! daemons.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use pollenrouter_core::memory::{Budget, Class, Id, Report};
use tokio::sync::Notify;
use tokio::sync::futures::OwnedNotified;
use tokio::time::{self, Instant};

/// Interval at which the parties of a budget that is short ask whether they have to give way.
pub const GIVE_WAY_CHECK_INTERVAL: Duration = Duration::from_millis(100);

struct Inner {
    budget: Mutex<Budget>,
    /// Notified when bytes are given back.
    room: Arc<Notify>,
    start: Instant,
    /// Answers that wait for their turn to be read.
    queued: AtomicUsize,
}

/// The budget. Copies share it. It is used on one thread; the lock is there because bodies may be
/// dropped on another one.
#[derive(Clone)]
pub struct Memory(Arc<Inner>);

impl Memory {
    /// Creates a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: u64) -> Self {
        Self(Arc::new(Inner {
            budget: Mutex::new(Budget::new(limit)),
            room: Arc::default(),
            start: Instant::now(),
            queued: AtomicUsize::new(0),
        }))
    }

    /// A budget that is never short, for tests and tools.
    #[must_use]
    pub fn unlimited() -> Self {
        Self::new(u64::MAX / 4)
    }

    /// Completes when bytes are given back after this call.
    pub fn room(&self) -> OwnedNotified {
        self.0.room.clone().notified_owned()
    }

    /// Whether a share of a class waits for room.
    #[must_use]
    pub fn is_short(&self, class: Class) -> bool {
        self.budget().is_short(class)
    }

    /// Use of the budget.
    #[must_use]
    pub fn report(&self) -> Report {
        let now = self.now();
        self.budget().report(now)
    }

    /// Number of answers that wait until others have been read. Each holds a slot of the target.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.0.queued.load(Ordering::Relaxed)
    }

    /// Counts an answer among those of [`Self::queued`] until the result is dropped.
    #[must_use]
    pub fn queue(&self) -> Queued {
        self.0.queued.fetch_add(1, Ordering::Relaxed);
        Queued(self.clone())
    }

    /// Opens a share without bytes.
    #[must_use]
    pub fn share(&self, class: Class) -> Share {
        let id = self.budget().open();
        Share {
            memory: self.clone(),
            class,
            id,
            bytes: 0,
            is_waiting: false,
        }
    }

    /// Adds a party that takes the bytes of shares behind `buffered` bytes of buffers.
    #[must_use]
    pub fn taker(&self, class: Class, buffered: usize) -> Party {
        let now = self.now();
        let mut budget = self.budget();
        let id = budget.open();
        budget.add_buffered_party(now, class, id, buffered as u64);
        Party {
            memory: self.clone(),
            id,
        }
    }

    fn party_of(&self, class: Class, id: Id) -> Party {
        self.budget().add_party(self.now(), class, id);
        Party {
            memory: self.clone(),
            id,
        }
    }

    fn budget(&self) -> MutexGuard<'_, Budget> {
        self.0.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Duration {
        self.0.start.elapsed()
    }
}

impl std::fmt::Debug for Memory {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("Memory").field(&self.report()).finish()
    }
}

/// An answer that waits for its turn to be read.
#[derive(Debug)]
pub struct Queued(Memory);

impl Drop for Queued {
    fn drop(&mut self) {
        self.0.0.queued.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Bytes of the budget that are in use for one purpose; given back when dropped.
#[derive(Debug)]
pub struct Share {
    memory: Memory,
    class: Class,
    id: Id,
    bytes: u64,
    is_waiting: bool,
}

impl Share {
    /// What the share is used for.
    #[must_use]
    pub fn class(&self) -> Class {
        self.class
    }

    /// Bytes that the share holds.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Takes room for `total` bytes if there is any; else the share waits for it. A share that
    /// holds as much keeps it, and does not wait any more.
    pub fn try_grow(&mut self, total: u64) -> bool {
        let more = total.saturating_sub(self.bytes);
        if more == 0 && !self.is_waiting {
            return true;
        }
        let now = self.memory.now();
        let taken = self.memory.budget().take(now, self.class, self.id, more);
        let has_stopped = taken && more == 0;
        self.is_waiting = !taken;
        if taken {
            self.bytes += more;
        }
        if has_stopped {
            // Those that waited behind this share may find room.
            self.memory.0.room.notify_waiters();
        }
        taken
    }

    /// Takes room for `total` bytes, and waits until there is some, however long.
    pub async fn grow(&mut self, total: u64) {
        loop {
            let room = self.memory.room();
            if self.try_grow(total) {
                return;
            }
            // The budget also gives room to the share that has waited longest once another one
            // is closed, which notifies as well.
            room.await;
        }
    }

    /// Takes room for `total` bytes, and waits until there is some. Returns whether it got it; if
    /// not, the share has to give way.
    pub async fn grow_unless_refused(&mut self, total: u64) -> bool {
        if self.try_grow(total) {
            return true;
        }
        let party = self.party();
        loop {
            let room = self.memory.room();
            if self.try_grow(total) {
                return true;
            }
            if party.must_give_way() {
                return false;
            }
            let _ = time::timeout(GIVE_WAY_CHECK_INTERVAL, room).await;
        }
    }

    /// Counts `total` bytes that are held already, whether there is room for them or not.
    pub fn grow_unconditionally(&mut self, total: u64) {
        let more = total.saturating_sub(self.bytes);
        if more > 0 {
            self.memory.budget().take_unconditionally(self.class, more);
            self.bytes = total;
        }
    }

    /// Ends the wait for room.
    pub fn stop_waiting(&self) {
        let now = self.memory.now();
        self.memory.budget().stop_waiting(now, self.class, self.id);
    }

    /// Gives back all but `total` bytes.
    pub fn shrink(&mut self, total: u64) {
        let less = self.bytes.saturating_sub(total);
        if less > 0 {
            self.bytes = total;
            self.memory.budget().give(self.class, less);
            self.memory.0.room.notify_waiters();
        }
    }

    /// Adds the party that sends the bytes of this share.
    #[must_use]
    pub fn party(&self) -> Party {
        self.memory.party_of(self.class, self.id)
    }

    /// Binds the share to a body: it is given back when the last copy of the body is dropped.
    #[must_use]
    pub fn hold(mut self, body: Vec<u8>) -> Bytes {
        self.stop_waiting();
        self.shrink(body.capacity() as u64);
        Bytes::from_owner(Held { body, _share: self })
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        let now = self.memory.now();
        let mut budget = self.memory.budget();
        budget.close(now, self.class, self.id, self.bytes);
        drop(budget);
        self.memory.0.room.notify_waiters();
    }
}

struct Held {
    body: Vec<u8>,
    _share: Share,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// Sends or takes bytes, and gives way if it is too slow; removed when dropped.
#[derive(Debug)]
pub struct Party {
    memory: Memory,
    id: Id,
}

impl Party {
    /// Records that bytes have been sent or taken.
    pub fn record_progress(&self, bytes: usize) {
        let now = self.memory.now();
        let mut budget = self.memory.budget();
        budget.record_progress(now, self.id, bytes as u64);
    }

    /// Whether the party has to give way now.
    #[must_use]
    pub fn must_give_way(&self) -> bool {
        let now = self.memory.now();
        self.memory.budget().must_give_way(now, self.id)
    }
}

impl Drop for Party {
    fn drop(&mut self) {
        self.memory.budget().remove_party(self.id);
    }
}
