//! Memory that is held for callers who do not go on.

use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use pollenrouter_caller::message::Event;
use pollenrouter_caller::pipeline;
use pollenrouter_core::memory::{Class, SLOW_BYTES_PER_S};
use pollenrouter_core::table;
use pollenrouter_http::memory::{Memory, Share};
use rustix::net::{self, sockopt};

use crate::support::{self, Listener, answer};

const BUDGET_BYTES: u64 = 64 << 10;
const LARGE_BYTES: usize = 16 << 10;
const READ: &str = "GET /read HTTP/1.1\r\nhost: x\r\npollenrouter-deadline-ms: 60000\r\n\r\n";
/// Time after which memory is held without a bound: that in which callers have to take responses,
/// docs/CALLERS.md.
const HELD_MAX: Duration = Duration::from_secs(30);
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

fn start(memory: &Memory) -> Listener {
    let limits = table::CallerLimits::default();
    support::start_limited(limits, Some, memory.clone())
}

fn wait_until(timeout: Duration, reached: impl Fn() -> bool) -> bool {
    let end = Instant::now() + timeout;
    while !reached() {
        if Instant::now() >= end {
            return false;
        }
        thread::sleep(CHECK_INTERVAL / 10);
    }
    true
}

/// Takes all of a class, and one byte over it, so that no other share may exceed it.
fn fill(memory: &Memory, class: Class, bytes: u64) -> Share {
    let mut share = memory.share(class);
    assert!(share.try_grow(bytes));
    assert!(share.try_grow(bytes + 1));
    share
}

/// A request of `len` bytes without a body.
fn padded(len: usize) -> String {
    let head = "GET /read HTTP/1.1\r\nhost: x\r\npollenrouter-deadline-ms: 60000\r\nx: ";
    let end = "\r\n\r\n";
    format!("{head}{}{end}", "x".repeat(len - head.len() - end.len()))
}

/// Guards against responses that a caller does not take, and that are copied out of the budget.
#[test]
fn short_responses_that_nobody_takes_are_counted() {
    const BODY_BYTES: usize = 16 << 10;
    // More than the systems' buffers and what a connection may hold.
    const REQUESTS: usize = 256;

    let memory = Memory::new(4 << 20);
    let listener = start(&memory);
    // Serves, and has bounded the buffers of the connections to come.
    assert!(listener.is_quiet());
    let mut caller = listener.connect();
    caller.send(&READ.repeat(REQUESTS));
    let mut sent = 0;
    while let Ok(Event::Call(call)) = listener.events.recv_timeout(Duration::from_secs(2)) {
        let mut share = memory.share(Class::Answer);
        assert!(share.try_grow(BODY_BYTES as u64));
        answer(*call, share.hold(vec![b'x'; BODY_BYTES]));
        sent += BODY_BYTES;
    }
    // No further request begins while responses hold as much.
    assert!(sent < REQUESTS * BODY_BYTES);
    let counted = memory.report().used[1];
    let held = pipeline::HELD_MAX_BYTES;
    assert!(
        counted >= held as u64 / 2,
        "{counted} bytes are counted, {held} are held"
    );
}

/// Guards against a connection that no longer waits for memory and keeps its place before all bodies
/// that wait, so that none of them is read.
#[test]
fn a_connection_that_no_longer_waits_does_not_block_bodies() {
    let memory = Memory::new(BUDGET_BYTES);
    let listener = start(&memory);
    // Serves, and has bounded the buffers of the connections to come.
    assert!(listener.is_quiet());
    let mut caller = listener.connect();
    caller.send(&READ.repeat(pipeline::AT_WORK_MAX));
    let mut calls: Vec<_> = (0..pipeline::AT_WORK_MAX)
        .map(|_| listener.call())
        .collect();
    // What is read ahead has a share of 8 KiB, and needs twice as much for the rest.
    caller.send(&padded(2500));
    assert!(wait_until(HELD_MAX, || memory.report().used[0] > 0));
    let filler = fill(&memory, Class::Request, BUDGET_BYTES / 2 - (8 << 10));
    caller.send(&padded(2400));
    caller.send(&padded(2100));
    assert!(wait_until(HELD_MAX, || memory.report().waiting[0] == 1));
    // The first of them begins, and the others fit into what the connection has.
    answer(*calls.remove(0), "done");
    assert_eq!(caller.response().status, 200);
    calls.push(listener.call());
    drop(filler);

    let mut other = listener.connect();
    let head = format!(
        "POST /write/large HTTP/1.1\r\nhost: x\r\ncontent-length: {LARGE_BYTES}\r\n\
         pollenrouter-deadline-ms: 60000\r\n\r\n"
    );
    other.send(&head);
    other.send(&"x".repeat(LARGE_BYTES));
    // Else the listener refuses the request itself.
    if let Ok(Event::Call(call)) = listener.events.recv_timeout(HELD_MAX) {
        answer(*call, "done");
    }
    assert_eq!(other.response().status, 200, "{memory:?}");
}

