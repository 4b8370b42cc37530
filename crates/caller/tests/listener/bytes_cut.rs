//! Requests whose bytes arrive cut and joined at every place.

use bytes::Bytes;
use pollenrouter_caller::buffer::ReadBuffer;
use pollenrouter_caller::decoder::Decoder;
use pollenrouter_caller::head;
use pollenrouter_caller::message::Event;
use pollenrouter_core::table;
use proptest::collection::vec;
use proptest::prelude::{any, proptest};
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use tokio::time::Instant;

use pollenrouter_http::memory::Memory;

use crate::support;

const REQUESTS: &str = "GET /read/1 HTTP/1.1\r\nhost: x\r\n\r\n\
    POST /write/2 HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nGET / HTTP\
    POST /write/3 HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n\
    3\r\nabc\r\nA;note\r\n0123456789\r\n0\r\ntrailer: 1\r\n\r\n\
    \r\nGET /read/4 HTTP/1.1\r\nhost: x\r\n\r\n";
const EXPECTED: [&str; 4] = [
    "/read/1 ",
    "/write/2 GET / HTTP",
    "/write/3 abc0123456789",
    "/read/4 ",
];

/// Answers a call with its path and body.
fn echo(event: Event) -> Option<Event> {
    if let Event::Call(call) = event {
        let text = [call.head.path.as_bytes(), b" ", &call.body].concat();
        support::answer(*call, text);
    }
    None
}

#[test]
fn a_row_of_requests_may_be_cut_anywhere() {
    let listener = support::start_with(table::CallerLimits::default(), echo);
    for cut in 0..=REQUESTS.len() {
        let (start, rest) = REQUESTS.split_at(cut);
        let mut caller = listener.connect();
        caller.send(start);
        if cut % 2 == 0 {
            // Makes it likely that the parts are read separately.
            std::thread::yield_now();
        }
        caller.send(rest);
        for expected in EXPECTED {
            assert_eq!(caller.response().text(), expected, "cut at {cut}");
        }
    }
}

/// Parses all requests of a row that arrives in parts.
fn parse_parts(parts: &[&[u8]]) -> Vec<(String, Bytes)> {
    let mut buf = ReadBuffer::default();
    let mut requests = Vec::new();
    let mut reading: Option<(String, Decoder)> = None;
    for part in parts {
        buf.space(part.len()).extend_from_slice(part);
        buf.record_read(part.len(), Instant::now());
        loop {
            if let Some((path, decoder)) = &mut reading {
                let body = decoder.decode(&mut buf).expect("body must be valid");
                let Some(body) = body else { break };
                requests.push((path.clone(), body));
                reading = None;
            }
            let parsed = head::parse(buf.bytes()).expect("head must be valid");
            let Some((head, len)) = parsed else { break };
            assert!(buf.arrival(len - 1).is_some());
            buf.consume(len);
            let decoder = Decoder::new(head.framing, support::BODY_MAX_BYTES, Memory::unlimited());
            let decoder = decoder.expect("length must be within the limit");
            reading = Some((head.parts.uri.path().to_owned(), decoder));
        }
    }
    assert!(buf.is_empty() && buf.first_arrival().is_none());
    requests
}

proptest! {
    #![proptest_config(Config {
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(17),
        ..Config::default()
    })]

    #[test]
    fn any_parts_give_the_same_requests(lens in vec(1..40_usize, 1..60)) {
        let mut left = REQUESTS.as_bytes();
        let mut parts = Vec::new();
        for len in lens {
            let (part, rest) = left.split_at(len.min(left.len()));
            parts.push(part);
            left = rest;
        }
        parts.push(left);
        parts.retain(|part| !part.is_empty());
        let found = parse_parts(&parts);
        let found: Vec<_> = found
            .iter()
            .map(|(path, body)| format!("{path} {}", String::from_utf8_lossy(body)))
            .collect();
        assert_eq!(found, EXPECTED);
    }

    /// Bytes that are not requests end in an error or wait for more; nothing panics.
    #[test]
    fn any_bytes_are_survived(
        bytes in vec(any::<u8>(), 0..200),
        head in any::<bool>(),
    ) {
        let start: &[u8] = if head {
            b"POST /write HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
        } else {
            b""
        };
        let mut buf = ReadBuffer::default();
        buf.space(0).extend_from_slice(&[start, &bytes].concat());
        buf.record_read(start.len() + bytes.len(), Instant::now());
        if let Ok(Some((parsed, len))) = head::parse(buf.bytes()) {
            buf.consume(len);
            if let Ok(mut decoder) = Decoder::new(parsed.framing, support::BODY_MAX_BYTES, Memory::unlimited()) {
                let _ = decoder.decode(&mut buf);
            }
        }
    }
}
