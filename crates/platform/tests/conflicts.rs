//! A write that conflicts tells the stored object, whether or not the response brings it.

mod support;

use pollenrouter_platform::client::PlatformError;
use rstest::rstest;

const KEY: &str = "members/a";
const STORED: &str = r#"{"key":"members/a","version":7,"value":"stored"}"#;

struct Case {
    body: &'static str,
    requests: usize,
}

const OBJECT: Case = Case {
    body: STORED,
    requests: 1,
};
const NOTHING: Case = Case {
    body: "",
    requests: 2,
};
const NO_OBJECT: Case = Case {
    body: "{}",
    ..NOTHING
};
const UNREADABLE: Case = Case {
    body: r#"{"key":"members/a","version":1e999,"value":"stored"}"#,
    ..NOTHING
};

/// Guards against a daemon that never registers again because the response to its conflicting write
/// has no object that can be read.
#[rstest]
#[case::object(OBJECT)]
#[case::nothing(NOTHING)]
#[case::no_object(NO_OBJECT)]
#[case::unreadable(UNREADABLE)]
fn a_conflict_tells_the_stored_object(#[case] case: Case) {
    let answers = vec![(409, case.body.into()), (200, STORED.into())];
    let (client, requests) = support::platform(answers);
    let written = client.put(KEY, "new", 0);
    let Err(PlatformError::Conflict(_, 0, 7, Some(stored))) = written else {
        panic!("write must conflict: {written:?}");
    };
    assert_eq!(stored.value, "stored");
    assert_eq!(requests.try_iter().count(), case.requests);
}
