//! A call that a target has shed is not offered to its gate again.

use std::time::Duration;

use pollenrouter_core::call::{Refusal, Reply};
use pollenrouter_core::entry::{self, Entry, Member, Output};
use pollenrouter_core::hint::Hint;
use pollenrouter_core::id::HostName;
use rstest::rstest;

const SERVICE: &str = "seats";

/// The replies of the gates in turn, and how many offers they get.
struct Case {
    gates: &'static [&'static str],
    /// Gates that are left after the first reply.
    left: usize,
    replies: &'static [Refusal],
}

const ONE_GATE: Case = Case {
    gates: &["a"],
    left: 1,
    replies: &[Refusal::Shed],
};
const SLOW_BEFORE: Case = Case {
    replies: &[Refusal::TargetSlow, Refusal::Shed],
    ..ONE_GATE
};
const BOTH_SLOW_BEFORE: Case = Case {
    gates: &["a", "b"],
    left: 2,
    replies: &[Refusal::TargetSlow, Refusal::TargetSlow, Refusal::Shed],
};
const OTHER_GATE_LEAVES: Case = Case {
    left: 1,
    replies: &[Refusal::TargetSlow, Refusal::Shed],
    ..BOTH_SLOW_BEFORE
};

/// Guards against one attempt that reaches a target twice on one connection: a target that writes
/// its refusal once more would then refuse a call that it runs.
#[rstest]
#[case::one_gate(ONE_GATE)]
#[case::slow_before(SLOW_BEFORE)]
#[case::both_slow_before(BOTH_SLOW_BEFORE)]
#[case::other_gate_leaves(OTHER_GATE_LEAVES)]
fn a_target_that_has_shed_a_call_does_not_get_it_again(#[case] case: Case) {
    let mut entry = Entry::new(1);
    let members = |count: usize| {
        let hosts = case.gates.iter().take(count);
        let members = hosts.map(|host| Member {
            host: (*host).into(),
            incarnation: 7,
            service: SERVICE.into(),
            serving: true,
            ..Member::default()
        });
        entry::Input::Members(members.collect())
    };
    let now = Duration::ZERO;
    entry.step(now, members(case.gates.len()));
    let request = entry::Request {
        token: 1,
        service: SERVICE.into(),
        remaining: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        max_attempts: 5,
        retry_percent: 100,
        retry_slack: 1000,
        ..entry::Request::default()
    };
    let mut out = entry.step(now, entry::Input::Call(request));
    let mut shed_by: Vec<HostName> = Vec::new();
    for refusal in case.replies.iter().chain([&Refusal::Shed; 10]) {
        let mut offers = out.iter().filter_map(|output| match output {
            Output::Offer(host, _, offer) => Some((host.clone(), offer.id)),
            _ => None,
        });
        let Some((host, id)) = offers.next() else {
            break;
        };
        assert!(!shed_by.contains(&host), "{host} has shed the call before");
        if *refusal == Refusal::Shed {
            shed_by.push(host.clone());
        }
        entry.step(now, members(case.left));
        let reply = Reply::NotRun(*refusal);
        out = entry.step(now, entry::Input::Reply(host, id, reply, Hint::default()));
    }
    let is_done = |output: &Output| matches!(output, Output::Done(..));
    assert!(out.iter().any(is_done), "{out:?}");
}
