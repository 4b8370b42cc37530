//! A daemon that hears of a newer document than it has does not judge requests by the older one.

mod support;

use std::net::UdpSocket;
use std::sync::Arc;
use std::thread;

use pollenrouter_daemon::message::{Command, Gossip, Peer};
use pollenrouter_daemon::{keys, protocol, tls};
use pollenrouter_dev::caller::{self, Call};
use pollenrouter_dev::deployment::Deployment;
use pollenrouter_http::memory::Memory;
use pollenrouter_operator::settings;
use tokio::sync::mpsc;
use tokio::{runtime, task};

/// Version that no daemon has.
const NEWER: u64 = 1 << 40;
const NO_ROUTE: &str = "/board/new";

/// Starts another daemon, which says what the test tells it to, with the keys of a host.
fn start_peer(deployment: &Deployment, host: usize) -> (mpsc::Sender<Command>, Gossip) {
    let text = std::fs::read_to_string(&deployment.hosts[host].settings);
    let settings = settings::check(&text.expect("settings must be readable"));
    let keys = settings.expect("settings must be valid").keys;
    let keys = keys.expect("daemons must have keys");
    let transport = tls::authenticated(&keys::Keys {
        authority: keys.authority.to_string(),
        certificate: keys.certificate.to_string(),
        key: keys.key.to_string(),
    });
    let transport = transport.expect("keys must be valid");
    let socket = UdpSocket::bind("127.0.0.1:0").expect("socket must bind");
    let gossip = Gossip {
        host: "announcer".into(),
        address: socket.local_addr().expect("socket must have an address"),
        digest: None,
        versions: Some(vec![("services/board".into(), NEWER)]),
        objects: Vec::new(),
        is_complete: false,
    };
    let (commands, rx) = mpsc::channel(16);
    thread::spawn(move || {
        let runtime = runtime::Builder::new_current_thread().enable_all().build();
        let sink: protocol::Sink = Arc::new(|_| true);
        let work = protocol::run(socket, 7, transport, Memory::unlimited(), rx, sink);
        let runtime = runtime.expect("runtime must start");
        task::LocalSet::new().block_on(&runtime, work)
    });
    (commands, gossip)
}

/// Guards against 404 by a document while a newer one is known to exist, and against 503 without
/// end if the only daemon that had it is lost.
#[test]
fn a_newer_document_delays_verdicts_until_it_is_no_longer_announced() {
    let deployment =
        Deployment::start(&support::two_service_plan(1, 0)).expect("deployment must start");
    let host = &deployment.hosts[0];
    let status = |path: &str| {
        let call = Call::new("GET", path, "r1");
        caller::call_blocking(host.addresses.public, &call).status
    };
    assert_eq!(status(NO_ROUTE), 404);
    let (commands, gossip) = start_peer(&deployment, 1);
    let peer = Peer {
        host: host.name.as_str().into(),
        address: host.addresses.daemons,
    };
    support::wait_until("the newer document is known", || {
        let command = Command::Gossip(peer.clone(), gossip.clone());
        commands.blocking_send(command).expect("peer must run");
        status(NO_ROUTE) == 503
    });
    assert_eq!(status("/board/refresh"), 200);
    let metrics = format!("http://{}/metrics", host.addresses.operator);
    let mut metrics = ureq::get(metrics).call().expect("daemon must reply");
    let metrics = metrics.body_mut().read_to_string();
    let metrics = metrics.expect("metrics must be text");
    let counted =
        r#"pollenrouter_listener_refusals_total{reason="a newer routing table is on its way""#;
    assert!(metrics.contains(counted), "{metrics}");
    support::wait_until("the newer document is forgotten", || {
        status(NO_ROUTE) == 404
    });
}
