//! The byte budget of a process: who may take memory for bodies and answers, who waits for it,
//! and who gives way when it runs short.
//!
//! Everything that callers, targets or other daemons can make grow takes a share. There are two
//! classes, so that answers always have room beside requests: requests get at most half of the
//! budget. In each class the share that has waited longest may exceed the budget if no other share
//! of the class does: one request and one answer always have room, however small the budget.

mod party;

use std::collections::BTreeMap;
use std::time::Duration;

use party::Party;
pub use party::SLOW_BYTES_PER_S;

/// Time for which shares wait before a party has to give way for them. Longer than the
/// pauses of a connection that loses a packet.
pub const WAIT_MAX: Duration = Duration::from_secs(1);
/// Time without any movement of requests, or for which an answer has waited, after which the newest
/// share that waits for room is refused. A pause of a connection that loses a packet is shorter.
pub const STANDSTILL_MAX: Duration = Duration::from_secs(2);
/// Time without a byte after which the sender of a request counts as slow at once. Shorter than
/// [`STANDSTILL_MAX`], so that it gives way before those that wait; longer than a lost packet takes
/// to be sent again.
const STALL_MAX: Duration = Duration::from_millis(1500);
/// Memory of a process without callers: its program, its threads, the routing table and the
/// connections to other daemons, bytes.
const OWN_BYTES: u64 = 24 << 20;
/// Memory of a connection beside what draws from the budget, bytes.
const CONNECTION_BYTES: u64 = 6 << 10;
/// The smallest budget, bytes. One request and one answer find room in any.
const LIMIT_MIN_BYTES: u64 = 1 << 20;
/// Minimum interval between two parties of a class that give way, so that the room that the
/// first one frees is used before the next one goes.
const GIVE_WAY_INTERVAL: Duration = Duration::from_millis(50);

/// Identifies a share or a party. A larger one is newer.
pub type Id = u64;

/// What memory is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Bodies of requests, from callers and other daemons, and what is read ahead of them.
    Request,
    /// Answers, from the target and other daemons, until they have been sent.
    Answer,
}

impl Class {
    /// All classes.
    pub const ALL: [Self; 2] = [Self::Request, Self::Answer];

    fn index(self) -> usize {
        self as usize
    }
}

/// Size of the budget of a process that may take `memory_mb` MB and open `descriptors`
/// connections. A third of what is left is kept back for buffers that are copied while they grow,
/// for the allocator, and for the one request and the one answer that may exceed the budget.
#[must_use]
pub fn limit(memory_mb: u64, descriptors: u64) -> u64 {
    let own = OWN_BYTES + descriptors * CONNECTION_BYTES;
    let left = (memory_mb << 20).saturating_sub(own);
    (left / 3 * 2).max(LIMIT_MIN_BYTES)
}

/// Use of one class.
#[derive(Clone, Debug, Default)]
struct Usage {
    bytes: u64,
    /// Share that exceeds the budget.
    exceeding: Option<Id>,
    /// Shares that wait for room, and since when.
    waiting: BTreeMap<Id, Duration>,
    /// Time for which shares have waited that do not any more.
    waited: Duration,
    /// Since when the class has been short, and when a share last waited. A class for which no
    /// share waits is short until [`WAIT_MAX`] later, since the next one may follow at once.
    short: Option<(Duration, Duration)>,
    /// When room was last given to a share that waited, a share was closed, or a party was not
    /// slow. Read for requests only.
    moved_at: Duration,
    /// Whether an answer has waited for [`STANDSTILL_MAX`], and since then nobody has taken answers.
    is_standing: bool,
    gave_way_at: Option<Duration>,
    refused: u64,
}

impl Usage {
    /// Ends the wait of a share; returns whether it waited.
    fn end_wait(&mut self, now: Duration, id: Id) -> bool {
        let since = self.waiting.remove(&id);
        self.waited += since.map_or(Duration::ZERO, |since| now.saturating_sub(since));
        since.is_some()
    }
}

/// Use of the budget, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Size of the budget, bytes.
    pub limit: u64,
    /// Bytes in use, in the order of [`Class::ALL`].
    pub used: [u64; 2],
    /// Shares that wait for room.
    pub waiting: [usize; 2],
    /// How long the share has waited that has waited longest.
    pub longest_wait: [Duration; 2],
    /// Time for which all shares have waited since the start.
    pub waited: [Duration; 2],
    /// Parties that gave way since the start.
    pub refused: [u64; 2],
}

/// The budget.
#[derive(Clone, Debug)]
pub struct Budget {
    limit: u64,
    next_id: Id,
    usage: [Usage; 2],
    parties: BTreeMap<Id, Party>,
    /// Parties that have to give way and have not been told.
    chosen: BTreeMap<Id, Class>,
}

