//! Bodies that share too little memory.

use pollenrouter_core::table;
use pollenrouter_http::memory::Memory;

use crate::support::{self, Caller, Listener, answer};

/// Too little for any of the bodies.
const BUDGET_BYTES: u64 = 8 << 10;
const BODY_BYTES: usize = 48 << 10;

fn start() -> (Listener, Memory) {
    let memory = Memory::new(BUDGET_BYTES);
    let limits = table::CallerLimits::default();
    (support::start_limited(limits, Some, memory.clone()), memory)
}

/// Sends the head of a large request and this much of its body.
fn send_part(listener: &Listener, len: usize) -> Caller {
    let mut caller = listener.connect();
    let head = format!(
        "POST /write/large HTTP/1.1\r\nhost: x\r\ncontent-length: {BODY_BYTES}\r\n\
         pollenrouter-deadline-ms: 60000\r\n\r\n"
    );
    caller.send(&head);
    caller.send(&"x".repeat(len));
    caller
}

/// Waits until what the callers have sent has taken memory, or waits for it.
fn wait_until(listener: &Listener, reached: impl Fn() -> bool) {
    while !reached() {
        assert!(listener.is_quiet());
    }
}

/// Guards against a budget that is too small for any request.
#[test]
fn one_body_has_room_however_small_the_budget() {
    let (listener, memory) = start();
    for _ in 0..2 {
        let mut caller = send_part(&listener, BODY_BYTES);
        let call = listener.call();
        assert_eq!(call.body.len(), BODY_BYTES);
        assert_eq!(memory.report().used[0], BODY_BYTES as u64);
        answer(*call, "done");
        assert_eq!(caller.response().status, 200);
    }
    // The body is dropped with its call.
    wait_until(&listener, || memory.report().used == [0, 0]);
}

/// Guards against a body that stops short and keeps others from being read, and against a refusal
/// of a request that the router has seen.
#[test]
fn a_body_that_stops_short_gives_way() {
    let (listener, memory) = start();
    let mut slow = send_part(&listener, BODY_BYTES - 1);
    wait_until(&listener, || memory.report().used[0] > BUDGET_BYTES);
    let mut waiting = send_part(&listener, BODY_BYTES);
    let refused = slow.response();
    assert_eq!(refused.status, 503);
    assert!(refused.closes);
    assert!(refused.text().contains("not-run"), "{}", refused.text());
    // The only call is that of the body that waited.
    let call = listener.call();
    assert_eq!(call.body.len(), BODY_BYTES);
    answer(*call, "done");
    assert_eq!(waiting.response().status, 200);
    assert_eq!(memory.report().refused, [1, 0]);
}

/// Guards against a newcomer that waits for ever for room that calls at work hold.
#[test]
fn the_newest_body_is_refused_when_nothing_moves() {
    let (listener, _memory) = start();
    let mut first = send_part(&listener, BODY_BYTES);
    let call = listener.call();
    let mut newest = send_part(&listener, BODY_BYTES);
    assert_eq!(newest.response().status, 503);
    assert!(listener.is_quiet());
    answer(*call, "done");
    assert_eq!(first.response().status, 200);
}
