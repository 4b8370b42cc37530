//! Which gates an entry picks: closed gates and gates of other failure domains.

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
    /// Time since the gate's report.
    after: Duration,
    picked: bool,
}

/// Report of a gate whose target has not announced itself yet, as after a restart of the
/// daemon.
const CLOSED: Hint = Hint {
    running: 0,
    waiting: 0,
    slots: 0,
    mean_service_time: Duration::ZERO,
    slowness: 0,
    rate_wait: Duration::ZERO,
    rate_interval: Duration::ZERO,
    failing: false,
    leaving: false,
    closed: true,
};

const JUST_CLOSED: Case = Case {
    hint: CLOSED,
    after: Duration::from_millis(100),
    picked: false,
};

const CLOSED_EARLIER: Case = Case {
    after: Duration::from_millis(500),
    picked: true,
    ..JUST_CLOSED
};

const LEAVING: Case = Case {
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
#[case::closed_earlier(CLOSED_EARLIER)]
#[case::leaving(LEAVING)]
#[case::open(OPEN)]
fn closed_gate_is_picked_again_unless_it_is_leaving(#[case] case: Case) {
    let mut gates = Gates::default();
    gates.replace(vec![Member {
        host: HOST.into(),
        service: SERVICE.into(),
        serving: true,
        ..Member::default()
    }]);
    let reported_at = Duration::from_secs(1);
    gates.record_hint(reported_at, &HOST.into(), case.hint);
    let now = reported_at + case.after;
    let picked = gates.pick(now, &criteria("", Duration::MAX));
    assert_eq!(picked.is_some(), case.picked);
}

fn criteria(failure_domain: &str, max_wait: Duration) -> Criteria<'_> {
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

struct RemoteCase {
    hint: Hint,
    picked: bool,
}

#[rstest]
#[case::with_capacity(RemoteCase { hint: Hint { running: 1, slots: 4, closed: false, ..CLOSED }, picked: true })]
#[case::full(RemoteCase { hint: Hint { running: 4, slots: 4, closed: false, mean_service_time: MEAN, ..CLOSED }, picked: false })]
#[case::too_slow(RemoteCase { hint: Hint { slots: 4, closed: false, mean_service_time: MAX_WAIT, slowness: 200, ..CLOSED }, picked: false })]
fn remote_gate_is_picked_only_while_it_has_capacity(#[case] case: RemoteCase) {
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
    let picked = gates.pick(now, &criteria("graz-nord", MAX_WAIT));
    assert_eq!(picked.is_some(), case.picked);
}

/// Connections to other failure domains cost more than the few calls that go there.
#[test]
fn entry_uses_few_gates_of_other_failure_domains() {
    let mut gates = Gates::default();
    let local = Member {
        host: HOST.into(),
        service: SERVICE.into(),
        failure_domain: "leoben".into(),
        serving: true,
        ..Member::default()
    };
    let remote = |at: u32| Member {
        host: format!("graz-{at}").into(),
        failure_domain: "graz".into(),
        ..local.clone()
    };
    let all: Vec<Member> = (0..20).map(remote).chain([local.clone()]).collect();
    gates.replace(all);
    let count_picked = |gates: &Gates| {
        let tried = [local.host.clone()];
        let picks = (0..1000_u64).filter_map(|draw| {
            let criteria = Criteria {
                tried: &tried,
                draw: draw << 32 | draw,
                ..criteria("leoben", MAX_WAIT)
            };
            let picked = gates.pick(Duration::ZERO, &criteria);
            picked.map(|member| member.host.clone())
        });
        picks.collect::<BTreeSet<_>>().len()
    };
    assert_eq!(count_picked(&gates), 2);
    let local_is_leaving = Member {
        serving: false,
        ..local.clone()
    };
    gates.replace((0..20).map(remote).chain([local_is_leaving]).collect());
    assert_eq!(count_picked(&gates), 20);
}

const MEAN: Duration = Duration::from_millis(50);
const MAX_WAIT: Duration = Duration::from_millis(200);
