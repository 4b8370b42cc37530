//! Which organisation's calls start first among those of one rank.
//!
//! Calls of the organisation with the least recent use of the target start first. An
//! organisation that asks for very much would get a small part of that, so its calls go first
//! while it is served far less often than all.

use std::collections::BTreeMap;
use std::time::Duration;

use super::recent::{Recent, micros};
use crate::id;
use crate::queue::WaitingCall;

/// Use counts half after this time. It is long against a call and short against an overload,
/// so that an organisation neither loses its turn by one call nor for long.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// An organisation is owed a turn while the served part of its calls is below that of all calls
/// of the rank, divided by this. None is to be served less than a quarter as often as all; a
/// third leaves room for the delay of the counts.
const SERVED_DIVISOR: u64 = 3;
/// Unit of the counts of calls, so that they can count for fractions of a call.
const CALL: u64 = 1 << 14;
/// What counts for no more than this part of a call is not kept.
const KEPT_PART: u64 = CALL >> 10;
/// Time between two looks for organisations without recent use. A call is kept for 10 half-lives;
/// a look at 10,000 organisations takes less than a millisecond.
const FORGET_INTERVAL: Duration = Duration::from_secs(10);

/// When a call has its turn among calls of its rank; the lowest is first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Turn {
    is_not_owed: bool,
    /// Recent use by the organisation once its calls before this one have run.
    recent_use: Duration,
}

/// Recent calls, of one organisation or of all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Use {
    /// Service time, microseconds.
    time: Recent,
    offered: Recent,
    started: Recent,
}

/// Recent use of one target by organisations, separately for each rank.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fairness {
    by_organisation: BTreeMap<(u8, id::OrganisationName), Use>,
    by_rank: BTreeMap<u8, Use>,
    /// When organisations without recent use are looked for next.
    forget_at: Duration,
}

impl Use {
    fn has_recent(&self, now: Duration) -> bool {
        let counts = [self.offered, self.started];
        let is_kept = |recent: &Recent| recent.sum(now, HALF_LIFE) > KEPT_PART;
        counts.iter().any(is_kept)
    }
}

/// Recent use by an organisation, compared with that by all of its rank.
struct Standing {
    recent_use: Duration,
    started: u64,
    offered: u64,
    started_of_all: u64,
    offered_of_all: u64,
}

impl Standing {
    /// Whether the organisation is served far less often than all, once `calls_ahead` more of
    /// its calls have started.
    fn is_owed(&self, calls_ahead: u64) -> bool {
        let started = self.started + calls_ahead * CALL;
        let served = started.saturating_mul(self.offered_of_all);
        let served_of_all = self.started_of_all.saturating_mul(self.offered);
        served.saturating_mul(SERVED_DIVISOR) < served_of_all
    }
}

impl Fairness {
    /// Records that a call was offered. Calls without an organisation are not counted.
    pub fn record_offer(&mut self, now: Duration, rank: u8, organisation: &id::OrganisationName) {
        if organisation.is_empty() {
            return;
        }
        self.forget(now);
        for used in self.uses(rank, organisation) {
            used.offered.add(now, HALF_LIFE, CALL);
        }
    }

    /// Records that a call starts, with its expected service time.
    pub fn record_start(
        &mut self,
        now: Duration,
        rank: u8,
        organisation: &id::OrganisationName,
        expected: Duration,
    ) {
        if organisation.is_empty() {
            return;
        }
        for used in self.uses(rank, organisation) {
            used.started.add(now, HALF_LIFE, CALL);
            used.time.add(now, HALF_LIFE, micros(expected));
        }
    }

    /// Records that a call has ended: corrects what it was expected to take.
    pub fn record_end(
        &mut self,
        now: Duration,
        rank: u8,
        organisation: &id::OrganisationName,
        expected: Duration,
        took: Duration,
    ) {
        if organisation.is_empty() {
            return;
        }
        for used in self.uses(rank, organisation) {
            used.time
                .add(now, HALF_LIFE, micros(took.saturating_sub(expected)));
            used.time
                .subtract(now, HALF_LIFE, micros(expected.saturating_sub(took)));
        }
    }

    /// Records that a call that was to start has not run.
    pub fn record_not_run(
        &mut self,
        now: Duration,
        rank: u8,
        organisation: &id::OrganisationName,
        expected: Duration,
    ) {
        if organisation.is_empty() {
            return;
        }
        for used in self.uses(rank, organisation) {
            used.started.subtract(now, HALF_LIFE, CALL);
        }
        self.record_end(now, rank, organisation, expected, Duration::ZERO);
    }

    /// Sets the turns of the calls that wait. Calls without an organisation keep the first turn:
    /// they are made by services while they work on other calls.
    pub fn assign_turns(&self, now: Duration, waiting: &mut [WaitingCall]) {
        if waiting.iter().all(|w| w.organisation.is_empty()) {
            return;
        }
        let mut order: Vec<usize> = (0..waiting.len()).collect();
        order.sort_by(|a, b| {
            let (a, b) = (&waiting[*a], &waiting[*b]);
            let by_organisation = (a.rank, &a.organisation).cmp(&(b.rank, &b.organisation));
            let by_slack =
                || (a.misses_objective, a.order_by).cmp(&(b.misses_objective, b.order_by));
            by_organisation.then_with(by_slack)
        });
        let same_organisation = |a: &usize, b: &usize| {
            let (a, b) = (&waiting[*a], &waiting[*b]);
            (a.rank, &a.organisation) == (b.rank, &b.organisation)
        };
        let mut turns = Vec::with_capacity(order.len());
        for group in order.chunk_by(same_organisation) {
            let first = &waiting[group[0]];
            if first.organisation.is_empty() {
                continue;
            }
            let standing = self.standing(now, first.rank, &first.organisation);
            let mut recent_use = standing.recent_use;
            for (calls_ahead, index) in (0..).zip(group) {
                let turn = Turn {
                    is_not_owed: !standing.is_owed(calls_ahead),
                    recent_use,
                };
                turns.push((*index, turn));
                recent_use += waiting[*index].mean;
            }
        }
        for (index, turn) in turns {
            waiting[index].turn = turn;
        }
    }

    fn standing(&self, now: Duration, rank: u8, organisation: &id::OrganisationName) -> Standing {
        let key = (rank, organisation.clone());
        let own = self.by_organisation.get(&key).copied().unwrap_or_default();
        let all = self.by_rank.get(&rank).copied().unwrap_or_default();
        Standing {
            recent_use: Duration::from_micros(own.time.sum(now, HALF_LIFE)),
            started: own.started.sum(now, HALF_LIFE),
            offered: own.offered.sum(now, HALF_LIFE),
            started_of_all: all.started.sum(now, HALF_LIFE),
            offered_of_all: all.offered.sum(now, HALF_LIFE),
        }
    }

    /// Organisations with recent use.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_organisation.len()
    }

    /// Whether no organisation has recent use.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_organisation.is_empty()
    }

    fn uses(&mut self, rank: u8, organisation: &id::OrganisationName) -> [&mut Use; 2] {
        let of_all = self.by_rank.entry(rank).or_default();
        let own = self.by_organisation.entry((rank, organisation.clone()));
        let own = own.or_default();
        [own, of_all]
    }

    /// Drops organisations without recent use from time to time.
    fn forget(&mut self, now: Duration) {
        if now < self.forget_at {
            return;
        }
        self.forget_at = now + FORGET_INTERVAL;
        self.by_organisation.retain(|_, used| used.has_recent(now));
    }
}