impl Budget {
    /// Creates a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: u64) -> Self {
        Self {
            limit,
            next_id: 1,
            usage: [Usage::default(), Usage::default()],
            parties: BTreeMap::new(),
            chosen: BTreeMap::new(),
        }
    }

    /// An id for a share or a party.
    pub fn open(&mut self) -> Id {
        let id = self.next_id;
        self.next_id += 1;
        id
    }

    /// Bytes in use.
    #[must_use]
    pub fn used(&self) -> u64 {
        self.usage.iter().map(|usage| usage.bytes).sum()
    }

    /// Whether a share of this class waits for room.
    #[must_use]
    pub fn is_short(&self, class: Class) -> bool {
        !self.usage[class.index()].waiting.is_empty()
    }

    /// Takes `bytes` more for a share; if there is no room, the share waits until a later call
    /// succeeds or [`Self::close`] is called. A share that takes nothing more does not wait.
    pub fn take(&mut self, now: Duration, class: Class, id: Id, bytes: u64) -> bool {
        if bytes == 0 {
            self.stop_waiting(now, class, id);
            return true;
        }
        let fits = self.fits(class, bytes);
        let usage = &mut self.usage[class.index()];
        let is_first = usage.waiting.keys().next().is_none_or(|first| id <= *first);
        let may_exceed = usage.exceeding.is_none_or(|exceeding| exceeding == id);
        // The one that exceeds the budget does not wait for others, since those wait for it.
        if usage.exceeding == Some(id) || is_first && (fits || may_exceed) {
            if usage.end_wait(now, id) {
                usage.moved_at = now;
            }
            usage.bytes += bytes;
            if !fits {
                usage.exceeding = Some(id);
            }
            self.resume(now, id);
            return true;
        }
        if usage.waiting.is_empty() {
            usage.moved_at = now;
        }
        usage.waiting.entry(id).or_insert(now);
        let since = match usage.short {
            Some((since, latest)) if now <= latest + WAIT_MAX => since,
            _ => {
                usage.is_standing = false;
                now
            }
        };
        usage.short = Some((since, now));
        if let Some(party) = self.parties.get_mut(&id) {
            party.is_paused = true;
        }
        false
    }

    /// Takes bytes that cannot be refused, such as those that are held already.
    pub fn take_unconditionally(&mut self, class: Class, bytes: u64) {
        self.usage[class.index()].bytes += bytes;
    }

    /// Gives back `bytes` of a share.
    pub fn give(&mut self, class: Class, bytes: u64) {
        let usage = &mut self.usage[class.index()];
        usage.bytes = usage.bytes.saturating_sub(bytes);
        for class in Class::ALL {
            if self.fits(class, 0) {
                self.usage[class.index()].exceeding = None;
            }
        }
    }

    /// Ends a share that holds `bytes`.
    pub fn close(&mut self, now: Duration, class: Class, id: Id, bytes: u64) {
        let usage = &mut self.usage[class.index()];
        usage.end_wait(now, id);
        if usage.exceeding == Some(id) {
            usage.exceeding = None;
        }
        if bytes > 0 {
            usage.moved_at = now;
        }
        self.give(class, bytes);
    }

    /// Stops waiting for room, without an end of the share.
    pub fn stop_waiting(&mut self, now: Duration, class: Class, id: Id) {
        self.usage[class.index()].end_wait(now, id);
        self.resume(now, id);
    }

    /// Adds the party that sends or takes the bytes of a share.
    pub fn add_party(&mut self, now: Duration, class: Class, id: Id) {
        self.parties.insert(id, Party::new(now, class, 0));
    }

    /// Adds a party that takes bytes behind `buffered` bytes of buffers.
    pub fn add_buffered_party(&mut self, now: Duration, class: Class, id: Id, buffered: u64) {
        let mut party = Party::new(now, class, buffered);
        party.is_taker = true;
        self.parties.insert(id, party);
    }

    /// Records that a party has sent or taken bytes.
    pub fn record_progress(&mut self, now: Duration, id: Id, bytes: u64) {
        if let Some(party) = self.parties.get_mut(&id) {
            party.record_progress(now, bytes);
        }
    }

    /// Removes a party.
    pub fn remove_party(&mut self, id: Id) {
        self.parties.remove(&id);
        self.chosen.remove(&id);
    }

    /// Whether a party has to give way now.
    pub fn must_give_way(&mut self, now: Duration, id: Id) -> bool {
        for class in Class::ALL {
            self.choose(now, class);
        }
        self.chosen.remove(&id).is_some()
    }

    /// Use of the budget.
    #[must_use]
    pub fn report(&self, now: Duration) -> Report {
        let [request, answer] = &self.usage;
        let longest_wait = |usage: &Usage| {
            let first = usage.waiting.values().min();
            first.map_or(Duration::ZERO, |since| now.saturating_sub(*since))
        };
        let waited = |usage: &Usage| {
            let running = usage.waiting.values();
            usage.waited
                + running
                    .map(|since| now.saturating_sub(*since))
                    .sum::<Duration>()
        };
        Report {
            limit: self.limit,
            used: [request.bytes, answer.bytes],
            waiting: [request.waiting.len(), answer.waiting.len()],
            longest_wait: [longest_wait(request), longest_wait(answer)],
            waited: [waited(request), waited(answer)],
            refused: [request.refused, answer.refused],
        }
    }

    fn fits(&self, class: Class, bytes: u64) -> bool {
        let in_class = self.usage[class.index()].bytes + bytes;
        let class_limit = match class {
            Class::Request => self.limit / 2,
            Class::Answer => self.limit,
        };
        in_class <= class_limit && self.used() + bytes <= self.limit
    }

    fn resume(&mut self, now: Duration, id: Id) {
        if let Some(party) = self.parties.get_mut(&id) {
            party.resume(now);
        }
    }

    /// The newest share that waits in a class, if it has to be refused.
    fn refused_share(&mut self, now: Duration, class: Class) -> Option<Id> {
        let (parties, chosen) = (&self.parties, &self.chosen);
        let is_free = |id: &Id| parties.contains_key(id) && !chosen.contains_key(id);
        let waiting = self.usage[class.index()].waiting.iter();
        let waiting: Vec<_> = waiting
            .filter(|(id, _)| is_free(id))
            .map(|(id, since)| (*id, *since))
            .collect();
        let (newest, _) = *waiting.last()?;
        let is_refused = match class {
            Class::Request => self.is_still(now),
            Class::Answer => {
                let longest = waiting.iter().map(|(_, since)| *since).min();
                self.is_crowded(now, waiting.len(), longest)
            }
        };
        is_refused.then_some(newest)
    }

    /// Whether no request moves. Requests that wait hold nothing else, so any movement ends it.
    fn is_still(&mut self, now: Duration) -> bool {
        let mut parties = self.parties.values();
        let is_moving = parties.any(|party| party.class == Class::Request && party.is_moving());
        let usage = &mut self.usage[Class::Request.index()];
        if is_moving {
            usage.moved_at = now;
        }
        now >= usage.moved_at + STANDSTILL_MAX
    }

    /// Whether more answers wait than can expect room, the longest since `longest`. They hold slots
    /// of the target. A caller that takes its answer leaves room for one, so that as many may wait
    /// as there are such callers; room that one slow caller leaves to the next frees no slot.
    fn is_crowded(&mut self, now: Duration, waiting: usize, longest: Option<Duration>) -> bool {
        let parties = self.parties.values();
        let takers = parties.filter(|party| party.class == Class::Answer && party.is_taker);
        let may_wait = takers.filter(|party| party.is_moving()).count();
        let usage = &mut self.usage[Class::Answer.index()];
        let is_late = longest.is_some_and(|since| now >= since + STANDSTILL_MAX);
        usage.is_standing = is_late || usage.is_standing && may_wait == 0;
        usage.is_standing && waiting > may_wait
    }

    /// Chooses the party that gives way for the shares that wait in a class, if one has to.
    fn choose(&mut self, now: Duration, class: Class) {
        let usage = &self.usage[class.index()];
        let Some((since, _)) = usage.short.filter(|_| !usage.waiting.is_empty()) else {
            return;
        };
        let is_soon = usage
            .gave_way_at
            .is_some_and(|at| now < at + GIVE_WAY_INTERVAL);
        if now < since + WAIT_MAX || is_soon {
            return;
        }
        let chosen = &self.chosen;
        let candidates = self.parties.iter_mut().filter(|(id, party)| {
            party.class == class && !party.is_paused && !chosen.contains_key(id)
        });
        let slow = candidates
            .filter_map(|(id, party)| {
                party.update_rate(now);
                let is_stalled = class == Class::Request && now >= party.moved_at + STALL_MAX;
                let rate = if is_stalled { Some(0) } else { party.rate };
                Some((rate?, *id))
            })
            .filter(|(rate, _)| *rate < SLOW_BYTES_PER_S);
        // The slowest first, and among equals the newest.
        let slowest = slow.min_by_key(|(rate, id)| (*rate, u64::MAX - id));
        let slowest = slowest.map(|(_, id)| id);
        let refused = self.refused_share(now, class);
        let Some(id) = slowest.or(refused) else {
            return;
        };
        self.chosen.insert(id, class);
        let usage = &mut self.usage[class.index()];
        usage.gave_way_at = Some(now);
        usage.refused += 1;
    }
}
