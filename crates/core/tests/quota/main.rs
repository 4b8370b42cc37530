//! Quotas over a fleet: the bound on admitted calls, and admission below the limit.

mod entry;
mod faults;
mod fleet;
mod holder;

use std::time::Duration;

use fleet::{End, Event, Fleet, most_in_window, quota};
use pollenrouter_core::organisation::Quota;
use pollenrouter_core::quota::Settings;
use rand::RngExt;
use rstest::rstest;

const SETTINGS: Settings = Settings {
    window: Duration::from_secs(5),
    overshoot: 0.1,
    slack: 20,
};
/// By when all holders grant after a start of all daemons and their buckets are full.
const WARM: Duration = Duration::from_secs(10);

/// The bound that the requirements state.
fn bound(rate: f64, burst: u32) -> f64 {
    let window = SETTINGS.window.as_secs_f64();
    (rate * window + f64::from(burst)) * (1.0 + SETTINGS.overshoot) + f64::from(SETTINGS.slack)
}

#[expect(clippy::cast_precision_loss, reason = "the counts are small")]
fn assert_bounded(fleet: &Fleet, not_run: &[u64], rate: f64, burst: u32) {
    let most = most_in_window(&fleet.admitted(not_run), SETTINGS.window);
    let bound = bound(rate, burst);
    assert!(
        most as f64 <= bound,
        "{most} calls admitted in one window, the bound is {bound}"
    );
}

/// Schedules calls at random daemons and times.
fn load(fleet: &mut Fleet, rate: f64, from: Duration, to: Duration) {
    let mut at = from;
    while at < to {
        at += Duration::from_secs_f64(fleet.rng.random_range(0.0..2.0 / rate));
        let node = fleet.rng.random_range(0..fleet.len());
        fleet.call(at, node);
    }
}

struct Case {
    rate: f64,
    burst: u32,
    hosts: usize,
    /// Calls per second as a multiple of the rate.
    load: f64,
    loss: f64,
    /// Longest delay of a message.
    delay_max: Duration,
    /// Kills, restarts, pauses and changes of the members.
    faults: usize,
}

impl Default for Case {
    fn default() -> Self {
        Self {
            rate: 50.0,
            burst: 50,
            hosts: 12,
            load: 4.0,
            loss: 0.0,
            delay_max: Duration::from_millis(4),
            faults: 0,
        }
    }
}

