//! One holder: what it grants, and what it does with tokens that are returned.

use std::time::Duration;

use pollenrouter_core::organisation::Quota;
use pollenrouter_core::quota::holder::{Holder, Input, Output};
use pollenrouter_core::quota::view::{Host, View};
use pollenrouter_core::quota::{Ask, Grant, HOLD_OFF, Returned};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

use crate::SETTINGS;
use crate::fleet::{ORGANISATION, quota};

const HOST: &str = "holder";
/// Long after the start, when buckets are full.
const NOW: Duration = Duration::from_secs(1000);
const RATE: f64 = 10.0;
const BURST: u32 = 40;
/// Depth of the bucket of the only holder.
const DEPTH: u32 = BURST + 2;
/// Time in which an empty bucket fills.
const FILL: Duration = Duration::from_millis(4200);

fn host(name: &str) -> Host {
    Host {
        name: name.into(),
        failure_domain: "domain".into(),
    }
}

/// The only holder, since time 0.
fn holder(seed: u64) -> Holder {
    let mut holder = Holder::new(HOST.into(), seed, SETTINGS);
    holder.step(Duration::ZERO, Input::Members(vec![host(HOST)]));
    holder
}

fn limit() -> Quota {
    quota(RATE, BURST)
}

fn ask(needed: u32, returned: &[Returned]) -> Ask {
    Ask {
        id: 1,
        organisation: ORGANISATION.into(),
        needed,
        wanted: needed,
        returned: returned.to_vec(),
    }
}

fn grant(holder: &mut Holder, now: Duration, needed: u32, returned: &[Returned]) -> Grant {
    let input = Input::Ask("entry".into(), ask(needed, returned), Some(limit()));
    let outputs = holder.step(now, input);
    let [Output::Grant(_, grant)] = outputs.as_slice() else {
        panic!("one reply is expected, not {outputs:?}");
    };
    grant.clone()
}

/// Guards against a bucket that is emptied twice: tokens are returned after the bucket has filled
/// up without them.
#[test]
fn returned_tokens_are_lost_where_the_bucket_was_full_meanwhile() {
    let mut holder = holder(1);
    let first = grant(&mut holder, NOW, 100, &[]);
    assert_eq!(first.granted, DEPTH);
    let again = grant(&mut holder, NOW + FILL, 100, &[]);
    assert_eq!(again.granted, DEPTH);
    let (stamp, count) = (first.stamp, DEPTH);
    let late = grant(&mut holder, NOW + FILL, 100, &[Returned { stamp, count }]);
    assert_eq!(late.granted, 0);
}

/// Guards against tokens that are lost although nobody used them.
#[test]
fn returned_tokens_are_granted_again() {
    let mut holder = holder(1);
    let first = grant(&mut holder, NOW, 100, &[]);
    let (stamp, count) = (first.stamp, 30);
    let second = grant(&mut holder, NOW, 100, &[Returned { stamp, count }]);
    assert_eq!(second.granted, 30);
}

/// Guards against credit for tokens of an earlier incarnation of the holder, whose bucket is gone.
#[rstest]
#[case::earlier_number(1)]
#[case::later_number(u64::MAX)]
fn tokens_of_another_incarnation_are_not_credited(#[case] other_seed: u64) {
    let earlier = grant(&mut holder(other_seed), NOW, 30, &[]);
    let mut holder = holder(u64::MAX / 2);
    grant(&mut holder, NOW, 100, &[]);
    let (stamp, count) = (earlier.stamp, 30);
    let reply = grant(&mut holder, NOW, 100, &[Returned { stamp, count }]);
    assert_eq!(reply.granted, 0);
}

