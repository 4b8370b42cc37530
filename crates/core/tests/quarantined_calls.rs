//! Calls of requests that crash targets, at gates and entries.

use std::collections::BTreeMap;
use std::time::Duration;

use pollenrouter_core::call::{Offer, Refusal, Reply, WhenSlow};
use pollenrouter_core::entry::{self, CallResult, Entry, Member};
use pollenrouter_core::gate::quarantine::Trial;
use pollenrouter_core::gate::target::TargetIncarnation;
use pollenrouter_core::gate::{self, Announcement, Gate};
use pollenrouter_core::hint::Hint;
use pollenrouter_core::id::{CallId, Fingerprint};
use pollenrouter_core::service::{Limits, ProbeBudget, Service};

const SERVICE: &str = "seats";
const POISON: Fingerprint = 1;
const OTHER: Fingerprint = 2;

fn offer(seq: u64, fingerprint: Fingerprint) -> Offer {
    Offer {
        incarnation: 7,
        id: CallId {
            entry: 1,
            seq,
            nonce: 0,
        },
        service: SERVICE.into(),
        route: "r".into(),
        depth: 0,
        organisation: "".into(),
        rank: 0,
        remaining: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        sheddable: false,
        when_slow: WhenSlow::Start,
        at_most_once: true,
        fingerprint,
        issued_by_sender: true,
        target_notice: None,
    }
}

/// A gate with one slot.
fn gate() -> Gate {
    let mut gate = Gate::new(7, gate::RECORDS_MAX);
    gate.step(
        Duration::ZERO,
        gate::Input::Document(Service {
            name: SERVICE.into(),
            internal_callers: Vec::new(),
            routes: Vec::new(),
            limits: Limits::default(),
            probe_budget: ProbeBudget::default(),
            cold_start: None,
        }),
    );
    gate.step(
        Duration::ZERO,
        gate::Input::Announced(Announcement {
            incarnation: TargetIncarnation {
                name: "i-1".into(),
                started_ms: 1,
            },
            sequence: 1,
            service: SERVICE.into(),
            slots: 1,
            draining: false,
            cold_start: Duration::ZERO,
        }),
    );
    gate
}

#[test]
fn a_quarantined_request_does_not_start_even_if_it_waits_already() {
    let mut gate = gate();
    let now = Duration::from_millis(1);
    gate.step(now, gate::Input::Offer(offer(1, OTHER)));
    gate.step(now, gate::Input::Offer(offer(2, POISON)));
    assert!(gate.is_waiting(offer(2, POISON).id));
    let refused = |seq| {
        let id = offer(seq, POISON).id;
        gate::Output::Reply(id, Reply::NotRun(Refusal::CrashesTargets))
    };
    let out = gate.step(
        now,
        gate::Input::Quarantine([(POISON, Trial::Refused)].into()),
    );
    assert_eq!(out, [refused(2)]);
    let out = gate.step(now, gate::Input::Offer(offer(3, POISON)));
    assert_eq!(out, [refused(3)]);
    gate.step(now, gate::Input::Quarantine(BTreeMap::new()));
    gate.step(now, gate::Input::Offer(offer(4, POISON)));
    assert!(gate.is_waiting(offer(4, POISON).id));
}

#[test]
fn a_request_on_trial_runs_once_at_a_time() {
    let mut gate = gate();
    let now = Duration::from_millis(1);
    gate.step(
        now,
        gate::Input::Quarantine([(POISON, Trial::OneAtATime)].into()),
    );
    let id = offer(1, POISON).id;
    let out = gate.step(now, gate::Input::Offer(offer(1, POISON)));
    assert!(matches!(out[..], [gate::Output::Start { .. }]), "{out:?}");
    let out = gate.step(now, gate::Input::Offer(offer(2, POISON)));
    let refused = Reply::NotRun(Refusal::CrashesTargets);
    assert_eq!(out, [gate::Output::Reply(offer(2, POISON).id, refused)]);
    let answered = gate::Outcome::Answered {
        bytes: 0,
        failed: false,
    };
    gate.step(now, gate::Input::Finished(id, answered));
    let out = gate.step(now, gate::Input::Offer(offer(3, POISON)));
    assert!(matches!(out[..], [gate::Output::Start { .. }]), "{out:?}");
}

#[test]
fn an_entry_offers_a_quarantined_request_to_no_other_gate() {
    let mut entry = Entry::new(1);
    let members = ["a", "b", "c"].map(|host| Member {
        host: host.into(),
        incarnation: 7,
        service: SERVICE.into(),
        serving: true,
        ..Member::default()
    });
    let now = Duration::ZERO;
    entry.step(now, entry::Input::Members(members.into()));
    let request = entry::Request {
        token: 1,
        service: SERVICE.into(),
        remaining: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        max_attempts: 3,
        fingerprint: POISON,
        ..entry::Request::default()
    };
    let out = entry.step(now, entry::Input::Call(request));
    let [entry::Output::Offer(host, _, offer)] = out.as_slice() else {
        panic!("call must be offered: {out:?}");
    };
    let reply = Reply::NotRun(Refusal::CrashesTargets);
    let reply = entry::Input::Reply(host.clone(), offer.id, reply, Hint::default());
    let result = CallResult::NotRun(Refusal::CrashesTargets);
    let done = entry::Output::Done(1, result, None);
    assert_eq!(entry.step(now, reply), [done]);
}
