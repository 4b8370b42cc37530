//! Records of a gate: eviction, and tickets that callers forge.

use pollenrouter_core::id::CallId;
use pollenrouter_core::records::{Lookup, Records, State};
use rstest::rstest;

const CAPACITY: usize = 100;
const ENTRY: u64 = 1;

struct Case {
    /// Sequence numbers of tickets that a caller forges.
    forged: std::ops::RangeInclusive<u64>,
    /// Lookup of the next id that the entry issues.
    next: Lookup,
    /// Lookup of one more forged id.
    another_forged: Lookup,
}

const ONE_HIGH_NUMBER: Case = Case {
    forged: u64::MAX..=u64::MAX,
    next: Lookup::New,
    another_forged: Lookup::New,
};

const FLOOD: Case = Case {
    forged: 1_000_000..=1_005_000,
    next: Lookup::New,
    another_forged: Lookup::Expired,
};

fn id(seq: u64) -> CallId {
    CallId {
        entry: ENTRY,
        seq,
        nonce: 9,
    }
}

fn settle(records: &mut Records, id: CallId) {
    if records.lookup(id) == Lookup::New {
        records.set(id, State::Done { cached: false }, None);
        records.evict_excess();
    }
}

#[rstest]
#[case(ONE_HIGH_NUMBER)]
#[case(FLOOD)]
fn forged_tickets_do_not_expire_those_of_the_entry(#[case] case: Case) {
    let mut records = Records::new(CAPACITY);
    for seq in case.forged {
        settle(&mut records, id(seq));
    }
    for seq in 1..=10_000 {
        records.confirm_issued(id(seq));
        assert_eq!(records.lookup(id(seq)), Lookup::New, "{seq}");
        settle(&mut records, id(seq));
    }
    records.confirm_issued(id(10_001));
    assert_eq!(records.lookup(id(10_001)), case.next);
    assert_eq!(records.lookup(id(2_000_000)), case.another_forged);
    assert_eq!(records.lookup(id(1)), Lookup::Expired);
}

#[test]
fn an_unconfirmed_id_is_remembered_until_its_entry_offers_a_higher_one() {
    let mut records = Records::new(CAPACITY);
    settle(&mut records, id(50));
    for seq in 1..=1_000 {
        let other = CallId {
            entry: 2,
            ..id(seq)
        };
        records.confirm_issued(other);
        settle(&mut records, other);
    }
    assert!(matches!(records.lookup(id(50)), Lookup::Record(_)));
    records.confirm_issued(id(60));
    for seq in 1_001..=2_000 {
        let other = CallId {
            entry: 2,
            ..id(seq)
        };
        records.confirm_issued(other);
        settle(&mut records, other);
    }
    assert_eq!(records.lookup(id(50)), Lookup::Expired);
}
