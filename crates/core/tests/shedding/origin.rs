//! Calls by services are told from those of callers by the time that they state.

use std::time::Duration;

use pollenrouter_core::shedding::origin::Origin;
use rstest::rstest;

/// Times until the deadline that are stated in turn, again and again, milliseconds.
struct Case {
    stated: &'static [Option<u64>],
    has_callers: bool,
}

const LIMIT: Duration = Duration::from_secs(3);

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
#[case::more_than_the_route_allows(Case {
    stated: &[Some(4961), Some(4874), Some(3650), Some(4912), Some(3333)],
    has_callers: false,
})]
#[case::now_and_then_more_than_the_route_allows(Case {
    stated: &[Some(3000), Some(3000), Some(3000), Some(4912)],
    has_callers: true,
})]
fn a_route_has_callers_if_they_state_the_same_time(#[case] case: Case) {
    let mut origin = Origin::default();
    for stated in case.stated.iter().cycle().take(200) {
        origin.record(stated.map(Duration::from_millis), LIMIT);
    }
    assert_eq!(origin.has_callers(), case.has_callers, "{origin:?}");
}

/// Guards against refusing calls on a route of which too little is known.
#[test]
fn a_route_without_calls_has_no_callers() {
    assert!(!Origin::default().has_callers());
}

/// Guards against a route whose callers are no longer recognised once its deadline is lowered.
#[test]
fn a_lowered_deadline_is_noticed() {
    let mut origin = Origin::default();
    for stated in [3000, 2000] {
        let stated = Duration::from_millis(stated);
        for _ in 0..200 {
            origin.record(Some(stated), stated);
        }
    }
    assert!(origin.has_callers(), "{origin:?}");
}
