//! What a gate remembers of the ids it has seen.
//!
//! Settled records are let go in the order they settled; letting one go raises
//! the low-water mark of its entry, and an unseen id at or below the mark is
//! refused, never started.
//!
//! A caller could make up a ticket with a high number, whose letting go would
//! put all later ids of the entry below the mark. So only ids up to the highest
//! one that the entry itself has offered here are let go; those above it, which
//! came in tickets that callers sent, are kept, and there is room for a few.

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

/// Records above what their entry has vouched for.
const UNVOUCHED_MAX: usize = 4096;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Issued {
    low_water: u64,
    /// Highest id that the entry itself has offered.
    vouched: u64,
    calls: BTreeMap<(u64, u64), Record>,
}

/// All records of one gate incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Records {
    capacity: usize,
    len: usize,
    unvouched: usize,
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
            unvouched: 0,
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
            return self.known_if(self.entries.len() < self.capacity);
        };
        match issued.calls.get(&(id.seq, id.nonce)) {
            Some(record) => Known::Record(*record),
            None if id.seq <= issued.low_water => Known::Expired,
            None if id.seq <= issued.vouched => Known::New,
            None => self.known_if(true),
        }
    }

    /// An id that its entry has not vouched for is new if there is room.
    fn known_if(&self, has_room: bool) -> Known {
        if has_room && self.unvouched < UNVOUCHED_MAX {
            Known::New
        } else {
            Known::Expired
        }
    }

    /// Notes that an entry itself has offered an id.
    pub fn vouch(&mut self, id: id::CallId) {
        if !self.entries.contains_key(&id.entry) && self.entries.len() >= self.capacity {
            return;
        }
        let issued = self.entries.entry(id.entry).or_default();
        if id.seq <= issued.vouched {
            return;
        }
        let above = (issued.vouched + 1, 0)..=(id.seq, u64::MAX);
        self.unvouched -= issued.calls.range(above).count();
        issued.vouched = id.seq;
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
            self.unvouched += usize::from(id.seq > issued.vouched);
        }
        let was_settled = earlier.is_some_and(|r| is_settled(r.state));
        if is_settled(state) && !was_settled {
            self.settled.push_back(id);
        }
    }

    /// Lets the oldest settled records go while there are too many; returns
    /// those whose answers were kept.
    pub fn trim(&mut self) -> Vec<id::CallId> {
        let mut kept = Vec::new();
        for _ in 0..self.settled.len() {
            if self.len <= self.capacity {
                break;
            }
            let Some(id) = self.settled.pop_front() else {
                break;
            };
            if self.is_vouched(id) {
                let had_answer = self.forget(id) == Some(State::Done { kept: true });
                kept.extend(had_answer.then_some(id));
            } else {
                self.settled.push_back(id);
            }
        }
        kept
    }

    fn is_vouched(&self, id: id::CallId) -> bool {
        self.entries
            .get(&id.entry)
            .is_some_and(|issued| id.seq <= issued.vouched)
    }

    fn forget(&mut self, id: id::CallId) -> Option<State> {
        let issued = self.entries.get_mut(&id.entry)?;
        issued.low_water = issued.low_water.max(id.seq);
        let record = issued.calls.remove(&(id.seq, id.nonce))?;
        self.len -= 1;
        Some(record.state)
    }
}

fn is_settled(state: State) -> bool {
    !matches!(state, State::Waiting | State::Running)
}
