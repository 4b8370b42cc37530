//! The transport under faults: silent connections, strangers, restarts.

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
use pollenrouter_daemon::keys::{self, Keys};
use pollenrouter_daemon::message::{Answer, Command, Event, Peer, Replied, Request};
use pollenrouter_daemon::{peer, tls};
use tokio::sync::mpsc as ring;
use tokio::{runtime, task};

const PATIENCE: Duration = Duration::from_secs(20);
const PAUSE: Duration = Duration::from_millis(5);
const DATAGRAM_MAX_BYTES: usize = 65536;
const SERVER_INCARNATION: u64 = 7;
const ID: CallId = CallId {
    entry: 1,
    seq: 2,
    nonce: 3,
};

struct Daemon {
    address: SocketAddr,
    commands: ring::Sender<Command>,
    events: Receiver<Event>,
}

fn start(keys: &Keys, incarnation: u64) -> Daemon {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("socket must bind");
    let address = socket.local_addr().expect("socket must have an address");
    let transport = tls::transport(keys).expect("keys must fit");
    let (commands, rx) = ring::channel(16);
    let (tx, events) = mpsc::channel();
    let sink: peer::Sink = Arc::new(move |event| tx.send(event).is_ok());
    thread::spawn(move || {
        let runtime = runtime::Builder::new_current_thread().enable_all().build();
        let work = peer::run(socket, incarnation, transport, rx, sink);
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

    fn event(&self) -> Event {
        self.events.recv_timeout(PATIENCE).expect("event must come")
    }
}

/// Sends a command until it arrives; a busy machine may miss the time allowed
/// for a handshake, and then nothing was sent.
fn deliver(from: &Daemon, to: &Daemon, command: impl Fn() -> Command) -> Event {
    from.send(command());
    let until = Instant::now() + PATIENCE;
    while Instant::now() < until {
        if let Ok(arrived) = to.events.recv_timeout(PAUSE) {
            return arrived;
        }
        match from.events.try_recv() {
            Ok(Event::Lost(_, _, Sent::Nothing)) => from.send(command()),
            Ok(other) => panic!("not delivered: {other:?}"),
            Err(_) => {}
        }
    }
    panic!("not delivered in time");
}

/// Passes datagrams on between clients and a server. A flow that it has lost
/// track of is swallowed for good; new flows pass.
struct Relay {
    address: SocketAddr,
    forget: Arc<AtomicBool>,
}

fn relay(server: SocketAddr) -> Relay {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("socket must bind");
    let address = socket.local_addr().expect("socket must have an address");
    let forget = Arc::new(AtomicBool::new(false));
    let forgetting = forget.clone();
    thread::spawn(move || {
        let flows: Mutex<HashMap<SocketAddr, (UdpSocket, Arc<AtomicBool>)>> = Mutex::default();
        let mut buf = vec![0; DATAGRAM_MAX_BYTES];
        while let Ok((len, client)) = socket.recv_from(&mut buf) {
            let mut flows = flows.lock().expect("relay must not panic");
            if forgetting.swap(false, Ordering::Relaxed) {
                for (_, lost) in flows.values() {
                    lost.store(true, Ordering::Relaxed);
                }
            }
            let (out, lost) = flows
                .entry(client)
                .or_insert_with(|| flow(&socket, client, server));
            if !lost.load(Ordering::Relaxed) {
                out.send(&buf[..len]).expect("server must be bound");
            }
        }
    });
    Relay { address, forget }
}

fn flow(back: &UdpSocket, client: SocketAddr, server: SocketAddr) -> (UdpSocket, Arc<AtomicBool>) {
    let out = UdpSocket::bind("127.0.0.1:0").expect("socket must bind");
    out.connect(server).expect("server must have an address");
    let (from, back) = (
        out.try_clone().expect("socket must be cloned"),
        back.try_clone().expect("socket must be cloned"),
    );
    let lost = Arc::new(AtomicBool::new(false));
    let swallowed = lost.clone();
    thread::spawn(move || {
        let mut buf = vec![0; DATAGRAM_MAX_BYTES];
        while let Ok(len) = from.recv(&mut buf) {
            if !swallowed.load(Ordering::Relaxed) {
                // The test may have ended.
                let _ = back.send_to(&buf[..len], client);
            }
        }
    });
    (out, lost)
}

fn offer(incarnation: u64) -> Offer {
    Offer {
        incarnation,
        id: ID,
        service: "seats".into(),
        route: "assign".into(),
        depth: 0,
        rank: 0,
        remaining: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        gives_way: true,
        when_slow: WhenSlow::Start,
        once: true,
        fingerprint: 4,
        vouched: true,
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

fn answered(text: &'static str) -> Replied {
    Replied {
        reply: Reply::Answer,
        hint: Hint::default(),
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

fn keys_of(count: usize) -> Vec<Keys> {
    keys::generate(count).expect("keys must be made")
}

#[test]
fn a_call_and_its_answer_cross_whole() {
    let keys = keys_of(2);
    let (gate, entry) = (start(&keys[0], SERVER_INCARNATION), start(&keys[1], 8));
    let to = peer_at(gate.address);
    let offered = || Command::Offer(to.clone(), offer(SERVER_INCARNATION), request());
    let Event::Offered(received, body, reply_to) = deliver(&entry, &gate, offered) else {
        panic!("offer must arrive");
    };
    assert_eq!((received, body), (offer(SERVER_INCARNATION), request()));
    reply_to
        .send(answered("seat 12"))
        .expect("stream must be open");
    let Event::Replied(_, ID, replied) = entry.event() else {
        panic!("reply must arrive");
    };
    assert_eq!(replied, answered("seat 12"));
}

#[test]
fn a_silent_connection_is_found_and_a_new_one_works() {
    let keys = keys_of(2);
    let (gate, entry) = (start(&keys[0], SERVER_INCARNATION), start(&keys[1], 8));
    let relay = relay(gate.address);
    let to = peer_at(relay.address);
    let offered = || Command::Offer(to.clone(), offer(SERVER_INCARNATION), request());
    let Event::Offered(_, _, _reply_to) = deliver(&entry, &gate, offered) else {
        panic!("offer must arrive");
    };
    relay.forget.store(true, Ordering::Relaxed);
    let lost = entry.event();
    assert!(matches!(lost, Event::Lost(_, ID, Sent::Maybe)), "{lost:?}");

    let query = Query {
        incarnation: SERVER_INCARNATION,
        id: ID,
        fingerprint: 4,
    };
    let asks = || Command::Query(to.clone(), query);
    let Event::Asked(asked, reply_to) = deliver(&entry, &gate, asks) else {
        panic!("query must arrive over a new connection");
    };
    assert_eq!(asked, query);
    reply_to
        .send(answered("seat 12"))
        .expect("stream must be open");
    let Event::Replied(_, ID, replied) = entry.event() else {
        panic!("reply must arrive");
    };
    assert_eq!(replied, answered("seat 12"));
}

#[test]
fn an_offer_for_another_incarnation_is_not_sent() {
    let keys = keys_of(2);
    let (gate, entry) = (start(&keys[0], SERVER_INCARNATION), start(&keys[1], 8));
    entry.send(Command::Offer(peer_at(gate.address), offer(6), request()));
    let lost = entry.event();
    assert!(
        matches!(lost, Event::Lost(_, ID, Sent::Nothing)),
        "{lost:?}"
    );
    assert!(gate.events.try_recv().is_err(), "nothing must arrive");
}

#[test]
fn a_stranger_changes_nothing_in_either_direction() {
    let own = keys_of(1);
    let strangers = keys_of(1);
    let gate = start(&own[0], SERVER_INCARNATION);
    let stranger = start(&strangers[0], 8);
    for (from, to) in [(&stranger, &gate), (&gate, &stranger)] {
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
        let lost = from.event();
        assert!(matches!(lost, Event::Lost(..)), "{lost:?}");
        assert!(to.events.try_recv().is_err(), "nothing must arrive");
    }
}

#[test]
fn a_daemon_that_is_not_there_is_found_before_anything_is_sent() {
    let keys = keys_of(1);
    let entry = start(&keys[0], 8);
    let nobody = UdpSocket::bind("127.0.0.1:0").expect("socket must bind");
    let address = nobody.local_addr().expect("socket must have an address");
    entry.send(Command::Offer(peer_at(address), offer(6), request()));
    let lost = entry.event();
    assert!(
        matches!(lost, Event::Lost(_, ID, Sent::Nothing)),
        "{lost:?}"
    );
}
