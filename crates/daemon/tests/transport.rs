//! Tests the protocol under faults: silent connections, untrusted keys, restarted and
//! unreachable daemons.

use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{self, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use pollenrouter_core::call::{Offer, Query, Reply, WhenSlow};
use pollenrouter_core::entry::Sent;
use pollenrouter_core::hint::Hint;
use pollenrouter_core::http_message::{RequestHead, ResponseHead};
use pollenrouter_core::id::CallId;
use pollenrouter_core::quota::{Ask, Grant, Returned};
use pollenrouter_daemon::keys::{self, Keys};
use pollenrouter_daemon::message::{Answer, Command, Event, GateReply, Peer, Request};
use pollenrouter_daemon::{protocol, tls};
use pollenrouter_http::memory::Memory;
use tokio::sync::mpsc as async_mpsc;
use tokio::{runtime, task};

const EVENT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const DATAGRAM_MAX_BYTES: usize = 65536;
const SERVER_INCARNATION: u64 = 7;
const CALL_ID: CallId = CallId {
    entry: 1,
    seq: 2,
    nonce: 3,
};

struct Daemon {
    address: SocketAddr,
    commands: async_mpsc::Sender<Command>,
    events: Receiver<Event>,
}

fn start(keys: &Keys, incarnation: u64) -> Daemon {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("socket must bind");
    let address = socket.local_addr().expect("socket must have an address");
    let transport = tls::authenticated(keys).expect("keys must be valid");
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
    fn send(&self, command: Command) {
        self.commands
            .blocking_send(command)
            .expect("daemon must run");
    }

    fn next_event(&self) -> Event {
        self.events
            .recv_timeout(EVENT_TIMEOUT)
            .expect("event must arrive")
    }
}

/// Sends a command, and repeats it until it arrives: on a busy machine the handshake may
/// time out before anything is sent.
fn deliver(from: &Daemon, to: &Daemon, command: impl Fn() -> Command) -> Event {
    from.send(command());
    let deadline = Instant::now() + EVENT_TIMEOUT;
    while Instant::now() < deadline {
        if let Ok(received) = to.events.recv_timeout(POLL_INTERVAL) {
            return received;
        }
        match from.events.try_recv() {
            Ok(Event::ConnectionLost(_, _, Sent::Nothing)) => from.send(command()),
            Ok(other) => panic!("command was not delivered: {other:?}"),
            Err(_) => {}
        }
    }
    panic!("command was not delivered in time");
}

/// UDP proxy between clients and a server. It can drop all datagrams of the flows that
/// exist at a given time; flows that begin later pass.
struct UdpProxy {
    address: SocketAddr,
    /// Set to drop the existing flows from the next datagram on.
    drop_flows: Arc<AtomicBool>,
}

fn start_proxy(server: SocketAddr) -> UdpProxy {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("socket must bind");
    let address = socket.local_addr().expect("socket must have an address");
    let drop_flows = Arc::new(AtomicBool::new(false));
    let drop_requested = drop_flows.clone();
    thread::spawn(move || {
        let flows: Mutex<HashMap<SocketAddr, (UdpSocket, Arc<AtomicBool>)>> = Mutex::default();
        let mut buf = vec![0; DATAGRAM_MAX_BYTES];
        while let Ok((len, client)) = socket.recv_from(&mut buf) {
            let mut flows = flows.lock().expect("proxy must not panic");
            if drop_requested.swap(false, Ordering::Relaxed) {
                for (_, dropped) in flows.values() {
                    dropped.store(true, Ordering::Relaxed);
                }
            }
            let (upstream, dropped) = flows
                .entry(client)
                .or_insert_with(|| start_flow(&socket, client, server));
            if !dropped.load(Ordering::Relaxed) {
                upstream.send(&buf[..len]).expect("server must be bound");
            }
        }
    });
    UdpProxy {
        address,
        drop_flows,
    }
}

/// Opens a socket for a client's datagrams to the server, and returns the server's
/// datagrams to the client.
fn start_flow(
    listener: &UdpSocket,
    client: SocketAddr,
    server: SocketAddr,
) -> (UdpSocket, Arc<AtomicBool>) {
    let upstream = UdpSocket::bind("127.0.0.1:0").expect("socket must bind");
    upstream
        .connect(server)
        .expect("server must have an address");
    let (replies, listener) = (
        upstream.try_clone().expect("socket must be cloned"),
        listener.try_clone().expect("socket must be cloned"),
    );
    let dropped = Arc::new(AtomicBool::new(false));
    let replies_dropped = dropped.clone();
    thread::spawn(move || {
        let mut buf = vec![0; DATAGRAM_MAX_BYTES];
        while let Ok(len) = replies.recv(&mut buf) {
            if !replies_dropped.load(Ordering::Relaxed) {
                // Fails if the test has ended and the client's socket is closed.
                let _ = listener.send_to(&buf[..len], client);
            }
        }
    });
    (upstream, dropped)
}

fn offer(incarnation: u64) -> Offer {
    Offer {
        incarnation,
        id: CALL_ID,
        service: "seats".into(),
        route: "assign".into(),
        depth: 0,
        organisation: "org".into(),
        rank: 0,
        remaining: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        sheddable: true,
        when_slow: WhenSlow::Start,
        at_most_once: true,
        fingerprint: 4,
        issued_by_sender: true,
        target_notice: None,
    }
}

fn request() -> Request {
    Request {
        head: RequestHead {
            method: "POST".into(),
            host: None,
            path: "/assign".into(),
            headers: Vec::new(),
        },
        body: Bytes::from_static(b"press"),
    }
}

fn reply_with_answer(text: &'static str) -> GateReply {
    GateReply {
        reply: Reply::Answer,
        load: Hint::default(),
        target_notice: None,
        answer: Some(Answer {
            head: ResponseHead {
                status: 200,
                headers: Vec::new(),
            },
            body: Bytes::from_static(text.as_bytes()),
        }),
    }
}

fn peer_at(address: SocketAddr) -> Peer {
    Peer {
        host: "gate".into(),
        address,
    }
}

fn generate_keys(count: usize) -> Vec<Keys> {
    keys::generate(count).expect("keys must be generated")
}

#[test]
fn a_call_and_its_answer_arrive_unchanged() {
    let keys = generate_keys(2);
    let (gate, entry) = (start(&keys[0], SERVER_INCARNATION), start(&keys[1], 8));
    let to = peer_at(gate.address);
    let offer_command = || Command::Offer(to.clone(), offer(SERVER_INCARNATION), request());
    let Event::OfferReceived(received_offer, received_request, reply_tx) =
        deliver(&entry, &gate, offer_command)
    else {
        panic!("offer must arrive");
    };
    assert_eq!(
        (received_offer, received_request),
        (offer(SERVER_INCARNATION), request())
    );
    reply_tx
        .send(reply_with_answer("seat 12"))
        .expect("stream must be open");
    let Event::ReplyReceived(_, CALL_ID, reply) = entry.next_event() else {
        panic!("reply must arrive");
    };
    assert_eq!(reply, reply_with_answer("seat 12"));
}

/// Guards against calls that hang because a device between the hosts drops the datagrams
/// of an open connection: the loss is reported, and a query gets through.
#[test]
fn a_silent_connection_is_detected_and_replaced() {
    let keys = generate_keys(2);
    let (gate, entry) = (start(&keys[0], SERVER_INCARNATION), start(&keys[1], 8));
    let proxy = start_proxy(gate.address);
    let to = peer_at(proxy.address);
    let offer_command = || Command::Offer(to.clone(), offer(SERVER_INCARNATION), request());
    let Event::OfferReceived(_, _, _reply_tx) = deliver(&entry, &gate, offer_command) else {
        panic!("offer must arrive");
    };
    proxy.drop_flows.store(true, Ordering::Relaxed);
    let lost = entry.next_event();
    assert!(
        matches!(lost, Event::ConnectionLost(_, CALL_ID, Sent::Maybe)),
        "{lost:?}"
    );

    let query = Query {
        incarnation: SERVER_INCARNATION,
        id: CALL_ID,
        fingerprint: 4,
    };
    let query_command = || Command::Query(to.clone(), query);
    let Event::QueryReceived(received_query, reply_tx) = deliver(&entry, &gate, query_command)
    else {
        panic!("query must arrive over a new connection");
    };
    assert_eq!(received_query, query);
    reply_tx
        .send(reply_with_answer("seat 12"))
        .expect("stream must be open");
    let Event::ReplyReceived(_, CALL_ID, reply) = entry.next_event() else {
        panic!("reply must arrive");
    };
    assert_eq!(reply, reply_with_answer("seat 12"));
}

#[test]
fn an_offer_for_another_incarnation_is_not_sent() {
    let keys = generate_keys(2);
    let (gate, entry) = (start(&keys[0], SERVER_INCARNATION), start(&keys[1], 8));
    entry.send(Command::Offer(peer_at(gate.address), offer(6), request()));
    let lost = entry.next_event();
    assert!(
        matches!(lost, Event::ConnectionLost(_, CALL_ID, Sent::Nothing)),
        "{lost:?}"
    );
    assert!(gate.events.try_recv().is_err(), "nothing must arrive");
}

#[test]
fn daemons_of_different_authorities_exchange_nothing() {
    let trusted_keys = generate_keys(1);
    let untrusted_keys = generate_keys(1);
    let gate = start(&trusted_keys[0], SERVER_INCARNATION);
    let untrusted = start(&untrusted_keys[0], 8);
    for (from, to) in [(&untrusted, &gate), (&gate, &untrusted)] {
        let incarnation = if to.address == gate.address {
            SERVER_INCARNATION
        } else {
            8
        };
        from.send(Command::Offer(
            peer_at(to.address),
            offer(incarnation),
            request(),
        ));
        let lost = from.next_event();
        assert!(matches!(lost, Event::ConnectionLost(..)), "{lost:?}");
        assert!(to.events.try_recv().is_err(), "nothing must arrive");
    }
}

#[test]
fn an_unreachable_daemon_is_reported_as_nothing_sent() {
    let keys = generate_keys(1);
    let entry = start(&keys[0], 8);
    let unanswered_socket = UdpSocket::bind("127.0.0.1:0").expect("socket must bind");
    let address = unanswered_socket
        .local_addr()
        .expect("socket must have an address");
    entry.send(Command::Offer(peer_at(address), offer(6), request()));
    let lost = entry.next_event();
    assert!(
        matches!(lost, Event::ConnectionLost(_, CALL_ID, Sent::Nothing)),
        "{lost:?}"
    );
}

fn ask() -> Ask {
    Ask {
        id: 5,
        organisation: "org".into(),
        needed: 1,
        wanted: 2,
        returned: vec![Returned { stamp: 3, count: 1 }],
    }
}

/// Guards against requests for tokens or replies that arrive changed or not at all.
#[test]
fn a_request_for_tokens_and_its_grant_arrive_unchanged() {
    let keys = generate_keys(2);
    let (holder, entry) = (start(&keys[0], SERVER_INCARNATION), start(&keys[1], 8));
    entry.send(Command::Ask(peer_at(holder.address), "entry".into(), ask()));
    let Event::AskReceived(from, received) = holder.next_event() else {
        panic!("request must arrive");
    };
    assert_eq!((from.as_str(), received), ("entry", ask()));
    let grant = Grant {
        id: 5,
        organisation: "org".into(),
        granted: 2,
        stamp: 9,
        next_in: Duration::from_millis(200),
        is_holder: true,
    };
    let to = peer_at(entry.address);
    holder.send(Command::Grant(to, "holder".into(), grant.clone()));
    let Event::GrantReceived(from, received) = entry.next_event() else {
        panic!("grant must arrive");
    };
    assert_eq!((from.as_str(), received), ("holder", grant));
}

/// Guards against calls that wait for a holder that cannot be reached.
#[test]
fn a_request_for_tokens_that_is_not_delivered_is_reported() {
    let keys = generate_keys(1);
    let entry = start(&keys[0], 8);
    // Nothing answers on this socket.
    let silent = UdpSocket::bind("127.0.0.1:0").expect("socket must bind");
    let address = silent.local_addr().expect("socket must have an address");
    entry.send(Command::Ask(peer_at(address), "entry".into(), ask()));
    let Event::AskFailed(host, organisation, id) = entry.next_event() else {
        panic!("failure must be reported");
    };
    assert_eq!(
        (host.as_str(), organisation.as_str(), id),
        ("gate", "org", 5)
    );
}
