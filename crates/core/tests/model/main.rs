//! Model checking of the core protocol: every interleaving within small
//! bounds, driving the daemon's own transition functions.

mod actions;
mod documents;
mod explore;
mod world;

use explore::{explore, shortest_violation};
use rstest::rstest;
use world::{Bounds, Removed};

/// A caller asks for a ticket, presses, and presses again with the same ticket
/// at another entry.
const TICKET: Bounds = Bounds {
    entries: 2,
    gates: 1,
    presses: 1,
    tickets: true,
    resends: 1,
    duplicates: 1,
    losses: 1,
    gate_crashes: 0,
    entry_crashes: 0,
    records_max: 8,
};

/// The same, with a restart of the gate at any moment.
const TICKET_GATE: Bounds = Bounds {
    duplicates: 1,
    losses: 1,
    gate_crashes: 1,
    ..TICKET
};

/// The same, with a restart of an entry at any moment.
const TICKET_ENTRY: Bounds = Bounds {
    duplicates: 0,
    entry_crashes: 1,
    ..TICKET
};

/// A caller without a ticket; its entry may try a second gate.
const NO_TICKET: Bounds = Bounds {
    entries: 1,
    gates: 2,
    presses: 1,
    tickets: false,
    resends: 0,
    duplicates: 1,
    losses: 2,
    gate_crashes: 1,
    entry_crashes: 0,
    records_max: 8,
};

/// Two callers at one entry; the gate remembers a single id.
const SHORT_MEMORY: Bounds = Bounds {
    entries: 1,
    gates: 1,
    presses: 2,
    tickets: false,
    resends: 0,
    duplicates: 2,
    losses: 1,
    gate_crashes: 0,
    entry_crashes: 0,
    records_max: 1,
};

#[rstest]
#[case::ticket("ticket", TICKET)]
#[case::ticket_gate("ticket, gate restarts", TICKET_GATE)]
#[case::ticket_entry("ticket, entry restarts", TICKET_ENTRY)]
#[case::no_ticket("no ticket", NO_TICKET)]
#[case::short_memory("short memory", SHORT_MEMORY)]
fn the_protocol_keeps_its_promises(#[case] name: &str, #[case] bounds: Bounds) {
    let found = explore(bounds, None);
    println!("{name}: {} states", found.states);
    if found.violation.is_some() {
        let trace = shortest_violation(bounds, None).unwrap_or_default();
        panic!("{name}: {:?}\n{}", found.violation, trace.join("\n"));
    }
    assert!(
        found.answered,
        "{name}: no state in which a caller was answered"
    );
}

#[rstest]
#[case::incarnation(Removed::IncarnationCheck, TICKET_GATE)]
#[case::new_incarnation(Removed::NewIncarnation, TICKET_GATE)]
#[case::records(Removed::Records, TICKET)]
#[case::void(Removed::Void, NO_TICKET)]
#[case::silence(Removed::AskOnSilence, NO_TICKET)]
#[case::doubt(Removed::DoubtAtDeadline, NO_TICKET)]
#[case::low_water(Removed::LowWater, SHORT_MEMORY)]
fn without_a_safeguard_the_checker_finds_a_trace(#[case] removed: Removed, #[case] bounds: Bounds) {
    let trace = shortest_violation(bounds, Some(removed));
    let trace = trace.unwrap_or_else(|| panic!("{removed:?}: no violation found"));
    println!("without {removed:?}:\n{}", trace.join("\n"));
}