/// Guards against more tokens than the bucket gives in some interval: grants less what is returned
/// of them, however late and in whichever order.
#[rstest]
fn no_interval_has_more_tokens_in_use_than_the_bucket_gives(#[values(1, 2, 3, 4)] seed: u64) {
    struct Record {
        at: Duration,
        stamp: u64,
        granted: u32,
        left: u32,
    }
    let mut rng = StdRng::seed_from_u64(seed);
    let mut holder = holder(seed);
    let mut records: Vec<Record> = Vec::new();
    let mut now = NOW;
    for _ in 0..400 {
        // Mostly short pauses, at times one in which the bucket fills up.
        let pause = if rng.random_bool(0.05) { 5000 } else { 300 };
        now += Duration::from_millis(rng.random_range(0..pause));
        let mut returned = Vec::new();
        let recent = records.len().saturating_sub(12);
        for record in &mut records[recent..] {
            if rng.random_bool(0.2) {
                let count = rng.random_range(0..=record.left);
                record.left -= count;
                let stamp = record.stamp;
                returned.push(Returned { stamp, count });
            }
        }
        let wanted = rng.random_range(1..60);
        let reply = grant(&mut holder, now, wanted, &returned);
        records.push(Record {
            at: now,
            stamp: reply.stamp,
            granted: reply.granted,
            left: reply.granted,
        });
    }
    assert!(records.iter().any(|r| r.granted > r.left && r.left > 0));
    for (first, start) in records.iter().enumerate() {
        let mut used = 0;
        for record in &records[first..] {
            used += record.left;
            let elapsed = record.at.saturating_sub(start.at);
            let most = f64::from(DEPTH) + RATE * elapsed.as_secs_f64();
            assert!(
                f64::from(used) <= most + 1e-6,
                "{used} tokens in use of grants within {elapsed:?}, the bucket gives {most}"
            );
        }
    }
}

/// Guards against a holder that grants right after it has become one again, or that uses the
/// bucket of before.
#[test]
fn a_holder_that_was_none_meanwhile_starts_anew() {
    // As many better hosts as there are holders.
    let others = (0..100).map(|index| host(&format!("other-{index}")));
    let others: Vec<Host> = others.collect();
    let mut view = View::default();
    let all = [vec![host(HOST)], others].concat();
    view.replace(Duration::ZERO, all.clone());
    let better = view.holders(ORGANISATION, 4);
    assert!(!better.contains(&HOST.into()));

    let mut holder = holder(1);
    grant(&mut holder, NOW, 1, &[]);
    holder.step(NOW, Input::Members(all));
    holder.step(NOW, Input::Members(vec![host(HOST)]));
    let reply = grant(&mut holder, NOW, 1, &[]);
    assert_eq!((reply.granted, reply.is_holder), (0, false));
    assert_eq!(reply.next_in, HOLD_OFF);
    let reply = grant(&mut holder, NOW + HOLD_OFF, 100, &[]);
    assert_eq!((reply.granted, reply.is_holder), (0, true));
    let reply = grant(
        &mut holder,
        NOW + HOLD_OFF + Duration::from_secs(1),
        100,
        &[],
    );
    assert_eq!(reply.granted, 10);
}

/// Guards against grants of a host that is no holder by its own view, or whose table has no quota.
#[test]
fn others_grant_nothing() {
    let mut none = Holder::new("none".into(), 1, SETTINGS);
    none.step(Duration::ZERO, Input::Members(vec![host(HOST)]));
    let reply = grant(&mut none, NOW, 1, &[]);
    assert_eq!((reply.granted, reply.is_holder), (0, false));
    let input = Input::Ask("entry".into(), ask(1, &[]), None);
    let outputs = holder(1).step(NOW, input);
    let is_refused =
        |output: &Output| matches!(output, Output::Grant(_, g) if g.granted == 0 && !g.is_holder);
    assert!(outputs.iter().all(is_refused), "{outputs:?}");
}

/// Guards against one entry that takes all tokens for calls that it only expects.
#[test]
fn tokens_for_expected_calls_leave_some_to_others() {
    let mut holder = holder(1);
    let greedy = Ask {
        needed: 2,
        wanted: 1000,
        ..ask(2, &[])
    };
    let outputs = holder.step(NOW, Input::Ask("entry".into(), greedy, Some(limit())));
    let [Output::Grant(_, reply)] = outputs.as_slice() else {
        panic!("one reply is expected, not {outputs:?}");
    };
    assert_eq!(reply.granted, 2 + (DEPTH - 2) / 2);
}

/// Guards against holders that all fail with one failure domain.
#[test]
fn at_most_half_of_the_holders_are_in_one_failure_domain() {
    let host = |index: usize| Host {
        name: format!("host-{index}").into(),
        failure_domain: if index < 50 { "large" } else { "small" }.into(),
    };
    let mut view = View::default();
    let hosts: Vec<Host> = (0..53).map(host).collect();
    view.replace(Duration::ZERO, hosts.clone());
    for organisation in ["a", "b", "c", "d", "e"] {
        let holders = view.holders(organisation, 4);
        let in_large = hosts[..50].iter().filter(|h| holders.contains(&h.name));
        assert_eq!((holders.len(), in_large.count()), (4, 2));
    }
    // With one domain alone, all are in it.
    view.replace(NOW, hosts[..50].to_vec());
    assert_eq!(view.holders("a", 4).len(), 4);
}
