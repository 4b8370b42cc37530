//! What happens when daemons start, die, are cut from each other, or get another limit.

use std::time::Duration;

use pollenrouter_core::call::Refusal;
use rstest::rstest;

use crate::fleet::{End, Event, Fleet, most_in_window, quota};
use crate::{SETTINGS, WARM, assert_bounded, bound, load};

const HOSTS: usize = 12;
const RATE: f64 = 50.0;
const BURST: u32 = 50;
const END: Duration = Duration::from_secs(40);

fn fleet() -> Fleet {
    Fleet::new(1, HOSTS, quota(RATE, BURST), SETTINGS)
}

/// Guards against holders that grant while tokens of their earlier incarnations are in use.
#[test]
fn nothing_is_granted_right_after_a_start_of_all_daemons() {
    let mut fleet = fleet();
    let tokens_expire = SETTINGS.lifetime();
    load(&mut fleet, 200.0, Duration::ZERO, tokens_expire);
    fleet.run(tokens_expire);
    assert_eq!(fleet.admitted(&[]).len(), 0);
    assert!(fleet.refused(Refusal::QuotaUnknown) > 0);
}

/// Guards against a fleet that refuses all callers for longer after a start of all daemons.
#[test]
fn calls_are_admitted_soon_after_a_start_of_all_daemons() {
    let mut fleet = fleet();
    let from = SETTINGS.lifetime() + Duration::from_millis(100);
    load(&mut fleet, RATE / 2.0, from, Duration::from_millis(1500));
    fleet.run(Duration::from_millis(1500));
    assert!(!fleet.admitted(&[]).is_empty());
    assert_bounded(&fleet, &[], RATE, BURST);
}

/// Guards against daemons that admit more after each start.
#[test]
fn the_bound_holds_when_all_daemons_are_started_again_and_again() {
    let mut fleet = fleet();
    load(&mut fleet, RATE * 4.0, Duration::ZERO, END);
    for start in (5..40).step_by(3) {
        for node in 0..HOSTS {
            fleet.schedule(Duration::from_secs(start), node, Event::Kill);
            let at = Duration::from_secs(start) + Duration::from_millis(100);
            fleet.schedule(at, node, Event::Start);
        }
    }
    fleet.run(END);
    assert_bounded(&fleet, &[], RATE, BURST);
}

/// Guards against calls that are refused because one holder is dead: the share of the others is
/// enough for them, and it is known at once that it is dead.
#[test]
fn a_dead_holder_costs_no_more_than_its_share() {
    let mut fleet = fleet();
    fleet.run(WARM);
    fleet.schedule(WARM, 0, Event::Kill);
    let from = WARM + Duration::from_millis(1);
    let mut at = from;
    let mut calls = Vec::new();
    // Little enough for the other three holders.
    while at < END {
        at += Duration::from_millis(30);
        calls.push(fleet.call(at, 1 + calls.len() % (HOSTS - 1)));
    }
    fleet.run(END + Duration::from_secs(1));
    for call in calls {
        let end = &fleet.ends[&call];
        assert!(matches!(end, End::Admitted(..)), "call {call}: {end:?}");
    }
}

/// Guards against more calls than the bound when daemons are cut from each other, and against
/// daemons that admit nothing at all then.
#[rstest]
#[case::each_alone((0..12).collect())]
#[case::one_cut(vec![1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0])]
#[case::one_domain_cut(vec![1, 0, 0, 1, 0, 0, 1, 0, 0, 1, 0, 0])]
#[case::halves(vec![0, 0, 0, 0, 0, 0, 1, 1, 1, 1, 1, 1])]
fn the_bound_holds_between_daemons_that_are_cut(#[case] groups: Vec<u32>) {
    let mut fleet = fleet();
    load(&mut fleet, RATE * 4.0, Duration::ZERO, END);
    fleet.run(WARM);
    fleet.groups.clone_from(&groups);
    fleet.run(END);
    assert_bounded(&fleet, &[], RATE, BURST);
    let late = fleet.admitted(&[]);
    let late = late
        .iter()
        .filter(|at| **at + Duration::from_secs(10) > END);
    assert!(late.count() > 0, "no call was admitted");
}