/// Guards against responses that wait for one before them, and hold memory for which others wait,
/// for as long as the deadline that their caller has chosen.
#[test]
fn responses_behind_one_that_does_not_come_give_way() {
    let memory = Memory::new(BUDGET_BYTES);
    let listener = start(&memory);
    // Serves, and has bounded the buffers of the connections to come.
    assert!(listener.is_quiet());
    let mut caller = listener.connect();
    caller.send(&READ.repeat(2));
    let (_first, second) = (listener.call(), listener.call());
    let share = fill(&memory, Class::Answer, BUDGET_BYTES);
    let body_bytes = usize::try_from(BUDGET_BYTES).expect("budget must fit") + 1;
    answer(*second, share.hold(vec![b'x'; body_bytes]));

    let end = Instant::now() + HELD_MAX;
    let mut waiting = memory.share(Class::Answer);
    while !waiting.try_grow(64 << 10) {
        assert!(Instant::now() < end, "{memory:?}");
        thread::sleep(CHECK_INTERVAL);
    }
}

/// A connection whose system takes few bytes on its own, as that of a caller behind a slow link.
fn connect_with_small_buffer(address: SocketAddr) -> TcpStream {
    let socket = net::socket(net::AddressFamily::INET, net::SocketType::STREAM, None);
    let socket = socket.expect("socket must open");
    sockopt::set_socket_recv_buffer_size(&socket, 4 << 10).expect("option must be set");
    net::connect(&socket, &address).expect("listener must accept");
    TcpStream::from(socket)
}

/// Guards against callers that take responses at twice the speed at which they have to, and are
/// closed as slow because their own systems buffer little.
#[test]
fn a_caller_at_an_ordinary_speed_with_a_small_buffer_is_not_closed() {
    use std::io::Write;
    const BODY_BYTES: usize = 2 << 20;
    const LASTS: Duration = Duration::from_secs(16);

    let memory = Memory::new(BODY_BYTES as u64);
    let listener = start(&memory);
    // Serves, and has bounded the buffers of the connections to come.
    assert!(listener.is_quiet());
    let mut caller = connect_with_small_buffer(listener.address);
    caller
        .set_read_timeout(Some(HELD_MAX))
        .expect("timeout must be valid");
    caller
        .write_all(READ.as_bytes())
        .expect("listener must take the request");
    let call = listener.call();
    let share = fill(&memory, Class::Answer, BODY_BYTES as u64);
    answer(*call, share.hold(vec![b'x'; BODY_BYTES + 1]));
    let mut waiting = memory.share(Class::Answer);

    let rate = 2 * usize::try_from(SLOW_BYTES_PER_S).expect("rate must fit");
    let mut buf = vec![0; rate / 10];
    let start = Instant::now();
    let mut taken = 0;
    while start.elapsed() < LASTS {
        assert!(
            !waiting.try_grow(1),
            "closed after {taken} bytes and {:?}: {memory:?}",
            start.elapsed()
        );
        let read = caller.read_exact(&mut buf);
        taken += buf.len();
        assert!(
            read.is_ok(),
            "{read:?} after {taken} bytes and {:?}",
            start.elapsed()
        );
        thread::sleep(CHECK_INTERVAL);
    }
}
