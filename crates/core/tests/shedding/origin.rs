//! Calls by services are told from those of callers by the time that they state.

use std::time::Duration;

use pollenrouter_core::shedding::origin::Origin;
use rstest::rstest;

/// Times until the deadline that are stated in turn, again and again, milliseconds.
struct Case {
    stated: &'static [Option<u64>],
    has_callers: bool,
}

/// Guards against refusing a call that a call in progress waits for, and against holding the
/// calls of callers because some of them retry.
#[rstest]
#[case::none_stated(Case { stated: &[None], has_callers: true })]
#[case::same_stated(Case { stated: &[Some(3000)], has_callers: true })]
#[case::most_retry(Case { stated: &[Some(3000), Some(2400), Some(1900), Some(1500)], has_callers: true })]
#[case::what_is_left(Case {
    stated: &[
        Some(2961), Some(2874), Some(2650), Some(2912), Some(2333), Some(2790), Some(2515),
        Some(2846), Some(2701), Some(1987), Some(2940),
    ],
    has_callers: false,
})]
fn a_route_has_callers_if_they_state_the_same_time(#[case] case: Case) {
    let mut origin = Origin::default();
    for stated in case.stated.iter().cycle().take(200) {
        origin.record(stated.map(Duration::from_millis));
    }
    assert_eq!(origin.has_callers(), case.has_callers, "{origin:?}");
}

/// Guards against refusing calls on a route of which too little is known.
#[test]
fn a_route_without_calls_has_no_callers() {
    assert!(!Origin::default().has_callers());
}
