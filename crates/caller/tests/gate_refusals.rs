//! Refusals of gates, as callers see them.

use std::time::Duration;

use pollenrouter_caller::message::{CallerResult, CallerResultKind};
use pollenrouter_caller::response;
use pollenrouter_core::call::{Refusal, Reply};
use pollenrouter_core::entry::{self, CallResult, Entry};
use pollenrouter_core::gate::target::TargetIncarnation;
use pollenrouter_core::gate::{self, Gate};
use pollenrouter_core::hint::Hint;
use pollenrouter_core::id::{CallId, Ticket};
use pollenrouter_core::service::{Limits, ProbeBudget, Service};
use pollenrouter_http::convention;
use pollenrouter_http::problem::OUTCOME_HEADER;
use rstest::rstest;

const SERVICE: &str = "seats";
const HOST: &str = "leoben-1";
const GATE: u64 = 7;
const NOW: Duration = Duration::from_secs(1);

struct Case {
    /// What the gate has been told before the call.
    known: fn() -> Vec<gate::Input>,
}

const RESTARTED: Case = Case {
    known: || vec![document(SERVICE), announcement(SERVICE)],
};
const WITHOUT_DOCUMENT: Case = Case {
    known: || vec![gate::Input::DeparturesLoaded, announcement(SERVICE)],
};
const WITHOUT_TARGET: Case = Case {
    known: || vec![gate::Input::DeparturesLoaded, document(SERVICE)],
};
const OTHER_SERVICE: Case = Case {
    known: || {
        let service = "board";
        vec![
            gate::Input::DeparturesLoaded,
            document(service),
            announcement(service),
        ]
    },
};
const DRAINING: Case = Case {
    known: || {
        vec![
            gate::Input::DeparturesLoaded,
            document(SERVICE),
            announcement(SERVICE),
            gate::Input::Drain,
        ]
    },
};

fn document(name: &str) -> gate::Input {
    gate::Input::Document(Service {
        name: name.into(),
        internal_callers: Vec::new(),
        routes: Vec::new(),
        limits: Limits::default(),
        probe_budget: ProbeBudget::default(),
        cold_start: None,
    })
}

fn announcement(service: &str) -> gate::Input {
    gate::Input::Announced(gate::Announcement {
        incarnation: TargetIncarnation {
            name: "i-1".into(),
            started_ms: 1,
        },
        sequence: 1,
        service: service.into(),
        slots: 4,
        draining: false,
        cold_start: Duration::ZERO,
    })
}

fn entry_with_gate() -> Entry {
    let mut entry = Entry::new(1);
    let member = entry::Member {
        host: HOST.into(),
        incarnation: GATE,
        service: SERVICE.into(),
        serving: true,
        ..entry::Member::default()
    };
    entry.step(NOW, entry::Input::Members(vec![member]));
    entry
}

fn request() -> entry::Request {
    entry::Request {
        token: 1,
        service: SERVICE.into(),
        remaining: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        max_attempts: 2,
        ..entry::Request::default()
    }
}

/// Status of the response for a call that did not run.
fn status(result: CallResult) -> u16 {
    let CallResult::NotRun(refusal) = result else {
        panic!("the call did not run, but the result is {result:?}");
    };
    let result = CallerResult {
        kind: CallerResultKind::NotRun(refusal),
        ticket: None,
        retry_after: None,
    };
    let response = response::from_result(&convention::OWN, result, false);
    let status = response.status().as_u16();
    assert_eq!(
        response.headers().contains_key("retry-after"),
        status == 503
    );
    status
}

