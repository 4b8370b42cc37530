//! Calls of an entry end before a planned stop does.

use std::time::Duration;

use pollenrouter_core::call::UnknownReason;
use pollenrouter_core::entry::{self, CallResult, Entry, Member, Output};
use rstest::rstest;

const SERVICE: &str = "seats";
const BEGINS_AT: Duration = Duration::from_secs(100);
const ENDS_AT: Duration = Duration::from_secs(105);

struct Case {
    called_at: Duration,
    remaining: Duration,
    /// Time left that the gate is told.
    offered: Duration,
    /// When the caller gets a result although the gate does not reply.
    ends_at: Duration,
}

const LONG: Case = Case {
    called_at: Duration::from_secs(102),
    remaining: Duration::from_secs(8),
    offered: Duration::from_secs(3),
    ends_at: ENDS_AT,
};
const SHORT: Case = Case {
    remaining: Duration::from_secs(1),
    offered: Duration::from_secs(1),
    ends_at: Duration::from_secs(103),
    ..LONG
};
const CALLED_BEFORE: Case = Case {
    called_at: Duration::from_secs(99),
    offered: Duration::from_secs(8),
    ..LONG
};

/// Guards against calls that are cut at the end of a planned stop.
#[rstest]
#[case::long(LONG)]
#[case::short(SHORT)]
#[case::called_before(CALLED_BEFORE)]
fn calls_end_before_a_planned_stop_does(#[case] case: Case) {
    let mut entry = Entry::new(1);
    let member = Member {
        host: "a".into(),
        incarnation: 7,
        service: SERVICE.into(),
        serving: true,
        ..Member::default()
    };
    entry.step(Duration::ZERO, entry::Input::Members(vec![member]));
    let request = entry::Request {
        token: 3,
        service: SERVICE.into(),
        remaining: case.remaining,
        at_most_once: true,
        ..entry::Request::default()
    };
    let stop = |entry: &mut Entry| entry.step(BEGINS_AT, entry::Input::Stop(ENDS_AT));
    if case.called_at >= BEGINS_AT {
        stop(&mut entry);
    }
    let out = entry.step(case.called_at, entry::Input::Call(request));
    let [Output::Offer(_, _, offer)] = out.as_slice() else {
        panic!("the call must be offered: {out:?}");
    };
    assert_eq!(offer.remaining, case.offered);
    if case.called_at < BEGINS_AT {
        stop(&mut entry);
    }
    let out = entry.step(case.ends_at, entry::Input::Tick);
    assert!(
        !out.iter().any(|o| matches!(o, Output::Done(..))),
        "{out:?}"
    );
    let out = entry.step(case.ends_at + entry::REPLY_GRACE, entry::Input::Tick);
    let result = CallResult::Unknown(UnknownReason::NoReply);
    assert!(
        out.iter()
            .any(|o| matches!(o, Output::Done(3, r, _) if *r == result)),
        "{out:?}"
    );
    assert!(entry.is_idle());
}
