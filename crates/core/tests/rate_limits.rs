//! Targets that name the rate of calls that they take: what a gate starts, and what entries
//! make of it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use pollenrouter_core::call::{Offer, Refusal, Reply, WhenSlow};
use pollenrouter_core::entry::{self, CallResult, Entry, Member};
use pollenrouter_core::gate::statement::{StatedRate, Statement, TargetNotice};
use pollenrouter_core::gate::target::TargetIncarnation;
use pollenrouter_core::gate::{Announcement, Gate, Input, Outcome, Output};
use pollenrouter_core::hint::Hint;
use pollenrouter_core::id::CallId;
use pollenrouter_core::rate::RateLimit;
use pollenrouter_core::service::{Limits, ProbeBudget, Service};
use rstest::rstest;

const SERVICE: &str = "board";
const SLOTS: u32 = 8;
const WORK: Duration = Duration::from_millis(40);
const DEADLINE: Duration = Duration::from_millis(1200);
const OBJECTIVE: Duration = Duration::from_millis(300);
const STEP: Duration = Duration::from_millis(5);
/// Twice the rate that the slots could serve.
const ARRIVAL_INTERVAL: Duration = Duration::from_micros(2500);
const END: Duration = Duration::from_secs(12);
/// In any span of this length a target may get 1.5 times what its limit allows and 5 more.
const WINDOW: Duration = Duration::from_secs(4);

fn target() -> TargetIncarnation {
    TargetIncarnation {
        name: "t-1".into(),
        started_ms: 17,
    }
}

fn limit(calls: f64) -> RateLimit {
    RateLimit::per_second(calls).expect("limit must be valid")
}

fn gate(incarnation: u64, now: Duration) -> Gate {
    let mut gate = Gate::new(incarnation, 4096);
    gate.step(
        now,
        Input::Document(Service {
            name: SERVICE.into(),
            internal_callers: Vec::new(),
            routes: Vec::new(),
            limits: Limits::default(),
            probe_budget: ProbeBudget::default(),
            cold_start: None,
        }),
    );
    gate.step(now, announced(now));
    gate
}

fn announced(now: Duration) -> Input {
    let announcement = Announcement {
        incarnation: target(),
        sequence: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
        service: SERVICE.into(),
        slots: SLOTS,
        draining: false,
        cold_start: Duration::ZERO,
    };
    Input::Announced(announcement)
}

fn offer(incarnation: u64, seq: u64, target_notice: Option<TargetNotice>) -> Offer {
    Offer {
        incarnation,
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
        objective: OBJECTIVE,
        sheddable: true,
        when_slow: WhenSlow::Start,
        at_most_once: true,
        fingerprint: seq,
        issued_by_sender: true,
        target_notice: target_notice.map(Box::new),
    }
}

struct LoadCase {
    limit: f64,
    /// When the daemon of the gate restarts, if it does.
    restart_at: Option<Duration>,
    /// Whether the entries tell the new gate what they know.
    are_told: bool,
    /// Whether the bound is kept.
    is_kept: bool,
}

/// Guards against a target that gets more calls than its limit allows, or far fewer.
#[rstest]
#[case::high(LoadCase { limit: 40.0, restart_at: None, are_told: true, is_kept: true })]
#[case::low(LoadCase { limit: 0.4, restart_at: None, are_told: true, is_kept: true })]
#[case::zero(LoadCase { limit: 0.0, restart_at: None, are_told: true, is_kept: true })]
#[case::restart(LoadCase { limit: 40.0, restart_at: Some(Duration::from_secs(7)), are_told: true, is_kept: true })]
#[case::restart_low(LoadCase { limit: 0.4, restart_at: Some(Duration::from_secs(7)), are_told: true, is_kept: true })]
#[case::restart_untold(LoadCase { limit: 0.4, restart_at: Some(Duration::from_secs(7)), are_told: false, is_kept: false })]
fn a_target_gets_the_calls_that_it_takes(#[case] case: LoadCase) {
    let starts = simulate(&case);
    let most = starts.iter().map(|from| {
        let in_window = starts
            .iter()
            .filter(|at| *from <= **at && **at < *from + WINDOW);
        u32::try_from(in_window.count()).unwrap_or(u32::MAX)
    });
    let most = f64::from(most.max().unwrap_or(0));
    let allowed = 1.5 * case.limit * WINDOW.as_secs_f64() + 5.0;
    assert_eq!(
        most <= allowed,
        case.is_kept,
        "{most} starts, {allowed} allowed"
    );
    let fewest = 0.95 * case.limit * END.as_secs_f64() - 1.0;
    let count = f64::from(u32::try_from(starts.len()).unwrap_or(u32::MAX));
    assert!(count >= fewest, "{count} starts, {fewest} at least");
}

