//! Responses that arrive slowly, or not to their end.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::sync::mpsc::{self, Receiver};
use std::thread;
use std::time::{Duration, Instant};

use pollenrouter_core::version;
use pollenrouter_platform::client::{Client, PlatformError};
use pollenrouter_platform::listing::Listing;
use rstest::rstest;

/// What a transfer gets of a link of 10 Mbit/s that other traffic uses half of.
const PIECE_BYTES: usize = 6_250;
const PIECE_INTERVAL: Duration = Duration::from_millis(10);
/// 4,200 routes are three quarters of a megabyte.
const TABLE_BYTES: usize = 750_000;
/// Time for the head of a response that needs no wait, and longest pause in a body.
const SILENCE: Duration = Duration::from_millis(750);
/// Time for the largest body, 4 MiB, at `PIECE_BYTES` per `PIECE_INTERVAL`.
const LARGEST_BODY: Duration = Duration::from_millis(6_711);
/// What a loaded machine may add.
const SLACK: Duration = Duration::from_millis(300);

/// Starts a platform that answers each request with `response`, sent in pieces; after
/// `sent_bytes` of the response it sends nothing more, keeps the connection open, and tells when it
/// sent the last byte.
fn platform(
    response: Vec<u8>,
    piece_bytes: usize,
    piece_interval: Duration,
    sent_bytes: usize,
) -> (Client, Receiver<Instant>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("socket must bind");
    let address = listener.local_addr().expect("socket must have an address");
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        let mut silent = Vec::new();
        loop {
            let (mut stream, _) = listener.accept().expect("client must connect");
            let mut reader = BufReader::new(stream.try_clone().expect("socket must be cloned"));
            let mut line = String::new();
            while reader.read_line(&mut line).is_ok() && !line.trim().is_empty() {
                line.clear();
            }
            let sent = &response[..sent_bytes.min(response.len())];
            let mut sent_at = Instant::now();
            for piece in sent.chunks(piece_bytes) {
                // The client may have given up.
                if stream.write_all(piece).is_err() {
                    break;
                }
                sent_at = Instant::now();
                thread::sleep(piece_interval);
            }
            silent.push(stream);
            // The test may not need it.
            let _ = tx.send(sent_at);
        }
    });
    (Client::new(&format!("http://{address}")), rx)
}

/// The response to a watch that brings a large table, and the length of its head.
fn large_change() -> (Vec<u8>, usize) {
    let table = "x".repeat(TABLE_BYTES);
    let body = format!(
        r#"{{"revision":2,"objects":[{{"key":"tables/main","version":2,"value":"{table}"}}]}}"#
    );
    let len = body.len();
    let head = format!(
        "HTTP/1.1 200 OK\r\nplatform-era: 0\r\nconnection: close\r\ncontent-length: {len}\r\n\r\n"
    );
    ([head.as_bytes(), body.as_bytes()].concat(), head.len())
}

fn resume(client: &Client) -> Result<Listing, PlatformError> {
    client.resume("", version::in_era(0, 1))
}

/// Guards against a watcher that never gets a large table after one failed request: each of its
/// further requests is broken off before the table has arrived.
#[test]
fn a_watcher_that_resumes_reads_a_large_table_over_a_slow_link() {
    let (response, _) = large_change();
    let (client, _sent_at) = platform(response, PIECE_BYTES, PIECE_INTERVAL, usize::MAX);
    let read: Vec<String> = (0..3)
        .map(|_| match resume(&client) {
            Ok(changes) => format!("{} objects", changes.objects.len()),
            Err(err) => err.to_string(),
        })
        .collect();
    assert_eq!(read, ["1 objects"; 3]);
}

enum Limit {
    /// This long after it began the request.
    SinceRequest(Duration),
    /// This long after the last byte was sent.
    SinceLastByte(Duration),
}

/// A response that does not arrive to its end.
struct Stalled {
    /// Bytes sent at a time.
    piece_bytes: usize,
    piece_interval: Duration,
    /// Bytes of the head that are sent; `None` for all.
    head_bytes: Option<usize>,
    /// Bytes of the body that are sent.
    body_bytes: usize,
    /// When the client must have given up.
    limit: Limit,
}

/// Guards against a watcher that waits on a silent connection, or on a response without end, in
/// place of a new request.
#[rstest]
#[case::nothing(Stalled {
    piece_bytes: PIECE_BYTES,
    piece_interval: Duration::ZERO,
    head_bytes: Some(0),
    body_bytes: 0,
    limit: Limit::SinceRequest(SILENCE),
})]
#[case::a_head_in_small_pieces(Stalled {
    piece_bytes: 1,
    piece_interval: Duration::from_millis(100),
    head_bytes: None,
    body_bytes: 0,
    limit: Limit::SinceRequest(SILENCE),
})]
#[case::a_head_alone(Stalled {
    piece_bytes: PIECE_BYTES,
    piece_interval: Duration::ZERO,
    head_bytes: None,
    body_bytes: 0,
    limit: Limit::SinceLastByte(SILENCE),
})]
#[case::half_a_body(Stalled {
    piece_bytes: TABLE_BYTES / 8,
    piece_interval: Duration::from_millis(150),
    head_bytes: None,
    body_bytes: TABLE_BYTES / 2,
    limit: Limit::SinceLastByte(SILENCE),
})]
#[case::a_body_in_small_pieces(Stalled {
    // The head takes 0.5 s, which must not come on top.
    piece_bytes: 15,
    piece_interval: Duration::from_millis(100),
    head_bytes: None,
    body_bytes: TABLE_BYTES,
    limit: Limit::SinceRequest(SILENCE.saturating_add(LARGEST_BODY)),
})]
fn a_watcher_gives_up_a_response_that_stalls(#[case] stalled: Stalled) {
    let (response, head_len) = large_change();
    let sent_bytes = stalled.head_bytes.unwrap_or(head_len + stalled.body_bytes);
    let (client, sent_at) = platform(
        response,
        stalled.piece_bytes,
        stalled.piece_interval,
        sent_bytes,
    );
    let started_at = Instant::now();
    let result = resume(&client);
    let gave_up_at = Instant::now();
    let is_unavailable = matches!(result, Err(PlatformError::Unavailable(_)));
    assert!(is_unavailable, "{result:?}");
    let (since, limit) = match stalled.limit {
        Limit::SinceRequest(limit) => (started_at, limit),
        Limit::SinceLastByte(limit) => {
            let sent_at = sent_at.recv().expect("platform must have answered");
            (sent_at, limit)
        }
    };
    let took = gave_up_at.duration_since(since);
    assert!(took <= limit + SLACK, "{took:?}");
}
