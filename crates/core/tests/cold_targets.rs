//! Cold targets: when a target is cold, and what its gate starts there.

use std::collections::BTreeSet;
use std::time::Duration;

use pollenrouter_core::call::{Offer, WhenSlow};
use pollenrouter_core::gate::statement::{StatedRate, Statement};
use pollenrouter_core::gate::target::TargetIncarnation;
use pollenrouter_core::gate::{Announcement, Gate, Input, Outcome, Output};
use pollenrouter_core::id::CallId;
use pollenrouter_core::rate::RateLimit;
use pollenrouter_core::service::{ColdStart, Limits, ProbeBudget, Service};
use rstest::rstest;

const SERVICE: &str = "seats";
const SLOTS: u32 = 400;
const WORK: Duration = Duration::from_millis(40);
const DEADLINE: Duration = Duration::from_millis(1200);
const LASTS: Duration = Duration::from_secs(5);
/// Interval of ticks and of announcements in a simulation.
const TICK: Duration = Duration::from_millis(25);
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(2);
const END: Duration = Duration::from_secs(12);
/// A cold target bears 1.5 times its rate and 8 more calls in any window of this length.
const WINDOW: Duration = Duration::from_secs(1);
const WINDOW_EXTRA: f64 = 8.0;

fn target(name: &str) -> TargetIncarnation {
    TargetIncarnation {
        name: name.into(),
        started_ms: 17,
    }
}

fn rate(calls: f64) -> RateLimit {
    RateLimit::per_second(calls).expect("rate must be valid")
}

/// A gate without a target, of a service that states what a cold target bears.
fn gate(calls: Option<f64>) -> Gate {
    let mut gate = Gate::new(1, 1 << 14);
    let cold_start = calls.map(|calls| ColdStart {
        lasts: LASTS,
        rate: rate(calls),
    });
    gate.step(
        Duration::ZERO,
        Input::Document(Service {
            name: SERVICE.into(),
            internal_callers: Vec::new(),
            routes: Vec::new(),
            limits: Limits {
                queue: 100_000,
                cold_percent: 100,
                depth_levels: 0,
                ..Limits::default()
            },
            probe_budget: ProbeBudget::default(),
            cold_start,
        }),
    );
    gate
}

fn announced(sequence: u64, cold: Duration) -> Input {
    Input::Announced(Announcement {
        incarnation: target("t-1"),
        sequence,
        service: SERVICE.into(),
        slots: SLOTS,
        draining: false,
        cold_start: cold,
    })
}

fn health(asked_at: Duration, cold: Option<Duration>) -> Statement {
    Statement {
        target: target("t-1"),
        asked_at,
        is_probe: true,
        cold,
        ..Statement::default()
    }
}

fn offer(seq: u64) -> Input {
    Input::Offer(Offer {
        incarnation: 1,
        id: CallId {
            entry: 1,
            seq,
            nonce: seq,
        },
        service: SERVICE.into(),
        route: "r".into(),
        depth: 0,
        organisation: "".into(),
        rank: 0,
        remaining: DEADLINE,
        objective: DEADLINE,
        sheddable: false,
        when_slow: WhenSlow::Start,
        at_most_once: true,
        fingerprint: seq,
        issued_by_sender: true,
        target_notice: None,
    })
}

/// Simulation in which more calls arrive than a cold target takes, or even a warm one.
struct Load {
    rate: f64,
    /// Cold time that the target announces at each time.
    announced: fn(now: Duration) -> Duration,
    /// What happens at [`EVENT_AT`].
    event: Option<fn(now: Duration) -> Vec<Input>>,
    /// Span in which the target is cold.
    cold: (Duration, Duration),
}

const EVENT_AT: Duration = Duration::from_millis(6010);

