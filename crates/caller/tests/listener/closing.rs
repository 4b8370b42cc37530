//! Connections that close: after bad requests, at a planned stop, when idle.

use std::time::Duration;

use pollenrouter_core::table;

use crate::support::{self, answer};

const READ: &str = "GET /read HTTP/1.1\r\nhost: x\r\n\r\n";

struct Case {
    name: &'static str,
    request: &'static str,
    status: u16,
    expected_text: &'static str,
}

const CLOSING: [Case; 8] = [
    Case {
        name: "a body over the limit",
        request: "POST /write HTTP/1.1\r\nhost: x\r\ncontent-length: 2000\r\n\r\n",
        status: 413,
        expected_text: "body is over the limit of 1024 bytes",
    },
    Case {
        name: "a chunk over the limit",
        request: "POST /write HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n401\r\n",
        status: 413,
        expected_text: "body is over the limit of 1024 bytes",
    },
    Case {
        name: "a chunk size beyond all numbers",
        request: "POST /write HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n\
            ffffffffffffffffffff\r\n",
        status: 400,
        expected_text: "the size of a chunk is invalid",
    },
    Case {
        name: "a chunk without its line break",
        request: "POST /write HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n\
            1\r\nabc",
        status: 400,
        expected_text: "a chunk does not end with a line break",
    },
    Case {
        name: "a malformed head",
        request: "GET /read HTTP/1.1\r\nho st: x\r\n\r\n",
        status: 400,
        expected_text: "the head is not HTTP/1.1",
    },
    Case {
        name: "two lengths",
        request: "POST /write HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\n",
        status: 400,
        expected_text: "the content length is invalid",
    },
    Case {
        name: "an unknown transfer encoding",
        request: "POST /write HTTP/1.1\r\nhost: x\r\ntransfer-encoding: gzip, chunked\r\n\r\n",
        status: 400,
        expected_text: "the transfer encoding is not supported",
    },
    Case {
        name: "a body for no route",
        request: "POST /nowhere HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nabcde",
        status: 404,
        expected_text: "no route for this host",
    },
];

/// The requests before a bad one are answered first, and nothing behind it runs.
#[test]
fn a_bad_request_in_the_middle_closes_after_its_response() {
    for case in &CLOSING {
        let listener = support::start();
        let mut caller = listener.connect();
        caller.send(&format!("{READ}{READ}{}{READ}", case.request));
        let (first, second) = (listener.call(), listener.call());
        assert!(listener.is_quiet(), "{}", case.name);
        answer(*second, "second");
        answer(*first, "first");
        assert_eq!(caller.response().text(), "first", "{}", case.name);
        assert_eq!(caller.response().text(), "second", "{}", case.name);
        let response = caller.response();
        assert_eq!(response.status, case.status, "{}", case.name);
        assert!(response.closes, "{}", case.name);
        let text = response.text();
        assert!(text.contains(case.expected_text), "{}: {text}", case.name);
        assert!(text.contains("not-run"), "{}: {text}", case.name);
        assert!(caller.is_closed(), "{}", case.name);
        assert!(listener.is_quiet(), "{}", case.name);
    }
}

#[test]
fn a_head_over_the_limit_is_rejected_before_it_ends() {
    let listener = support::start();
    let mut caller = listener.connect();
    // The listener may close before it has taken all bytes.
    let _ = caller.try_send(&format!(
        "GET /read HTTP/1.1\r\nx: {}",
        "y".repeat(17 << 10)
    ));
    let response = caller.response();
    assert_eq!(response.status, 431);
    assert!(response.closes);
}

#[test]
fn too_many_headers_are_rejected() {
    let listener = support::start();
    let mut caller = listener.connect();
    let headers = "x: y\r\n".repeat(65);
    caller.send(&format!("GET /read HTTP/1.1\r\n{headers}\r\n"));
    assert_eq!(caller.response().status, 431);
}

struct LastCase {
    name: &'static str,
    request: &'static str,
}

