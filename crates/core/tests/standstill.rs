//! Answers that wait for room behind callers that take nothing.

use std::time::Duration;

use pollenrouter_core::memory::{Budget, Class};

const LIMIT: u64 = 1000;
/// Shares that hold the budget at a time.
const HELD: usize = 3;
const ANSWER_BYTES: u64 = LIMIT / HELD as u64;
const WAITING: usize = 20;
const STEP: Duration = Duration::from_millis(100);
/// Interval at which the first callers came.
const APART: Duration = Duration::from_secs(1);
const LASTS: Duration = Duration::from_secs(10);

/// Guards against answers that wait, and keep the slots of the target, behind callers that take
/// nothing and give way one after the other, never [`STANDSTILL_MAX`] apart.
#[test]
fn answers_give_way_while_callers_that_take_nothing_do_so_in_turn() {
    let mut budget = Budget::new(LIMIT);
    // Shares with the parties that take them.
    let mut held = Vec::new();
    let mut waiting = Vec::new();
    let mut dropped = 0;
    let mut now = Duration::ZERO;
    while now < LASTS {
        if held.len() + waiting.len() < HELD && now >= APART * u32::try_from(held.len()).unwrap() {
            let id = budget.open();
            assert!(budget.take(now, Class::Answer, id, ANSWER_BYTES));
            let taker = budget.open();
            budget.add_party(now, Class::Answer, taker);
            held.push((id, taker));
            if held.len() == HELD {
                waiting = (0..WAITING).map(|_| budget.open()).collect();
                for id in &waiting {
                    budget.add_party(now, Class::Answer, *id);
                }
            }
        }
        let mut at = 0;
        while at < held.len() {
            let (id, taker) = held[at];
            if budget.must_give_way(now, taker) {
                budget.remove_party(taker);
                budget.close(now, Class::Answer, id, ANSWER_BYTES);
                held.remove(at);
            } else {
                at += 1;
            }
        }
        let mut at = 0;
        while at < waiting.len() {
            let id = waiting[at];
            if budget.take(now, Class::Answer, id, ANSWER_BYTES) {
                budget.remove_party(id);
                let taker = budget.open();
                budget.add_party(now, Class::Answer, taker);
                held.push((id, taker));
                waiting.remove(at);
            } else if budget.must_give_way(now, id) {
                budget.remove_party(id);
                budget.close(now, Class::Answer, id, 0);
                waiting.remove(at);
                dropped += 1;
            } else {
                at += 1;
            }
        }
        now += STEP;
    }
    assert!(dropped > 0, "{} still wait", waiting.len());
}
