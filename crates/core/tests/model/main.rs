//! Model checking of the core protocol: explores every interleaving within small bounds,
//! using the daemon's own state machines.

mod actions;
mod documents;
mod explore;
mod world;

use explore::{explore, shortest_violation};
use rstest::rstest;
use world::{Bounds, Safeguard};

/// A caller gets a ticket, sends a request, and sends it again with the same ticket, possibly
/// to another entry.
const TICKET: Bounds = Bounds {
    entries: 2,
    gates: 1,
    requests: 1,
    tickets: true,
    resends: 1,
    duplicates: 1,
    losses: 1,
    gate_crashes: 0,
    entry_crashes: 0,
    records_max: 8,
    has_reply_grace: true,
};

/// The same, with a restart of the gate at any time.
const TICKET_GATE_RESTART: Bounds = Bounds {
    duplicates: 1,
    losses: 1,
    gate_crashes: 1,
    ..TICKET
};

/// The same, with a restart of an entry at any time.
const TICKET_ENTRY_RESTART: Bounds = Bounds {
    duplicates: 0,
    entry_crashes: 1,
    ..TICKET
};

/// A request without a ticket; the entry may retry at a second gate.
const NO_TICKET: Bounds = Bounds {
    entries: 1,
    gates: 2,
    requests: 1,
    tickets: false,
    resends: 0,
    duplicates: 1,
    losses: 2,
    gate_crashes: 1,
    entry_crashes: 0,
    records_max: 8,
    has_reply_grace: true,
};

/// Two requests at one entry; the gate keeps a record of only one id.
const SINGLE_RECORD: Bounds = Bounds {
    entries: 1,
    gates: 1,
    requests: 2,
    tickets: false,
    resends: 0,
    duplicates: 2,
    losses: 1,
    gate_crashes: 0,
    entry_crashes: 0,
    records_max: 1,
    // The other bounds cover it; here it would make six times as many states.
    has_reply_grace: false,
};

#[rstest]
#[case::ticket("ticket", TICKET)]
#[case::ticket_gate_restart("ticket, gate restarts", TICKET_GATE_RESTART)]
#[case::ticket_entry_restart("ticket, entry restarts", TICKET_ENTRY_RESTART)]
#[case::no_ticket("no ticket", NO_TICKET)]
#[case::single_record("single record", SINGLE_RECORD)]
fn protocol_invariants_hold(#[case] name: &str, #[case] bounds: Bounds) {
    let exploration = explore(bounds, None);
    println!("{name}: {} states", exploration.states);
    if exploration.violation.is_some() {
        let trace = shortest_violation(bounds, None).unwrap_or_default();
        panic!("{name}: {:?}\n{}", exploration.violation, trace.join("\n"));
    }
    assert!(
        exploration.any_answered,
        "{name}: no caller received an answer in any state"
    );
}

#[rstest]
#[case::incarnation_check(Safeguard::IncarnationCheck, TICKET_GATE_RESTART)]
#[case::new_incarnation(Safeguard::NewIncarnation, TICKET_GATE_RESTART)]
#[case::records(Safeguard::Records, TICKET)]
#[case::void_on_query(Safeguard::VoidOnQuery, NO_TICKET)]
#[case::query_on_silence(Safeguard::QueryOnSilence, NO_TICKET)]
#[case::unknown_at_deadline(Safeguard::UnknownAtDeadline, NO_TICKET)]
#[case::low_water_mark(Safeguard::LowWaterMark, SINGLE_RECORD)]
fn disabling_a_safeguard_violates_an_invariant(
    #[case] disabled: Safeguard,
    #[case] bounds: Bounds,
) {
    let trace = shortest_violation(bounds, Some(disabled));
    let trace = trace.unwrap_or_else(|| panic!("{disabled:?} disabled: no violation found"));
    println!("{disabled:?} disabled:\n{}", trace.join("\n"));
}
