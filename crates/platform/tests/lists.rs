//! Lists with objects that cannot be read.

mod support;

use pollenrouter_platform::dialect::Freshness;
use rstest::rstest;

/// Guards against one object of another writer that makes the whole list unreadable.
#[rstest]
#[case::bytes_that_are_no_text(b"{\"key\":\"members/b\",\"version\":\"\xff\xfe\",\"value\":\"x\"}")]
#[case::a_number_too_large(br#"{"key":"members/b","version":1e999,"value":"x"}"#)]
#[case::half_a_surrogate_pair(br#"{"key":"members/b","version":1,"value":"\ud800"}"#)]
#[case::nothing(b"null")]
fn an_object_that_cannot_be_read_hides_no_other(#[case] odd: &[u8]) {
    let sound = |key: &str| format!(r#"{{"key":"{key}","version":7,"value":"text"}}"#);
    let before = format!(r#"{{"revision":9,"objects":[{},"#, sound("members/a"));
    let after = format!(",{}]}}", sound("members/c"));
    let body = [before.as_bytes(), odd, after.as_bytes()].concat();
    let (client, _requests) = support::platform(vec![(200, body)]);
    let listing = client.list("members/", Freshness::Current);
    let objects = listing.expect("list must be read").objects;
    let keys: Vec<&str> = objects.iter().map(|object| object.key.as_str()).collect();
    assert_eq!(keys, ["members/a", "members/c"]);
}

/// Guards against an object that counts as removed because it is missing in a list that is stale, or
/// cannot be read.
#[rstest]
#[case::current(
    Freshness::Current,
    r#"{"key":"members/a","version":7,"value":"text"}"#,
    true
)]
#[case::stale(
    Freshness::AllowStale,
    r#"{"key":"members/a","version":7,"value":"text"}"#,
    false
)]
#[case::odd(Freshness::Current, "null", false)]
fn only_a_current_list_that_can_be_read_is_complete(
    #[case] freshness: Freshness,
    #[case] item: &str,
    #[case] is_complete: bool,
) {
    let body = format!(r#"{{"revision":9,"objects":[{item}]}}"#);
    let (client, _requests) = support::platform(vec![(200, body.into_bytes())]);
    let listing = client.list("members/", freshness);
    let listing = listing.expect("list must be read");
    assert_eq!(listing.is_complete, is_complete);
}
