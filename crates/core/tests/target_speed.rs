//! A target that is slow from time to time: calls answered in time if its gate requests
//! a load report before starts, and if it does not; and when a gate queues, refuses or
//! starts a call while its target is slow.

use std::collections::BTreeMap;
use std::time::Duration;

use pollenrouter_core::call::{Offer, Refusal, Reply, WhenSlow};
use pollenrouter_core::gate::{Announcement, Gate, Input, LoadReport, Outcome, Output};
use pollenrouter_core::id::CallId;
use pollenrouter_core::service::{Limits, ProbeBudget, Service};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

const SERVICE: &str = "board";
const INCARNATION: u64 = 7;
const SEED: u64 = 11;
const SLOTS: u32 = 8;
const WORK: Duration = Duration::from_millis(50);
const OBJECTIVE: Duration = Duration::from_millis(200);
const DEADLINE: Duration = Duration::from_millis(1200);
/// Slowness in a slow period, percent: work that starts in it takes five times as long.
const SLOW: u32 = 500;
const NORMAL: u32 = 100;
/// Length of a period of constant speed; one period in four is slow.
const PERIOD: Duration = Duration::from_millis(150);
const SLOW_SHARE: f64 = 0.25;
const STEP: Duration = Duration::from_micros(500);
const CALLS: u64 = 2000;
/// Time that the target takes to report its load.
const REPORT_DELAY: Duration = Duration::from_millis(1);

struct LoadCase {
    when_slow: WhenSlow,
    arrival_interval: Duration,
    /// Least number of further answers in time if the gate requests load reports, in
    /// percent of the calls that a gate without requests answers late or not at all.
    gain_percent: u64,
}

/// Load of a third of the capacity at the normal speed.
const THIRD: Duration = Duration::from_millis(18);
/// Load of half of the capacity.
const HALF: Duration = Duration::from_micros(12_500);
/// Load of all of the capacity: the time lost in slow periods, a quarter of the total,
/// cannot be made up for.
const FULL: Duration = Duration::from_micros(6250);

#[rstest]
#[case::third(LoadCase { when_slow: WhenSlow::Wait, arrival_interval: THIRD, gain_percent: 50 })]
#[case::half(LoadCase { when_slow: WhenSlow::Wait, arrival_interval: HALF, gain_percent: 50 })]
#[case::full(LoadCase { when_slow: WhenSlow::Wait, arrival_interval: FULL, gain_percent: 0 })]
#[case::last_third(LoadCase { when_slow: WhenSlow::Start, arrival_interval: THIRD, gain_percent: 50 })]
#[case::last_half(LoadCase { when_slow: WhenSlow::Start, arrival_interval: HALF, gain_percent: 50 })]
#[case::last_full(LoadCase { when_slow: WhenSlow::Start, arrival_interval: FULL, gain_percent: 0 })]
fn load_requests_gain_answers_in_time(#[case] case: LoadCase) {
    let without_requests = simulate(false, &case);
    let with_requests = simulate(true, &case);
    let missed = CALLS - without_requests;
    assert!(
        with_requests >= without_requests + missed * case.gain_percent / 100,
        "{with_requests} of {CALLS} in time, {without_requests} without load requests"
    );
}

/// Simulates the load at one gate. Returns the number of answers in time.
fn simulate(requests_load: bool, case: &LoadCase) -> u64 {
    let arrival_interval = case.arrival_interval;
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut gate = gate(requests_load);
    let (mut in_time, mut offered) = (0, 0_u64);
    let mut arrived = BTreeMap::new();
    let mut due: BTreeMap<Duration, Vec<Input>> = BTreeMap::new();
    let (mut slowness, mut period_ends) = (NORMAL, PERIOD);
    let mut now = Duration::ZERO;
    let end = arrival_interval * u32::try_from(CALLS).unwrap_or(u32::MAX) + DEADLINE;
    while now < end {
        if now >= period_ends {
            period_ends += PERIOD;
            slowness = if rng.random_bool(SLOW_SHARE) {
                SLOW
            } else {
                NORMAL
            };
        }
        let mut inputs = vec![Input::Tick];
        while due.first_key_value().is_some_and(|(at, _)| *at <= now) {
            inputs.extend(due.pop_first().into_iter().flat_map(|(_, due)| due));
        }
        if offered < CALLS && now >= arrival_interval * u32::try_from(offered).unwrap_or(0) {
            offered += 1;
            arrived.insert(offered, now);
            inputs.push(Input::Offer(offer(offered, case.when_slow)));
        }
        for output in inputs.into_iter().flat_map(|input| gate.step(now, input)) {
            match output {
                Output::Start { id, .. } => {
                    let completed = due.entry(now + WORK * slowness / NORMAL).or_default();
                    completed.push(Input::Finished(id, ANSWERED));
                }
                Output::RequestLoad => {
                    let reports = due.entry(now + REPORT_DELAY).or_default();
                    reports.push(Input::LoadReported(LoadReport { slowness }));
                }
                Output::Reply(id, Reply::Answer) if now <= arrived[&id.seq] + OBJECTIVE => {
                    in_time += 1;
                }
                _ => {}
            }
        }
        now += STEP;
    }
    in_time
}