const COLD_AT_FIRST: Load = Load {
    rate: 20.0,
    announced: |now| LASTS.saturating_sub(now),
    event: None,
    cold: (Duration::ZERO, LASTS),
};
const COLD_AGAIN: Load = Load {
    announced: |now| {
        (EVENT_AT + LASTS)
            .saturating_sub(now)
            .min(if now < EVENT_AT {
                Duration::ZERO
            } else {
                LASTS
            })
    },
    cold: (Duration::from_secs(7), EVENT_AT.saturating_add(LASTS)),
    ..COLD_AT_FIRST
};
/// The next announcement, a second later, says that it is warm.
const RESET: Load = Load {
    announced: |_| Duration::ZERO,
    event: Some(|_| vec![Input::ConnectionFailed(target("t-1"))]),
    cold: (EVENT_AT, Duration::from_secs(7)),
    ..COLD_AT_FIRST
};
const COLD_BY_HEALTH: Load = Load {
    announced: |now| {
        if now < EVENT_AT {
            Duration::ZERO
        } else {
            (EVENT_AT + LASTS).saturating_sub(now)
        }
    },
    event: Some(|now| vec![Input::Stated(health(now, Some(LASTS)))]),
    cold: (EVENT_AT, EVENT_AT.saturating_add(LASTS)),
    ..COLD_AT_FIRST
};
const RETURNED: Load = Load {
    announced: |now| {
        if now < EVENT_AT {
            Duration::ZERO
        } else {
            (EVENT_AT + LASTS).saturating_sub(now)
        }
    },
    event: Some(|_| vec![Input::Evacuated(true), Input::Evacuated(false)]),
    ..COLD_BY_HEALTH
};

/// Guards against a cold target that gets a burst, also of calls that started before it became
/// cold, and against one that gets far fewer calls than it bears.
#[rstest]
#[case::cold_at_first(COLD_AT_FIRST)]
#[case::low_rate(Load { rate: 0.5, ..COLD_AT_FIRST })]
#[case::no_rate(Load { rate: 0.0, ..COLD_AT_FIRST })]
#[case::high_rate(Load { rate: 100.0, ..COLD_AT_FIRST })]
#[case::cold_again(COLD_AGAIN)]
#[case::cold_again_high_rate(Load { rate: 100.0, ..COLD_AGAIN })]
#[case::reset(RESET)]
#[case::cold_by_health(COLD_BY_HEALTH)]
#[case::returned(RETURNED)]
#[case::returned_high_rate(Load { rate: 100.0, ..RETURNED })]
fn a_cold_target_gets_the_calls_that_it_bears(#[case] load: Load) {
    let starts = simulate(&load);
    let (from, until) = load.cold;
    let is_cold = |at: &&Duration| from <= **at && **at < until;
    let allowed = 1.5 * load.rate * WINDOW.as_secs_f64() + WINDOW_EXTRA;
    for last in starts.iter().filter(is_cold) {
        let in_window = starts
            .iter()
            .filter(|at| **at <= *last && *last < **at + WINDOW);
        let count = f64::from(u32::try_from(in_window.count()).unwrap_or(u32::MAX));
        assert!(
            count <= allowed,
            "{count} starts until {last:?}, {allowed} allowed"
        );
    }
    // In the first second the calls of the time before may still count.
    let span = until.saturating_sub(from + WINDOW);
    let fewest = 0.9 * load.rate * span.as_secs_f64() - 1.0;
    let count = starts.iter().filter(is_cold).count();
    let count = f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    assert!(count >= fewest, "{count} starts, {fewest} at least");
}

