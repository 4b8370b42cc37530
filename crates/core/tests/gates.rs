//! What an entry does with a gate that takes no work at the moment.

use std::collections::BTreeSet;
use std::time::Duration;

use pollenrouter_core::entry::Member;
use pollenrouter_core::gates::{Criteria, Gates};
use pollenrouter_core::hint::Hint;
use rstest::rstest;

const SERVICE: &str = "seats";
const HOST: &str = "leoben-1";

struct Case {
    hint: Hint,
    /// Time since the gate said so.
    after: Duration,
    picked: bool,
}

/// The target has not announced itself yet, as after a restart of its daemon.
const CLOSED: Hint = Hint {
    running: 0,
    waiting: 0,
    slots: 0,
    mean_service_time: Duration::ZERO,
    slowness: 0,
    failing: false,
    leaving: false,
    closed: true,
};

const JUST_CLOSED: Case = Case {
    hint: CLOSED,
    after: Duration::from_millis(100),
    picked: false,
};

const CLOSED_BEFORE: Case = Case {
    after: Duration::from_millis(500),
    picked: true,
    ..JUST_CLOSED
};

const LEFT: Case = Case {
    hint: Hint {
        leaving: true,
        ..CLOSED
    },
    after: Duration::from_mins(1),
    picked: false,
};

const OPEN: Case = Case {
    hint: Hint {
        closed: false,
        ..CLOSED
    },
    after: Duration::ZERO,
    picked: true,
};

#[rstest]
#[case::just_closed(JUST_CLOSED)]
#[case::closed_before(CLOSED_BEFORE)]
#[case::left(LEFT)]
#[case::open(OPEN)]
fn a_gate_is_picked_again_unless_it_leaves(#[case] case: Case) {
    let mut gates = Gates::default();
    gates.replace(vec![Member {
        host: HOST.into(),
        service: SERVICE.into(),
        serving: true,
        ..Member::default()
    }]);
    let said_at = Duration::from_secs(1);
    gates.record_hint(said_at, &HOST.into(), case.hint);
    let now = said_at + case.after;
    let picked = gates.pick(now, &search("", Duration::MAX));
    assert_eq!(picked.is_some(), case.picked);
}

fn search(failure_domain: &str, max_wait: Duration) -> Criteria<'_> {
    Criteria {
        service: SERVICE,
        failure_domain,
        local_only: false,
        tried: &[],
        max_wait,
        draw: 0,
        seed: 1,
    }
}

struct FarCase {
    hint: Hint,
    picked: bool,
}

#[rstest]
#[case::with_room(FarCase { hint: Hint { running: 1, slots: 4, closed: false, ..CLOSED }, picked: true })]
#[case::full(FarCase { hint: Hint { running: 4, slots: 4, closed: false, mean_service_time: MEAN, ..CLOSED }, picked: false })]
#[case::too_slow(FarCase { hint: Hint { slots: 4, closed: false, mean_service_time: MAX_WAIT, slowness: 200, ..CLOSED }, picked: false })]
fn another_failure_domain_is_asked_only_while_it_has_room(#[case] case: FarCase) {
    let mut gates = Gates::default();
    gates.replace(vec![Member {
        host: HOST.into(),
        service: SERVICE.into(),
        failure_domain: "leoben".into(),
        serving: true,
        ..Member::default()
    }]);
    let now = Duration::from_secs(1);
    gates.record_hint(now, &HOST.into(), case.hint);
    let picked = gates.pick(now, &search("graz-nord", MAX_WAIT));
    assert_eq!(picked.is_some(), case.picked);
}

/// A connection to another failure domain costs more than a call.
#[test]
fn an_entry_uses_few_gates_of_other_failure_domains() {
    let mut gates = Gates::default();
    let near = Member {
        host: HOST.into(),
        service: SERVICE.into(),
        failure_domain: "leoben".into(),
        serving: true,
        ..Member::default()
    };
    let far = |at: u32| Member {
        host: format!("graz-{at}").into(),
        failure_domain: "graz".into(),
        ..near.clone()
    };
    let all: Vec<Member> = (0..20).map(far).chain([near.clone()]).collect();
    gates.replace(all);
    let used = |gates: &Gates| {
        let tried = [near.host.clone()];
        let picks = (0..1000_u64).filter_map(|draw| {
            let search = Criteria {
                tried: &tried,
                draw: draw << 32 | draw,
                ..search("leoben", MAX_WAIT)
            };
            let picked = gates.pick(Duration::ZERO, &search);
            picked.map(|member| member.host.clone())
        });
        picks.collect::<BTreeSet<_>>().len()
    };
    assert_eq!(used(&gates), 2);
    let near_has_left = Member {
        serving: false,
        ..near.clone()
    };
    gates.replace((0..20).map(far).chain([near_has_left]).collect());
    assert_eq!(used(&gates), 20);
}

const MEAN: Duration = Duration::from_millis(50);
const MAX_WAIT: Duration = Duration::from_millis(200);
