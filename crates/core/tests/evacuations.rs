//! Evacuated failure domains: which objects count as removed, what gates and entries do.

use std::collections::BTreeSet;
use std::time::Duration;

use pollenrouter_core::call::{Offer, Query, Refusal, Reply, WhenSlow};
use pollenrouter_core::entry::{self, CallResult, Entry, Member};
use pollenrouter_core::evacuations::{self, EXISTS, Evacuations, REMOVED};
use pollenrouter_core::gate::target::TargetIncarnation;
use pollenrouter_core::gate::{Announcement, Gate, Input, Outcome, Output};
use pollenrouter_core::hint::Hint;
use pollenrouter_core::id::CallId;
use pollenrouter_core::replica::{Object, Replica};
use pollenrouter_core::service::{Limits, ProbeBudget, Service};
use pollenrouter_core::version;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

const PREFIX: &str = "evacuations/";
const KEY: &str = "evacuations/east";
const SERVICE: &str = "seats";
const NOW: Duration = Duration::from_mins(1);

fn object(version: u64, value: &'static str) -> Object {
    Object {
        key: KEY.into(),
        version,
        value: value.into(),
    }
}

struct ListingCase {
    held: Option<(u64, &'static str)>,
    is_listed: bool,
    revision: u64,
    /// Version of the removal that follows.
    removal: Option<u64>,
}

const ABSENT: ListingCase = ListingCase {
    held: Some((7, EXISTS)),
    is_listed: false,
    revision: 9,
    removal: Some(9),
};

/// Guards against a removal that is missed, and against one that is taken from a listing which is
/// older than what is held.
#[rstest]
#[case::absent(ABSENT)]
#[case::listed(ListingCase { is_listed: true, removal: None, ..ABSENT })]
#[case::not_held(ListingCase { held: None, removal: None, ..ABSENT })]
#[case::removed_before(ListingCase { held: Some((8, REMOVED)), removal: None, ..ABSENT })]
#[case::written_since(ListingCase { held: Some((10, EXISTS)), removal: None, ..ABSENT })]
#[case::same_revision(ListingCase { held: Some((9, EXISTS)), removal: None, ..ABSENT })]
#[case::later_era(ListingCase { held: Some((version::in_era(1, 70), EXISTS)), revision: version::in_era(2, 9), removal: Some(version::in_era(2, 9)), ..ABSENT })]
#[case::earlier_era(ListingCase { held: Some((version::in_era(2, 7), EXISTS)), revision: version::in_era(1, 90), removal: None, ..ABSENT })]
fn an_object_that_is_absent_from_a_later_listing_is_removed(#[case] case: ListingCase) {
    let mut held = Replica::default();
    held.merge(&Object {
        key: "members/a".into(),
        ..object(1, EXISTS)
    });
    if let Some((version, value)) = case.held {
        held.merge(&object(version, value));
    }
    let listed: Vec<Object> = case
        .is_listed
        .then(|| object(7, EXISTS))
        .into_iter()
        .collect();
    let removals = evacuations::removals(&held, PREFIX, &listed, case.revision);
    let expected: Vec<Object> = case
        .removal
        .map(|version| object(version, REMOVED))
        .into_iter()
        .collect();
    assert_eq!(removals, expected);
}

/// One change of the object at the platform: it is written or removed, and the platform may have
/// come back from a copy before.
#[derive(Clone, Debug)]
struct Change {
    is_restored: bool,
    is_removal: bool,
}

/// State of the object after each change, with the version of the platform.
fn history(changes: &[Change]) -> Vec<(u64, bool)> {
    let (mut era, mut revision) = (0, 1000);
    let states = changes.iter().map(|change| {
        // A copy has lost some changes, so their revisions are given out again.
        era += u64::from(change.is_restored);
        revision = if change.is_restored {
            revision - 5
        } else {
            revision
        };
        revision += 3;
        (version::in_era(era, revision), !change.is_removal)
    });
    states.collect()
}

/// What daemons read of the platform: the objects, and the removals in a watch or a listing.
fn reads(states: &[(u64, bool)]) -> Vec<Object> {
    let mut before: Option<u64> = None;
    let reads = states.iter().map(|(at, exists)| {
        let (version, value) = match before {
            _ if *exists => (*at, EXISTS),
            // A watch tells only the last version of the object, a listing its own revision.
            Some(written_at) if version::era(written_at) == version::era(*at) => {
                (written_at + 1, REMOVED)
            }
            _ => (*at, REMOVED),
        };
        before = exists.then_some(*at);
        object(version, value)
    });
    reads.collect()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Guards against an object that reverts to an earlier state because updates arrive late,
    /// twice or out of order.
    #[test]
    fn an_object_never_reverts_to_an_earlier_state(
        changes in prop::collection::vec((any::<bool>(), any::<bool>()), 1..12),
        deliveries in prop::collection::vec(any::<prop::sample::Index>(), 1..40),
    ) {
        let changes: Vec<Change> = changes
            .into_iter()
            .map(|(is_restored, is_removal)| Change { is_restored, is_removal })
            .collect();
        let states = history(&changes);
        let reads = reads(&states);
        let mut replica = Replica::default();
        let mut evacuations = Evacuations::default();
        let mut latest = 0;
        for delivery in deliveries {
            let index = delivery.index(reads.len());
            if replica.merge(&reads[index]) {
                evacuations.apply("east", &reads[index].value);
            }
            latest = latest.max(index);
            // Of removals in a row, the first one holds.
            let exists = states[latest].1;
            prop_assert_eq!(evacuations.contains("east"), exists);
        }
    }
}

fn call_id(seq: u64) -> CallId {
    CallId {
        entry: 1,
        seq,
        nonce: seq,
    }
}

fn offer(seq: u64) -> Input {
    Input::Offer(Offer {
        incarnation: 1,
        id: call_id(seq),
        service: SERVICE.into(),
        route: "r".into(),
        depth: 0,
        organisation: "".into(),
        rank: 0,
        remaining: Duration::from_secs(2),
        objective: Duration::from_secs(2),
        sheddable: false,
        when_slow: WhenSlow::Start,
        at_most_once: true,
        fingerprint: seq,
        issued_by_sender: true,
        target_notice: None,
    })
}

/// A gate whose target runs one call at a time.
fn gate() -> Gate {
    let mut gate = Gate::new(1, 64);
    gate.step(
        NOW,
        Input::Document(Service {
            name: SERVICE.into(),
            internal_callers: Vec::new(),
            routes: Vec::new(),
            limits: Limits {
                depth_levels: 0,
                ..Limits::default()
            },
            probe_budget: ProbeBudget::default(),
            cold_start: None,
        }),
    );
    gate.step(
        NOW,
        Input::Announced(Announcement {
            incarnation: TargetIncarnation {
                name: "t-1".into(),
                started_ms: 17,
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

const EVACUATED: Reply = Reply::NotRun(Refusal::Evacuated);

/// Guards against calls that start in an evacuated domain, and against calls under way there that
/// are lost.
#[test]
fn an_evacuated_gate_refuses_what_waits_and_finishes_what_runs() {
    let mut gate = gate();
    let started = gate.step(NOW, offer(1));
    assert!(matches!(started[..], [Output::Start { .. }]), "{started:?}");
    assert_eq!(gate.step(NOW, offer(2)), []);
    assert_eq!(
        gate.step(NOW, Input::Evacuated(true)),
        [Output::Reply(call_id(2), EVACUATED)]
    );
    assert_eq!(
        gate.step(NOW, offer(3)),
        [Output::Reply(call_id(3), EVACUATED)]
    );
    let hint = gate.hint(NOW);
    assert!(hint.closed && !hint.leaving, "{hint:?}");
    // Its state is not written to the platform.
    assert_eq!(gate.active_service(NOW), Some(&SERVICE.into()));

    let outcome = Outcome::Answered {
        bytes: 1,
        failed: false,
    };
    let finished = gate.step(NOW, Input::Finished(call_id(1), outcome));
    assert!(finished.contains(&Output::Reply(call_id(1), Reply::Answer)));
    // A refused call never runs under its id, also after the domain has returned.
    gate.step(NOW, Input::Evacuated(false));
    let query = Query {
        incarnation: 1,
        id: call_id(2),
        fingerprint: 2,
    };
    assert_eq!(
        gate.step(NOW, Input::Query(query)),
        [Output::Reply(call_id(2), EVACUATED)]
    );
    let started = gate.step(NOW, offer(4));
    assert!(matches!(started[..], [Output::Start { .. }]), "{started:?}");
}

/// An entry in the domain `east`, with one gate there and gates in two other domains.
fn entry(evacuated: &[&str]) -> Entry {
    let mut entry = Entry::new(1).with_failure_domain("east".into());
    entry.step(NOW, members(evacuated));
    entry
}

fn members(evacuated: &[&str]) -> entry::Input {
    let remote = (0..8).map(|index| (format!("west-{index}"), ["west", "north"][index % 2]));
    let gates = remote.chain([("east-0".to_owned(), "east"), ("east-1".to_owned(), "east")]);
    let members = gates.map(|(host, domain)| Member {
        host: host.into(),
        incarnation: 7,
        service: SERVICE.into(),
        failure_domain: domain.into(),
        serving: true,
        evacuated: evacuated.contains(&domain),
    });
    entry::Input::Members(members.collect())
}

fn request(token: u64) -> entry::Input {
    entry::Input::Call(entry::Request {
        token,
        service: SERVICE.into(),
        remaining: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        max_attempts: 2,
        retry_slack: 0,
        draw: token << 32 | token,
        ..entry::Request::default()
    })
}

/// Hosts that the entry offers its calls to, each of which is answered at once.
fn offered(entry: &mut Entry, calls: u64) -> BTreeSet<String> {
    let mut hosts = BTreeSet::new();
    for token in 0..calls {
        for output in entry.step(NOW, request(token)) {
            if let entry::Output::Offer(host, _, offer) = output {
                hosts.insert(host.to_string());
                let reply = entry::Input::Reply(host, offer.id, Reply::Answer, Hint::default());
                entry.step(NOW, reply);
            }
        }
    }
    hosts
}

struct EntryCase {
    evacuated: &'static [&'static str],
    /// Prefix of the hosts that calls go to, and the number of these hosts.
    offered: (&'static str, usize),
}

/// Guards against calls to evacuated gates, and against calls that begin in an evacuated domain
/// and crowd at a few gates of others.
#[rstest]
#[case::none(EntryCase { evacuated: &[], offered: ("east-", 2) })]
#[case::own(EntryCase { evacuated: &["east"], offered: ("west-", 8) })]
#[case::own_and_another(EntryCase { evacuated: &["east", "north"], offered: ("west-", 4) })]
#[case::another(EntryCase { evacuated: &["north"], offered: ("east-", 2) })]
#[case::all(EntryCase { evacuated: &["east", "north", "west"], offered: ("", 0) })]
fn calls_go_to_the_domains_that_are_left(#[case] case: EntryCase) {
    let hosts = offered(&mut entry(case.evacuated), 400);
    let (prefix, count) = case.offered;
    assert_eq!(hosts.len(), count, "{hosts:?}");
    assert!(
        hosts.iter().all(|host| host.starts_with(prefix)),
        "{hosts:?}"
    );
}

#[test]
fn calls_are_refused_if_all_domains_are_evacuated() {
    let mut entry = entry(&["east", "north", "west"]);
    let refused = CallResult::NotRun(Refusal::NoTarget);
    let out = entry.step(NOW, request(1));
    assert_eq!(out, [entry::Output::Done(1, refused, None)]);
}

/// Guards against an entry that has not heard of the evacuation yet and offers its calls to one
/// evacuated gate after the other. The retry budget is empty: such a refusal costs nothing.
#[test]
fn an_entry_learns_of_an_evacuation_from_a_gate() {
    let mut entry = entry(&[]);
    let refuse = |entry: &mut Entry, token: u64| {
        let out = entry.step(NOW, request(token));
        let [entry::Output::Offer(host, _, offer)] = out.as_slice() else {
            panic!("call must be offered: {out:?}");
        };
        assert!(host.starts_with("east-"), "{host}");
        let hint = Hint {
            closed: true,
            ..Hint::default()
        };
        let reply = entry::Input::Reply(host.clone(), offer.id, EVACUATED, hint);
        entry.step(NOW, reply)
    };
    let out = refuse(&mut entry, 1);
    let [entry::Output::Offer(host, _, offer)] = out.as_slice() else {
        panic!("call must be offered again: {out:?}");
    };
    assert!(host.starts_with("west-"), "{host}");
    let answer = entry::Input::Reply(host.clone(), offer.id, Reply::Answer, Hint::default());
    entry.step(NOW, answer);
    let others = offered(&mut entry, 400);
    assert!(
        others.iter().all(|host| host.starts_with("west-")),
        "{others:?}"
    );
    assert_eq!(others.len(), 8);

    // The domain has returned to service.
    entry.step(NOW, members(&[]));
    let later = NOW + Duration::from_secs(1);
    let out = entry.step(later, request(1000));
    let [entry::Output::Offer(host, ..)] = out.as_slice() else {
        panic!("call must be offered: {out:?}");
    };
    assert!(host.starts_with("east-"), "{host}");
}
