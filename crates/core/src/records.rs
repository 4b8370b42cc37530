//! What a gate remembers of the ids it has seen.
//!
//! Records of settled ids are evicted in the order in which the ids settled. Evicting one
//! raises the low-water mark of its entry; an unseen id at or below the mark is refused
//! and never started.
//!
//! A caller could forge a ticket with a high sequence number. Evicting its record would
//! put all later ids of the entry below the mark. So only ids up to the highest one that
//! the entry itself has offered at this gate are evicted. Ids above it, which came in
//! tickets that callers sent, are not evicted, and their number is limited.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::call;
use crate::id;

/// State of one id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum State {
    /// Waits for a slot.
    Waiting,
    /// May have reached the target.
    Running,
    /// Ran to its end.
    Done {
        /// Whether the answer is cached.
        cached: bool,
    },
    /// May have run; the connection to the target broke.
    Lost,
    /// Did not run and never will.
    Void(call::Refusal),
}

/// Record of one id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// State of the call.
    pub state: State,
    /// Digest of the request that the id was first used with.
    pub fingerprint: Option<u64>,
}

/// Result of looking up an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Lookup {
    /// The id has a record.
    Record(Record),
    /// The id was not seen before and may start.
    New,
    /// The id is at or below the low-water mark, or there is no room for another id that
    /// its entry has not offered.
    Expired,
}

/// Maximum number of records with an id above those that their entry has offered.
const UNCONFIRMED_MAX: usize = 4096;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct EntryRecords {
    /// Highest sequence number whose record was evicted.
    low_water: u64,
    /// Highest sequence number that the entry itself has offered.
    highest_confirmed: u64,
    /// Records by sequence number and nonce.
    by_id: BTreeMap<(u64, u64), Record>,
}

/// All records of one gate incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Records {
    capacity: usize,
    len: usize,
    /// Records with an id above those that their entry has offered.
    unconfirmed: usize,
    entries: BTreeMap<id::Incarnation, EntryRecords>,
    /// Ids in the order in which they settled.
    settled: VecDeque<id::CallId>,
}

impl Records {
    /// Creates records for up to `capacity` ids.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            len: 0,
            unconfirmed: 0,
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

    /// Looks up an id.
    #[must_use]
    pub fn lookup(&self, id: id::CallId) -> Lookup {
        let Some(entry) = self.entries.get(&id.entry) else {
            return self.lookup_unconfirmed(self.entries.len() < self.capacity);
        };
        match entry.by_id.get(&(id.seq, id.nonce)) {
            Some(record) => Lookup::Record(*record),
            None if id.seq <= entry.low_water => Lookup::Expired,
            None if id.seq <= entry.highest_confirmed => Lookup::New,
            None => self.lookup_unconfirmed(true),
        }
    }

    /// Result for an unseen id above those that its entry has offered: new if there is room.
    fn lookup_unconfirmed(&self, has_room: bool) -> Lookup {
        if has_room && self.unconfirmed < UNCONFIRMED_MAX {
            Lookup::New
        } else {
            Lookup::Expired
        }
    }

    /// Confirms that its entry itself has offered an id.
    pub fn confirm_issued(&mut self, id: id::CallId) {
        if !self.entries.contains_key(&id.entry) && self.entries.len() >= self.capacity {
            return;
        }
        let entry = self.entries.entry(id.entry).or_default();
        if id.seq <= entry.highest_confirmed {
            return;
        }
        let above = (entry.highest_confirmed + 1, 0)..=(id.seq, u64::MAX);
        self.unconfirmed -= entry.by_id.range(above).count();
        entry.highest_confirmed = id.seq;
    }

    /// Sets the state of an id. Only its first fingerprint is recorded.
    pub fn set(&mut self, id: id::CallId, state: State, fingerprint: Option<u64>) {
        let entry = self.entries.entry(id.entry).or_default();
        let key = (id.seq, id.nonce);
        let earlier = entry.by_id.get(&key).copied();
        let fingerprint = earlier.and_then(|r| r.fingerprint).or(fingerprint);
        entry.by_id.insert(key, Record { state, fingerprint });
        if earlier.is_none() {
            self.len += 1;
            self.unconfirmed += usize::from(id.seq > entry.highest_confirmed);
        }
        let was_settled = earlier.is_some_and(|r| is_settled(r.state));
        if is_settled(state) && !was_settled {
            self.settled.push_back(id);
        }
    }

    /// Evicts the records that settled first while there are more than the capacity.
    /// Returns the ids whose answers were cached.
    pub fn evict_excess(&mut self) -> Vec<id::CallId> {
        let mut cached = Vec::new();
        for _ in 0..self.settled.len() {
            if self.len <= self.capacity {
                break;
            }
            let Some(id) = self.settled.pop_front() else {
                break;
            };
            if self.is_confirmed(id) {
                let was_cached = self.remove(id) == Some(State::Done { cached: true });
                cached.extend(was_cached.then_some(id));
            } else {
                self.settled.push_back(id);
            }
        }
        cached
    }

    fn is_confirmed(&self, id: id::CallId) -> bool {
        self.entries
            .get(&id.entry)
            .is_some_and(|entry| id.seq <= entry.highest_confirmed)
    }

    fn remove(&mut self, id: id::CallId) -> Option<State> {
        let entry = self.entries.get_mut(&id.entry)?;
        entry.low_water = entry.low_water.max(id.seq);
        let record = entry.by_id.remove(&(id.seq, id.nonce))?;
        self.len -= 1;
        Some(record.state)
    }
}

fn is_settled(state: State) -> bool {
    !matches!(state, State::Waiting | State::Running)
}
