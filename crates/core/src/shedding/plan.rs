//! Decides, when a call joins a queue, who is refused for lack of room.
//!
//! Calls are planned in the order in which they start, which is also the order of what it
//! costs callers to refuse them. So the calls that do not start in time by the plan are those
//! that cost least.

use std::time::Duration;

use crate::call::Refusal;
use crate::queue::{Slots, WaitingCall};

/// Room at a gate.
pub struct Room<'a> {
    /// Present time.
    pub now: Duration,
    /// Slots of the target.
    pub slots: Slots,
    /// Mean service time over all routes; stands for that of routes without one.
    pub mean: Duration,
    /// Calls that may wait, counted separately for public calls and for deeper ones.
    pub queue: u32,
    /// Whether calls that have missed their objective may wait.
    pub overdue_may_wait: bool,
    /// Share of the slots that calls more urgent than a rank use, percent below 100.
    pub more_urgent_percent: &'a dyn Fn(u8) -> u32,
    /// Time until the target's rate limit lets a call start after a number of others.
    pub rate_wait: &'a dyn Fn(u32) -> Duration,
}

/// Calls that start before the one that is planned next.
#[derive(Default)]
struct Ahead {
    calls: u32,
    public: u32,
    work: Duration,
}

/// Calls that are refused because the last one of `waiting` joins: either that call, or those
/// that start after it and no longer start in time. Returns their indices in ascending order.
#[must_use]
pub fn refused(waiting: &[WaitingCall], room: &Room) -> Vec<(usize, Refusal)> {
    let Some(newest) = waiting.len().checked_sub(1) else {
        return Vec::new();
    };
    let mut order: Vec<usize> = (0..waiting.len()).collect();
    order.sort_by_key(|index| waiting[*index].start_order(room.now));
    let mut ahead = Ahead::default();
    let mut refused = Vec::new();
    let mut is_affected = false;
    for index in order {
        let w = &waiting[index];
        is_affected |= index == newest;
        match ahead.refusal(w, room).filter(|_| is_affected) {
            None => ahead.add(w, room),
            Some(refusal) if index == newest => return vec![(newest, refusal)],
            Some(_) => refused.push((index, Refusal::Displaced)),
        }
    }
    refused.sort_unstable_by_key(|(index, _)| *index);
    refused
}

impl Ahead {
    fn add(&mut self, w: &WaitingCall, room: &Room) {
        self.calls += 1;
        self.public += u32::from(w.depth == 0);
        self.work += if w.mean.is_zero() { room.mean } else { w.mean };
    }

    fn refusal(&self, w: &WaitingCall, room: &Room) -> Option<Refusal> {
        let usable = room.slots.usable(w.depth, w.rank).max(1);
        let free = usable.saturating_sub(room.slots.running);
        let starts_at_once = self.calls < free && room.slots.can_start(w.depth, w.rank, w.is_long);
        let same_class = if w.depth == 0 {
            self.public
        } else {
            self.calls - self.public
        };
        if same_class >= room.queue && !starts_at_once {
            return Some(Refusal::QueueFull);
        }
        let max_wait = w.start_by.saturating_sub(room.now);
        if (room.rate_wait)(self.calls) > max_wait {
            return Some(Refusal::RateLimited);
        }
        // A call that has missed its objective only takes room that nobody else wants.
        let needs_free_slot = w.misses_objective && !room.overdue_may_wait;
        let is_late = needs_free_slot || self.expected_wait(w, usable, room) > max_wait;
        (is_late && !starts_at_once).then_some(Refusal::Late)
    }

    /// The running calls end evenly spread over the mean service time; then the slots take the
    /// calls ahead, as far as more urgent ones that arrive meanwhile leave them.
    fn expected_wait(&self, w: &WaitingCall, usable: u32, room: &Room) -> Duration {
        let free = usable.saturating_sub(room.slots.running);
        let calls = self.calls + 1;
        let mean = (room.mean + self.work) / calls;
        let wait = mean * calls.saturating_sub(free) / usable;
        wait * 100
            / 100_u32
                .saturating_sub((room.more_urgent_percent)(w.rank))
                .max(1)
    }
}
