//! A target at its gate: one that leaves gets no new calls, whatever announcements
//! arrive later; one that warms up gets as many slots as its service document says.

use std::time::Duration;

use pollenrouter_core::call::{Offer, WhenSlow};
use pollenrouter_core::entry::{self, Entry, Member};
use pollenrouter_core::gate::statement::{Statement, TargetNotice};
use pollenrouter_core::gate::target::TargetIncarnation;
use pollenrouter_core::gate::{Announcement, Gate, Input};
use pollenrouter_core::id::CallId;
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

fn states_leaving(name: &str, started_ms: u64, is_probe: bool) -> Input {
    Input::Stated(Statement {
        target: incarnation(name, started_ms),
        is_probe,
        leaving: true,
        ..Statement::default()
    })
}

fn offered_with_notice(name: &str, started_ms: u64) -> Input {
    Input::Offer(Offer {
        incarnation: 1,
        id: CallId {
            entry: 2,
            seq: 1,
            nonce: 1,
        },
        service: SERVICE.into(),
        route: "r".into(),
        depth: 0,
        organisation: "".into(),
        rank: 0,
        remaining: STEP,
        objective: STEP,
        sheddable: false,
        when_slow: WhenSlow::Start,
        at_most_once: true,
        fingerprint: 1,
        issued_by_sender: true,
        target_notice: Some(Box::new(TargetNotice {
            target: incarnation(name, started_ms),
            leaving: true,
            ..TargetNotice::default()
        })),
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
const READY_AFTER_STATED_DEPARTURE: Case = Case {
    inputs: || {
        vec![
            announced("i-1", 1, 1, false),
            states_leaving("i-1", 1, false),
            announced("i-1", 1, 2, false),
        ]
    },
    accepts_calls: false,
};
const NEXT_INCARNATION_AFTER_STATED_DEPARTURE: Case = Case {
    inputs: || {
        vec![
            announced("i-1", 1, 1, false),
            states_leaving("i-1", 1, false),
            announced("i-1", 2, 1, false),
        ]
    },
    accepts_calls: true,
};
/// The health check may have been answered by another target at the same address.
const HEALTH_ANSWER_STATES_DEPARTURE: Case = Case {
    inputs: || {
        vec![
            announced("i-1", 1, 1, false),
            states_leaving("i-1", 1, true),
        ]
    },
    accepts_calls: true,
};
const UNNAMED_STATES_DEPARTURE: Case = Case {
    inputs: || vec![announced("", 0, 0, false), states_leaving("", 0, false)],
    accepts_calls: false,
};
const NEXT_UNNAMED_AFTER_STATED_DEPARTURE: Case = Case {
    inputs: || {
        vec![
            announced("", 0, 0, false),
            states_leaving("", 0, false),
            announced("", 0, 0, false),
        ]
    },
    accepts_calls: true,
};
/// The daemon has restarted and is told of the departure by an entry.
const OFFERED_WITH_NOTICE_OF_DEPARTURE: Case = Case {
    inputs: || {
        vec![
            announced("i-1", 1, 8, false),
            offered_with_notice("i-1", 1),
            announced("i-1", 1, 9, false),
        ]
    },
    accepts_calls: false,
};
const OFFERED_WITH_NOTICE_OF_EARLIER_DEPARTURE: Case = Case {
    inputs: || vec![announced("i-2", 2, 8, false), offered_with_notice("i-1", 1)],
    accepts_calls: true,
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
#[case::ready_after_stated_departure(READY_AFTER_STATED_DEPARTURE)]
#[case::next_incarnation_after_stated_departure(NEXT_INCARNATION_AFTER_STATED_DEPARTURE)]
#[case::health_answer_states_departure(HEALTH_ANSWER_STATES_DEPARTURE)]
#[case::unnamed_states_departure(UNNAMED_STATES_DEPARTURE)]
#[case::next_unnamed_after_stated_departure(NEXT_UNNAMED_AFTER_STATED_DEPARTURE)]
#[case::offered_with_notice_of_departure(OFFERED_WITH_NOTICE_OF_DEPARTURE)]
#[case::offered_with_notice_of_earlier_departure(OFFERED_WITH_NOTICE_OF_EARLIER_DEPARTURE)]
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
        cold_start: None,
    }
}

/// Guards against an entry that forgets the departure of a target once the gate, which has
/// restarted, has nothing to say about it.
#[test]
fn an_entry_tells_a_gate_of_the_departure_that_it_has_heard_of() {
    let mut entry = Entry::new(1);
    let member = Member {
        host: "a".into(),
        incarnation: 7,
        service: SERVICE.into(),
        serving: true,
        ..Member::default()
    };
    entry.step(STEP, entry::Input::Members(vec![member]));
    let notice = TargetNotice {
        target: incarnation("i-1", 1),
        rate_limit: None,
        leaving: true,
    };
    let noticed = entry::Input::TargetNoticed("a".into(), Some(notice.clone()));
    entry.step(STEP, noticed);
    entry.step(STEP, entry::Input::TargetNoticed("a".into(), None));
    let request = entry::Request {
        token: 1,
        service: SERVICE.into(),
        remaining: STEP,
        objective: STEP,
        ..entry::Request::default()
    };
    let out = entry.step(STEP, entry::Input::Call(request));
    let [entry::Output::Offer(_, _, offer)] = out.as_slice() else {
        panic!("call must be offered: {out:?}");
    };
    assert_eq!(offer.target_notice.as_deref(), Some(&notice));
}
