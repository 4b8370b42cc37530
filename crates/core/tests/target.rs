//! A target at its gate: one that leaves gets no new work, whatever it or its past
//! says later; one that warms up gets as much as its document says.

use std::time::Duration;

use pollenrouter_core::gate::target::Life;
use pollenrouter_core::gate::{Announcement, Gate, Input};
use pollenrouter_core::service::{Limits, ProbeBudget, Service};
use rstest::rstest;

const SERVICE: &str = "seats";
const STEP: Duration = Duration::from_millis(10);

fn life(name: &str, born: u64) -> Life {
    Life {
        name: name.into(),
        born,
    }
}

fn beat(name: &str, born: u64, sequence: u64, draining: bool) -> Input {
    Input::Announced(Announcement {
        life: life(name, born),
        sequence,
        service: SERVICE.into(),
        slots: 4,
        draining,
        cold_start: Duration::ZERO,
    })
}

struct Case {
    inputs: fn() -> Vec<Input>,
    serves: bool,
}

const READY: Case = Case {
    inputs: || vec![beat("i-1", 1, 1, false)],
    serves: true,
};
const DRAINING: Case = Case {
    inputs: || vec![beat("i-1", 1, 1, false), beat("i-1", 1, 2, true)],
    serves: false,
};
const LATE_BEAT_OF_BEFORE: Case = Case {
    inputs: || {
        vec![
            beat("i-1", 1, 1, false),
            beat("i-1", 1, 3, true),
            beat("i-1", 1, 2, false),
        ]
    },
    serves: false,
};
const READY_AFTER_DRAINING: Case = Case {
    inputs: || vec![beat("i-1", 1, 2, true), beat("i-1", 1, 3, false)],
    serves: false,
};
const GONE_WITHOUT_DRAINING: Case = Case {
    inputs: || {
        vec![
            beat("i-1", 1, 1, false),
            Input::Departed(life("i-1", 1)),
            beat("i-1", 1, 2, false),
        ]
    },
    serves: false,
};
/// The daemon has restarted and knows the departure from its object.
const BEAT_AFTER_RESTART: Case = Case {
    inputs: || vec![Input::Departed(life("i-1", 1)), beat("i-1", 1, 9, false)],
    serves: false,
};
const NEXT_LIFE_UNDER_THE_SAME_NAME: Case = Case {
    inputs: || vec![Input::Departed(life("i-1", 1)), beat("i-1", 2, 1, false)],
    serves: true,
};
/// The departure did not name its start; the router bounded it from above.
const BEAT_OF_A_LIFE_BEFORE_THE_DEPARTURE: Case = Case {
    inputs: || vec![Input::Departed(life("i-1", 5)), beat("i-1", 3, 9, false)],
    serves: false,
};
const NEXT_TARGET_ON_THE_HOST: Case = Case {
    inputs: || vec![beat("i-1", 1, 2, true), beat("i-2", 2, 1, false)],
    serves: true,
};
/// A beat that a cut held up arrives after its sender's successor has spoken.
const LATE_BEAT_OF_A_DEAD_TARGET: Case = Case {
    inputs: || {
        vec![
            beat("i-2", 2, 1, false),
            beat("i-2", 2, 2, true),
            beat("i-1", 1, 7, false),
        ]
    },
    serves: false,
};

#[rstest]
#[case::ready(READY)]
#[case::draining(DRAINING)]
#[case::late_beat_of_before(LATE_BEAT_OF_BEFORE)]
#[case::ready_after_draining(READY_AFTER_DRAINING)]
#[case::gone_without_draining(GONE_WITHOUT_DRAINING)]
#[case::beat_after_restart(BEAT_AFTER_RESTART)]
#[case::next_life_under_the_same_name(NEXT_LIFE_UNDER_THE_SAME_NAME)]
#[case::beat_of_a_life_before_the_departure(BEAT_OF_A_LIFE_BEFORE_THE_DEPARTURE)]
#[case::next_target_on_the_host(NEXT_TARGET_ON_THE_HOST)]
#[case::late_beat_of_a_dead_target(LATE_BEAT_OF_A_DEAD_TARGET)]
fn what_was_said_of_leaving_holds(#[case] case: Case) {
    let mut gate = Gate::new(7, 64);
    let mut now = Duration::ZERO;
    for input in (case.inputs)() {
        now += STEP;
        gate.step(now, input);
    }
    assert_eq!(gate.serving(now).is_some(), case.serves);
}

#[test]
fn a_gate_that_does_not_know_earlier_departures_serves_nothing() {
    let mut gate = Gate::new(7, 64).unsynced();
    gate.step(STEP, beat("i-1", 1, 1, false));
    assert!(gate.serving(STEP).is_none());
    gate.step(STEP, Input::Synced);
    assert!(gate.serving(STEP).is_some());
}

struct ColdCase {
    cold_percent: u32,
    after: Duration,
    open: u32,
}

#[rstest]
#[case::one_at_first(ColdCase { cold_percent: 0, after: Duration::ZERO, open: 1 })]
#[case::half_way(ColdCase { cold_percent: 0, after: Duration::from_secs(2), open: 2 })]
#[case::all_at_once(ColdCase { cold_percent: 100, after: Duration::ZERO, open: 4 })]
#[case::part_at_once(ColdCase { cold_percent: 75, after: Duration::ZERO, open: 3 })]
fn slots_of_a_cold_target_open_as_the_document_says(#[case] case: ColdCase) {
    let mut gate = Gate::new(7, 64);
    let limits = Limits {
        cold_percent: case.cold_percent,
        ..Limits::default()
    };
    gate.step(Duration::ZERO, Input::Document(service(limits)));
    gate.step(
        Duration::ZERO,
        Input::Announced(Announcement {
            service: SERVICE.into(),
            slots: 4,
            cold_start: Duration::from_secs(4),
            ..Announcement::default()
        }),
    );
    assert_eq!(gate.hint(case.after).slots, case.open);
}

fn service(limits: Limits) -> Service {
    Service {
        name: SERVICE.into(),
        internal_callers: Vec::new(),
        routes: Vec::new(),
        limits,
        probe_budget: ProbeBudget::default(),
    }
}
