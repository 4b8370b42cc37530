//! Answers that are not read, and answers without an end.

use std::io::Write;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use pollenrouter_dev::faulty::{self, Fault};
use pollenrouter_dev::target::Control;
use rstest::rstest;

use crate::crowd;
use crate::site::{ANSWER_BYTES, HUNG_AFTER, Site, TWO_ANSWERS_MB};

/// Connections whose answers together are three times the memory of the host.
const CLIENTS: usize = 48;
/// Pipelined requests on each connection.
const PIPELINED: usize = 64;
/// Time for which the crowd reads, or waits for what a target sends.
const LASTS: Duration = Duration::from_secs(8);

/// Until the answer to a request has been made.
const SETTLES: Duration = Duration::from_secs(1);
/// Long answers that the budget holds with [`TWO_ANSWERS_MB`]: two, and the one that may exceed it.
const HELD_AT_A_TIME: usize = 3;

/// Longer than any of the tests.
const LONG_DEADLINE_MS: u32 = 60_000;
/// Ends while the crowd waits: the target is replaced, and its calls keep their slots until then.
const SHORT_DEADLINE_MS: u32 = 4000;

fn request(start: &str, answer_bytes: usize, deadline_ms: u32) -> String {
    format!(
        "{start} HTTP/1.1\r\nhost: x\r\nx-answer-bytes: {answer_bytes}\r\n\
         pollenrouter-deadline-ms: {deadline_ms}\r\ncontent-length: 0\r\n\r\n"
    )
}

/// Guards against answers that wait in memory for callers that do not take them: of the target
/// beside the daemon, and of one beside another daemon, which also keeps them for resends.
#[rstest]
#[case::not_read("GET /board/refresh", 0)]
#[case::read_slowly("GET /board/refresh", 1024)]
#[case::not_read_between_daemons("POST /assignment/assign", 0)]
#[case::read_slowly_between_daemons("POST /assignment/assign", 1024)]
fn long_answers(#[case] start: &str, #[case] rate: usize) {
    let site = Site::start();
    let request = request(start, ANSWER_BYTES, LONG_DEADLINE_MS);
    let mut crowd = crowd::send(site.public(), CLIENTS, |stream| {
        stream.write_all(request.as_bytes())
    });
    crowd::read_slowly(&mut crowd, rate, LASTS);
    site.check("long answers");
    drop(crowd);
    site.check_large("after long answers");
}

/// Guards against answers that wait for memory and keep the slots of the target meanwhile, so that
/// ordinary callers, whose answers need no memory, get none either.
#[rstest]
#[case::not_read("GET /board/refresh", 0)]
#[case::read_slowly("GET /board/refresh", 1024)]
#[case::not_read_between_daemons("POST /assignment/assign", 0)]
#[case::read_slowly_between_daemons("POST /assignment/assign", 1024)]
fn ordinary_callers_beside_long_answers(#[case] start: &str, #[case] rate: usize) {
    let site = Site::with_memory(TWO_ANSWERS_MB);
    let request = request(start, ANSWER_BYTES, LONG_DEADLINE_MS);
    let mut crowd = crowd::send(site.public(), CLIENTS, |stream| {
        stream.write_all(request.as_bytes())
    });
    crowd::read_slowly(&mut crowd, rate, LASTS);
    site.check_service("ordinary callers beside long answers", start);
    drop(crowd);
    site.check_large("after ordinary callers beside long answers");
}

/// Guards against one caller that takes its answer, after whom answers that nobody takes keep the slots of
/// the target again.
#[test]
fn ordinary_callers_beside_long_answers_of_which_one_is_taken() {
    const RATE: usize = 8 << 10;
    let site = Site::with_memory(TWO_ANSWERS_MB);
    let request = request("GET /board/refresh", ANSWER_BYTES, LONG_DEADLINE_MS);
    let mut reader = crowd::send(site.public(), 1, |stream| {
        stream.write_all(request.as_bytes())
    });
    thread::sleep(SETTLES);
    let reading = thread::spawn(move || crowd::read_slowly(&mut reader, RATE, LASTS + HUNG_AFTER));
    let crowd = crowd::send(site.public(), CLIENTS, |stream| {
        stream.write_all(request.as_bytes())
    });
    thread::sleep(LASTS);
    site.check("ordinary callers beside long answers of which one is taken");
    drop(crowd);
    reading.join().expect("reader must end");
}

