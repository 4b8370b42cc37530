//! How a change of the routing table spreads between daemons over links that have a rate.

mod links;
mod network;

use std::time::Duration;

use network::Network;
use rstest::rstest;

/// Time without a datagram after which a daemon takes a connection for silent and closes it.
const SILENCE_MAX: Duration = Duration::from_millis(400);
/// Encoding of a message about a change, beside the change itself, bytes.
const FRAMING_BYTES: usize = 512;

struct Case {
    hosts: usize,
    domains: usize,
    /// Routes of the first table, and of each that follows it.
    routes: &'static [usize],
    /// Routes that are changed beside those that are added.
    changed: usize,
    /// Time from one table to the next.
    interval: Duration,
    /// Time until the last host has a table.
    bound: Duration,
}

/// The target of an added table is 2 s at 70 hosts.
const GROWTHS: Case = Case {
    hosts: 80,
    domains: 3,
    routes: &[10, 1_400, 2_800, 4_200],
    changed: 0,
    interval: Duration::from_secs(5),
    bound: Duration::from_secs(2),
};
/// The target of a changed route is 0.5 s at 70 hosts.
const ONE_ROUTE: Case = Case {
    hosts: 80,
    domains: 3,
    routes: &[1_400, 1_400],
    changed: 1,
    interval: Duration::from_secs(20),
    bound: Duration::from_millis(500),
};
/// The target of a changed route is 1 s in a storm of changes.
const STORM: Case = Case {
    hosts: 80,
    domains: 3,
    routes: &[1_400, 1_400, 1_400, 1_400, 1_400, 1_400],
    changed: 1,
    interval: Duration::from_millis(1_200),
    bound: Duration::from_secs(1),
};
/// The target of a changed route is 1 s at 300 hosts.
const LARGE: Case = Case {
    hosts: 300,
    domains: 6,
    routes: &[1_400, 1_400],
    changed: 1,
    interval: Duration::from_secs(40),
    bound: Duration::from_secs(1),
};

/// A table of routes; the first `changed` have been changed `times`.
fn table(routes: usize, changed: usize, times: usize) -> String {
    let route = |n: usize| {
        let name = n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 24;
        let timeout = if n < changed { 10 + times } else { 10 };
        format!(
            "\"{name:x}\":{{\"host\":\"a.example\",\"pathPrefix\":\"/{name:x}/\",\"kind\":\"safe\",\
             \"service\":\"seats\",\"timeoutS\":{timeout},\"targetLatencyS\":0.6}}"
        )
    };
    let mut routes: Vec<String> = (0..routes).map(route).collect();
    // A table orders its routes by name, so that added ones come between the others.
    routes.sort();
    routes.join(",")
}

/// Guards against hosts that refuse requests on routes that only a newer table has, because a
/// changed table travels whole and several times and holds up everything else on slow links.
#[rstest]
#[case::growths(GROWTHS)]
#[case::one_route(ONE_ROUTE)]
#[case::storm(STORM)]
#[case::large(LARGE)]
fn a_changed_table_reaches_all_hosts_in_time(#[case] case: Case) {
    let mut network = Network::new(case.hosts, case.domains);
    let mut held = 0;
    for (at, routes) in case.routes.iter().enumerate() {
        let text = table(*routes, case.changed, at);
        let route_bytes = text.len() / routes;
        let added = if at == 0 { *routes } else { routes - held };
        let new_bytes = (added + case.changed) * route_bytes;
        held = *routes;
        let version = 1 + at as u64;
        let spread = network.publish(version, &text, case.interval);
        println!(
            "version {version}: {new_bytes} bytes are new, half of the hosts after {:?}, {spread:?}",
            spread.median
        );
        // The first table stands for what is known before the change.
        if at == 0 {
            continue;
        }
        let last = spread.last.expect("all hosts must have the table");
        assert!(last <= case.bound, "version {version}: {last:?}");
        let wait = spread.longest_wait;
        assert!(wait < SILENCE_MAX, "version {version}: waited {wait:?}");
        let received_max = 12 * new_bytes / 10 + FRAMING_BYTES;
        let received = spread.received_bytes_max;
        assert!(received <= received_max, "version {version}: {received}");
    }
}
