//! What tells that a target is cold: its health answers, and connections that fail.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use pollenrouter_core::gate::target::TargetIncarnation;
use pollenrouter_http::clock;
use pollenrouter_http::convention::{self, Convention};
use pollenrouter_target::message::{Command, Event};
use pollenrouter_target::sender::{self, Sender};
use rstest::rstest;
use tokio::net::TcpSocket;
use tokio::{runtime, task, time};

const CONVENTION: Convention = Convention {
    cold_header: Some("target-cold-ms"),
    ..convention::OWN
};
/// Longer than a load query takes.
const END: Duration = Duration::from_millis(500);

fn target() -> TargetIncarnation {
    TargetIncarnation {
        name: "t-1".into(),
        started_ms: 17,
    }
}

/// Accepts one connection, and answers its first request with these bytes, if there are any, before
/// it closes the connection.
fn start_target(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener must bind");
    let address = listener.local_addr().expect("socket must have an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("client must connect");
        let mut buf = [0; 1024];
        assert!(stream.read(&mut buf).expect("request must arrive") > 0);
        // The client may have given up.
        let _ = stream.write_all(answer.as_bytes());
    });
    address
}

/// An address at which nothing listens. It stays in use, so that no other process gets it.
fn closed_address() -> SocketAddr {
    let socket = TcpSocket::new_v4().expect("socket must be created");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(any).expect("socket must bind");
    let address = socket.local_addr().expect("socket must have an address");
    Box::leak(Box::new(socket));
    address
}

/// Asks a target for its load; returns all events.
fn query_load(address: SocketAddr) -> Vec<Event> {
    let (tx, events) = mpsc::channel();
    let sink: sender::Sink = Rc::new(move |event| {
        // The test may have ended.
        let _ = tx.send(event);
        Ok(())
    });
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("runtime must start");
    task::LocalSet::new().block_on(&runtime, async move {
        let sender = Sender::new(CONVENTION, clock::boot_time, Duration::ZERO, sink);
        sender.execute(Command::SetAddress(address));
        sender.execute(Command::QueryLoad(target()));
        time::sleep(END).await;
    });
    events.try_iter().collect()
}

fn health_answer(headers: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{headers}content-length: 0\r\n\r\n")
}

#[rstest]
#[case::cold("target-cold-ms: 1500\r\n", Some(Duration::from_millis(1500)))]
#[case::warm("target-cold-ms: 0\r\n", Some(Duration::ZERO))]
#[case::not_stated("", None)]
#[case::unreadable("target-cold-ms: soon\r\n", None)]
#[case::negative("target-cold-ms: -1\r\n", None)]
#[case::huge(
    "target-cold-ms: 18446744073709551615\r\n",
    Some(Duration::from_hours(1))
)]
fn a_health_answer_states_the_cold_time(#[case] headers: &str, #[case] expected: Option<Duration>) {
    let events = query_load(start_target(health_answer(headers)));
    let stated = events.iter().find_map(|event| match event {
        Event::Stated(statement) => Some(statement),
        _ => None,
    });
    let stated = stated.expect("target must state something");
    assert_eq!(stated.cold, expected);
    assert_eq!(stated.target, target());
    assert!(stated.is_probe);
}

/// Guards against a target that has restarted and gets calls as if it were warm, and against one
/// that is taken for cold because its answer cannot be read.
#[rstest]
#[case::refused(closed_address(), true)]
#[case::closed(start_target(String::new()), true)]
#[case::cut(start_target("HTTP/1.1 200".to_owned()), true)]
#[case::answered(start_target(health_answer("")), false)]
#[case::malformed(start_target("HTTP/1.1 9 no status\r\n\r\n".to_owned()), false)]
fn a_connection_that_fails_is_reported(#[case] address: SocketAddr, #[case] is_reported: bool) {
    let events = query_load(address);
    let is_failure =
        |event: &Event| matches!(event, Event::ConnectionFailed(failed) if *failed == target());
    assert_eq!(events.iter().any(is_failure), is_reported, "{events:?}");
}