/// Times of the starts at a target under twice the load that its slots could serve.
fn simulate(case: &LoadCase) -> Vec<Duration> {
    let limit = limit(case.limit);
    let mut incarnation = 1;
    let mut gate = gate(incarnation, Duration::ZERO);
    // The entries have passed on an answer that names the limit.
    gate.step(
        Duration::ZERO,
        stated(Duration::ZERO, StatedRate::Limit(limit), false),
    );
    let notice = gate.target_notice();
    let mut starts = Vec::new();
    let mut running: BTreeSet<(Duration, CallId)> = BTreeSet::new();
    let mut now = Duration::ZERO;
    let mut seq = 0;
    while now < END {
        now += STEP;
        let is_restart = case
            .restart_at
            .is_some_and(|at| incarnation == 1 && now >= at);
        if is_restart {
            incarnation = 2;
            gate = self::gate(incarnation, now);
            running.clear();
        }
        let mut inputs = vec![announced(now)];
        while let Some((_, id)) = running.first().copied().filter(|(at, _)| *at <= now) {
            running.pop_first();
            let asked_at = now.saturating_sub(WORK);
            inputs.push(stated(asked_at, StatedRate::Limit(limit), false));
            let outcome = Outcome::Answered {
                bytes: 1,
                failed: false,
            };
            inputs.push(Input::Finished(id, outcome));
        }
        while ARRIVAL_INTERVAL * seq < now {
            seq += 1;
            let notice = notice.clone().filter(|_| case.are_told);
            inputs.push(Input::Offer(offer(incarnation, seq.into(), notice)));
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

fn stated(asked_at: Duration, rate: StatedRate, is_probe: bool) -> Input {
    Input::Stated(Statement {
        target: target(),
        asked_at,
        is_probe,
        rate,
        ..Statement::default()
    })
}

struct StatementCase {
    /// Milliseconds at which each request was sent and its answer arrived, the rate that the
    /// answer names, and whether it is a health answer.
    statements: &'static [(u64, u64, Rate, bool)],
    limit: Option<f64>,
}

#[derive(Clone, Copy)]
enum Rate {
    Unstated,
    Named(f64),
    Unreadable,
}

use Rate::{Named, Unreadable, Unstated};

#[rstest]
#[case::named(StatementCase { statements: &[(1, 2, Named(3.0), false)], limit: Some(3.0) })]
#[case::changed(StatementCase { statements: &[(1, 2, Named(3.0), false), (3, 4, Named(5.0), false)], limit: Some(5.0) })]
#[case::ended(StatementCase { statements: &[(1, 2, Named(3.0), false), (3, 4, Unstated, false)], limit: None })]
#[case::older_answer(StatementCase { statements: &[(2, 4, Named(3.0), false), (1, 5, Unstated, false)], limit: Some(3.0) })]
#[case::unreadable(StatementCase { statements: &[(1, 2, Named(3.0), false), (3, 4, Unreadable, false)], limit: Some(3.0) })]
#[case::unreadable_first(StatementCase { statements: &[(1, 2, Unreadable, false)], limit: None })]
#[case::silent_health(StatementCase { statements: &[(1, 2, Named(3.0), false), (3, 4, Unstated, true)], limit: Some(3.0) })]
#[case::health(StatementCase { statements: &[(1, 2, Named(3.0), true), (3, 4, Unstated, true)], limit: None })]
fn the_limit_is_what_the_target_stated_last(#[case] case: StatementCase) {
    let mut gate = gate(1, Duration::ZERO);
    for (asked_ms, answered_ms, rate, is_probe) in case.statements {
        let rate = match rate {
            Unstated => StatedRate::None,
            Named(calls) => StatedRate::Limit(limit(*calls)),
            Unreadable => StatedRate::Unreadable,
        };
        let asked_at = Duration::from_millis(*asked_ms);
        gate.step(
            Duration::from_millis(*answered_ms),
            stated(asked_at, rate, *is_probe),
        );
    }
    assert_eq!(gate.rate_limit(), case.limit.map(limit));
}

#[rstest]
#[case::zero(0.0, true)]
#[case::fraction(0.4, true)]
#[case::huge(1e300, true)]
#[case::infinite(f64::INFINITY, false)]
#[case::negative(-1.0, false)]
#[case::not_a_number(f64::NAN, false)]
fn a_limit_is_a_number_of_at_least_zero(#[case] calls: f64, #[case] is_valid: bool) {
    assert_eq!(RateLimit::per_second(calls).is_some(), is_valid);
}

/// What other hosts say counts only for the target that it is about, and until that target
/// has stated its rate itself.
#[test]
fn a_notice_does_not_outweigh_the_target() {
    let now = Duration::from_millis(1);
    let notice = |name: &str| TargetNotice {
        target: TargetIncarnation {
            name: name.into(),
            ..target()
        },
        rate_limit: Some(limit(2.0)),
        leaving: false,
    };
    let mut gate = gate(1, now);
    gate.step(now, Input::Offer(offer(1, 1, Some(notice("t-0")))));
    assert_eq!(gate.rate_limit(), None);
    gate.step(now, Input::Offer(offer(1, 2, Some(notice("t-1")))));
    assert_eq!(gate.rate_limit(), Some(limit(2.0)));
    gate.step(now * 2, stated(now * 2, StatedRate::None, false));
    assert_eq!(gate.rate_limit(), None);
    gate.step(now * 3, Input::Offer(offer(1, 3, Some(notice("t-1")))));
    assert_eq!(gate.rate_limit(), None);
}

#[test]
fn a_call_that_the_rate_limit_delays_too_long_is_refused_at_once() {
    let now = Duration::from_millis(1);
    let mut gate = gate(1, now);
    gate.step(now, stated(now, StatedRate::Limit(limit(1.0)), false));
    let first = gate.step(now, Input::Offer(offer(1, 1, None)));
    assert!(matches!(first[..], [Output::Start { .. }]), "{first:?}");
    let refused = Reply::NotRun(Refusal::RateLimited);
    let second = offer(1, 2, None);
    let id = second.id;
    assert_eq!(
        gate.step(now, Input::Offer(second)),
        [Output::Reply(id, refused)]
    );
}

/// An entry in the failure domain of two gates, one of which is at its rate limit.
fn entry(limited: &[&str]) -> Entry {
    let mut entry = Entry::new(1);
    let members = ["a", "b"].map(|host| Member {
        host: host.into(),
        incarnation: 7,
        service: SERVICE.into(),
        serving: true,
        ..Member::default()
    });
    entry.step(Duration::ZERO, entry::Input::Members(members.into()));
    for token in 1..=2 {
        let host = call(&mut entry, token, Duration::ZERO);
        let id = CallId {
            entry: 1,
            seq: token,
            nonce: token.rotate_left(17) ^ token,
        };
        let interval = Duration::from_millis(200);
        let (rate_wait, rate_interval) = if limited.contains(&host.as_str()) {
            (Duration::from_millis(600), interval)
        } else {
            (Duration::ZERO, Duration::ZERO)
        };
        let hint = Hint {
            slots: 4,
            mean_service_time: WORK,
            rate_wait,
            rate_interval,
            ..Hint::default()
        };
        let reply = entry::Input::Reply(host.as_str().into(), id, Reply::Answer, hint);
        let done = entry.step(Duration::ZERO, reply);
        let answered = entry::Output::Done(token, CallResult::Answer(id), None);
        assert_eq!(done, [answered]);
    }
    entry
}

/// Sends a call and returns the gate that it is offered to.
fn call(entry: &mut Entry, token: u64, now: Duration) -> String {
    let request = entry::Request {
        token,
        service: SERVICE.into(),
        remaining: DEADLINE,
        objective: OBJECTIVE,
        sheddable: true,
        max_attempts: 2,
        draw: token,
        ..entry::Request::default()
    };
    let out = entry.step(now, entry::Input::Call(request));
    match out.as_slice() {
        [entry::Output::Offer(host, _, _)] => host.to_string(),
        other => panic!("call must be offered: {other:?}"),
    }
}

#[test]
fn calls_go_to_the_gate_that_has_rate_left() {
    let mut entry = entry(&["a"]);
    let mut offers: BTreeMap<String, u32> = BTreeMap::new();
    for token in 10..14 {
        *offers.entry(call(&mut entry, token, STEP)).or_default() += 1;
    }
    assert_eq!(offers, [("b".to_owned(), 4)].into());
}

/// Refused callers that were all told the same time would come back in one burst.
#[test]
fn refused_callers_return_one_after_the_other_at_the_rate_that_is_left() {
    let mut limited = entry(&["a", "b"]);
    let returns: Vec<Duration> = (0..4)
        .map(|_| limited.retry_after(STEP, &SERVICE.into()))
        .collect();
    // Two gates take 10 calls a second together, half of them from this entry.
    let spacing = Duration::from_millis(200);
    for pair in returns.windows(2) {
        assert_eq!(pair[1], pair[0] + spacing, "{returns:?}");
    }
    let mut partly_limited = entry(&["a"]);
    let returns: BTreeSet<Duration> = (0..4)
        .map(|_| partly_limited.retry_after(STEP, &SERVICE.into()))
        .collect();
    assert_eq!(returns, [entry::RETRY_AFTER_MIN].into());
}
