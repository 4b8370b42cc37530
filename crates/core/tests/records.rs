//! What a gate remembers: letting go, and tickets that callers make up.

use pollenrouter_core::id::CallId;
use pollenrouter_core::records::{Known, Records, State};
use rstest::rstest;

const CAPACITY: usize = 100;
const ENTRY: u64 = 1;

struct Case {
    /// Numbers of tickets that a caller makes up.
    made_up: std::ops::RangeInclusive<u64>,
    /// What is known of the next id that the entry issues.
    next: Known,
    /// What is known of one more made-up id.
    another: Known,
}

const ONE_HIGH: Case = Case {
    made_up: u64::MAX..=u64::MAX,
    next: Known::New,
    another: Known::New,
};

const FLOOD: Case = Case {
    made_up: 1_000_000..=1_005_000,
    next: Known::New,
    another: Known::Expired,
};

fn id(seq: u64) -> CallId {
    CallId {
        entry: ENTRY,
        seq,
        nonce: 9,
    }
}

fn settle(records: &mut Records, id: CallId) {
    if records.known(id) == Known::New {
        records.set(id, State::Done { kept: false }, None);
        records.trim();
    }
}

#[rstest]
#[case(ONE_HIGH)]
#[case(FLOOD)]
fn made_up_tickets_do_not_expire_those_of_the_entry(#[case] case: Case) {
    let mut records = Records::new(CAPACITY);
    for seq in case.made_up {
        settle(&mut records, id(seq));
    }
    for seq in 1..=10_000 {
        records.vouch(id(seq));
        assert_eq!(records.known(id(seq)), Known::New, "{seq}");
        settle(&mut records, id(seq));
    }
    records.vouch(id(10_001));
    assert_eq!(records.known(id(10_001)), case.next);
    assert_eq!(records.known(id(2_000_000)), case.another);
    assert_eq!(records.known(id(1)), Known::Expired);
}

#[test]
fn a_ticket_issued_ahead_is_remembered_until_its_entry_has_gone_on() {
    let mut records = Records::new(CAPACITY);
    settle(&mut records, id(50));
    for seq in 1..=1_000 {
        let other = CallId {
            entry: 2,
            ..id(seq)
        };
        records.vouch(other);
        settle(&mut records, other);
    }
    assert!(matches!(records.known(id(50)), Known::Record(_)));
    records.vouch(id(60));
    for seq in 1_001..=2_000 {
        let other = CallId {
            entry: 2,
            ..id(seq)
        };
        records.vouch(other);
        settle(&mut records, other);
    }
    assert_eq!(records.known(id(50)), Known::Expired);
}
