//! Order in which an entry offers a call to gates that refuse it because their targets
//! are temporarily slow.

use std::time::Duration;

use pollenrouter_core::call::{Refusal, Reply, WhenSlow};
use pollenrouter_core::entry::{CallResult, Entry, Input, Member, Output, Request};
use pollenrouter_core::hint::Hint;
use rstest::rstest;

const SERVICE: &str = "seats";
const OWN: &str = "leoben";
const OTHER: &str = "graz";

/// Failure domains of the gates, and the offers expected one after the other while every
/// gate refuses the call because its target is slow.
struct Case {
    domains: &'static [&'static str],
    offers: &'static [(&'static str, WhenSlow)],
}

#[rstest]
#[case::one_local(Case {
    domains: &[OWN],
    offers: &[(OWN, WhenSlow::Wait), (OWN, WhenSlow::Start)],
})]
#[case::two_local(Case {
    domains: &[OWN, OWN],
    offers: &[(OWN, WhenSlow::Refuse), (OWN, WhenSlow::Wait), (OWN, WhenSlow::Start)],
})]
#[case::one_local_one_remote(Case {
    domains: &[OWN, OTHER],
    offers: &[(OWN, WhenSlow::Wait), (OTHER, WhenSlow::Refuse), (OWN, WhenSlow::Start)],
})]
#[case::none_local(Case {
    domains: &[OTHER, OTHER],
    offers: &[(OTHER, WhenSlow::Refuse), (OTHER, WhenSlow::Wait), (OTHER, WhenSlow::Start)],
})]
fn offers_go_from_local_to_remote_gates_and_end_with_a_start(#[case] case: Case) {
    let mut entry = Entry::new(1).with_failure_domain(OWN.into());
    let members = case.domains.iter().enumerate().map(|(at, domain)| Member {
        host: format!("{domain}-{at}").into(),
        incarnation: at as u64 + 10,
        service: SERVICE.into(),
        failure_domain: (*domain).into(),
        serving: true,
        ..Member::default()
    });
    let now = Duration::from_secs(1);
    entry.step(now, Input::Members(members.collect()));
    let mut out = entry.step(now, Input::Call(request()));
    for (domain, when_slow) in case.offers {
        let [Output::Offer(host, _, offer)] = &out[..] else {
            panic!("no offer: {out:?}");
        };
        assert!(host.starts_with(domain), "{host} is not in {domain}");
        assert_eq!(offer.when_slow, *when_slow, "at {host}");
        let refused = Reply::NotRun(Refusal::TargetSlow);
        let input = Input::Reply(host.clone(), offer.id, refused, Hint::default());
        out = entry.step(now, input);
    }
    let refused = CallResult::NotRun(Refusal::TargetSlow);
    assert_eq!(out, [Output::Done(1, refused, None)]);
}

fn request() -> Request {
    Request {
        token: 1,
        service: SERVICE.into(),
        route: "list".into(),
        remaining: Duration::from_secs(1),
        objective: Duration::from_millis(200),
        sheddable: true,
        max_attempts: 2,
        draw: 5,
        ..Request::default()
    }
}
