//! What an entry says of calls that it has no answer to: not run only where that is certain.

use std::time::Duration;

use pollenrouter_core::call::{Offer, Refusal, Reply, UnknownReason};
use pollenrouter_core::entry::{
    self, CallResult, Entry, Input, Member, Output, REPLY_GRACE, Request, Sent, WITHDRAWAL_DELAY,
};
use pollenrouter_core::hint::Hint;
use pollenrouter_core::id::Ticket;
use rstest::rstest;

const GATES: [&str; 2] = ["leoben-1", "leoben-2"];
const DEADLINE: Duration = Duration::from_secs(1);
const WITHDRAWN: Duration = DEADLINE.saturating_add(WITHDRAWAL_DELAY);
const EXPIRED: Duration = DEADLINE.saturating_add(REPLY_GRACE);

fn entry(gates: usize) -> Entry {
    let mut entry = Entry::new(1);
    let member = |host: &&str| Member {
        host: (*host).into(),
        incarnation: 7,
        service: "seats".into(),
        serving: true,
        ..Member::default()
    };
    let members = GATES[..gates].iter().map(member).collect();
    entry.step(Duration::ZERO, Input::Members(members));
    entry
}

fn request(token: entry::Token) -> Request {
    Request {
        token,
        service: "seats".into(),
        remaining: DEADLINE,
        objective: DEADLINE,
        max_attempts: 2,
        at_most_once: true,
        retry_percent: 100,
        retry_slack: 100,
        ..Request::default()
    }
}

/// What happens to the latest offer of a call, and when.
#[derive(Clone, Copy)]
enum Step {
    Lost(Duration, Sent),
    Replied(Duration, Reply),
    Tick(Duration),
}

use Step::{Lost, Replied, Tick};

/// A call, and what its caller is told at the last of the steps and no earlier.
struct Case {
    gates: usize,
    is_repeatable: bool,
    has_ticket: bool,
    steps: &'static [Step],
    result: CallResult,
}

const ONCE: Case = Case {
    gates: 1,
    is_repeatable: false,
    has_ticket: false,
    steps: &[],
    result: CallResult::NotRun(Refusal::Late),
};
const WITHDRAWN_WHILE_IT_WAITS: Case = Case {
    steps: &[
        Tick(DEADLINE),
        Tick(WITHDRAWN),
        Replied(WITHDRAWN, Reply::NotRun(Refusal::Cancelled)),
    ],
    ..ONCE
};
const REFUSED_AFTER_THE_DEADLINE: Case = Case {
    steps: &[
        Tick(WITHDRAWN),
        Replied(WITHDRAWN, Reply::NotRun(Refusal::Late)),
    ],
    ..ONCE
};
const NOT_SENT_IN_TIME: Case = Case {
    steps: &[Lost(DEADLINE, Sent::NotInTime)],
    ..ONCE
};
const NOT_SENT_IN_TIME_AFTER_THE_WITHDRAWAL: Case = Case {
    steps: &[Tick(WITHDRAWN), Lost(WITHDRAWN, Sent::NotInTime)],
    ..ONCE
};
const NO_GATE_REACHED: Case = Case {
    gates: 2,
    steps: &[
        Lost(Duration::ZERO, Sent::Nothing),
        Lost(Duration::ZERO, Sent::Nothing),
    ],
    result: CallResult::NotRun(Refusal::NoTarget),
    ..ONCE
};
const VOIDED_BY_A_QUERY: Case = Case {
    steps: &[
        Lost(Duration::ZERO, Sent::Maybe),
        Replied(Duration::ZERO, Reply::NotRun(Refusal::Void)),
    ],
    result: CallResult::NotRun(Refusal::Void),
    ..ONCE
};
const NO_REPLY: Case = Case {
    steps: &[Tick(DEADLINE), Tick(WITHDRAWN), Tick(EXPIRED)],
    result: CallResult::Unknown(UnknownReason::NoReply),
    ..ONCE
};
const NO_REPLY_OF_A_PAUSED_ENTRY: Case = Case {
    steps: &[Tick(EXPIRED)],
    ..NO_REPLY
};
const CANCELLED_WHILE_IT_RUNS: Case = Case {
    is_repeatable: true,
    steps: &[
        Tick(WITHDRAWN),
        Replied(WITHDRAWN, Reply::Unknown(UnknownReason::TargetLost)),
    ],
    ..NO_REPLY
};
const QUERY_NOT_SENT: Case = Case {
    steps: &[
        Lost(Duration::ZERO, Sent::Maybe),
        Lost(Duration::ZERO, Sent::Nothing),
        Tick(EXPIRED),
    ],
    ..NO_REPLY
};
const EARLIER_ATTEMPT: Case = Case {
    gates: 2,
    is_repeatable: true,
    steps: &[
        Lost(Duration::ZERO, Sent::Maybe),
        Lost(DEADLINE, Sent::NotInTime),
    ],
    result: CallResult::Unknown(UnknownReason::EarlierAttempt),
    ..ONCE
};
const WITH_A_TICKET: Case = Case {
    has_ticket: true,
    steps: &[Lost(DEADLINE, Sent::NotInTime)],
    result: CallResult::Unknown(UnknownReason::GateGone),
    ..ONCE
};

