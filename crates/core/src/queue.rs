//! Order in which the calls that wait at a gate start.

use std::time::Duration;

use crate::call::WhenSlow;
use crate::id;
use crate::shedding::fairness::Turn;

/// A call that waits for a slot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct WaitingCall {
    /// Id of the call.
    pub id: id::CallId,
    /// Its route.
    pub route: id::RouteName,
    /// Depth in the chain of calls; 0 for public calls.
    pub depth: u8,
    /// Organisation of its caller; empty if it has none.
    pub organisation: id::OrganisationName,
    /// Rank of its route; 0 starts first.
    pub rank: u8,
    /// Its turn among the calls of its rank.
    pub turn: Turn,
    /// Whether its work is long.
    pub is_long: bool,
    /// Whether it may run at most once.
    pub at_most_once: bool,
    /// When it must be answered.
    pub deadline: Duration,
    /// Whether its answer misses the latency objective however soon it starts.
    pub misses_objective: bool,
    /// When it is refused unless it has started.
    pub start_by: Duration,
    /// Among calls that are equal otherwise, the one with the earliest such time starts first.
    pub order_by: Duration,
    /// When its answer is late; `None` if it is not refused for that.
    pub late_from: Option<Duration>,
    /// When its wait starts to count as a delay.
    pub delayed_from: Duration,
    /// What the gate does with it while the target is slow.
    pub when_slow: WhenSlow,
    /// Until when it waits for a slow target to recover.
    pub recovery_wait_until: Duration,
    /// Expected service time.
    pub mean: Duration,
}

impl WaitingCall {
    /// The call with the lowest order starts first. Among calls that cannot all start in time,
    /// the one with the highest order costs callers least to refuse.
    #[must_use]
    pub fn start_order(&self, now: Duration) -> (bool, u8, bool, Turn, bool, Duration) {
        let is_near_deadline = now + self.mean * 2 >= self.deadline;
        let yields_to_short = self.is_long && !is_near_deadline;
        (
            self.depth == 0,
            self.rank,
            self.misses_objective,
            self.turn,
            yields_to_short,
            self.order_by,
        )
    }
}

/// Minimum number of slots at which one is reserved for urgent calls: of fewer slots, it
/// would be a third or more.
const RESERVE_SLOTS_MIN: u32 = 4;

/// Slots of a target, and how they are used and reserved.
#[derive(Clone, Copy, Debug)]
pub struct Slots {
    /// Slots that are open.
    pub open: u32,
    /// Calls that run.
    pub running: u32,
    /// Long calls that run.
    pub running_long: u32,
    /// Slots reserved for short work.
    pub short_reserved: u32,
    /// Calls at depth `d` leave `depth_levels - d` slots free for deeper calls.
    pub depth_levels: u8,
    /// The last slot is reserved for calls of this rank or a more urgent one, because such
    /// calls were delayed recently; `u8::MAX` reserves none.
    pub reserved_rank: u8,
}

impl Slots {
    /// Number of running calls below which a call of this depth and rank may start.
    #[must_use]
    pub fn usable(&self, depth: u8, rank: u8) -> u32 {
        let may_use_reserved = rank <= self.reserved_rank || self.open < RESERVE_SLOTS_MIN;
        let reserved =
            u32::from(self.depth_levels.saturating_sub(depth)) + u32::from(!may_use_reserved);
        self.open.saturating_sub(reserved).max(1).min(self.open)
    }

    /// Whether a call may start now.
    #[must_use]
    pub fn can_start(&self, depth: u8, rank: u8, is_long: bool) -> bool {
        let usable_by_long = self.open.saturating_sub(self.short_reserved).max(1);
        self.running < self.usable(depth, rank) && (!is_long || self.running_long < usable_by_long)
    }
}

/// Index of the call to start next: internal before public, then by rank, calls that can
/// meet their latency objective before those that cannot, by the turn of their organisations,
/// short before long unless the deadline is near, then by the least slack. Skips calls that `may_start` rejects.
#[must_use]
pub fn next_to_start(
    waiting: &[WaitingCall],
    slots: Slots,
    now: Duration,
    may_start: impl Fn(&WaitingCall) -> bool,
) -> Option<usize> {
    waiting
        .iter()
        .enumerate()
        .filter(|(_, w)| slots.can_start(w.depth, w.rank, w.is_long) && may_start(w))
        .min_by_key(|(_, w)| w.start_order(now))
        .map(|(index, _)| index)
}

/// Properties of a call that determine which waiting calls start before it.
#[derive(Clone, Copy, Debug)]
pub struct Priority {
    /// Depth in the chain of calls; 0 for public calls.
    pub depth: u8,
    /// Rank of its route; 0 starts first.
    pub rank: u8,
    /// Whether its work is long.
    pub is_long: bool,
}

/// Number of waiting calls that start before one that joins the queue now.
#[must_use]
pub fn count_ahead(waiting: &[WaitingCall], priority: Priority) -> u32 {
    let Priority {
        depth,
        rank,
        is_long,
    } = priority;
    let ahead = waiting
        .iter()
        .filter(|w| (w.depth == 0, w.rank, w.is_long) <= (depth == 0, rank, is_long))
        .count();
    u32::try_from(ahead).unwrap_or(u32::MAX)
}

/// Expected wait of a call that joins the queue now.
#[must_use]
pub fn expected_wait(
    waiting: &[WaitingCall],
    priority: Priority,
    slots: Slots,
    mean: Duration,
) -> Duration {
    let Priority {
        depth,
        rank,
        is_long,
    } = priority;
    if slots.can_start(depth, rank, is_long) && waiting.is_empty() {
        return Duration::ZERO;
    }
    let ahead = count_ahead(waiting, priority).saturating_add(1);
    mean.saturating_mul(ahead) / slots.usable(depth, rank).max(1)
}
