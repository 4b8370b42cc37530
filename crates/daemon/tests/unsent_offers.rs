//! Offers that a gate never has whole, and what their entry is told of them.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{self, Receiver};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use pollenrouter_core::call::{Offer, WhenSlow};
use pollenrouter_core::entry::Sent;
use pollenrouter_core::http_message::RequestHead;
use pollenrouter_core::id::CallId;
use pollenrouter_daemon::message::{Command, Event, Peer, Request};
use pollenrouter_daemon::{protocol, tls};
use pollenrouter_http::memory::Memory;
use rstest::rstest;
use tokio::sync::mpsc as async_mpsc;
use tokio::{runtime, task};

const EVENT_TIMEOUT: Duration = Duration::from_secs(20);
const DATAGRAM_MAX_BYTES: usize = 65536;
const GATE_INCARNATION: u64 = 7;
/// More than a peer takes without a word.
const LONG_BODY_BYTES: usize = 32 << 20;

struct Daemon {
    address: SocketAddr,
    commands: async_mpsc::Sender<Command>,
    events: Receiver<Event>,
}

fn start(incarnation: u64) -> Daemon {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("socket must bind");
    let address = socket.local_addr().expect("socket must have an address");
    let transport = tls::unauthenticated().expect("keys must be valid");
    let (commands, rx) = async_mpsc::channel(16);
    let (tx, events) = mpsc::channel();
    let sink: protocol::Sink = Arc::new(move |event| tx.send(event).is_ok());
    thread::spawn(move || {
        let runtime = runtime::Builder::new_current_thread().enable_all().build();
        let work = protocol::run(
            socket,
            incarnation,
            transport,
            Memory::unlimited(),
            rx,
            sink,
        );
        let runtime = runtime.expect("runtime must start");
        task::LocalSet::new().block_on(&runtime, work)
    });
    Daemon {
        address,
        commands,
        events,
    }
}

impl Daemon {
    fn offer(&self, address: SocketAddr, seq: u64, remaining: Duration, body: Bytes) {
        let offer = Offer {
            incarnation: GATE_INCARNATION,
            id: CallId {
                entry: 1,
                seq,
                nonce: 3,
            },
            service: "seats".into(),
            route: "assign".into(),
            depth: 0,
            organisation: "".into(),
            rank: 0,
            remaining,
            objective: remaining,
            sheddable: true,
            when_slow: WhenSlow::Start,
            at_most_once: true,
            fingerprint: 4,
            issued_by_sender: true,
            target_notice: None,
        };
        let head = RequestHead {
            method: "POST".into(),
            host: None,
            path: "/assign".into(),
            headers: Vec::new(),
        };
        let peer = Peer {
            host: "gate".into(),
            address,
        };
        let command = Command::Offer(peer, offer, Request { head, body });
        let sent = self.commands.blocking_send(command);
        sent.expect("daemon must run");
    }

    /// What is known of the offer with this number once it is lost.
    fn lost(&self, seq: u64) -> Sent {
        loop {
            let event = self.events.recv_timeout(EVENT_TIMEOUT);
            match event.expect("event must arrive") {
                Event::ConnectionLost(_, id, sent) if id.seq == seq => return sent,
                Event::ConnectionLost(..) => {}
                other => panic!("the offer must be lost: {other:?}"),
            }
        }
    }
}

/// Passes datagrams of one client on to a server until it is told to drop them.
fn start_proxy(server: SocketAddr) -> (SocketAddr, Arc<AtomicBool>) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("socket must bind");
    let address = socket.local_addr().expect("socket must have an address");
    let drops = Arc::new(AtomicBool::new(false));
    let drop_requested = drops.clone();
    thread::spawn(move || {
        let mut client = None;
        let mut buf = vec![0; DATAGRAM_MAX_BYTES];
        while let Ok((len, from)) = socket.recv_from(&mut buf) {
            let to = if from == server {
                client
            } else {
                client = Some(from);
                Some(server)
            };
            if let Some(to) = to.filter(|_| !drop_requested.load(Ordering::Relaxed)) {
                // Fails if the test has ended.
                let _ = socket.send_to(&buf[..len], to);
            }
        }
    });
    (address, drops)
}

/// Guards against a call that counts as perhaps run though its deadline passed while the connection
/// was being established.
#[test]
fn an_offer_whose_deadline_passes_before_a_connection_stands_is_not_sent() {
    let entry = start(8);
    let unanswered_socket = UdpSocket::bind("127.0.0.1:0").expect("socket must bind");
    let address = unanswered_socket.local_addr();
    let address = address.expect("socket must have an address");
    // Shorter than the time in which a connection has to stand.
    let remaining = Duration::from_millis(20);
    entry.offer(address, 1, remaining, Bytes::from_static(b"press"));
    assert_eq!(entry.lost(1), Sent::NotInTime);
}

/// An offer that cannot be sent whole, and what is known of it then.
struct Cut {
    remaining: Duration,
    sent: Sent,
}

const DEADLINE_PASSES: Cut = Cut {
    remaining: Duration::from_millis(100),
    sent: Sent::NotInTime,
};
const CONNECTION_FAILS: Cut = Cut {
    remaining: EVENT_TIMEOUT,
    sent: Sent::Nothing,
};

/// Guards against a call that counts as perhaps run though its gate has but a part of the request,
/// and against a gate that takes that part for the whole.
#[rstest]
#[case::deadline_passes(DEADLINE_PASSES)]
#[case::connection_fails(CONNECTION_FAILS)]
fn an_offer_of_which_a_part_was_sent_is_not_sent(#[case] cut: Cut) {
    let (gate, entry) = (start(GATE_INCARNATION), start(8));
    let (address, drops) = start_proxy(gate.address);
    // The connection stands before its datagrams are dropped. On a busy machine it may need several
    // attempts.
    let mut seq = 1;
    let _reply_tx = loop {
        entry.offer(address, seq, EVENT_TIMEOUT, Bytes::from_static(b"press"));
        match gate.events.recv_timeout(Duration::from_secs(1)) {
            Ok(Event::OfferReceived(_, _, reply_tx)) => break reply_tx,
            Ok(other) => panic!("the offer must arrive: {other:?}"),
            Err(_) => seq += 1,
        }
    };
    drops.store(true, Ordering::Relaxed);
    seq += 1;
    let body = vec![b'x'; LONG_BODY_BYTES];
    entry.offer(address, seq, cut.remaining, body.into());
    assert_eq!(entry.lost(seq), cut.sent);
    drops.store(false, Ordering::Relaxed);
    let arrived = gate.events.recv_timeout(Duration::from_millis(300));
    assert!(arrived.is_err(), "nothing must arrive: {arrived:?}");
}
