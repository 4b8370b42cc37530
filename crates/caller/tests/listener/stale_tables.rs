//! What a daemon refuses by a table while it knows that a newer one exists.

use pollenrouter_caller::tables::Tables;
use pollenrouter_core::call::Refusal;
use rstest::rstest;

use crate::support::{self, TABLES};

/// A newer table has been announced.
const STALE: Tables = Tables {
    announced: 1 << 45,
    ..TABLES
};
/// The daemon has no table yet.
const NONE: Tables = Tables {
    active: None,
    announced: 0,
};
/// Another table has come into force.
const NEXT: Tables = Tables {
    active: Some(2),
    announced: 0,
};

const NO_ROUTE: &str = "GET /new HTTP/1.1\r\nhost: x\r\n\r\n";
const UNKNOWN_KEY: &str = "GET /keyed HTTP/1.1\r\nhost: x\r\nauthorization: Bearer new\r\n\r\n";
const NO_KEY: &str = "GET /keyed HTTP/1.1\r\nhost: x\r\n\r\n";
const LARGE_BODY: &str = "POST /write HTTP/1.1\r\nhost: x\r\ncontent-length: 2000\r\n\r\n";
const MALFORMED: &str = "GET /\r\n\r\n";

/// A request that the table in force does not allow.
struct Case {
    request: &'static str,
    /// Bytes of a header that is added.
    header_bytes: usize,
    /// Tables while the request arrives.
    tables: Tables,
    status: u16,
    /// What is counted.
    refusal: Option<Refusal>,
}

const fn refused(request: &'static str, tables: Tables, refusal: Refusal) -> Case {
    Case {
        request,
        header_bytes: 0,
        tables,
        status: 503,
        refusal: Some(refusal),
    }
}

const fn judged(request: &'static str, status: u16, refusal: Option<Refusal>) -> Case {
    Case {
        request,
        header_bytes: 0,
        tables: TABLES,
        status,
        refusal,
    }
}

/// Guards against a verdict on a request by a table that a newer one, of which the daemon has
/// heard, may replace: its caller takes it for final, and the newer table may allow the request.
#[rstest]
#[case::no_route(judged(NO_ROUTE, 404, Some(Refusal::NoRoute)))]
#[case::unknown_key(judged(UNKNOWN_KEY, 401, Some(Refusal::UnknownKey)))]
#[case::no_key(judged(NO_KEY, 401, Some(Refusal::UnknownKey)))]
#[case::large_body(judged(LARGE_BODY, 413, None))]
#[case::large_head(Case { header_bytes: 20_000, ..judged(NO_ROUTE, 431, None) })]
#[case::malformed(judged(MALFORMED, 400, None))]
#[case::stale_no_route(refused(NO_ROUTE, STALE, Refusal::StaleTable))]
#[case::stale_unknown_key(refused(UNKNOWN_KEY, STALE, Refusal::StaleTable))]
#[case::stale_no_key(refused(NO_KEY, STALE, Refusal::StaleTable))]
#[case::stale_large_body(refused(LARGE_BODY, STALE, Refusal::StaleTable))]
#[case::stale_large_head(Case { header_bytes: 20_000, ..refused(NO_ROUTE, STALE, Refusal::StaleTable) })]
#[case::stale_malformed(Case { tables: STALE, ..judged(MALFORMED, 400, None) })]
#[case::none_no_route(refused(NO_ROUTE, NONE, Refusal::NotReady))]
#[case::none_large_body(refused(LARGE_BODY, NONE, Refusal::NotReady))]
#[case::none_large_head(Case { header_bytes: 20_000, ..refused(NO_ROUTE, NONE, Refusal::NotReady) })]
fn a_verdict_needs_the_newest_table(#[case] case: Case) {
    let listener = support::start();
    listener.set_tables(case.tables);
    let mut caller = listener.connect();
    let header = format!("\r\nx-long: {}\r\n\r\n", "x".repeat(case.header_bytes));
    let request = match case.header_bytes {
        0 => case.request.to_owned(),
        _ => case.request.replace("\r\n\r\n", &header),
    };
    caller.send(&request);
    let response = caller.response();
    assert_eq!(response.status, case.status, "{}", response.text());
    assert_eq!(response.retry_after.is_some(), case.status == 503);
    let refusals: Vec<Refusal> = case.refusal.into_iter().collect();
    assert_eq!(listener.refusals(), refusals);
}

/// Guards against the limit of a table that another one has replaced while the body arrived.
#[test]
fn a_body_limit_of_a_replaced_table_is_no_verdict() {
    let listener = support::start();
    let mut caller = listener.connect();
    caller.send("POST /write HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n3e8\r\n");
    assert!(listener.is_quiet());
    listener.set_tables(NEXT);
    caller.send(&"x".repeat(1000));
    caller.send("\r\n3e8\r\n");
    assert_eq!(caller.response().status, 503);
}

/// Guards against a newer table that keeps requests away from routes that are known.
#[test]
fn a_known_route_is_served_while_a_newer_table_is_on_its_way() {
    let listener = support::start();
    listener.set_tables(STALE);
    let mut caller = listener.connect();
    caller.send("GET /read HTTP/1.1\r\nhost: x\r\n\r\n");
    support::answer(*listener.call(), "done");
    assert_eq!(caller.response().status, 200);
    assert_eq!(listener.refusals(), []);
}