const ANSWERED: Outcome = Outcome::Answered {
    bytes: 1,
    failed: false,
};

/// One call offered to a gate whose target has reported that it is slow.
struct Case {
    when_slow: WhenSlow,
    sheddable: bool,
    /// How long the target has been slow.
    slow_for: Duration,
    /// Service time at the normal speed.
    work: Duration,
    /// Time after which the target recovers, if it does.
    recovers_after: Option<Duration>,
    expected: Expected,
}

#[derive(Debug, PartialEq, Eq)]
enum Expected {
    /// Starts at the earliest and at the latest after these times.
    Starts(Duration, Duration),
    Refused(Refusal, Duration),
}

const WAITS_FOR_RECOVERY: Case = Case {
    when_slow: WhenSlow::Wait,
    sheddable: true,
    slow_for: Duration::ZERO,
    work: WORK,
    recovers_after: Some(Duration::from_millis(60)),
    expected: Expected::Starts(Duration::from_millis(60), Duration::from_millis(100)),
};
const NO_RECOVERY: Case = Case {
    recovers_after: None,
    expected: Expected::Refused(Refusal::TargetSlow, OBJECTIVE),
    ..WAITS_FOR_RECOVERY
};
const REFUSED_FOR_OTHER_GATE: Case = Case {
    when_slow: WhenSlow::Refuse,
    expected: Expected::Refused(Refusal::TargetSlow, Duration::ZERO),
    ..WAITS_FOR_RECOVERY
};
/// Every other gate has refused the call.
const LAST_GATE: Case = Case {
    when_slow: WhenSlow::Start,
    ..WAITS_FOR_RECOVERY
};
/// A call that gives way cannot meet its latency objective any longer.
const LAST_GATE_GIVES_WAY: Case = Case {
    recovers_after: None,
    expected: Expected::Refused(Refusal::Late, OBJECTIVE),
    ..LAST_GATE
};
const LAST_GATE_NO_RECOVERY: Case = Case {
    sheddable: false,
    recovers_after: None,
    expected: Expected::Starts(Duration::from_millis(600), Duration::from_millis(620)),
    ..LAST_GATE
};
const LAST_GATE_PERSISTENTLY_SLOW: Case = Case {
    slow_for: Duration::from_secs(2),
    expected: Expected::Starts(Duration::ZERO, Duration::ZERO),
    ..LAST_GATE
};
const SHORT_WORK: Case = Case {
    work: Duration::from_millis(5),
    expected: Expected::Starts(Duration::ZERO, Duration::ZERO),
    ..WAITS_FOR_RECOVERY
};
const PERSISTENTLY_SLOW: Case = Case {
    slow_for: Duration::from_secs(2),
    expected: Expected::Refused(Refusal::TargetSlow, Duration::ZERO),
    ..WAITS_FOR_RECOVERY
};

