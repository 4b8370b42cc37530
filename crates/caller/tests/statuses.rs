//! Statuses of answers that a target, or a gate of another version, may state.

use bytes::Bytes;
use hyper::header::RETRY_AFTER;
use pollenrouter_caller::message::{CallerResult, CallerResultKind};
use pollenrouter_caller::response;
use pollenrouter_core::call::Refusal;
use pollenrouter_core::http_message::ResponseHead;
use pollenrouter_http::convention::{self, Convention};
use pollenrouter_http::problem::OUTCOME_HEADER;
use rstest::rstest;

/// Header by which callers of some deployments recognize the answer of a target.
const SEAL: &str = "server-seal";

fn response(status: u16) -> hyper::Response<Bytes> {
    let head = ResponseHead {
        status,
        headers: vec![(SEAL.into(), b"3e1b.07".to_vec())],
    };
    let result = CallerResult {
        kind: CallerResultKind::Answer(head, Bytes::from_static(b"done")),
        ticket: None,
        retry_after: None,
    };
    response::from_result(&convention::OWN, result, false)
}

/// Guards against a failure that this daemon states with the headers of the target, so that it
/// passes for the target's own answer.
#[rstest]
#[case::zero(0)]
#[case::too_short(99)]
#[case::interim(100)]
#[case::another_protocol(101)]
#[case::last_interim(199)]
#[case::first_without_class(600)]
#[case::last_of_three_digits(999)]
#[case::too_long(1000)]
#[case::largest(u16::MAX)]
fn a_status_that_is_not_final_gives_a_failure_without_the_targets_headers(#[case] status: u16) {
    let response = response(status);
    assert_eq!(response.status(), 502);
    assert!(!response.headers().contains_key(SEAL));
    assert_eq!(response.headers()[OUTCOME_HEADER], "unknown");
}

#[rstest]
#[case::first(200)]
#[case::without_name(299)]
#[case::redirection(302)]
#[case::refusal(429)]
#[case::failure(503)]
#[case::last(599)]
fn a_final_status_is_passed_on_with_the_whole_answer(#[case] status: u16) {
    let response = response(status);
    assert_eq!(response.status(), status);
    assert!(response.headers().contains_key(SEAL));
    assert!(!response.headers().contains_key(OUTCOME_HEADER));
    assert_eq!(response.body(), "done");
}

/// Guards against a wait of a second, a third of the time that many callers have, for a table that
/// comes within some tenths of one.
#[rstest]
#[case::stale_table(Refusal::StaleTable, "0.300")]
#[case::no_target(Refusal::NoTarget, "1.000")]
fn a_refusal_states_when_to_return(#[case] refusal: Refusal, #[case] after: &str) {
    let convention = Convention {
        fractional_retry_after: true,
        ..convention::OWN
    };
    let response = response::refused(&convention, refusal, None, false);
    assert_eq!(response.status(), 503);
    assert_eq!(response.headers()[RETRY_AFTER], after);
    assert_eq!(response.headers()[OUTCOME_HEADER], "not-run");
}
