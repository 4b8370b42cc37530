//! Forms of the header that carries a key, and what of it reaches the target.

use pollenrouter_core::organisation::KeyDigest;
use pollenrouter_http::convention;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

use crate::support::{self, ORGANISATION};

/// Name of the header that states the organisation to the target.
const HEADER: &str = convention::OWN.organisation_header;

/// Headers of a request, and whether they carry the key of [`support::KEY`].
struct Form {
    headers: &'static str,
    is_known: bool,
}

const fn known(headers: &'static str) -> Form {
    Form {
        headers,
        is_known: true,
    }
}

const fn unknown(headers: &'static str) -> Form {
    Form {
        headers,
        is_known: false,
    }
}

/// Guards against a key that is accepted in a form that states no key, or refused in one that
/// does; against a key that reaches the target; and against an organisation that the caller
/// chooses.
#[rstest]
#[case::usual(known("authorization: Bearer k-7f3a\r\n"))]
#[case::name_in_capitals(known("AUTHORIZATION: Bearer k-7f3a\r\n"))]
#[case::scheme_in_small_letters(known("authorization: bearer k-7f3a\r\n"))]
#[case::scheme_in_capitals(known("authorization: BEARER k-7f3a\r\n"))]
#[case::several_spaces(known("authorization:   Bearer   k-7f3a   \r\n"))]
#[case::no_space_after_the_colon(known("authorization:Bearer k-7f3a\r\n"))]
#[case::hop_by_hop(known("connection: authorization\r\nauthorization: Bearer k-7f3a\r\n"))]
#[case::forged_organisation(known(
    "pollenrouter-organisation: south\r\nauthorization: Bearer k-7f3a\r\nPollenrouter-Organisation: east\r\n"
))]
#[case::hop_by_hop_organisation(known(
    "connection: pollenrouter-organisation\r\nauthorization: Bearer k-7f3a\r\n"
))]
#[case::missing(unknown(""))]
#[case::empty(unknown("authorization:\r\n"))]
#[case::scheme_only(unknown("authorization: Bearer\r\n"))]
#[case::scheme_and_space(unknown("authorization: Bearer \r\n"))]
#[case::key_only(unknown("authorization: k-7f3a\r\n"))]
#[case::no_space(unknown("authorization: Bearerk-7f3a\r\n"))]
#[case::tab(unknown("authorization: Bearer\tk-7f3a\r\n"))]
#[case::colon(unknown("authorization: Bearer: k-7f3a\r\n"))]
#[case::other_scheme(unknown("authorization: Basic k-7f3a\r\n"))]
#[case::longer_scheme(unknown("authorization: Bearers k-7f3a\r\n"))]
#[case::other_key(unknown("authorization: Bearer k-7f3b\r\n"))]
#[case::part_of_the_key(unknown("authorization: Bearer k-7f3\r\n"))]
#[case::key_in_capitals(unknown("authorization: Bearer K-7F3A\r\n"))]
#[case::quoted(unknown("authorization: Bearer \"k-7f3a\"\r\n"))]
#[case::with_a_comma(unknown("authorization: Bearer k-7f3a,\r\n"))]
#[case::two_keys(unknown("authorization: Bearer k-7f3a k-7f3a\r\n"))]
#[case::other_header(unknown("proxy-authorization: Bearer k-7f3a\r\n"))]
#[case::same_twice(unknown("authorization: Bearer k-7f3a\r\nauthorization: Bearer k-7f3a\r\n"))]
#[case::second_differs(unknown("authorization: Bearer k-7f3a\r\nauthorization: Bearer x\r\n"))]
#[case::first_differs(unknown("authorization: Bearer x\r\nauthorization: Bearer k-7f3a\r\n"))]
#[case::forged_organisation_only(unknown("pollenrouter-organisation: north\r\n"))]
fn a_key_counts_in_its_form_only(#[case] form: Form) {
    let listener = support::start();
    let mut caller = listener.connect();
    let request = |path: &str| {
        let headers = form.headers;
        format!("GET {path} HTTP/1.1\r\nhost: x\r\n{headers}\r\n")
    };
    caller.send(&request("/keyed"));
    if form.is_known {
        check_forwarded(&listener, Some(ORGANISATION));
        assert_eq!(caller.response().status, 200);
    } else {
        assert_eq!(caller.response().status, 401);
        assert!(listener.is_quiet());
    }
    // The connection goes on, and an open route takes a request with any key or none.
    caller.send(&request("/open"));
    check_forwarded(&listener, Some(ORGANISATION).filter(|_| form.is_known));
    assert_eq!(caller.response().status, 200);
}

/// Checks the headers of the next call, and answers it.
fn check_forwarded(listener: &support::Listener, organisation: Option<&str>) {
    let call = listener.call();
    assert_eq!(call.organisation.as_deref(), organisation);
    let stated: Vec<&[u8]> = call
        .head
        .headers
        .iter()
        .filter(|(name, _)| name == HEADER)
        .map(|(_, value)| value.as_slice())
        .collect();
    let expected: Vec<&[u8]> = organisation.iter().map(|name| name.as_bytes()).collect();
    assert_eq!(stated, expected);
    let mut names = call.head.headers.iter().map(|(name, _)| name);
    assert!(names.all(|name| name != "authorization"));
    support::answer(*call, "done");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Guards against bytes of a header that end the daemon, or pass for a key that they do not state.
    #[test]
    fn any_bytes_state_at_most_the_key_after_the_scheme(
        scheme in "(Bearer|bearer|BEARER|Basic|Bear|)",
        gap in "[ \t]{0,3}",
        key in prop::collection::vec(any::<u8>().prop_filter("allowed in a value", |b| *b == b'\t' || *b >= b' ' && *b != 127), 0..40),
    ) {
        let value = [scheme.as_bytes(), gap.as_bytes(), &key].concat();
        let value = hyper::header::HeaderValue::from_bytes(&value).expect("bytes must be allowed");
        let request = hyper::Request::builder().header("authorization", value).body(());
        let parts = request.expect("request must be valid").into_parts().0;
        let parsed = pollenrouter_caller::request::parse(&convention::OWN, &parts);
        let parsed = parsed.expect("request must be valid");
        let stated = [gap.as_bytes(), &key].concat();
        let is_stated = scheme.eq_ignore_ascii_case("bearer") && stated.starts_with(b" ");
        let expected = is_stated.then(|| KeyDigest::of(stated.trim_ascii()));
        let is_empty = stated.trim_ascii().is_empty();
        prop_assert_eq!(parsed.key, expected.filter(|_| !is_empty));
    }
}
