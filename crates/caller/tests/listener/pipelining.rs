//! Callers that send further requests before the first is answered.

use std::thread;
use std::time::Duration;

use pollenrouter_caller::message::Event;
use pollenrouter_caller::pipeline;

use crate::support::{self, answer};

const READ: &str = "GET /read HTTP/1.1\r\nhost: x\r\n\r\n";
const WRITE: &str = "POST /write HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\nseat";

#[test]
fn requests_run_together_and_responses_keep_the_order() {
    let listener = support::start();
    let mut caller = listener.connect();
    caller.send(&READ.repeat(3));
    let calls: Vec<_> = (0..3).map(|_| listener.call()).collect();
    for (index, call) in calls.into_iter().enumerate().rev() {
        answer(*call, index.to_string());
    }
    for index in 0..3 {
        assert_eq!(caller.response().text(), index.to_string());
    }
}

#[test]
fn a_bounded_number_of_requests_runs_together() {
    let listener = support::start();
    let mut caller = listener.connect();
    let total = 3 * pipeline::AT_WORK_MAX;
    caller.send(&READ.repeat(total));
    let mut calls: Vec<_> = (0..pipeline::AT_WORK_MAX)
        .map(|_| listener.call())
        .collect();
    for index in 0..total {
        assert!(listener.is_quiet(), "request {index}");
        answer(*calls.remove(0), index.to_string());
        assert_eq!(caller.response().text(), index.to_string());
        if index + pipeline::AT_WORK_MAX < total {
            calls.push(listener.call());
        }
    }
}

/// Responses that their caller does not read hold no more than the bound and what was at work.
#[test]
fn a_caller_that_does_not_read_begins_no_further_requests() {
    const BODY_BYTES: usize = 4 << 20;
    let listener = support::start();
    let mut caller = listener.connect();
    caller.send(&READ.repeat(pipeline::AT_WORK_MAX + 1));
    let calls: Vec<_> = (0..pipeline::AT_WORK_MAX)
        .map(|_| listener.call())
        .collect();
    for call in calls {
        answer(*call, vec![b'x'; BODY_BYTES]);
    }
    assert!(listener.is_quiet());
    for _ in 0..pipeline::AT_WORK_MAX {
        assert_eq!(caller.response().body.len(), BODY_BYTES);
    }
    answer(*listener.call(), "last");
    assert_eq!(caller.response().text(), "last");
}

#[test]
fn a_request_that_may_not_repeat_runs_alone() {
    const HELD: Duration = Duration::from_millis(50);
    let listener = support::start();
    let mut caller = listener.connect();
    caller.send(&format!("{READ}{READ}{WRITE}{READ}"));
    let (first, second) = (listener.call(), listener.call());
    assert!(listener.is_quiet());
    thread::sleep(HELD);
    answer(*first, "first");
    assert!(listener.is_quiet());
    answer(*second, "second");
    let write = listener.call();
    assert_eq!(&*write.body, b"seat");
    // Its deadline counts from its arrival.
    assert!(write.waited >= HELD, "{:?}", write.waited);
    assert!(listener.is_quiet());
    answer(*write, "written");
    let last = listener.call();
    assert!(last.waited >= HELD, "{:?}", last.waited);
    answer(*last, "last");
    for expected in ["first", "second", "written", "last"] {
        assert_eq!(caller.response().text(), expected);
    }
}

#[test]
fn a_request_whose_deadline_passes_while_it_waits_does_not_run() {
    let listener = support::start();
    let mut caller = listener.connect();
    caller.send(READ);
    let first = listener.call();
    caller.send(
        "POST /write HTTP/1.1\r\nhost: x\r\npollenrouter-deadline-ms: 1\r\ncontent-length: 0\r\n\r\n",
    );
    assert!(listener.is_quiet());
    answer(*first, "first");
    assert_eq!(caller.response().text(), "first");
    let refused = caller.response();
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(refused.text().contains("not-run"), "{refused:?}");
    assert!(listener.is_quiet());
}

struct LeavingCase {
    name: &'static str,
    behind: String,
}

/// A caller that leaves is noticed whatever it has sent behind the request at work.
#[test]
fn a_caller_that_leaves_is_noticed() {
    let cases = [
        LeavingCase {
            name: "nothing",
            behind: String::new(),
        },
        LeavingCase {
            name: "a part of a head",
            behind: "GET /read HT".to_owned(),
        },
        LeavingCase {
            name: "a part of a body",
            behind: WRITE[..WRITE.len() - 1].to_owned(),
        },
        LeavingCase {
            name: "a request that waits",
            behind: WRITE.to_owned(),
        },
        LeavingCase {
            name: "requests behind one that waits",
            behind: format!("{WRITE}{READ}{READ}"),
        },
        LeavingCase {
            name: "more than is read ahead",
            behind: format!(
                "{WRITE}{}",
                READ.repeat(2 * pipeline::READ_AHEAD_MAX_BYTES / READ.len())
            ),
        },
    ];
    for case in cases {
        for closes_both in [true, false] {
            let listener = support::start();
            let mut caller = listener.connect();
            caller.send(READ);
            let call = listener.call();
            caller.send_what_fits(case.behind.as_bytes());
            if closes_both {
                drop(caller);
            } else {
                caller.close_sending_half();
            }
            let event = listener.event();
            let is_noticed = matches!(event, Event::Disconnected(token) if token == call.token);
            assert!(is_noticed, "{}, {closes_both}: {event:?}", case.name);
            assert!(listener.is_quiet(), "{}, {closes_both}", case.name);
        }
    }
}
