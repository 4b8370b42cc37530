//! One entry: what it asks for, what it does with calls that wait, and what it gives back.

use std::time::Duration;

use pollenrouter_core::call::Refusal;
use pollenrouter_core::quota::allowance::{Allowances, Input, Output, REPLY_WAIT};
use pollenrouter_core::quota::view::Host;
use pollenrouter_core::quota::{Ask, Grant, Permit, Returned};

use crate::SETTINGS;
use crate::fleet::{ORGANISATION, quota};

const NOW: Duration = Duration::from_secs(100);
const HOSTS: usize = 5;

fn hosts(count: usize) -> Vec<Host> {
    let host = |index: usize| Host {
        name: format!("holder-{index}").into(),
        failure_domain: format!("domain-{index}").into(),
    };
    (0..count).map(host).collect()
}

/// An entry that holds nothing itself, and has known its members for long.
fn entry() -> Allowances {
    let mut entry = Allowances::new("entry".into(), 0, SETTINGS);
    entry.step(Duration::ZERO, Input::Members(hosts(HOSTS)));
    entry
}

fn call(token: u64) -> Input {
    Input::Call(token, ORGANISATION.into(), quota(5.0, 5))
}

/// The only output, which is a request.
fn asked(outputs: &[Output]) -> (smol_str::SmolStr, Ask) {
    let [Output::Ask(holder, ask)] = outputs else {
        panic!("one request is expected, not {outputs:?}");
    };
    (holder.clone(), ask.clone())
}

fn grant(ask: &Ask, granted: u32, next_in: Duration) -> Grant {
    Grant {
        id: ask.id,
        organisation: ask.organisation.clone(),
        granted,
        stamp: 7,
        next_in,
        is_holder: true,
    }
}

/// The permit of the only output, which admits a call.
fn admitted(outputs: &[Output], expected: u64) -> Permit {
    let [Output::Admit(token, Some(permit))] = outputs else {
        panic!("one admitted call is expected, not {outputs:?}");
    };
    assert_eq!(*token, expected);
    permit.clone()
}

/// Guards against calls that wait for ever for a holder that is dead: the next holders are asked
/// in turn, and then the call ends.
#[test]
fn a_call_asks_all_holders_and_then_ends() {
    let mut entry = entry();
    let mut now = NOW;
    let mut outputs = entry.step(now, call(1));
    let mut asked_holders = Vec::new();
    for _ in 0..4 {
        let ask = outputs.iter().find_map(|output| match output {
            Output::Ask(holder, ask) => Some((holder.clone(), ask.clone())),
            _ => None,
        });
        let (holder, ask) = ask.expect("the next holder must be asked");
        assert_eq!((ask.needed, ask.wanted), (1, 1));
        assert!(!asked_holders.contains(&holder), "{holder} is asked twice");
        asked_holders.push(holder);
        now += REPLY_WAIT;
        outputs = entry.step(now, Input::Tick);
    }
    // This host is no member, so that it has no floor.
    let ends = |output: &Output| matches!(output, Output::Refuse(1, Refusal::QuotaUnknown, _));
    assert!(outputs.iter().any(ends), "{outputs:?}");
    // The holders are not asked again for a while.
    let outputs = entry.step(now, call(2));
    let ends = |output: &Output| matches!(output, Output::Refuse(2, Refusal::QuotaUnknown, _));
    assert!(outputs.iter().any(ends), "{outputs:?}");
}

/// Guards against calls that wait although the request was not sent, for example because a
/// channel is full.
#[test]
fn a_request_that_is_not_sent_goes_to_the_next_holder_at_once() {
    let mut entry = entry();
    let (first, ask) = asked(&entry.step(NOW, call(1)));
    let organisation = ask.organisation.clone();
    let outputs = entry.step(NOW, Input::Unreached(first.clone(), organisation, ask.id));
    let [Output::Unreachable(unreachable), Output::Ask(second, _)] = outputs.as_slice() else {
        panic!("the next holder must be asked: {outputs:?}");
    };
    assert_eq!(*unreachable, first);
    assert_ne!(*second, first);
}