/// Nothing behind a request that closes the connection runs, and its response is the last one.
#[test]
fn a_request_that_closes_is_the_last() {
    let cases = [
        LastCase {
            name: "connection: close",
            request: "GET /read HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
        },
        LastCase {
            name: "HTTP/1.0",
            request: "GET /read HTTP/1.0\r\nhost: x\r\n\r\n",
        },
        LastCase {
            name: "two lengths, chunked",
            request: "POST /read HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\n\
                transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        },
    ];
    for case in cases {
        let listener = support::start();
        let mut caller = listener.connect();
        caller.send(&format!("{READ}{}{READ}", case.request));
        let (first, last) = (listener.call(), listener.call());
        assert!(listener.is_quiet(), "{}", case.name);
        answer(*last, "last");
        answer(*first, "first");
        let response = caller.response();
        assert_eq!((response.text(), response.closes), ("first", false));
        let response = caller.response();
        assert_eq!((response.text(), response.closes), ("last", true));
        assert!(caller.is_closed(), "{}", case.name);
    }
}

/// A planned stop completes what was received, also a request of which only a part was.
#[test]
fn a_stop_completes_the_requests_received() {
    let (start, rest) = READ.split_at(10);
    for partial in [false, true] {
        let listener = support::start();
        let mut caller = listener.connect();
        caller.send(&format!("{READ}{READ}{}", if partial { start } else { "" }));
        let mut calls = vec![listener.call(), listener.call()];
        assert!(listener.is_quiet());
        listener.stop();
        if partial {
            caller.send(rest);
            calls.push(listener.call());
        }
        let count = calls.len();
        for call in calls {
            answer(*call, "answered");
        }
        for index in 1..=count {
            let response = caller.response();
            assert_eq!(response.text(), "answered");
            assert_eq!(response.closes, index == count, "{index} of {count}");
        }
        assert!(caller.is_closed());
    }
}

/// After a stop a request whose rest does not come is refused.
#[test]
fn a_stop_refuses_a_request_whose_rest_does_not_come() {
    let cases = [
        "GET /read HTTP/1.1\r\nho",
        "POST /write HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\na",
    ];
    for part in cases {
        let listener = support::start();
        let mut caller = listener.connect();
        caller.send(&format!("{READ}{part}"));
        let call = listener.call();
        assert!(listener.is_quiet(), "{part}");
        listener.stop();
        answer(*call, "answered");
        assert_eq!(caller.response().text(), "answered", "{part}");
        let response = caller.response();
        assert_eq!(response.status, 408, "{part}");
        assert!(response.closes, "{part}");
    }
}

fn limits(head_timeout_ms: u64, idle_timeout_ms: u64) -> table::CallerLimits {
    table::CallerLimits {
        head_timeout: Duration::from_millis(head_timeout_ms),
        idle_timeout: Duration::from_millis(idle_timeout_ms),
        ..table::CallerLimits::default()
    }
}

#[test]
fn an_idle_connection_closes_and_one_at_work_does_not() {
    let listener = support::start_with(limits(10_000, 50), Some);
    let mut idle = listener.connect();
    let mut busy = listener.connect();
    busy.send(READ);
    let call = listener.call();
    assert!(idle.is_closed());
    answer(*call, "answered");
    assert_eq!(busy.response().text(), "answered");
    assert!(busy.is_closed());
}

/// The bytes of a head do not extend its timeout.
#[test]
fn a_head_that_trickles_in_is_refused() {
    let listener = support::start_with(limits(200, 10_000), Some);
    let mut caller = listener.connect();
    caller.send("GET /read HTTP/1.1\r\n");
    // Ends when the listener has closed the connection.
    while caller.try_send("x: y\r\n").is_ok() {
        std::thread::sleep(Duration::from_millis(20));
    }
    let mut caller = listener.connect();
    caller.send(&format!("{READ}GET /re"));
    answer(*listener.call(), "answered");
    assert_eq!(caller.response().text(), "answered");
    let response = caller.response();
    assert_eq!((response.status, response.closes), (408, true));
}

#[test]
fn a_caller_that_expects_it_is_told_to_continue() {
    let listener = support::start();
    let mut caller = listener.connect();
    caller.send(&format!(
        "{READ}POST /write HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\ncontent-length: 4\r\n\r\n"
    ));
    answer(*listener.call(), "first");
    assert_eq!(caller.response().text(), "first");
    assert_eq!(caller.response().status, 100);
    caller.send("seat");
    let call = listener.call();
    assert_eq!(&*call.body, b"seat");
    answer(*call, "written");
    assert_eq!(caller.response().text(), "written");
}

#[test]
fn a_head_request_gets_no_body() {
    let listener = support::start();
    let mut caller = listener.connect();
    caller.send(&format!("HEAD /read HTTP/1.1\r\nhost: x\r\n\r\n{READ}"));
    answer(*listener.call(), "");
    answer(*listener.call(), "second");
    assert_eq!(caller.response().status, 200);
    assert_eq!(caller.response().text(), "second");
}

/// A planned stop does not wait for a caller that takes nothing of its response.
#[test]
fn a_stop_does_not_wait_for_a_caller_that_does_not_read() {
    for closes in [false, true] {
        let listener = support::start();
        let mut caller = listener.connect();
        caller.send(READ);
        // More than the system buffers.
        answer(*listener.call(), vec![b'x'; 64 << 20]);
        assert!(listener.is_quiet());
        if closes {
            caller.close_sending_half();
        }
        listener.stop();
        assert!(listener.has_ended(), "{closes}");
        drop(caller);
    }
}
