//! A target that is slow for moments: what callers get when its gate asks before each
//! start, and when it does not; and when a gate holds, refuses or starts a call.

use std::collections::BTreeMap;
use std::time::Duration;

use pollenrouter_core::call::{Offer, Refusal, Reply, WhenSlow};
use pollenrouter_core::gate::{Announcement, Gate, Input, Outcome, Output, Report};
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
/// Work that starts in a slow spell takes five times as long.
const SLOW: u32 = 500;
const USUAL: u32 = 100;
/// Length of a spell, slow or not; one in four is slow.
const SPELL: Duration = Duration::from_millis(150);
const SLOW_SPELLS: f64 = 0.25;
const STEP: Duration = Duration::from_micros(500);
const CALLS: u64 = 2000;
/// Time after which the target tells its load.
const REPORT_AFTER: Duration = Duration::from_millis(1);

struct LoadCase {
    between_arrivals: Duration,
    /// Answers in time that asking wins, in hundredths of those that a gate which does
    /// not ask gives late or not at all.
    wins: u64,
}

/// A third of the capacity at the usual speed.
const CALM: Duration = Duration::from_millis(18);
/// Half of it.
const HALF: Duration = Duration::from_micros(12_500);
/// All of it: the slow spells, a quarter of the time, can not be made up for.
const FULL: Duration = Duration::from_micros(6250);

#[rstest]
#[case::calm(LoadCase { between_arrivals: CALM, wins: 50 })]
#[case::half(LoadCase { between_arrivals: HALF, wins: 50 })]
#[case::full(LoadCase { between_arrivals: FULL, wins: 0 })]
fn starts_in_fast_spells_are_answered_in_time(#[case] case: LoadCase) {
    let blind = play(false, case.between_arrivals);
    let asking = play(true, case.between_arrivals);
    let missed = CALLS - blind;
    assert!(
        asking >= blind + missed * case.wins / 100,
        "{asking} of {CALLS} in time, {blind} without asking"
    );
}

