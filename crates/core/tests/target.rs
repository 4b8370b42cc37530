//! A target at its gate: one that leaves gets no new calls, whatever announcements
//! arrive later; one that warms up gets as many slots as its service document says.

use std::time::Duration;

use pollenrouter_core::gate::target::TargetIncarnation;
use pollenrouter_core::gate::{Announcement, Gate, Input};
use pollenrouter_core::service::{Limits, ProbeBudget, Service};
use rstest::rstest;

const SERVICE: &str = "seats";
const STEP: Duration = Duration::from_millis(10);

fn incarnation(name: &str, started_ms: u64) -> TargetIncarnation {
    TargetIncarnation {
        name: name.into(),
        started_ms,
    }
}

fn announced(name: &str, started_ms: u64, sequence: u64, draining: bool) -> Input {
    Input::Announced(Announcement {
        incarnation: incarnation(name, started_ms),
        sequence,
        service: SERVICE.into(),
        slots: 4,
        draining,
        cold_start: Duration::ZERO,
    })
}

struct Case {
    inputs: fn() -> Vec<Input>,
    accepts_calls: bool,
}

const READY: Case = Case {
    inputs: || vec![announced("i-1", 1, 1, false)],
    accepts_calls: true,
};
const DRAINING: Case = Case {
    inputs: || vec![announced("i-1", 1, 1, false), announced("i-1", 1, 2, true)],
    accepts_calls: false,
};
const EARLIER_READY_AFTER_DRAINING: Case = Case {
    inputs: || {
        vec![
            announced("i-1", 1, 1, false),
            announced("i-1", 1, 3, true),
            announced("i-1", 1, 2, false),
        ]
    },
    accepts_calls: false,
};
const READY_AFTER_DRAINING: Case = Case {
    inputs: || vec![announced("i-1", 1, 2, true), announced("i-1", 1, 3, false)],
    accepts_calls: false,
};
const DEPARTED_WITHOUT_DRAINING: Case = Case {
    inputs: || {
        vec![
            announced("i-1", 1, 1, false),
            Input::Departed(incarnation("i-1", 1)),
            announced("i-1", 1, 2, false),
        ]
    },
    accepts_calls: false,
};
/// The daemon has restarted and knows the departure from its object on the platform.
const ANNOUNCED_AFTER_DAEMON_RESTART: Case = Case {
    inputs: || {
        vec![
            Input::Departed(incarnation("i-1", 1)),
            announced("i-1", 1, 9, false),
        ]
    },
    accepts_calls: false,
};
const RESTARTED_UNDER_SAME_NAME: Case = Case {
    inputs: || {
        vec![
            Input::Departed(incarnation("i-1", 1)),
            announced("i-1", 2, 1, false),
        ]
    },
    accepts_calls: true,
};
/// The departure did not state when the target started; the router used an upper bound.
const STARTED_BEFORE_DEPARTURE: Case = Case {
    inputs: || {
        vec![
            Input::Departed(incarnation("i-1", 5)),
            announced("i-1", 3, 9, false),
        ]
    },
    accepts_calls: false,
};
const NEXT_TARGET_ON_HOST: Case = Case {
    inputs: || vec![announced("i-1", 1, 2, true), announced("i-2", 2, 1, false)],
    accepts_calls: true,
};
/// An announcement delayed by a network partition arrives after the next target on the
/// host has announced itself.
const DELAYED_FROM_PREVIOUS_TARGET: Case = Case {
    inputs: || {
        vec![
            announced("i-2", 2, 1, false),
            announced("i-2", 2, 2, true),
            announced("i-1", 1, 7, false),
        ]
    },
    accepts_calls: false,
};

#[rstest]
#[case::ready(READY)]
#[case::draining(DRAINING)]
#[case::earlier_ready_after_draining(EARLIER_READY_AFTER_DRAINING)]
#[case::ready_after_draining(READY_AFTER_DRAINING)]
#[case::departed_without_draining(DEPARTED_WITHOUT_DRAINING)]
#[case::announced_after_daemon_restart(ANNOUNCED_AFTER_DAEMON_RESTART)]
#[case::restarted_under_same_name(RESTARTED_UNDER_SAME_NAME)]
#[case::started_before_departure(STARTED_BEFORE_DEPARTURE)]
#[case::next_target_on_host(NEXT_TARGET_ON_HOST)]
#[case::delayed_from_previous_target(DELAYED_FROM_PREVIOUS_TARGET)]
fn departed_targets_get_no_new_calls(#[case] case: Case) {
    let mut gate = Gate::new(7, 64);
    let mut now = Duration::ZERO;
    for input in (case.inputs)() {
        now += STEP;
        gate.step(now, input);
    }
    assert_eq!(gate.active_service(now).is_some(), case.accepts_calls);
}

#[test]
fn a_gate_accepts_no_calls_before_earlier_departures_are_loaded() {
    let mut gate = Gate::new(7, 64).awaiting_departures();
    gate.step(STEP, announced("i-1", 1, 1, false));
    assert!(gate.active_service(STEP).is_none());
    gate.step(STEP, Input::DeparturesLoaded);
    assert!(gate.active_service(STEP).is_some());
}

struct ColdCase {
    cold_percent: u32,
    after: Duration,
    open_slots: u32,
}

#[rstest]
#[case::one_initial_slot(ColdCase { cold_percent: 0, after: Duration::ZERO, open_slots: 1 })]
#[case::halfway(ColdCase { cold_percent: 0, after: Duration::from_secs(2), open_slots: 2 })]
#[case::all_initially(ColdCase { cold_percent: 100, after: Duration::ZERO, open_slots: 4 })]
#[case::some_initially(ColdCase { cold_percent: 75, after: Duration::ZERO, open_slots: 3 })]
fn slots_of_a_cold_target_open_by_the_service_document(#[case] case: ColdCase) {
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
    assert_eq!(gate.hint(case.after).slots, case.open_slots);
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