#[rstest]
#[case::waits_for_recovery(WAITS_FOR_RECOVERY)]
#[case::no_recovery(NO_RECOVERY)]
#[case::refused_for_other_gate(REFUSED_FOR_OTHER_GATE)]
#[case::last_gate(LAST_GATE)]
#[case::last_gate_gives_way(LAST_GATE_GIVES_WAY)]
#[case::last_gate_no_recovery(LAST_GATE_NO_RECOVERY)]
#[case::last_gate_persistently_slow(LAST_GATE_PERSISTENTLY_SLOW)]
#[case::short_work(SHORT_WORK)]
#[case::persistently_slow(PERSISTENTLY_SLOW)]
fn calls_wait_start_or_are_refused_at_a_slow_target(#[case] case: Case) {
    let mut gate = gate(true);
    learn_service_time(&mut gate, case.work);
    let slow_since = Duration::from_secs(10);
    gate.step(slow_since, reported(SLOW));
    let offered_at = slow_since + case.slow_for;
    gate.step(offered_at, reported(SLOW));
    let offer = Offer {
        sheddable: case.sheddable,
        ..offer(900, case.when_slow)
    };
    let mut out = gate.step(offered_at, Input::Offer(offer));
    let mut now = offered_at;
    while out.is_empty() && now < offered_at + DEADLINE {
        now += Duration::from_millis(10);
        let has_recovered = case
            .recovers_after
            .is_some_and(|after| now >= offered_at + after);
        out = gate.step(now, reported(if has_recovered { NORMAL } else { SLOW }));
    }
    let took = now.saturating_sub(offered_at);
    let as_expected = match case.expected {
        Expected::Starts(from, to) => {
            matches!(out[..], [Output::Start { .. }]) && (from..=to).contains(&took)
        }
        Expected::Refused(refusal, limit) => {
            matches!(out[..], [Output::Reply(_, Reply::NotRun(found))] if found == refusal)
                && took <= limit
        }
    };
    assert!(
        as_expected,
        "{out:?} after {took:?}, expected {:?}",
        case.expected
    );
}

/// Load requests to a target that never reports its load back off, and calls start.
#[test]
fn a_target_that_never_reports_its_load_gets_calls() {
    let mut gate = gate(true);
    let (mut now, mut requests, mut started) = (Duration::ZERO, 0, 0);
    for seq in 1..=1000 {
        now += Duration::from_millis(10);
        let mut out = gate.step(now, Input::Offer(offer(seq, WhenSlow::Wait)));
        if out.contains(&Output::RequestLoad) {
            requests += 1;
            out.extend(gate.step(now, Input::LoadNotReported));
        }
        for output in out {
            if let Output::Start { id, .. } = output {
                started += 1;
                gate.step(now, Input::Finished(id, ANSWERED));
            }
        }
    }
    assert_eq!(started, 1000);
    assert!(requests <= 10, "{requests} load requests in 10 s");
}

/// A load request without any response delays calls and does not block them.
#[test]
fn a_load_request_without_response_times_out() {
    let mut gate = gate(true);
    let out = gate.step(Duration::ZERO, Input::Offer(offer(1, WhenSlow::Wait)));
    assert_eq!(out, [Output::RequestLoad]);
    let out = gate.step(Duration::from_millis(50), Input::Tick);
    assert!(matches!(out[..], [Output::Start { .. }]), "{out:?}");
}

fn reported(slowness: u32) -> Input {
    Input::LoadReported(LoadReport { slowness })
}

/// Runs calls through the gate so that it learns the service time of the route.
fn learn_service_time(gate: &mut Gate, work: Duration) {
    gate.step(Duration::ZERO, reported(NORMAL));
    for seq in 1..=20 {
        let at = Duration::from_millis(seq * 100);
        gate.step(at, reported(NORMAL));
        for output in gate.step(at, Input::Offer(offer(seq, WhenSlow::Start))) {
            if let Output::Start { id, .. } = output {
                gate.step(at + work, Input::Finished(id, ANSWERED));
            }
        }
    }
}

fn gate(requests_load: bool) -> Gate {
    let gate = Gate::new(INCARNATION, 1 << 16);
    // The target announces itself only once, so its announcement must outlast the test.
    let mut gate = gate.with_announcement_ttl(DEADLINE * 1000);
    if requests_load {
        gate = gate.with_load_requests();
    }
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
            queue: 1000,
            ..Limits::default()
        },
        probe_budget: ProbeBudget::default(),
        cold_start: None,
    };
    gate.step(Duration::ZERO, Input::Document(document));
    gate
}

fn offer(seq: u64, when_slow: WhenSlow) -> Offer {
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
        organisation: "".into(),
        rank: 0,
        remaining: DEADLINE,
        objective: OBJECTIVE,
        sheddable: true,
        when_slow,
        at_most_once: false,
        fingerprint: seq,
        issued_by_sender: true,
        target_notice: None,
    }
}