/// Times of the starts.
fn simulate(load: &Load) -> Vec<Duration> {
    let mut gate = gate(Some(load.rate));
    let mut starts = Vec::new();
    let mut running: BTreeSet<(Duration, CallId)> = BTreeSet::new();
    let mut next_announcement = Duration::ZERO;
    let (mut now, mut seq, mut sequence) = (Duration::ZERO, 0, 0);
    let mut event = load.event;
    while now < END {
        now += Duration::from_millis(5);
        let mut inputs = Vec::new();
        if now >= next_announcement {
            next_announcement += ANNOUNCE_INTERVAL;
            sequence += 1;
            inputs.push(announced(sequence, (load.announced)(now)));
        }
        if let Some(event) = event.take_if(|_| now >= EVENT_AT) {
            inputs.extend(event(now));
        }
        while let Some((_, id)) = running.first().copied().filter(|(at, _)| *at <= now) {
            running.pop_first();
            let outcome = Outcome::Answered {
                bytes: 1,
                failed: false,
            };
            inputs.push(Input::Finished(id, outcome));
        }
        while ARRIVAL_INTERVAL * seq < now {
            seq += 1;
            inputs.push(offer(seq.into()));
        }
        if now.as_millis().is_multiple_of(TICK.as_millis()) {
            inputs.push(Input::Tick);
        }
        for output in inputs.into_iter().flat_map(|input| gate.step(now, input)) {
            if let Output::Start { id, .. } = output {
                starts.push(now);
                running.insert((now + WORK, id));
            }
        }
    }
    starts
}

/// Guards against a target that gets too many calls in one second from two incarnations of its
/// daemon, and against a fleet that serves nobody in the first second after a start of all.
#[test]
fn a_daemon_that_has_just_started_leaves_room_for_the_calls_of_the_earlier_one() {
    const RATE: u32 = 20;
    /// The bound of one second less the most that the earlier incarnation has started in it.
    const MOST: u32 = RATE * 3 / 2 + 8 - (RATE + 4);
    let mut gate = gate(Some(f64::from(RATE)));
    gate.step(Duration::ZERO, announced(1, LASTS));
    let mut started = 0;
    for (seq, ms) in (0..1000).step_by(5).enumerate() {
        let now = Duration::from_millis(ms);
        let mut outputs = gate.step(now, offer(seq as u64 + 1));
        outputs.extend(gate.step(now, Input::Tick));
        let ids = outputs.iter().filter_map(|output| match output {
            Output::Start { id, .. } => Some(*id),
            _ => None,
        });
        for id in ids.collect::<Vec<_>>() {
            started += 1;
            let outcome = Outcome::Answered {
                bytes: 1,
                failed: false,
            };
            gate.step(now, Input::Finished(id, outcome));
        }
    }
    assert_eq!(started, MOST);
}

const S: Duration = Duration::from_secs(1);

struct StateCase {
    /// Inputs, each at one of the seconds from 1 on.
    inputs: fn() -> Vec<Input>,
    /// Cold time after the last input.
    remaining: Option<Duration>,
}

