//! Bad input is rejected with a specific error and does not affect other callers.

mod support;

use std::io::{Read, Write};
use std::net::{TcpStream, UdpSocket};
use std::path::Path;
use std::thread;
use std::time::Duration;

use pollenrouter_dev::deployment::{self, Deployment, Plan};

/// Until a daemon has read a head that has been sent.
const HEAD_READ_AFTER: Duration = Duration::from_millis(300);

struct Case {
    name: &'static str,
    request: &'static str,
    status: &'static str,
    expected_text: &'static str,
}

const WRONG_SERVICE_TICKET: &str = "POST /assignment/assign HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 0\r\n\
    pollenrouter-ticket: board.board-0.1.2.3.4\r\n\r\n";

const CASES: [Case; 10] = [
    Case {
        name: "a body over the limit",
        request: "POST /assignment/assign HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 20000\r\n\r\n",
        status: "413",
        expected_text: "body is over the limit of 16384 bytes",
    },
    Case {
        name: "a content length far beyond the limit",
        request: "POST /assignment/assign HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 99999999999\r\n\r\n",
        status: "413",
        expected_text: "body is over the limit of 16384 bytes",
    },
    Case {
        name: "a malformed chunk",
        request: "POST /assignment/assign HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
            transfer-encoding: chunked\r\n\r\nxyz\r\n",
        status: "400",
        expected_text: "body is not whole",
    },
    Case {
        name: "an incomplete head, then no more bytes",
        request: "GET /board/refresh HTTP/1.1\r\nhost:",
        status: "408",
        expected_text: "the head did not arrive in time",
    },
    Case {
        name: "an unknown service",
        request: "GET /lost-property/list HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
        status: "404",
        expected_text: "no route for this host, method and path",
    },
    Case {
        name: "an unknown route",
        request: "DELETE /board/refresh HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
        status: "404",
        expected_text: "no route for this host, method and path",
    },
    Case {
        name: "an internal route called by the public",
        request: "GET /assignment/free-seats HTTP/1.1\r\nhost: x\r\nconnection: close\r\npollenrouter-depth: 3\r\n\r\n",
        status: "403",
        expected_text: "the route is closed to the public",
    },
    Case {
        name: "a ticket of another service",
        request: WRONG_SERVICE_TICKET,
        status: "409",
        expected_text: "the ticket belongs to another service",
    },
    Case {
        name: "a malformed ticket",
        request: "POST /assignment/assign HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 0\r\n\
            pollenrouter-ticket: a.b\r\n\r\n",
        status: "400",
        expected_text: "ticket has 2 parts separated by `.` where 6 are expected",
    },
    Case {
        name: "an idempotency key",
        request: "POST /assignment/assign HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 0\r\n\
            idempotency-key: 7\r\n\r\n",
        status: "400",
        expected_text: "header `idempotency-key` is not supported",
    },
];

/// Requests with both `transfer-encoding` and `content-length`: `transfer-encoding` takes
/// precedence (RFC 9112, section 6.3), and the bytes that follow must not be read as
/// another request (request smuggling).
const CONFLICTING_LENGTHS: [&str; 2] = [
    "POST /assignment/assign HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\
        transfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /board/refresh HTTP/1.1\r\nhost: x\r\n\r\n",
    "POST /assignment/assign HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\
        content-length: 5\r\n\r\n0\r\n\r\nGET /board/refresh HTTP/1.1\r\nhost: x\r\n\r\n",
];

/// Asserts that the first request is answered and the connection is closed after it.
fn assert_one_request(deployment: &Deployment, request: &str) {
    let response = exchange(deployment, request);
    assert_eq!(response.matches("HTTP/1.1 ").count(), 1, "{response}");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

/// Allowed growth of the resident memory of the daemon, KiB.
const MEMORY_GROWTH_MAX_KIB: u64 = 16 << 10;

fn plan() -> Plan {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let mut plan = deployment::wartebank(&examples);
    plan.services.truncate(2);
    for service in &mut plan.services {
        service.domains.truncate(1);
        service.service_time_us = 0;
        service.stragglers_per_thousand = 0;
    }
    plan
}

/// Sends bytes and reads until the connection is closed.
fn exchange(deployment: &Deployment, request: &str) -> String {
    let mut stream =
        TcpStream::connect(deployment.hosts[0].addresses.public).expect("daemon must accept");
    stream
        .write_all(request.as_bytes())
        .expect("daemon must read the request");
    let mut response = String::new();
    // A daemon that closes early resets the connection after its response.
    let _ = stream.read_to_string(&mut response);
    response
}

#[test]
fn bad_input_is_rejected_without_affecting_other_callers() {
    let deployment = Deployment::start(&plan()).expect("deployment must start");
    let valid_request = "GET /board/refresh HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    assert!(exchange(&deployment, valid_request).starts_with("HTTP/1.1 200"));
    let before = support::memory_kib(&deployment, 0, "VmRSS:");

    for case in &CASES {
        let response = exchange(&deployment, case.request);
        let name = case.name;
        let status = format!("HTTP/1.1 {} ", case.status);
        assert!(response.starts_with(&status), "{name}: {response}");
        assert!(response.contains(case.expected_text), "{name}: {response}");
        assert!(
            response.contains("pollenrouter-outcome: not-run"),
            "{name}: {response}"
        );
    }

    for request in CONFLICTING_LENGTHS {
        assert_one_request(&deployment, request);
    }

    let socket = UdpSocket::bind("127.0.0.1:0").expect("socket must bind");
    for seed in 0..1000_u32 {
        let payload: Vec<u8> = (0..1200_u32)
            .map(|offset| u8::try_from(offset * seed % 251).unwrap_or(0))
            .collect();
        let daemons = deployment.hosts[0].addresses.daemons;
        socket
            .send_to(&payload, daemons)
            .expect("datagram must be sent");
    }
    assert!(exchange(&deployment, valid_request).starts_with("HTTP/1.1 200"));
    let after = support::memory_kib(&deployment, 0, "VmRSS:");
    assert!(
        after < before + MEMORY_GROWTH_MAX_KIB,
        "resident memory grew from {before} KiB to {after} KiB"
    );
}

/// Guards against 403 by a document that another one has replaced while the body arrived.
#[test]
fn a_route_that_is_opened_while_a_body_arrives_is_not_forbidden() {
    let deployment =
        Deployment::start(&support::two_service_plan(1, 0)).expect("deployment must start");
    let mut stream =
        TcpStream::connect(deployment.hosts[0].addresses.public).expect("daemon must accept");
    let head = "GET /assignment/free-seats HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
        pollenrouter-deadline-ms: 30000\r\ncontent-length: 5\r\n\r\n";
    stream
        .write_all(head.as_bytes())
        .expect("head must be sent");
    // Until the daemon has looked the route up.
    thread::sleep(HEAD_READ_AFTER);
    support::apply_edited(&deployment, "assignment", "    audience: internal\n", "");
    stream.write_all(b"press").expect("body must be sent");
    let mut response = String::new();
    stream
        .read_to_string(&mut response)
        .expect("response must arrive");
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
}
