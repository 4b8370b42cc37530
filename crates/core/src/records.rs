//! What a gate remembers of the ids it has seen.
//!
//! An id is in one of four states or unseen. Settled records are let go in the
//! order they settled; letting one go raises the low-water mark of its entry,
//! and an unseen id at or below the mark is refused, never started.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::call;
use crate::id;

/// State of one id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum State {
    /// Waits at the gate.
    Waiting,
    /// May have reached the target.
    Running,
    /// Has run to its end.
    Done {
        /// Whether the answer is kept.
        kept: bool,
    },
    /// May have run; the target broke off.
    Lost,
    /// Has not run and never will.
    Void(call::Refusal),
}

/// One remembered id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Where the call stands.
    pub state: State,
    /// Digest of the request that the id was first used with.
    pub fingerprint: Option<u64>,
}

/// What a gate knows of an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Known {
    /// A record stands.
    Record(Record),
    /// The id was never seen and may start.
    New,
    /// The id is at or below the low-water mark.
    Expired,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Issued {
    low_water: u64,
    calls: BTreeMap<(u64, u64), Record>,
}

/// All records of one gate incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Records {
    capacity: usize,
    len: usize,
    entries: BTreeMap<id::Incarnation, Issued>,
    settled: VecDeque<id::CallId>,
}

impl Records {
    /// Records for up to `capacity` ids.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            len: 0,
            entries: BTreeMap::new(),
            settled: VecDeque::new(),
        }
    }

    /// Number of ids remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no id is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// What is known of an id.
    #[must_use]
    pub fn known(&self, id: id::CallId) -> Known {
        let Some(issued) = self.entries.get(&id.entry) else {
            return self.unknown_entry();
        };
        match issued.calls.get(&(id.seq, id.nonce)) {
            Some(record) => Known::Record(*record),
            None if id.seq <= issued.low_water => Known::Expired,
            None => Known::New,
        }
    }

    fn unknown_entry(&self) -> Known {
        if self.entries.len() < self.capacity {
            Known::New
        } else {
            Known::Expired
        }
    }

    /// Sets the state of an id; a first fingerprint stays.
    pub fn set(&mut self, id: id::CallId, state: State, fingerprint: Option<u64>) {
        let issued = self.entries.entry(id.entry).or_default();
        let key = (id.seq, id.nonce);
        let earlier = issued.calls.get(&key).copied();
        let fingerprint = earlier.and_then(|r| r.fingerprint).or(fingerprint);
        issued.calls.insert(key, Record { state, fingerprint });
        if earlier.is_none() {
            self.len += 1;
        }
        let was_settled = earlier.is_some_and(|r| is_settled(r.state));
        if is_settled(state) && !was_settled {
            self.settled.push_back(id);
        }
    }

    /// Lets the oldest settled records go while there are too many; returns them.
    pub fn trim(&mut self) -> Vec<id::CallId> {
        let mut gone = Vec::new();
        while self.len > self.capacity {
            let Some(id) = self.settled.pop_front() else {
                break;
            };
            self.forget(id);
            gone.push(id);
        }
        gone
    }

    fn forget(&mut self, id: id::CallId) {
        let Some(issued) = self.entries.get_mut(&id.entry) else {
            return;
        };
        if issued.calls.remove(&(id.seq, id.nonce)).is_some() {
            self.len -= 1;
        }
        issued.low_water = issued.low_water.max(id.seq);
    }
}

fn is_settled(state: State) -> bool {
    !matches!(state, State::Waiting | State::Running)
}