#[rstest]
#[case::announced_warm(StateCase { inputs: || vec![announced(1, Duration::ZERO)], remaining: None })]
#[case::announced_cold(StateCase { inputs: || vec![announced(1, S)], remaining: Some(S) })]
#[case::risen(StateCase { inputs: || vec![announced(1, Duration::ZERO), announced(2, S * 3)], remaining: Some(S * 3) })]
#[case::ends(StateCase { inputs: || vec![announced(1, S * 3), announced(2, Duration::ZERO)], remaining: None })]
#[case::passes(StateCase { inputs: || vec![announced(1, S), Input::Tick], remaining: None })]
#[case::old_announcement(StateCase { inputs: || vec![announced(2, Duration::ZERO), announced(1, S)], remaining: None })]
#[case::restarted(StateCase { inputs: || vec![announced(1, Duration::ZERO), Input::ConnectionFailed(target("t-1"))], remaining: Some(LASTS) })]
#[case::other_target(StateCase { inputs: || vec![announced(1, Duration::ZERO), Input::ConnectionFailed(target("t-0"))], remaining: None })]
#[case::warm_after_restart(StateCase { inputs: || vec![Input::ConnectionFailed(target("t-1")), announced(1, Duration::ZERO)], remaining: None })]
#[case::cold_by_health(StateCase { inputs: || vec![announced(1, Duration::ZERO), Input::Stated(health(S * 2, Some(S)))], remaining: Some(S) })]
#[case::warm_by_health(StateCase { inputs: || vec![announced(1, S * 9), Input::Stated(health(S * 2, Some(Duration::ZERO)))], remaining: None })]
#[case::health_without_statement(StateCase { inputs: || vec![announced(1, S * 9), Input::Stated(health(S * 2, None))], remaining: Some(S * 8) })]
#[case::older_health(StateCase { inputs: || vec![announced(1, S * 9), announced(2, S * 9), Input::Stated(health(S, Some(Duration::ZERO)))], remaining: Some(S * 8) })]
#[case::health_before_restart(StateCase { inputs: || vec![announced(1, Duration::ZERO), Input::ConnectionFailed(target("t-1")), Input::Stated(health(S, Some(Duration::ZERO)))], remaining: Some(S * 4) })]
#[case::health_after_restart(StateCase { inputs: || vec![announced(1, Duration::ZERO), Input::ConnectionFailed(target("t-1")), Input::Stated(health(S * 3, Some(Duration::ZERO)))], remaining: None })]
#[case::answer_to_a_call(StateCase { inputs: || vec![announced(1, Duration::ZERO), Input::Stated(Statement { is_probe: false, ..health(S * 2, Some(S)) })], remaining: None })]
#[case::evacuated(StateCase { inputs: || vec![announced(1, Duration::ZERO), Input::Evacuated(true)], remaining: None })]
#[case::returned(StateCase { inputs: || vec![announced(1, Duration::ZERO), Input::Evacuated(true), Input::Evacuated(false)], remaining: Some(LASTS) })]
#[case::never_evacuated(StateCase { inputs: || vec![announced(1, Duration::ZERO), Input::Evacuated(false)], remaining: None })]
fn a_target_is_cold_until_it_states_otherwise(#[case] case: StateCase) {
    let mut gate = gate(Some(20.0));
    assert_eq!(gate.cold_remaining(Duration::ZERO), Some(LASTS));
    let mut now = Duration::ZERO;
    for input in (case.inputs)() {
        now += S;
        gate.step(now, input);
    }
    assert_eq!(gate.cold_remaining(now), case.remaining);
}

/// Guards against entries that send their calls to a cold target as if it were warm.
#[rstest]
#[case::cold_only(None, Duration::from_millis(50))]
#[case::lower_limit(Some(4.0), Duration::from_millis(250))]
#[case::higher_limit(Some(100.0), Duration::from_millis(50))]
fn entries_see_the_lower_rate(#[case] limit: Option<f64>, #[case] interval: Duration) {
    let mut gate = gate(Some(20.0));
    let now = S * 2;
    gate.step(now, announced(1, LASTS));
    gate.step(
        now,
        Input::Stated(Statement {
            target: target("t-1"),
            asked_at: now,
            rate: limit.map_or(StatedRate::None, |calls| StatedRate::Limit(rate(calls))),
            ..Statement::default()
        }),
    );
    gate.step(now, offer(1));
    let hint = gate.hint(now);
    assert_eq!(hint.rate_interval, interval);
    assert!(!hint.rate_wait.is_zero());
    assert!(!hint.closed);

    // Warm again.
    gate.step(now, announced(2, Duration::ZERO));
    let limit_interval = limit.map_or(Duration::ZERO, |calls| rate(calls).interval());
    assert_eq!(gate.hint(now).rate_interval, limit_interval);
}

/// Guards against pacing where the configuration does not state what a cold target bears.
#[test]
fn without_a_stated_cold_start_nothing_is_paced() {
    let mut gate = gate(None);
    let now = Duration::from_millis(1);
    gate.step(now, announced(1, LASTS));
    gate.step(now, Input::ConnectionFailed(target("t-1")));
    let outputs = (1..=50).flat_map(|seq| gate.step(now, offer(seq)));
    let is_start = |output: &Output| matches!(output, Output::Start { .. });
    assert_eq!(outputs.filter(is_start).count(), 50);
    assert_eq!(gate.cold_remaining(now), None);
    assert_eq!(gate.hint(now).rate_interval, Duration::ZERO);
}