/// Guards against a host that is cut off or paused, has been replaced as a holder meanwhile, and
/// goes on granting, or grants again at once when it is back.
#[rstest]
fn a_holder_that_was_replaced_unheard_grants_nothing(
    #[values(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)] cut: usize,
    #[values(false, true)] is_paused: bool,
) {
    let mut fleet = fleet();
    fleet.run(WARM);
    if is_paused {
        fleet.schedule(WARM, cut, Event::Pause(Duration::from_secs(40)));
    } else {
        fleet.groups[cut] = 1;
    }
    // The others report it as gone.
    let reported_at = WARM + Duration::from_secs(31);
    let others = (0..HOSTS).filter(|node| *node != cut);
    let members: Vec<_> = others.clone().map(|node| fleet.host(node)).collect();
    for node in others {
        fleet.schedule(reported_at, node, Event::Members(members.clone()));
    }
    // All buckets are full by then.
    let from = WARM + Duration::from_secs(40);
    let to = from + Duration::from_secs(10);
    load(&mut fleet, RATE * 8.0, from, to);
    // It is busiest where the cut host is.
    let mut at = from;
    while at < to {
        at += Duration::from_millis(5);
        fleet.call(at, cut);
    }
    fleet.run(to);
    assert_bounded(&fleet, &[], RATE, BURST);
}

/// Guards against a quota that is not enforced, or of which nothing is left, when no holder can be
/// reached from anywhere: some hosts may admit one call in a window.
#[test]
fn without_any_holder_the_floor_admits_calls_within_the_slack() {
    let mut fleet = fleet();
    load(&mut fleet, RATE * 4.0, Duration::ZERO, END);
    fleet.run(WARM);
    fleet.network.loss = 1.0;
    // By now all tokens have expired.
    let from = WARM + Duration::from_secs(1);
    fleet.run(from);
    let before = fleet.admitted(&[]).len();
    fleet.run(END);
    let times = fleet.admitted(&[]).split_off(before);
    assert_bounded(&fleet, &[], RATE, BURST);
    assert!(!times.is_empty(), "no call was admitted");
    assert!(fleet.refused(Refusal::QuotaUnknown) > 0);
}

/// Guards against a lower limit that does not bind one window after all daemons have it.
#[rstest]
#[case::lower(5.0, 5)]
#[case::no_burst(50.0, 1)]
fn a_lowered_limit_binds_after_one_window(#[case] rate: f64, #[case] burst: u32) {
    let mut fleet = fleet();
    load(&mut fleet, RATE * 4.0, WARM, END);
    let changed_at = WARM + Duration::from_secs(5);
    for node in 0..HOSTS {
        fleet.schedule(changed_at, node, Event::Quota(quota(rate, burst)));
    }
    fleet.run(END);
    let mut times = fleet.admitted(&[]);
    times.retain(|at| *at > changed_at + SETTINGS.window);
    let most = most_in_window(&times, SETTINGS.window);
    #[expect(clippy::cast_precision_loss, reason = "the count is small")]
    let most = most as f64;
    assert!(most <= bound(rate, burst), "{most} calls in one window");
    assert!(most > 0.0, "no call was admitted");
}

/// Guards against a load on the network that grows with the calls of a busy organisation.
#[test]
fn a_busy_organisation_asks_for_many_tokens_at_once() {
    let mut fleet = Fleet::new(1, 4, quota(2000.0, 2000), SETTINGS);
    fleet.run(WARM);
    let before = fleet.messages;
    load(&mut fleet, 1800.0, WARM, WARM + Duration::from_secs(10));
    fleet.run(WARM + Duration::from_secs(11));
    let messages = fleet.messages - before;
    let calls = fleet.ends.len();
    assert!(messages < 4000, "{messages} messages for {calls} calls");
}
