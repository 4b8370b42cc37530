//! Conditions under which the gate of a restarted daemon opens.

use pollenrouter_core::startup_sync::{FleetView, StartupSync};
use rstest::rstest;

const WITH_OTHERS: FleetView = FleetView {
    has_own_object: true,
    has_other_members: true,
};
const ALONE: FleetView = FleetView {
    has_other_members: false,
    ..WITH_OTHERS
};
const OWN_OBJECT_UNKNOWN: FleetView = FleetView {
    has_own_object: false,
    has_other_members: true,
};

struct Case {
    events: fn(&mut StartupSync),
    view: FleetView,
    opens: bool,
}

const NO_EVENTS: Case = Case {
    events: |_| (),
    view: ALONE,
    opens: false,
};
/// Other daemons may hold departures that the platform lacks.
const REGISTERED: Case = Case {
    events: StartupSync::on_registered,
    view: WITH_OTHERS,
    opens: false,
};
/// There may be other members that were not read yet.
const REGISTERED_NOT_LISTED: Case = Case {
    events: StartupSync::on_registered,
    view: ALONE,
    opens: false,
};
const REGISTERED_ALONE: Case = Case {
    events: |sync| {
        sync.on_registered();
        sync.on_members_listed();
    },
    view: ALONE,
    opens: true,
};
/// The platform is unavailable; another daemon knows an earlier incarnation.
const PEER_SYNCED: Case = Case {
    events: StartupSync::on_peer_synced,
    view: WITH_OTHERS,
    opens: true,
};
/// The daemon that responded does not know this host.
const PEER_SYNCED_OWN_OBJECT_UNKNOWN: Case = Case {
    events: StartupSync::on_peer_synced,
    view: OWN_OBJECT_UNKNOWN,
    opens: false,
};
const NO_RESPONSE: Case = Case {
    events: |sync| {
        sync.on_registered();
        sync.on_round();
        sync.on_round();
    },
    view: WITH_OTHERS,
    opens: true,
};
/// The platform has the registration but has not told the evacuations yet.
const EVACUATIONS_UNKNOWN: Case = Case {
    events: |sync| {
        sync.await_evacuations();
        sync.on_registered();
        sync.on_members_listed();
        sync.on_round();
        sync.on_round();
    },
    view: ALONE,
    opens: false,
};
const EVACUATIONS_LISTED: Case = Case {
    events: |sync| {
        (EVACUATIONS_UNKNOWN.events)(sync);
        sync.on_evacuations_listed();
    },
    opens: true,
    ..EVACUATIONS_UNKNOWN
};
/// The platform is unavailable; another daemon has told all that it knows.
const EVACUATIONS_OF_A_PEER: Case = Case {
    events: |sync| {
        sync.await_evacuations();
        sync.on_peer_synced();
    },
    opens: true,
    ..EVACUATIONS_UNKNOWN
};
const ROUNDS_WITHOUT_REGISTRATION: Case = Case {
    events: |sync| (0..10).for_each(|_| sync.on_round()),
    view: WITH_OTHERS,
    opens: false,
};

#[rstest]
#[case::no_events(NO_EVENTS)]
#[case::registered(REGISTERED)]
#[case::registered_not_listed(REGISTERED_NOT_LISTED)]
#[case::registered_alone(REGISTERED_ALONE)]
#[case::peer_synced(PEER_SYNCED)]
#[case::peer_synced_own_object_unknown(PEER_SYNCED_OWN_OBJECT_UNKNOWN)]
#[case::no_response(NO_RESPONSE)]
#[case::evacuations_unknown(EVACUATIONS_UNKNOWN)]
#[case::evacuations_listed(EVACUATIONS_LISTED)]
#[case::evacuations_of_a_peer(EVACUATIONS_OF_A_PEER)]
#[case::rounds_without_registration(ROUNDS_WITHOUT_REGISTRATION)]
fn gate_opens_once_earlier_departures_are_known(#[case] case: Case) {
    let mut sync = StartupSync::default();
    (case.events)(&mut sync);
    assert_eq!(sync.is_complete(case.view), case.opens);
}
