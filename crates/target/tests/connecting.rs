//! Calls to a target that takes no connection.

use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use pollenrouter_core::call::Refusal;
use pollenrouter_core::gate::target::TargetIncarnation;
use pollenrouter_core::{gate, http_message, id};
use pollenrouter_http::{clock, convention};
use pollenrouter_target::message::{Command, Event, OutboundCall};
use pollenrouter_target::sender;
use tokio::sync::mpsc;
use tokio::{net, runtime, task};

/// Shorter than the time in which a connection has to be established.
const DEADLINE: Duration = Duration::from_millis(300);
const ANSWER_WAIT: Duration = Duration::from_millis(50);
/// More connections than the system takes for a listener without a queue.
const BACKLOG_MAX: usize = 32;

fn call() -> OutboundCall {
    OutboundCall {
        id: id::CallId {
            entry: 1,
            seq: 1,
            nonce: 7,
        },
        head: http_message::RequestHead {
            method: "GET".into(),
            host: None,
            path: "/read".into(),
            headers: Vec::new(),
        },
        body: Bytes::new(),
        fingerprint: 1,
        target: TargetIncarnation::default(),
        at_most_once: false,
        deadline: clock::boot_time() + DEADLINE,
        depth: 0,
        answer_max_bytes: 1 << 20,
    }
}

/// Guards against a call that counts as lost though its target was busy with so many connections
/// that none could be established by the deadline.
#[test]
fn a_call_that_gets_no_connection_by_its_deadline_did_not_run() {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("runtime must start");
    let _context = runtime.enter();
    let socket = net::TcpSocket::new_v4().expect("socket must open");
    socket
        .bind(([127, 0, 0, 1], 0).into())
        .expect("socket must bind");
    let listener = socket.listen(0).expect("socket must listen");
    let address = listener.local_addr().expect("socket must have an address");
    // The system takes a few connections that nobody accepts.
    let connect = |_| TcpStream::connect_timeout(&address, DEADLINE).ok();
    let waiting: Vec<_> = (0..BACKLOG_MAX).map_while(connect).collect();
    assert!(waiting.len() < BACKLOG_MAX, "connections must come to wait");
    let (tx, mut events) = mpsc::unbounded_channel();
    let sink: sender::Sink = Rc::new(move |event| tx.send(event).map_err(|err| err.0));
    let sender = sender::Sender::new(convention::OWN, clock::boot_time, ANSWER_WAIT, sink);
    let outcome = task::LocalSet::new().block_on(&runtime, async {
        sender.execute(Command::SetAddress(address));
        sender.execute(Command::Send(call()));
        match events.recv().await {
            Some(Event::ConnectionFailed(_)) => {}
            other => panic!("the failed connection must be reported: {other:?}"),
        }
        match events.recv().await {
            Some(Event::CallFinished(_, outcome, _)) => outcome,
            other => panic!("the call must end: {other:?}"),
        }
    });
    assert_eq!(outcome, gate::Outcome::NotStarted(Refusal::Unreachable));
}
