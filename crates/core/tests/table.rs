//! Route selection by host and prefix, weighted split, and sheddable calls.

use std::time::Duration;

use pollenrouter_core::organisation::Organisations;
use pollenrouter_core::service::Audience;
use pollenrouter_core::shedding::Shed;
use pollenrouter_core::table::{Policy, Route, Table, WeightedService};
use rstest::rstest;

fn route(name: &str, host: Option<&str>, prefix: &str, rank: u8) -> Route {
    Route {
        name: name.into(),
        host: host.map(Into::into),
        method: None,
        prefix: prefix.into(),
        strip_bytes: 0,
        precedence: prefix.len(),
        split: vec![
            WeightedService {
                service: "board".into(),
                weight: 3,
            },
            WeightedService {
                service: "seats".into(),
                weight: 1,
            },
        ],
        policy: Policy {
            repeatable: true,
            objective: Duration::from_millis(200),
            deadline: Duration::from_secs(1),
            timeout: None,
            has_uniform_deadline: false,
            attempts: 1,
            rank,
            audience: Audience::Everyone,
            is_open: false,
        },
    }
}

fn table() -> Table {
    Table {
        routes: vec![
            route("short", Some("a.example"), "/x/", 1),
            route("long", Some("a.example"), "/x/y/", 2),
            route("other", Some("b.example"), "/x/", 2),
            route("any", None, "/z/", 2),
        ],
        ..Table::default()
    }
}

struct Case {
    host: &'static str,
    path: &'static str,
    expected: Option<&'static str>,
}

#[rstest]
#[case::short_prefix(Case { host: "a.example", path: "/x/1", expected: Some("short") })]
#[case::long_prefix(Case { host: "a.example", path: "/x/y/1", expected: Some("long") })]
#[case::other_host(Case { host: "b.example", path: "/x/y/1", expected: Some("other") })]
#[case::upper_case(Case { host: "B.Example", path: "/x/", expected: Some("other") })]
#[case::port(Case { host: "a.example:8080", path: "/x/", expected: Some("short") })]
#[case::any_host(Case { host: "c.example", path: "/z/", expected: Some("any") })]
#[case::no_host(Case { host: "", path: "/x/", expected: None })]
#[case::no_trailing_slash(Case { host: "a.example", path: "/x", expected: None })]
fn the_longest_matching_prefix_wins(#[case] case: Case) {
    let table = table();
    let found = table.find_route(case.host, "GET", case.path);
    assert_eq!(found.map(|route| route.name.as_str()), case.expected);
}

#[test]
fn requests_are_split_by_weight() {
    let route = route("split", None, "/", 0);
    let board = (0..400).filter(|draw| route.pick_service(*draw).is_some_and(|s| s == "board"));
    assert_eq!(board.count(), 300);
}

#[test]
fn only_the_lowest_priority_is_sheddable() {
    let policy = |rank, has_uniform_deadline| Policy {
        has_uniform_deadline,
        ..route("", None, "/", rank).policy
    };
    assert!(!table().is_sheddable(&policy(1, true)));
    assert!(table().is_sheddable(&policy(2, true)));
    assert!(!table().is_sheddable(&policy(2, false)));
}

struct ShedCase {
    shed: Shed,
    has_keys: bool,
    has_organisation: bool,
    rank: u8,
    may_shed: bool,
}

/// Guards against refusing calls of services, which fail a call in progress, for their objective,
/// and against holding those of callers.
#[rstest]
#[case::urgent_caller(ShedCase { shed: Shed::All, has_keys: true, has_organisation: true, rank: 0, may_shed: true })]
#[case::service(ShedCase { shed: Shed::All, has_keys: true, has_organisation: false, rank: 2, may_shed: false })]
#[case::urgent_without_keys(ShedCase { shed: Shed::All, has_keys: false, has_organisation: false, rank: 0, may_shed: false })]
#[case::last_without_keys(ShedCase { shed: Shed::All, has_keys: false, has_organisation: false, rank: 2, may_shed: true })]
#[case::urgent_by_default(ShedCase { shed: Shed::Lowest, has_keys: true, has_organisation: true, rank: 0, may_shed: false })]
#[case::last_by_default(ShedCase { shed: Shed::Lowest, has_keys: true, has_organisation: true, rank: 2, may_shed: true })]
fn calls_of_callers_are_shed(#[case] case: ShedCase) {
    let mut table = table();
    table.organisations = case.has_keys.then(Organisations::default);
    let mut policy = table.routes[0].policy.clone();
    policy.rank = case.rank;
    policy.has_uniform_deadline = true;
    let may_shed = table.may_shed(case.shed, &policy, case.has_organisation);
    assert_eq!(may_shed, case.may_shed);
}
