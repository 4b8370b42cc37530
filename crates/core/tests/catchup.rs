//! When a daemon that has just started may open its gate.

use pollenrouter_core::catchup::{Catchup, View};
use rstest::rstest;

const AMONG_OTHERS: View = View {
    knows_own: true,
    has_others: true,
};
const ALONE: View = View {
    has_others: false,
    ..AMONG_OTHERS
};
const UNKNOWN: View = View {
    knows_own: false,
    has_others: true,
};

struct Case {
    happens: fn(&mut Catchup),
    view: View,
    opens: bool,
}

const NOTHING: Case = Case {
    happens: |_| (),
    view: ALONE,
    opens: false,
};
/// Copies of a departure that the platform does not have may lie with others.
const REGISTERED: Case = Case {
    happens: Catchup::registered,
    view: AMONG_OTHERS,
    opens: false,
};
/// Others may be there that were not read yet.
const REGISTERED_NOT_LISTED: Case = Case {
    happens: Catchup::registered,
    view: ALONE,
    opens: false,
};
const REGISTERED_ALONE: Case = Case {
    happens: |catchup| {
        catchup.registered();
        catchup.listed();
    },
    view: ALONE,
    opens: true,
};
/// The platform is out; others know of an earlier life.
const TOLD: Case = Case {
    happens: Catchup::told,
    view: AMONG_OTHERS,
    opens: true,
};
const TOLD_BY_STRANGERS: Case = Case {
    happens: Catchup::told,
    view: UNKNOWN,
    opens: false,
};
const NOBODY_ANSWERS: Case = Case {
    happens: |catchup| {
        catchup.registered();
        catchup.round();
        catchup.round();
    },
    view: AMONG_OTHERS,
    opens: true,
};
const ROUNDS_WITHOUT_REGISTRATION: Case = Case {
    happens: |catchup| (0..10).for_each(|_| catchup.round()),
    view: AMONG_OTHERS,
    opens: false,
};

#[rstest]
#[case::nothing(NOTHING)]
#[case::registered(REGISTERED)]
#[case::registered_not_listed(REGISTERED_NOT_LISTED)]
#[case::registered_alone(REGISTERED_ALONE)]
#[case::told(TOLD)]
#[case::told_by_strangers(TOLD_BY_STRANGERS)]
#[case::nobody_answers(NOBODY_ANSWERS)]
#[case::rounds_without_registration(ROUNDS_WITHOUT_REGISTRATION)]
fn a_gate_opens_once_earlier_departures_are_known(#[case] case: Case) {
    let mut catchup = Catchup::default();
    (case.happens)(&mut catchup);
    assert_eq!(catchup.is_done(case.view), case.opens);
}
