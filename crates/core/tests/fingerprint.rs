//! Fingerprints tell requests and callers apart, and are the same for every daemon.

use pollenrouter_core::fingerprint;
use pollenrouter_core::http_message::RequestHead;
use pollenrouter_core::id::Fingerprint;
use rstest::rstest;

const CALLER_HEADER: &str = "caller-service";

struct Request {
    host: Option<&'static str>,
    path: &'static str,
    body: &'static str,
    caller: Option<&'static str>,
}

const READ: Request = Request {
    host: Some("shop.example"),
    path: "/a/seat?n=1",
    body: "",
    caller: Some("board"),
};
const NO_CALLER: Request = Request {
    caller: None,
    ..READ
};
const OTHER_CALLER: Request = Request {
    caller: Some("seats"),
    ..READ
};
const NO_HOST: Request = Request { host: None, ..READ };
const OTHER_PATH: Request = Request {
    path: "/a/seat?n=2",
    ..READ
};
const OTHER_BODY: Request = Request {
    body: "press",
    ..READ
};

fn fingerprint(request: &Request) -> Fingerprint {
    let caller = request.caller.into_iter();
    let head = RequestHead {
        host: request.host.map(Into::into),
        method: "GET".into(),
        path: request.path.into(),
        headers: caller
            .map(|caller| (CALLER_HEADER.into(), caller.into()))
            .collect(),
    };
    fingerprint::of(&head, request.body.as_bytes(), CALLER_HEADER)
}

#[rstest]
#[case::the_same(READ, true, true)]
#[case::no_caller(NO_CALLER, false, true)]
#[case::other_caller(OTHER_CALLER, false, true)]
#[case::no_host(NO_HOST, false, false)]
#[case::other_path(OTHER_PATH, false, false)]
#[case::other_body(OTHER_BODY, false, false)]
fn requests_and_callers_are_told_apart(
    #[case] other: Request,
    #[case] is_equal: bool,
    #[case] is_same_request: bool,
) {
    let (read, other) = (fingerprint(&READ), fingerprint(&other));
    assert_eq!(read == other, is_equal);
    assert_eq!(fingerprint::is_same_request(read, other), is_same_request);
    assert!(!fingerprint::matches(
        other,
        fingerprint::of_any_caller(other)
    ));
}

/// Guards against daemons that do not recognize what others have recorded: fingerprints are
/// exchanged and stored. The request's part is the one that earlier versions computed.
#[test]
fn a_fingerprint_stays_the_same() {
    assert_eq!(fingerprint(&READ), 0x85e7_4a39_ecd8_689d);
    let request = fingerprint::of_any_caller(fingerprint(&OTHER_BODY));
    assert_eq!(request, 0x7823_f8b9_2303);
}