/// Guards against requests beyond the quota that go over the network or get no hint when to
/// return.
#[test]
fn without_tokens_calls_are_refused_until_there_are_some() {
    let mut entry = entry();
    let next_in = Duration::from_millis(800);
    let mut outputs = entry.step(NOW, call(1));
    for _ in 0..4 {
        let (holder, ask) = asked(&outputs);
        outputs = entry.step(NOW, Input::Granted(holder, grant(&ask, 0, next_in)));
    }
    assert_eq!(outputs, [Output::Refuse(1, Refusal::QuotaUsed, next_in)]);
    // The second caller is told to return after the first one, at the rate of the quota.
    let outputs = entry.step(NOW, call(2));
    let later = next_in + Duration::from_millis(200);
    assert_eq!(outputs, [Output::Refuse(2, Refusal::QuotaUsed, later)]);
    asked(&entry.step(NOW + next_in, call(3)));
}

/// Guards against tokens that are used after a pause of the process, or lost.
#[test]
fn expired_tokens_are_returned() {
    let mut entry = entry();
    let (holder, ask) = asked(&entry.step(NOW, call(1)));
    let outputs = entry.step(NOW, Input::Granted(holder.clone(), grant(&ask, 3, NOW)));
    admitted(&outputs, 1);
    let permit = admitted(&entry.step(NOW, call(2)), 2);
    assert_eq!(permit.expires_at, NOW + SETTINGS.lifetime());
    let outputs = entry.step(NOW + SETTINGS.lifetime(), Input::Tick);
    let (to, ask) = asked(&outputs);
    assert_eq!((to, ask.needed, ask.wanted), (holder, 0, 0));
    assert_eq!(ask.returned, [Returned { stamp: 7, count: 1 }]);
}

/// Guards against tokens that live longer because the reply was late.
#[test]
fn a_late_reply_brings_no_tokens() {
    let mut entry = entry();
    let (holder, ask) = asked(&entry.step(NOW, call(1)));
    let late = NOW + SETTINGS.lifetime();
    let outputs = entry.step(late, Input::Granted(holder.clone(), grant(&ask, 1, NOW)));
    let returned = outputs.iter().find_map(|output| match output {
        Output::Ask(to, ask) if *to == holder => Some(ask.returned.clone()),
        _ => None,
    });
    assert_eq!(returned, Some(vec![Returned { stamp: 7, count: 1 }]));
    let is_admitted = |output: &Output| matches!(output, Output::Admit(..));
    assert!(!outputs.iter().any(is_admitted), "{outputs:?}");
}

/// Guards against calls that were refused without running but count against the quota.
#[test]
fn the_token_of_a_call_that_did_not_run_serves_another_or_is_returned() {
    let mut entry = entry();
    let (holder, ask) = asked(&entry.step(NOW, call(1)));
    let outputs = entry.step(NOW, Input::Granted(holder.clone(), grant(&ask, 1, NOW)));
    let permit = admitted(&outputs, 1);
    assert_eq!(entry.step(NOW, Input::NotRun(permit)), []);
    let permit = admitted(&entry.step(NOW, call(2)), 2);
    let outputs = entry.step(NOW + SETTINGS.lifetime(), Input::NotRun(permit));
    let (to, ask) = asked(&outputs);
    assert_eq!((to, ask.wanted), (holder, 0));
    assert_eq!(ask.returned, [Returned { stamp: 7, count: 1 }]);
}

/// Guards against tokens that are taken for callers who have left.
#[test]
fn a_caller_that_leaves_uses_no_token() {
    let mut entry = entry();
    let (holder, ask) = asked(&entry.step(NOW, call(1)));
    entry.step(NOW, Input::CallerGone(1, ORGANISATION.into()));
    assert_eq!(entry.waiting(), 0);
    let outputs = entry.step(NOW, Input::Granted(holder, grant(&ask, 1, NOW)));
    assert_eq!(outputs, []);
    admitted(&entry.step(NOW, call(2)), 2);
}

/// Guards against state that stays for organisations that no longer call.
#[test]
fn the_state_of_an_idle_organisation_is_dropped() {
    let mut entry = entry();
    let (holder, ask) = asked(&entry.step(NOW, call(1)));
    entry.step(NOW, Input::Granted(holder, grant(&ask, 1, NOW)));
    assert_eq!(entry.organisations(), 1);
    entry.step(NOW + SETTINGS.window * 2, Input::Tick);
    assert_eq!(entry.organisations(), 0);
}
