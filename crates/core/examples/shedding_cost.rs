//! Measures what shedding and fairness cost a gate: time for a call that is offered, starts and
//! ends, and memory for organisations in use.
//!
//! `cargo run --release -p pollenrouter-core --example shedding_cost`

use std::time::{Duration, Instant};

use pollenrouter_core::call::{Offer, WhenSlow};
use pollenrouter_core::gate::{Announcement, Gate, Input, Outcome, Output};
use pollenrouter_core::id::{CallId, OrganisationName};
use pollenrouter_core::service::{Limits, ProbeBudget, Service};
use pollenrouter_core::shedding::Shed;
use pollenrouter_core::shedding::fairness::Fairness;

/// Organisations whose memory is measured.
const IN_USE: u64 = 10_000;
const CALLS: u64 = 200_000;
const SLOTS: u32 = 8;
const INCARNATION: u64 = 7;
const SERVICE: &str = "board";

fn main() {
    print_memory();
    for (shed, organisations, waiting) in [
        (Shed::Lowest, 0, 0),
        (Shed::Lowest, 0, 60),
        (Shed::All, 0, 0),
        (Shed::All, 0, 60),
        (Shed::All, 1, 60),
        (Shed::All, 70, 0),
        (Shed::All, 70, 60),
        (Shed::All, 10_000, 0),
        (Shed::All, 10_000, 60),
    ] {
        let took = time_of_a_call(shed, organisations, waiting);
        println!(
            "{shed:?}, {organisations} organisations, {waiting} waiting: {} ns a call",
            took.as_nanos()
        );
    }
}

/// Memory for organisations whose calls have been offered and started just now.
fn print_memory() {
    let mut fairness = Fairness::default();
    let before = resident_bytes();
    for index in 0..IN_USE {
        let organisation = format!("organisation-{index}").into();
        fairness.record_offer(Duration::ZERO, 0, &organisation);
        fairness.record_start(Duration::ZERO, 0, &organisation, Duration::from_millis(50));
    }
    let used = resident_bytes().saturating_sub(before);
    println!(
        "{} bytes for each of {} organisations in use",
        used / IN_USE,
        fairness.len()
    );
    let begin = Instant::now();
    fairness.record_offer(Duration::from_mins(1), 0, &"a".into());
    println!("{} us to drop them", begin.elapsed().as_micros());
    println!("{} organisations in use a minute later", fairness.len());
}

/// Resident memory of this process, from the second field of `statm`, in pages of 4 KiB.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * 4096
}

/// Mean time for a call while a number of others wait.
fn time_of_a_call(shed: Shed, organisations: u64, waiting: u64) -> Duration {
    let names: Vec<OrganisationName> = (0..organisations)
        .map(|index| format!("organisation-{index}").into())
        .collect();
    let mut gate = gate(shed);
    let mut running = std::collections::VecDeque::new();
    let started = |outputs: Vec<Output>| {
        outputs
            .into_iter()
            .filter_map(|output| match output {
                Output::Start { id, .. } => Some(id),
                _ => None,
            })
            .collect::<Vec<_>>()
    };
    let mut now = Duration::ZERO;
    let mut seq = 0;
    let mut offer = |now: Duration, gate: &mut Gate| {
        seq += 1;
        let organisation = names
            .get(usize::try_from(seq % organisations.max(1)).unwrap_or_default())
            .cloned();
        gate.step(
            now,
            Input::Offer(offer(seq, organisation.unwrap_or_default())),
        )
    };
    for _ in 0..u64::from(SLOTS) + waiting {
        running.extend(started(offer(now, &mut gate)));
    }
    let begin = Instant::now();
    for _ in 0..CALLS {
        now += Duration::from_micros(500);
        if waiting == 0
            && let Some(id) = running.pop_front()
        {
            running.extend(started(gate.step(now, Input::Finished(id, ANSWERED))));
        }
        running.extend(started(offer(now, &mut gate)));
        if waiting > 0
            && let Some(id) = running.pop_front()
        {
            running.extend(started(gate.step(now, Input::Finished(id, ANSWERED))));
        }
    }
    begin.elapsed() / u32::try_from(CALLS).unwrap_or(u32::MAX)
}

const ANSWERED: Outcome = Outcome::Answered {
    bytes: 1,
    failed: false,
};

fn gate(shed: Shed) -> Gate {
    let mut gate = Gate::new(INCARNATION, 1 << 16).with_announcement_ttl(Duration::from_hours(1));
    let announcement = Announcement {
        service: SERVICE.into(),
        slots: SLOTS,
        ..Announcement::default()
    };
    gate.step(Duration::ZERO, Input::Announced(announcement));
    let document = Service {
        name: SERVICE.into(),
        internal_callers: Vec::new(),
        routes: Vec::new(),
        limits: Limits {
            depth_levels: 0,
            shed,
            ..Limits::default()
        },
        probe_budget: ProbeBudget::default(),
        cold_start: None,
    };
    gate.step(Duration::ZERO, Input::Document(document));
    gate
}

fn offer(seq: u64, organisation: OrganisationName) -> Offer {
    Offer {
        incarnation: INCARNATION,
        id: CallId {
            entry: 1,
            seq,
            nonce: seq,
        },
        service: SERVICE.into(),
        route: "refresh".into(),
        depth: 0,
        organisation,
        rank: 0,
        remaining: Duration::from_secs(4),
        objective: Duration::from_secs(1),
        sheddable: true,
        when_slow: WhenSlow::Start,
        at_most_once: false,
        fingerprint: seq,
        issued_by_sender: true,
        target_notice: None,
    }
}