/// Guards against more calls than the bound in some interleaving of requests, replies, expiries,
/// lost and late messages, crashes, pauses, restarts, changes of the members, and calls that are
/// given back.
#[rstest]
#[case::sound(Case::default())]
#[case::small(Case { rate: 5.0, burst: 5, hosts: 59, ..Case::default() })]
#[case::large(Case { rate: 267.0, burst: 267, ..Case::default() })]
#[case::burst(Case { rate: 2.0, burst: 100, load: 60.0, ..Case::default() })]
#[case::slow(Case { rate: 0.1, burst: 1, load: 100.0, ..Case::default() })]
#[case::one_host(Case { hosts: 1, ..Case::default() })]
#[case::two_hosts(Case { hosts: 2, faults: 6, ..Case::default() })]
#[case::lossy(Case { loss: 0.3, ..Case::default() })]
#[case::late(Case { delay_max: Duration::from_millis(900), ..Case::default() })]
#[case::faulty(Case { faults: 40, ..Case::default() })]
#[case::all(Case {
    faults: 60,
    loss: 0.1,
    delay_max: Duration::from_millis(300),
    hosts: 30,
    ..Case::default()
})]
fn bound_holds(#[case] case: Case, #[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let end = Duration::from_secs(40);
    let given = quota(case.rate, case.burst);
    let mut fleet = Fleet::new(seed, case.hosts, given, SETTINGS);
    fleet.network.loss = case.loss;
    fleet.network.delay_max = case.delay_max;
    // Quiet and busy intervals alternate, so that buckets fill up and are emptied at once.
    for second in (0..40).step_by(8) {
        let from = Duration::from_secs(second);
        load(
            &mut fleet,
            case.rate * case.load,
            from,
            from + Duration::from_secs(6),
        );
    }
    let mut present: Vec<usize> = (0..case.hosts).collect();
    for _ in 0..case.faults {
        let at = Duration::from_millis(fleet.rng.random_range(0..40_000));
        let node = fleet.rng.random_range(0..case.hosts);
        match fleet.rng.random_range(0..3) {
            0 => {
                let down = Duration::from_millis(fleet.rng.random_range(1..3000));
                fleet.schedule(at, node, Event::Kill);
                fleet.schedule(at + down, node, Event::Start);
            }
            1 => {
                let length = Duration::from_millis(fleet.rng.random_range(1..3000));
                fleet.schedule(at, node, Event::Pause(length));
            }
            _ => {
                present.retain(|other| *other != node);
                if present.is_empty() {
                    present.push(node);
                }
                let members: Vec<_> = present.iter().map(|n| fleet.host(*n)).collect();
                // Gossip spreads an update in a few round trips.
                fleet.announce_members(at, &members, Duration::from_millis(500));
                if fleet.rng.random_bool(0.7) {
                    present.push(node);
                }
            }
        }
    }
    // One call in ten does not run, and gives its token back up to 2 s later.
    let mut not_run = Vec::new();
    let mut now = Duration::ZERO;
    let mut seen = 0;
    while now < end {
        now += Duration::from_millis(100);
        fleet.run(now);
        let ended: Vec<(u64, End)> = fleet
            .ends
            .range(seen + 1..)
            .map(|(t, e)| (*t, e.clone()))
            .collect();
        for (token, end) in ended {
            seen = seen.max(token);
            if let End::Admitted(_, Some(permit)) = end
                && fleet.rng.random_bool(0.1)
            {
                not_run.push(token);
                let at = now + Duration::from_millis(fleet.rng.random_range(0..2000));
                let node = fleet.rng.random_range(0..case.hosts);
                fleet.schedule(at, node, Event::NotRun(permit));
            }
        }
    }
    assert_bounded(&fleet, &not_run, case.rate, case.burst);
}

/// Guards against refusals of an organisation that stays within its rate and burst, wherever its
/// calls arrive.
#[rstest]
// Evenly spaced calls, then bursts as large as allowed.
#[case::small(59, quota(5.0, 5), 1, 200)]
#[case::small_bursts(59, quota(5.0, 5), 5, 1000)]
#[case::large(59, quota(267.0, 267), 1, 4)]
#[case::large_bursts(59, quota(267.0, 267), 200, 1000)]
#[case::few_hosts(3, quota(5.0, 5), 1, 200)]
#[case::single(1, quota(5.0, 5), 5, 1000)]
#[case::no_burst(59, quota(1.0, 1), 1, 1000)]
fn load_below_the_limit_is_admitted(
    #[case] hosts: usize,
    #[case] quota: Quota,
    #[case] at_once: u64,
    #[case] interval_ms: u64,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut fleet = Fleet::new(seed, hosts, quota, SETTINGS);
    let end = WARM + Duration::from_mins(1);
    let mut at = WARM;
    while at < end {
        for _ in 0..at_once {
            let node = fleet.rng.random_range(0..hosts);
            fleet.call(at, node);
        }
        at += Duration::from_millis(interval_ms);
    }
    fleet.run(end + Duration::from_secs(1));
    let refused: Vec<&End> = fleet
        .ends
        .values()
        .filter(|e| matches!(e, End::Refused(..)))
        .collect();
    let total = fleet.ends.len();
    assert!(
        refused.is_empty(),
        "{} of {total} calls below the limit were refused, the first one: {:?}",
        refused.len(),
        refused[0]
    );
}
