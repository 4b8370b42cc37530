//! Conditions under which the gate of a restarted daemon opens.

use pollenrouter_core::id;
use pollenrouter_core::startup_sync::{self, FleetView, StartupSync};
use rstest::rstest;

static ASKED: [id::HostName; 3] = [
    id::HostName::new_static("host-1"),
    id::HostName::new_static("host-2"),
    id::HostName::new_static("host-3"),
];

const WITH_OTHERS: FleetView<'static> = FleetView {
    has_own_object: true,
    has_other_members: true,
    asked: ASKED.split_at(1).0,
};
const ALONE: FleetView<'static> = FleetView {
    has_other_members: false,
    asked: &[],
    ..WITH_OTHERS
};
const OWN_OBJECT_UNKNOWN: FleetView<'static> = FleetView {
    has_own_object: false,
    ..WITH_OTHERS
};
const WITH_TWO_OTHERS: FleetView<'static> = FleetView {
    asked: ASKED.split_at(2).0,
    ..WITH_OTHERS
};
const WITH_THREE_OTHERS: FleetView<'static> = FleetView {
    asked: &ASKED,
    ..WITH_OTHERS
};

struct Case {
    events: fn(&mut StartupSync),
    view: FleetView<'static>,
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
    events: |sync| sync.on_peer_synced(ASKED[0].clone()),
    view: WITH_OTHERS,
    opens: true,
};
/// The copies of a departure may be on the other daemon only.
const ONE_OF_TWO_SYNCED: Case = Case {
    view: WITH_TWO_OTHERS,
    opens: false,
    ..PEER_SYNCED
};
const BOTH_SYNCED: Case = Case {
    events: |sync| {
        ASKED[..2]
            .iter()
            .cloned()
            .for_each(|host| sync.on_peer_synced(host));
    },
    view: WITH_TWO_OTHERS,
    opens: true,
};
const ONE_OF_THREE_SYNCED: Case = Case {
    view: WITH_THREE_OTHERS,
    ..ONE_OF_TWO_SYNCED
};
const TWO_OF_THREE_SYNCED: Case = Case {
    view: WITH_THREE_OTHERS,
    ..BOTH_SYNCED
};
/// Daemons that were not asked may not have been asked for copies either.
const OTHERS_SYNCED: Case = Case {
    events: |sync| {
        sync.on_peer_synced("host-8".into());
        sync.on_peer_synced("host-9".into());
    },
    ..ONE_OF_THREE_SYNCED
};
/// The others do not respond.
const ONE_OF_THREE_SYNCED_LONG_AGO: Case = Case {
    events: |sync| {
        sync.on_peer_synced(ASKED[0].clone());
        sync.on_round();
        sync.on_round();
    },
    opens: true,
    ..ONE_OF_THREE_SYNCED
};
/// The daemon that responded does not know this host.
const PEER_SYNCED_OWN_OBJECT_UNKNOWN: Case = Case {
    events: |sync| sync.on_peer_synced(ASKED[0].clone()),
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
        sync.on_peer_synced(ASKED[0].clone());
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
#[case::one_of_two_synced(ONE_OF_TWO_SYNCED)]
#[case::both_synced(BOTH_SYNCED)]
#[case::one_of_three_synced(ONE_OF_THREE_SYNCED)]
#[case::two_of_three_synced(TWO_OF_THREE_SYNCED)]
#[case::others_synced(OTHERS_SYNCED)]
#[case::one_of_three_synced_long_ago(ONE_OF_THREE_SYNCED_LONG_AGO)]
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

/// Guards against a starting daemon whose sources all lack a departure that was acknowledged.
#[test]
fn sources_of_a_starting_daemon_include_one_that_confirmed() {
    for asked in 1..=10 {
        let responses = startup_sync::responses_required(asked);
        let confirmed = startup_sync::CONFIRMATIONS.min(asked);
        assert!(responses <= asked, "{asked} daemons are asked");
        assert!(responses + confirmed > asked, "{asked} daemons are asked");
    }
}