/// Plays the load at one gate, with calls that wait; returns the answers in time.
fn play(asks: bool, between_arrivals: Duration) -> u64 {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut gate = gate(asks);
    let (mut in_time, mut offered) = (0, 0_u64);
    let mut arrived = BTreeMap::new();
    let mut due: BTreeMap<Duration, Vec<Input>> = BTreeMap::new();
    let (mut slowness, mut spell_ends) = (USUAL, SPELL);
    let mut now = Duration::ZERO;
    let end = between_arrivals * u32::try_from(CALLS).unwrap_or(u32::MAX) + DEADLINE;
    while now < end {
        if now >= spell_ends {
            spell_ends += SPELL;
            slowness = if rng.random_bool(SLOW_SPELLS) {
                SLOW
            } else {
                USUAL
            };
        }
        let mut inputs = vec![Input::Tick];
        while due.first_key_value().is_some_and(|(at, _)| *at <= now) {
            inputs.extend(due.pop_first().into_iter().flat_map(|(_, due)| due));
        }
        if offered < CALLS && now >= between_arrivals * u32::try_from(offered).unwrap_or(0) {
            offered += 1;
            arrived.insert(offered, now);
            inputs.push(Input::Offer(offer(offered, WhenSlow::Wait)));
        }
        for output in inputs.into_iter().flat_map(|input| gate.step(now, input)) {
            match output {
                Output::Start { id, .. } => {
                    let done = due.entry(now + WORK * slowness / USUAL).or_default();
                    done.push(Input::Finished(id, ANSWERED));
                }
                Output::Ask => {
                    let told = due.entry(now + REPORT_AFTER).or_default();
                    told.push(Input::Reported(Report { slowness }));
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

/// One call offered to a gate whose target has told that it is slow.
struct Case {
    when_slow: WhenSlow,
    /// For how long the target has been slow.
    slow_for: Duration,
    /// Usual time of the work.
    work: Duration,
    /// Time after which the target recovers.
    recovers_after: Option<Duration>,
    expected: Expected,
}

#[derive(Debug, PartialEq, Eq)]
enum Expected {
    StartsWithin(Duration),
    RefusedWithin(Duration),
}

const WAITS: Case = Case {
    when_slow: WhenSlow::Wait,
    slow_for: Duration::ZERO,
    work: WORK,
    recovers_after: Some(Duration::from_millis(60)),
    expected: Expected::StartsWithin(Duration::from_millis(100)),
};
const WAITS_IN_VAIN: Case = Case {
    recovers_after: None,
    expected: Expected::RefusedWithin(OBJECTIVE),
    ..WAITS
};
const GOES_ELSEWHERE: Case = Case {
    when_slow: WhenSlow::Refuse,
    expected: Expected::RefusedWithin(Duration::ZERO),
    ..WAITS
};
const STARTS_ALL_THE_SAME: Case = Case {
    when_slow: WhenSlow::Start,
    expected: Expected::StartsWithin(Duration::ZERO),
    ..WAITS
};
const SHORT_WORK: Case = Case {
    work: Duration::from_millis(5),
    expected: Expected::StartsWithin(Duration::ZERO),
    ..WAITS
};
const SLOW_FOR_LONG: Case = Case {
    slow_for: Duration::from_secs(2),
    expected: Expected::RefusedWithin(Duration::ZERO),
    ..WAITS
};

#[rstest]
#[case::waits(WAITS)]
#[case::waits_in_vain(WAITS_IN_VAIN)]
#[case::goes_elsewhere(GOES_ELSEWHERE)]
#[case::starts_all_the_same(STARTS_ALL_THE_SAME)]
#[case::short_work(SHORT_WORK)]
#[case::slow_for_long(SLOW_FOR_LONG)]
fn a_slow_target_gets_a_call_only_on_its_terms(#[case] case: Case) {
    let mut gate = gate(true);
    teach(&mut gate, case.work);
    let slow_since = Duration::from_secs(10);
    gate.step(slow_since, reported(SLOW));
    let offered_at = slow_since + case.slow_for;
    gate.step(offered_at, reported(SLOW));
    let mut out = gate.step(offered_at, Input::Offer(offer(900, case.when_slow)));
    let mut now = offered_at;
    while out.is_empty() && now < offered_at + DEADLINE {
        now += Duration::from_millis(10);
        let has_recovered = case
            .recovers_after
            .is_some_and(|after| now >= offered_at + after);
        out = gate.step(now, reported(if has_recovered { USUAL } else { SLOW }));
    }
    let took = now.saturating_sub(offered_at);
    let holds = match case.expected {
        Expected::StartsWithin(most) => matches!(out[..], [Output::Start { .. }]) && took <= most,
        Expected::RefusedWithin(most) => {
            matches!(out[..], [Output::Reply(_, Reply::NotRun(Refusal::Slow))]) && took <= most
        }
    };
    assert!(
        holds,
        "{out:?} after {took:?}, expected {:?}",
        case.expected
    );
}

/// A target that never tells its load is asked ever more rarely, and calls start.
#[test]
fn a_target_that_does_not_tell_its_load_is_used_all_the_same() {
    let mut gate = gate(true);
    let (mut now, mut asked, mut started) = (Duration::ZERO, 0, 0);
    for seq in 1..=1000 {
        now += Duration::from_millis(10);
        let mut out = gate.step(now, Input::Offer(offer(seq, WhenSlow::Wait)));
        if out.contains(&Output::Ask) {
            asked += 1;
            out.extend(gate.step(now, Input::Unreported));
        }
        for output in out {
            if let Output::Start { id, .. } = output {
                started += 1;
                gate.step(now, Input::Finished(id, ANSWERED));
            }
        }
    }
    assert_eq!(started, 1000);
    assert!(asked <= 10, "asked {asked} times in 10 s");
}

/// An answer to a question that is lost delays calls, and does not block them.
#[test]
fn a_question_without_any_reply_is_not_waited_for() {
    let mut gate = gate(true);
    let out = gate.step(Duration::ZERO, Input::Offer(offer(1, WhenSlow::Wait)));
    assert_eq!(out, [Output::Ask]);
    let out = gate.step(Duration::from_millis(50), Input::Tick);
    assert!(matches!(out[..], [Output::Start { .. }]), "{out:?}");
}

fn reported(slowness: u32) -> Input {
    Input::Reported(Report { slowness })
}

/// Lets a gate learn how long the work of the route takes.
fn teach(gate: &mut Gate, work: Duration) {
    gate.step(Duration::ZERO, reported(USUAL));
    for seq in 1..=20 {
        let at = Duration::from_millis(seq * 100);
        gate.step(at, reported(USUAL));
        for output in gate.step(at, Input::Offer(offer(seq, WhenSlow::Start))) {
            if let Output::Start { id, .. } = output {
                gate.step(at + work, Input::Finished(id, ANSWERED));
            }
        }
    }
}

fn gate(asks: bool) -> Gate {
    let gate = Gate::new(INCARNATION, 1 << 16);
    // The target announces itself once; the days of this test are short.
    let mut gate = gate.with_announcement_ttl(DEADLINE * 1000);
    if asks {
        gate = gate.asking();
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
        rank: 0,
        remaining: DEADLINE,
        objective: OBJECTIVE,
        gives_way: true,
        when_slow,
        once: false,
        fingerprint: seq,
        vouched: true,
    }
}