/// Guards against 4xx for a proper request because of what one gate does not know yet.
#[rstest]
#[case::restarted(RESTARTED)]
#[case::without_document(WITHOUT_DOCUMENT)]
#[case::without_target(WITHOUT_TARGET)]
#[case::other_service(OTHER_SERVICE)]
#[case::draining(DRAINING)]
fn a_gate_that_cannot_run_a_call_does_not_make_the_request_wrong(#[case] case: Case) {
    let mut gate = Gate::new(GATE, gate::RECORDS_MAX).awaiting_departures();
    for input in (case.known)() {
        gate.step(Duration::ZERO, input);
    }
    let mut entry = entry_with_gate();
    let mut outputs = entry.step(NOW, entry::Input::Call(request()));
    let result = loop {
        match outputs.pop().expect("the call must end") {
            entry::Output::Done(_, result, _) => break result,
            entry::Output::Offer(host, _, offer) => {
                let id = offer.id;
                let replies = gate.step(NOW, gate::Input::Offer(offer));
                let reply = replies.iter().find_map(|output| match output {
                    gate::Output::Reply(_, reply) => Some(*reply),
                    _ => None,
                });
                let reply = reply.expect("the gate must refuse the call");
                assert!(matches!(reply, Reply::NotRun(_)), "{reply:?}");
                let hint = gate.hint(NOW);
                outputs = entry.step(NOW, entry::Input::Reply(host, id, reply, hint));
            }
            other => panic!("unexpected output {other:?}"),
        }
    };
    assert_eq!(status(result), 503);
}

/// Guards against the same with gates of an earlier version, during a rolling update.
#[rstest]
#[case::no_document(Refusal::NoDocument)]
#[case::no_route(Refusal::NoRoute)]
#[case::not_public(Refusal::NotPublic)]
#[case::caller_not_allowed(Refusal::CallerNotAllowed)]
fn a_gate_does_not_decide_that_a_request_is_wrong(#[case] refusal: Refusal) {
    let mut entry = entry_with_gate();
    let id = entry
        .step(NOW, entry::Input::Call(request()))
        .iter()
        .find_map(|output| match output {
            entry::Output::Offer(_, _, offer) => Some(offer.id),
            _ => None,
        })
        .expect("the call must be offered");
    let reply = Reply::NotRun(refusal);
    let outputs = entry.step(
        NOW,
        entry::Input::Reply(HOST.into(), id, reply, Hint::default()),
    );
    let [entry::Output::Done(_, result, _)] = outputs.as_slice() else {
        panic!("the call must end: {outputs:?}");
    };
    assert_eq!(status(*result), 503);
}

/// What a gate refuses for a request with a ticket.
struct TicketCase {
    refusal: Refusal,
    status: u16,
}

/// Guards against 409 for a proper request with a ticket: because the gate's target now serves
/// another service, or because the gate was asked for a call that a lost connection kept from it,
/// and voided the ticket. Only another request with the same ticket is a conflict.
#[rstest]
#[case::target_was_replaced(TicketCase { refusal: Refusal::WrongService, status: 503 })]
#[case::voided_by_a_query(TicketCase { refusal: Refusal::Void, status: 503 })]
#[case::another_request(TicketCase { refusal: Refusal::WrongRequest, status: 409 })]
fn a_gate_that_cannot_run_a_ticket_does_not_make_the_request_wrong(#[case] case: TicketCase) {
    let mut entry = entry_with_gate();
    let id = CallId {
        entry: 2,
        seq: 1,
        nonce: 3,
    };
    let ticket = Ticket {
        service: SERVICE.into(),
        host: HOST.into(),
        incarnation: GATE,
        id,
    };
    let request = entry::Request {
        ticket: Some(ticket),
        at_most_once: true,
        ..request()
    };
    entry.step(NOW, entry::Input::Call(request));
    let reply = Reply::NotRun(case.refusal);
    let outputs = entry.step(
        NOW,
        entry::Input::Reply(HOST.into(), id, reply, Hint::default()),
    );
    let [entry::Output::Done(_, CallResult::NotRun(refusal), ticket)] = outputs.as_slice() else {
        panic!("the call must end: {outputs:?}");
    };
    let result = CallerResult {
        kind: CallerResultKind::NotRun(*refusal),
        ticket: ticket.clone(),
        retry_after: None,
    };
    let response = response::from_result(&convention::OWN, result, true);
    assert_eq!(response.status(), case.status);
    assert_eq!(response.headers()[OUTCOME_HEADER], "not-run");
}