/// Guards against callers that take nothing and come one after the other, so that their answers give way one
/// after the other and those that wait keep the slots of the target.
#[test]
fn ordinary_callers_beside_long_answers_that_end_in_turn() {
    let site = Site::with_memory(TWO_ANSWERS_MB);
    let request = request("GET /board/refresh", ANSWER_BYTES, LONG_DEADLINE_MS);
    let send = |clients| {
        crowd::send(site.public(), clients, |stream| {
            stream.write_all(request.as_bytes())
        })
    };
    let mut first = Vec::new();
    for _ in 0..HELD_AT_A_TIME {
        first.extend(send(1));
        thread::sleep(SETTLES);
    }
    let crowd = send(CLIENTS);
    thread::sleep(LASTS);
    site.check("ordinary callers beside long answers that end in turn");
    drop((first, crowd));
}

/// Guards against answers that pile up behind one that is not read.
#[rstest]
#[case::long(ANSWER_BYTES)]
#[case::of_64_kib(64 << 10)]
fn pipelined_requests_whose_answers_nobody_reads(#[case] answer_bytes: usize) {
    let site = Site::start();
    let request = request("GET /board/refresh", answer_bytes, LONG_DEADLINE_MS).repeat(PIPELINED);
    let crowd = crowd::send(site.public(), CLIENTS, |stream| {
        stream.write_all(request.as_bytes())
    });
    std::thread::sleep(LASTS);
    site.check("pipelined requests");
    drop(crowd);
    site.check_large("after pipelined requests");
}

/// Guards against short answers that are copied out of the budget and kept for callers that read nothing.
#[test]
fn short_answers_that_nobody_reads() {
    const CLIENTS: usize = 320;
    const DESCRIPTORS: usize = 2000;
    const ANSWER_BYTES: usize = 15 << 10;
    /// So that most find a slot and few are refused.
    const PAUSE: Duration = Duration::from_millis(50);
    let site = Site::with_limits(64, DESCRIPTORS);
    let request = request("GET /board/refresh", ANSWER_BYTES, LONG_DEADLINE_MS).repeat(PIPELINED);
    let mut crowd = Vec::new();
    for _ in 0..CLIENTS {
        crowd.extend(crowd::send(site.public(), 1, |stream| {
            stream.write_all(request.as_bytes())
        }));
        thread::sleep(PAUSE);
    }
    site.check_bounds("short answers that nobody reads");
    drop(crowd);
    site.check_large("after short answers that nobody reads");
}

/// Guards against answers of a target that are kept while they grow without an end.
#[rstest]
#[case::a_body(Fault::EndlessBody)]
#[case::tiny_chunks(Fault::EndlessTinyChunks)]
#[case::a_head(Fault::EndlessHead)]
#[case::stalled(Fault::StalledLongBody)]
#[case::garbage(Fault::EndlessGarbage)]
#[case::one_header(Fault::EndlessHeader)]
#[case::interim(Fault::EndlessInterim)]
#[case::an_extension(Fault::EndlessExtension)]
#[case::trailers(Fault::EndlessTrailers)]
#[case::behind_an_answer(Fault::EndlessSurplus)]
fn answers_without_end(#[case] fault: Fault) {
    let site = Site::start();
    let host = &site.deployment.hosts[0];
    let target = faulty::start(Arc::new(move |_, _: &str| fault)).expect("target must start");
    let silent = Control {
        daemon: Some(([127, 0, 0, 1], 1).into()),
        ..Control::default()
    };
    host.set_control(&silent).expect("target must take it");
    let announce = |address: std::net::SocketAddr| {
        let announcement = serde_json::json!({
            "service": "board", "address": address, "slots": 2 * CLIENTS, "draining": false,
            "cold_start_ms": 0,
        });
        let address = host.addresses.announcements;
        ureq::put(format!("http://{address}/.pollenrouter/target"))
            .send_json(announcement)
            .expect("announcement must be accepted");
    };
    announce(target.address);
    let request = request("GET /board/refresh", 0, SHORT_DEADLINE_MS);
    let crowd = crowd::send(site.public(), CLIENTS, |stream| {
        stream.write_all(request.as_bytes())
    });
    std::thread::sleep(LASTS);
    site.check_bounds("answers without end");
    drop(crowd);
    let resumed = Control {
        daemon: Some(host.addresses.announcements),
        ..Control::default()
    };
    host.set_control(&resumed).expect("target must take it");
    site.check("after answers without end");
}
