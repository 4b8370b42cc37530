//! What entries tell gates about the time that a call has left, and where they offer it again.

use std::time::Duration;

use pollenrouter_core::call::{Offer, Refusal, Reply};
use pollenrouter_core::entry::{Entry, Input, Member, Output, Request};
use pollenrouter_core::hint::Hint;
use pollenrouter_core::shedding::Shed;
use rstest::rstest;

use crate::load::{INCARNATION, SERVICE};

const OBJECTIVE: Duration = Duration::from_millis(500);
const DEADLINE: Duration = Duration::from_secs(3);
/// All slots are in use and some calls wait.
const BUSY: Hint = Hint {
    running: 8,
    waiting: 8,
    slots: 8,
    mean_service_time: Duration::from_millis(50),
    slowness: 100,
    rate_wait: Duration::ZERO,
    rate_interval: Duration::ZERO,
    failing: false,
    leaving: false,
    closed: false,
};

fn request(token: u64) -> Request {
    Request {
        token,
        service: SERVICE.into(),
        route: "refresh".into(),
        remaining: DEADLINE,
        objective: OBJECTIVE,
        sheddable: true,
        shed: Shed::All,
        organisation: "a".into(),
        max_attempts: 3,
        retry_percent: 100,
        retry_slack: 1000,
        ..Request::default()
    }
}

fn entry() -> Entry {
    let mut entry = Entry::new(1);
    let members = ["a", "b"].map(|host| Member {
        host: host.into(),
        incarnation: INCARNATION,
        service: SERVICE.into(),
        serving: true,
        ..Member::default()
    });
    entry.step(Duration::ZERO, Input::Members(members.into()));
    entry
}

fn offers(out: Vec<Output>) -> Vec<(pollenrouter_core::id::HostName, Offer)> {
    let offers = out.into_iter().filter_map(|output| match output {
        Output::Offer(host, _, offer) => Some((host, offer)),
        _ => None,
    });
    offers.collect()
}

struct Arrived {
    shed: Shed,
    sheddable: bool,
    waited: Duration,
    objective: Duration,
}

/// Guards against a wait that is bounded as if the request had just arrived.
#[rstest]
#[case::counts(Arrived {
    shed: Shed::All,
    sheddable: true,
    waited: Duration::from_millis(200),
    objective: Duration::from_millis(300),
})]
#[case::counts_for_services(Arrived {
    shed: Shed::All,
    sheddable: false,
    waited: Duration::from_millis(200),
    objective: Duration::from_millis(300),
})]
#[case::as_before_by_default(Arrived {
    shed: Shed::Lowest,
    sheddable: true,
    waited: Duration::from_millis(200),
    objective: Duration::from_millis(500),
})]
fn the_time_before_the_entry_counts(#[case] case: Arrived) {
    let request = Request {
        shed: case.shed,
        sheddable: case.sheddable,
        waited: case.waited,
        ..request(1)
    };
    let offers = offers(entry().step(Duration::ZERO, Input::Call(request)));
    let objectives: Vec<Duration> = offers.iter().map(|(_, offer)| offer.objective).collect();
    assert_eq!(objectives, [case.objective]);
}

struct Retry {
    shed: Shed,
    /// When the first gate refuses the call.
    refused_at: Duration,
    is_offered_again: bool,
}

/// Guards against calls that go on from gate to gate after they have missed their objective,
/// and wait at each.
#[rstest]
#[case::in_time(Retry {
    shed: Shed::All,
    refused_at: Duration::from_millis(200),
    is_offered_again: true,
})]
#[case::overdue(Retry { shed: Shed::All, refused_at: OBJECTIVE, is_offered_again: false })]
#[case::as_before_by_default(Retry {
    shed: Shed::Lowest,
    refused_at: OBJECTIVE,
    is_offered_again: true,
})]
fn an_overdue_call_is_not_offered_to_a_busy_gate(#[case] case: Retry) {
    let mut entry = entry();
    // Both gates have replied to earlier calls that they are busy.
    for token in [1, 2] {
        let first = offers(entry.step(Duration::ZERO, Input::Call(request(token))));
        let (host, offer) = &first[0];
        entry.step(
            case.refused_at,
            Input::Reply(host.clone(), offer.id, Reply::Answer, BUSY),
        );
    }
    let offered = offers(entry.step(
        Duration::ZERO,
        Input::Call(Request {
            shed: case.shed,
            ..request(3)
        }),
    ));
    let (host, offer) = &offered[0];
    let reply = Reply::NotRun(Refusal::Late);
    let again = entry.step(
        case.refused_at,
        Input::Reply(host.clone(), offer.id, reply, BUSY),
    );
    assert_eq!(!offers(again).is_empty(), case.is_offered_again);
}
