//! Overload of several ranks at one gate.

use std::time::Duration;

use pollenrouter_core::shedding::Shed;
use rstest::rstest;

use crate::load::{self, Counts, SLOTS, Site, Source};

const WORK: Duration = Duration::from_millis(60);
const OBJECTIVE: Duration = Duration::from_millis(500);
const DEADLINE: Duration = Duration::from_secs(4);
const LASTS: Duration = Duration::from_secs(40);
/// Calls per second that the slots take at the usual speed.
fn capacity_per_s() -> f64 {
    f64::from(SLOTS) / WORK.as_secs_f64()
}

const CALLER: Source = Source {
    route: "rank-0",
    organisation: "",
    rank: 0,
    rate: 0.0,
    from: Duration::ZERO,
    until: LASTS,
    work: WORK,
    objective: OBJECTIVE,
    deadline: DEADLINE,
    by_callers: true,
};

/// Three ranks of callers that together send twice what the slots take.
fn sources() -> [Source; 3] {
    let source = |rank, route| Source {
        route,
        rank,
        rate: capacity_per_s() * 2.0 / 3.0,
        ..CALLER
    };
    [
        source(0, "rank-0"),
        source(1, "rank-1"),
        source(2, "rank-2"),
    ]
}

fn sum(counts: &[Counts]) -> Counts {
    counts.iter().fold(Counts::default(), Counts::plus)
}

struct Case {
    slow: Option<(Duration, Duration, u32)>,
    contention: u32,
    /// Room that the load leaves, in percent of the capacity at the usual speed.
    room: u64,
}

const STEADY: Case = Case {
    slow: None,
    contention: 0,
    room: 100,
};
/// Work takes a quarter longer with all slots in use.
const CONTENTION: Case = Case {
    contention: 25,
    room: 80,
    ..STEADY
};
/// Slow for a tenth of the time, at a fifth of the speed.
const SLOW_PERIODS: Case = Case {
    slow: Some((Duration::from_secs(2), Duration::from_millis(200), 500)),
    room: 90,
    ..STEADY
};
/// Slow for a second each time, also beyond the time for which calls wait for a recovery.
const LONG_SLOW_PERIODS: Case = Case {
    slow: Some((Duration::from_secs(5), Duration::from_secs(1), 300)),
    room: 80,
    ..STEADY
};

/// Guards against calls that are held until their answers are late. At most one answer in ten
/// may be late: that is the share of its value which a late answer has, so more of them would
/// cost callers more than they bring.
#[rstest]
#[case::steady(STEADY)]
#[case::contention(CONTENTION)]
#[case::slow_periods(SLOW_PERIODS)]
#[case::long_slow_periods(LONG_SLOW_PERIODS)]
fn callers_of_all_ranks_get_answers_in_time(#[case] case: Case) {
    let site = Site {
        slow: case.slow,
        contention: case.contention,
        ..Site::new(Shed::All)
    };
    let counts = load::play(&site, &sources());
    let all = sum(&counts);
    assert!(all.late * 10 <= all.in_time + all.late, "{counts:?}");
    assert_eq!(all.arrived, all.in_time + all.late + all.refused);
    let room = capacity_per_s() * LASTS.as_secs_f64();
    let percent = Duration::from_secs(all.in_time * 100).as_secs_f64() / room;
    assert!(
        percent >= Duration::from_secs(case.room * 9 / 10).as_secs_f64(),
        "{percent} % of the capacity: {counts:?}"
    );
    assert!(all.slowest_refusal <= OBJECTIVE, "{counts:?}");
    // What is refused after a quarter of the objective can still be answered in time elsewhere.
    let refused = u32::try_from(all.refused).unwrap_or(u32::MAX);
    assert!(all.refusal_time / refused <= OBJECTIVE / 4, "{counts:?}");
    // The two more urgent ranks send more than there is room for.
    assert!(counts[0].in_time >= counts[1].in_time, "{counts:?}");
    assert!(counts[1].in_time >= counts[2].in_time, "{counts:?}");
}

/// Guards against a changed default: urgent ranks wait until their deadline.
#[test]
fn by_default_only_the_lowest_rank_is_refused_for_its_objective() {
    let mut sources = sources();
    sources[0].by_callers = false;
    sources[1].by_callers = false;
    let counts = load::play(&Site::new(Shed::Lowest), &sources);
    assert!(counts[1].slowest_refusal > OBJECTIVE, "{counts:?}");
}

/// Calls that other services make, beside callers of the same rank.
#[test]
fn calls_of_services_are_refused_for_their_deadline_only() {
    let service = Source {
        route: "inner",
        by_callers: false,
        rate: capacity_per_s() / 4.0,
        deadline: DEADLINE / 2,
        ..CALLER
    };
    let callers = Source {
        rate: capacity_per_s() * 2.0,
        ..CALLER
    };
    let counts = load::play(&Site::new(Shed::All), &[service, callers]);
    assert_eq!(counts[0].refused, 0, "{counts:?}");
    assert!(counts[1].refused > 0, "{counts:?}");
}

/// A burst of urgent calls meets a queue of less urgent ones.
#[test]
fn urgent_calls_displace_those_that_wait() {
    let steady = Source {
        route: "rank-1",
        rank: 1,
        rate: capacity_per_s() * 1.1,
        ..CALLER
    };
    let burst = Source {
        rate: capacity_per_s() * 0.9,
        from: LASTS / 2,
        until: LASTS / 2 + Duration::from_secs(2),
        ..CALLER
    };
    let counts = load::play(&Site::new(Shed::All), &[steady, burst]);
    // The room suffices for the urgent calls, so none of them is refused or late.
    assert_eq!(counts[1].in_time, counts[1].arrived, "{counts:?}");
    assert!(counts[0].displaced > 0, "{counts:?}");
    assert!(counts[0].slowest_refusal < OBJECTIVE, "{counts:?}");
}
