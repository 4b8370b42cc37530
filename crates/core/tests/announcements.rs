//! Which versions count as newer ones on their way, of those that other daemons have announced.

use std::collections::BTreeMap;

use pollenrouter_core::id::Version;
use pollenrouter_core::membership::{Input, Member, Membership, Message, Transfer};
use pollenrouter_core::replica::Object;
use pollenrouter_core::version;
use rstest::rstest;

const PREFIX: &str = "tables/";
const KEY: &str = "tables/main";
/// Rounds after which no caller may be told any more to wait for a table that does not come.
const FORGOTTEN_AFTER_ROUNDS: usize = 10;
/// Rounds in which peers may fail to repeat a version, because of lost messages.
const REMEMBERED_FOR_ROUNDS: usize = 5;

fn daemon() -> Membership {
    Membership::new(Member {
        host: "own".into(),
        failure_domain: "domain".into(),
        incarnation: 1,
    })
}

fn table(version: Version) -> Object {
    Object {
        key: KEY.into(),
        version,
        value: "a table, or something that is none".into(),
    }
}

fn announce(daemon: &mut Membership, version: Version) {
    let versions = BTreeMap::from([(KEY.into(), version)]);
    let message = Message {
        versions: Some(versions),
        ..Message::default()
    };
    daemon.step(Input::Received("peer".into(), message, 1));
}

fn announce_large(daemon: &mut Membership, version: Version) {
    let transfer = Transfer::Announce(BTreeMap::from([(KEY.into(), version)]));
    daemon.step(Input::TransferReceived("peer".into(), transfer, 1));
}

fn rounds(daemon: &mut Membership, count: usize) {
    for _ in 0..count {
        daemon.step(Input::Round(1));
    }
}

/// Versions that a daemon holds and hears of, and the newer one that it then expects.
struct Case {
    held: Version,
    announced: Version,
    expected: Option<Version>,
}

/// Guards against a newer version that is not expected, and against one that is expected although
/// this daemon has it (and may have rejected it) or has a newer one, also of a restored platform.
#[rstest]
#[case::newer(Case { held: 4, announced: 5, expected: Some(5) })]
#[case::first(Case { held: 0, announced: 5, expected: Some(5) })]
#[case::same(Case { held: 5, announced: 5, expected: None })]
#[case::older(Case { held: 5, announced: 4, expected: None })]
#[case::before_the_restore(Case { held: version::in_era(2, 5), announced: version::in_era(1, 90), expected: None })]
#[case::after_the_restore(Case { held: version::in_era(1, 90), announced: version::in_era(2, 5), expected: Some(version::in_era(2, 5)) })]
fn a_version_is_expected_if_it_is_newer_than_the_held_one(#[case] case: Case) {
    for announce in [announce, announce_large] {
        for is_held_first in [true, false] {
            let mut daemon = daemon();
            if !is_held_first {
                announce(&mut daemon, case.announced);
            }
            if case.held > 0 {
                daemon.step(Input::Read(vec![table(case.held)], 1));
            }
            if is_held_first {
                announce(&mut daemon, case.announced);
            }
            assert_eq!(daemon.announced(PREFIX), case.expected);
            assert_eq!(daemon.announced("other/"), None);
        }
    }
}

/// Guards against a daemon that tells callers for ever to come back, because the only daemon that
/// had a newer version is lost.
#[test]
fn a_version_that_nobody_repeats_is_forgotten() {
    let mut daemon = daemon();
    announce(&mut daemon, 5);
    rounds(&mut daemon, FORGOTTEN_AFTER_ROUNDS);
    assert_eq!(daemon.announced(PREFIX), None);
    announce(&mut daemon, 5);
    assert_eq!(daemon.announced(PREFIX), Some(5));
}

/// Guards against a daemon that forgets a version while others still have it.
#[test]
fn a_version_that_is_repeated_is_remembered() {
    let mut daemon = daemon();
    for _ in 0..10 {
        announce(&mut daemon, 5);
        rounds(&mut daemon, REMEMBERED_FOR_ROUNDS);
        assert_eq!(daemon.announced(PREFIX), Some(5));
    }
}

/// Guards against a lost version that hides an earlier one, which others still have.
#[test]
fn a_forgotten_version_leaves_the_repeated_one_before_it() {
    let mut daemon = daemon();
    announce(&mut daemon, 6);
    for _ in 0..FORGOTTEN_AFTER_ROUNDS {
        assert_eq!(daemon.announced(PREFIX), Some(6));
        announce(&mut daemon, 5);
        rounds(&mut daemon, 1);
    }
    assert_eq!(daemon.announced(PREFIX), Some(5));
    daemon.step(Input::Read(vec![table(5)], 1));
    assert_eq!(daemon.announced(PREFIX), None);
}

/// Guards against a daemon that gives up a newer version because it gets one before it.
#[test]
fn a_version_in_between_leaves_the_newest_expected() {
    let mut daemon = daemon();
    announce(&mut daemon, 6);
    daemon.step(Input::Read(vec![table(5)], 1));
    assert_eq!(daemon.announced(PREFIX), Some(6));
    daemon.step(Input::Read(vec![table(6)], 1));
    assert_eq!(daemon.announced(PREFIX), None);
}