/// The id of the latest offer, if there is one.
fn offered(outputs: &[Output]) -> Option<(smol_str::SmolStr, Offer)> {
    let offers = outputs.iter().rev();
    let mut offers = offers.filter_map(|output| match output {
        Output::Offer(host, _, offer) => Some((host.clone(), offer.clone())),
        _ => None,
    });
    offers.next()
}

fn result(outputs: &[Output]) -> Option<CallResult> {
    outputs.iter().find_map(|output| match output {
        Output::Done(_, result, _) => Some(*result),
        _ => None,
    })
}

/// Guards against callers who are told that a call may have run though it has reached no target, and
/// against those who are told that it has not run though it may have.
#[rstest]
#[case::withdrawn_while_it_waits(WITHDRAWN_WHILE_IT_WAITS)]
#[case::refused_after_the_deadline(REFUSED_AFTER_THE_DEADLINE)]
#[case::not_sent_in_time(NOT_SENT_IN_TIME)]
#[case::not_sent_in_time_after_the_withdrawal(NOT_SENT_IN_TIME_AFTER_THE_WITHDRAWAL)]
#[case::no_gate_reached(NO_GATE_REACHED)]
#[case::voided_by_a_query(VOIDED_BY_A_QUERY)]
#[case::no_reply(NO_REPLY)]
#[case::no_reply_of_a_paused_entry(NO_REPLY_OF_A_PAUSED_ENTRY)]
#[case::cancelled_while_it_runs(CANCELLED_WHILE_IT_RUNS)]
#[case::query_not_sent(QUERY_NOT_SENT)]
#[case::earlier_attempt(EARLIER_ATTEMPT)]
#[case::with_a_ticket(WITH_A_TICKET)]
fn a_call_is_not_run_only_where_that_is_certain(#[case] case: Case) {
    let mut entry = entry(case.gates);
    let mut call = request(1);
    call.at_most_once = !case.is_repeatable;
    if case.has_ticket {
        call.ticket = Some(Ticket {
            service: "seats".into(),
            host: GATES[0].into(),
            incarnation: 7,
            id: pollenrouter_core::id::CallId {
                entry: 9,
                seq: 1,
                nonce: 1,
            },
        });
    }
    let mut outputs = entry.step(Duration::ZERO, Input::Call(call));
    let mut latest = offered(&outputs).expect("call must be offered");
    for step in case.steps {
        assert_eq!(result(&outputs), None, "the call must not end yet");
        let (host, id) = (latest.0.clone(), latest.1.id);
        outputs = match *step {
            Lost(at, sent) => entry.step(at, Input::ConnectionLost(host, id, sent)),
            Replied(at, reply) => entry.step(at, Input::Reply(host, id, reply, Hint::default())),
            Tick(at) => entry.step(at, Input::Tick),
        };
        latest = offered(&outputs).unwrap_or(latest);
    }
    assert_eq!(result(&outputs), Some(case.result));
    assert!(entry.is_idle());
}

/// Guards against an answer that is dropped because its call was withdrawn just before.
#[test]
fn an_answer_after_the_withdrawal_is_delivered() {
    let mut entry = entry(1);
    let outputs = entry.step(Duration::ZERO, Input::Call(request(1)));
    let (host, offer) = offered(&outputs).expect("call must be offered");
    let withdrawn = entry.step(WITHDRAWN, Input::Tick);
    assert!(matches!(withdrawn[..], [Output::Withdraw(..)]));
    // One withdrawal is enough.
    assert_eq!(entry.step(WITHDRAWN, Input::Tick), []);
    let reply = Input::Reply(host, offer.id, Reply::Answer, Hint::default());
    let outputs = entry.step(WITHDRAWN, reply);
    assert_eq!(result(&outputs), Some(CallResult::Answer(offer.id)));
}

/// Guards against a gate that is avoided because the deadline of one call was too short.
#[test]
fn a_deadline_that_passes_does_not_show_that_a_gate_is_unreachable() {
    let mut entry = entry(1);
    let outputs = entry.step(Duration::ZERO, Input::Call(request(1)));
    let (host, offer) = offered(&outputs).expect("call must be offered");
    let lost = Input::ConnectionLost(host, offer.id, Sent::NotInTime);
    entry.step(DEADLINE, lost);
    let outputs = entry.step(DEADLINE, Input::Call(request(2)));
    assert!(offered(&outputs).is_some());
}
