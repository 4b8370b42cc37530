//! Bodies of requests that never end, or that are over the limit.

use std::io::Write;
use std::net::TcpStream;

use rstest::rstest;

use crate::crowd;
use crate::site::{BODY_BYTES, Site};

/// Connections with a body; together the bodies are three times the memory of the host.
const CLIENTS: usize = 48;
const CHUNKED: &str = "POST /assignment/assign HTTP/1.1\r\nhost: x\r\n\
    pollenrouter-deadline-ms: 60000\r\ntransfer-encoding: chunked\r\n\r\n";
/// Part of a body that comes in chunks of one byte. A whole one would mostly test how fast the
/// test machine is.
const TINY_BYTES: usize = 64 << 10;

fn write_chunk(stream: &mut TcpStream, len: usize) -> std::io::Result<()> {
    write!(stream, "{len:x}\r\n")?;
    crowd::write_repeated(stream, b"x", len)
}

/// Guards against bodies that take memory without a bound while they wait for their end.
#[rstest]
#[case::large_chunks(BODY_BYTES - 1, 0)]
#[case::tiny_chunks(BODY_BYTES - 1 - TINY_BYTES, TINY_BYTES)]
fn chunked_bodies_that_stop_short(#[case] large: usize, #[case] tiny: usize) {
    let site = Site::start();
    let crowd = crowd::send(site.public(), CLIENTS, |stream| {
        stream.write_all(CHUNKED.as_bytes())?;
        write_chunk(stream, large)?;
        stream.write_all(b"\r\n")?;
        crowd::write_repeated(stream, b"1\r\nx\r\n", 6 * tiny)
    });
    site.check("bodies that stop short");
    drop(crowd);
    site.check_large("after bodies that stopped short");
}

/// Guards against announced bodies that take their memory at the head or stay without an end.
#[test]
fn announced_bodies_that_stop_short() {
    let site = Site::start();
    let crowd = crowd::send(site.public(), CLIENTS, |stream| {
        let head = format!(
            "POST /assignment/assign HTTP/1.1\r\nhost: x\r\n\
             pollenrouter-deadline-ms: 60000\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        crowd::write_repeated(stream, b"x", BODY_BYTES - 1)
    });
    site.check("announced bodies");
    drop(crowd);
    site.check_large("after announced bodies");
}

/// Guards against whole bodies that many callers send at once: they wait for a slot, on streams
/// between daemons and at the gate.
#[test]
fn whole_bodies_at_once() {
    let site = Site::start();
    let crowd = crowd::send(site.public(), CLIENTS, |stream| {
        let head = format!(
            "POST /assignment/assign HTTP/1.1\r\nhost: x\r\nx-work-us: 2000000\r\n\
             pollenrouter-deadline-ms: 60000\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        crowd::write_repeated(stream, b"x", BODY_BYTES)
    });
    site.check("whole bodies");
    drop(crowd);
    site.check_large("after whole bodies");
}

/// Guards against bodies that are read on although they are refused.
#[rstest]
#[case::announced("content-length: 1073741824\r\n\r\n", "x")]
#[case::without_a_length("transfer-encoding: chunked\r\n\r\n", "1000\r\n")]
#[case::in_one_chunk("transfer-encoding: chunked\r\n\r\n40000000\r\n", "x")]
fn bodies_over_the_limit(#[case] framing: &str, #[case] start: &str) {
    let site = Site::start();
    let block = if start == "x" {
        b"x".to_vec()
    } else {
        [start.as_bytes(), &[b'x'; 0x1000], b"\r\n"].concat()
    };
    let crowd = crowd::send(site.public(), CLIENTS, |stream| {
        let head = "POST /assignment/assign HTTP/1.1\r\nhost: x\r\n";
        stream.write_all(format!("{head}{framing}").as_bytes())?;
        crowd::write_repeated(stream, &block, 4 * BODY_BYTES)
    });
    site.check("bodies over the limit");
    drop(crowd);
    site.check_large("after bodies over the limit");
}

/// Guards against parts of the framing that are kept without a bound.
#[rstest]
#[case::extensions("1;", "x")]
#[case::extensions_of_many_chunks(
    "",
    "1;xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\ny\r\n"
)]
#[case::trailers("0\r\n", "x: y\r\n")]
#[case::one_trailer("0\r\nx: ", "y")]
fn framing_without_end(#[case] start: &str, #[case] repeated: &str) {
    let site = Site::start();
    let crowd = crowd::send(site.public(), CLIENTS, |stream| {
        stream.write_all(CHUNKED.as_bytes())?;
        stream.write_all(start.as_bytes())?;
        crowd::write_repeated(stream, repeated.as_bytes(), BODY_BYTES)
    });
    site.check("framing without end");
    drop(crowd);
    site.check_large("after framing without end");
}
