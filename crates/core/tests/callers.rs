//! Which calling services a service admits.

use pollenrouter_core::call::Refusal;
use pollenrouter_core::id::ServiceName;
use pollenrouter_core::service::{Limits, ProbeBudget, Service};
use rstest::rstest;

struct Case {
    internal_callers: &'static [&'static str],
    /// Service of the caller, if its host knows it.
    caller: Option<&'static str>,
    admitted: Result<(), Refusal>,
}

const LISTED: Case = Case {
    internal_callers: &["board"],
    caller: Some("board"),
    admitted: Ok(()),
};
const NOT_LISTED: Case = Case {
    caller: Some("till"),
    admitted: Err(Refusal::CallerNotAllowed),
    ..LISTED
};
/// The caller's daemon has restarted and has not heard from its target.
const NOT_KNOWN_YET: Case = Case {
    caller: None,
    admitted: Err(Refusal::NotReady),
    ..LISTED
};
const OPEN_TO_ALL: Case = Case {
    internal_callers: &[],
    caller: None,
    admitted: Ok(()),
};

/// Guards against 403 for a proper call because of what its entry does not know yet.
#[rstest]
#[case::listed(LISTED)]
#[case::not_listed(NOT_LISTED)]
#[case::not_known_yet(NOT_KNOWN_YET)]
#[case::open_to_all(OPEN_TO_ALL)]
fn a_caller_that_is_not_known_yet_is_not_forbidden(#[case] case: Case) {
    let callers = case.internal_callers.iter();
    let service = Service {
        name: "seats".into(),
        internal_callers: callers.copied().map(ServiceName::new).collect(),
        routes: Vec::new(),
        limits: Limits::default(),
        probe_budget: ProbeBudget::default(),
        cold_start: None,
    };
    let caller = case.caller.map(ServiceName::new);
    assert_eq!(service.admit(caller.as_ref()), case.admitted);
}
