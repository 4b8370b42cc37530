//! Routes by host and prefix, splits by weight, and what gives way.

use std::time::Duration;

use pollenrouter_core::service::Audience;
use pollenrouter_core::table::{Part, Route, Table, Terms};
use rstest::rstest;

fn route(name: &str, host: Option<&str>, prefix: &str, rank: u8) -> Route {
    Route {
        name: name.into(),
        host: host.map(Into::into),
        method: None,
        prefix: prefix.into(),
        strip: 0,
        precedence: prefix.len(),
        split: vec![
            Part {
                service: "board".into(),
                weight: 3,
            },
            Part {
                service: "seats".into(),
                weight: 1,
            },
        ],
        terms: Terms {
            repeatable: true,
            objective: Duration::from_millis(200),
            deadline: Duration::from_secs(1),
            timeout: None,
            deadline_shared: false,
            attempts: 1,
            rank,
            audience: Audience::Everyone,
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
    found: Option<&'static str>,
}

#[rstest]
#[case::short(Case { host: "a.example", path: "/x/1", found: Some("short") })]
#[case::long(Case { host: "a.example", path: "/x/y/1", found: Some("long") })]
#[case::other_host(Case { host: "b.example", path: "/x/y/1", found: Some("other") })]
#[case::upper_case(Case { host: "B.Example", path: "/x/", found: Some("other") })]
#[case::port(Case { host: "a.example:8080", path: "/x/", found: Some("short") })]
#[case::any_host(Case { host: "c.example", path: "/z/", found: Some("any") })]
#[case::no_host(Case { host: "", path: "/x/", found: None })]
#[case::no_slash(Case { host: "a.example", path: "/x", found: None })]
fn the_longest_prefix_of_the_host_is_taken(#[case] case: Case) {
    let table = table();
    let found = table.route(case.host, "GET", case.path);
    assert_eq!(found.map(|route| route.name.as_str()), case.found);
}

#[test]
fn parts_get_their_share() {
    let route = route("split", None, "/", 0);
    let board = (0..400).filter(|draw| route.service(*draw).is_some_and(|s| s == "board"));
    assert_eq!(board.count(), 300);
}

#[test]
fn only_the_last_rank_gives_way() {
    let terms = |rank, deadline_shared| Terms {
        deadline_shared,
        ..route("", None, "/", rank).terms
    };
    assert!(!table().gives_way(&terms(1, true)));
    assert!(table().gives_way(&terms(2, true)));
    assert!(!table().gives_way(&terms(2, false)));
}
