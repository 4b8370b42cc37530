//! Who is refused when a call joins a queue that has too little room.

use std::time::Duration;

use pollenrouter_core::call::{Refusal, WhenSlow};
use pollenrouter_core::id::CallId;
use pollenrouter_core::queue::{Slots, WaitingCall};
use pollenrouter_core::shedding::fairness::Turn;
use pollenrouter_core::shedding::plan::{self, Room};
use rstest::rstest;

const WORK: Duration = Duration::from_millis(100);

/// Calls as rank, latest start in milliseconds, and whether the objective can be met. The last
/// one joins. One slot is in use; each call takes 100 ms.
struct Case {
    calls: &'static [(u8, u64, bool)],
    queue: u32,
    running: u32,
    refused: &'static [(usize, Refusal)],
}

const ROOM_FOR_ALL: Case = Case {
    calls: &[(0, 500, true), (0, 500, true), (0, 500, true)],
    queue: 10,
    running: 1,
    refused: &[],
};
const LAST_IS_LATE: Case = Case {
    calls: &[(0, 200, true), (0, 250, true), (0, 299, true)],
    refused: &[(2, Refusal::Late)],
    ..ROOM_FOR_ALL
};
const URGENT_DISPLACES: Case = Case {
    calls: &[(1, 150, true), (2, 250, true), (0, 299, true)],
    refused: &[(0, Refusal::Displaced)],
    ..ROOM_FOR_ALL
};
/// The call of rank 1 still starts in time after the urgent one; that of rank 2 does not.
const CHEAPEST_IS_DISPLACED: Case = Case {
    calls: &[(1, 250, true), (2, 250, true), (0, 299, true)],
    refused: &[(1, Refusal::Displaced)],
    ..ROOM_FOR_ALL
};
const LESS_URGENT_IS_REFUSED: Case = Case {
    calls: &[(1, 250, true), (1, 250, true), (2, 250, true)],
    refused: &[(2, Refusal::Late)],
    ..ROOM_FOR_ALL
};
const OVERDUE_YIELDS: Case = Case {
    calls: &[(0, 500, false), (0, 400, true)],
    refused: &[(0, Refusal::Displaced)],
    ..ROOM_FOR_ALL
};
const OVERDUE_IS_REFUSED: Case = Case {
    calls: &[(0, 400, true), (0, 500, false)],
    refused: &[(1, Refusal::Late)],
    ..ROOM_FOR_ALL
};
const OVERDUE_TAKES_A_FREE_SLOT: Case = Case {
    calls: &[(0, 50, false)],
    running: 0,
    ..ROOM_FOR_ALL
};
const QUEUE_FULL: Case = Case {
    calls: &[(1, 900, true), (1, 900, true), (2, 900, true)],
    queue: 2,
    refused: &[(2, Refusal::QueueFull)],
    ..ROOM_FOR_ALL
};
const QUEUE_FULL_OF_LESS_URGENT: Case = Case {
    calls: &[(1, 900, true), (2, 900, true), (1, 900, true)],
    queue: 2,
    refused: &[(1, Refusal::Displaced)],
    ..ROOM_FOR_ALL
};

/// Guards against a refusal of a call that costs callers more than one that stays, and against
/// calls that are held although there is no room for them.
#[rstest]
#[case::room_for_all(ROOM_FOR_ALL)]
#[case::last_is_late(LAST_IS_LATE)]
#[case::urgent_displaces(URGENT_DISPLACES)]
#[case::cheapest_is_displaced(CHEAPEST_IS_DISPLACED)]
#[case::less_urgent_is_refused(LESS_URGENT_IS_REFUSED)]
#[case::overdue_yields(OVERDUE_YIELDS)]
#[case::overdue_is_refused(OVERDUE_IS_REFUSED)]
#[case::overdue_takes_a_free_slot(OVERDUE_TAKES_A_FREE_SLOT)]
#[case::queue_full(QUEUE_FULL)]
#[case::queue_full_of_less_urgent(QUEUE_FULL_OF_LESS_URGENT)]
fn the_calls_that_cost_least_are_refused(#[case] case: Case) {
    let waiting: Vec<WaitingCall> = (0_u64..)
        .zip(case.calls)
        .map(|(seq, call)| waiting(seq, *call))
        .collect();
    let room = Room {
        now: Duration::ZERO,
        slots: Slots {
            open: 1,
            running: case.running,
            running_long: 0,
            short_reserved: 0,
            depth_levels: 0,
            reserved_rank: u8::MAX,
        },
        mean: WORK,
        queue: case.queue,
        overdue_may_wait: false,
        more_urgent_percent: &|_| 0,
        rate_wait: &|_| Duration::ZERO,
    };
    assert_eq!(plan::refused(&waiting, &room), case.refused);
}

fn waiting(seq: u64, (rank, start_by_ms, meets_objective): (u8, u64, bool)) -> WaitingCall {
    let start_by = Duration::from_millis(start_by_ms);
    WaitingCall {
        id: CallId {
            entry: 1,
            seq,
            nonce: seq,
        },
        route: "refresh".into(),
        depth: 0,
        organisation: "".into(),
        rank,
        turn: Turn::default(),
        is_long: false,
        at_most_once: false,
        deadline: start_by * 10,
        misses_objective: !meets_objective,
        start_by,
        order_by: start_by,
        late_from: None,
        delayed_from: start_by,
        when_slow: WhenSlow::Start,
        recovery_wait_until: start_by,
        mean: WORK,
    }
}
