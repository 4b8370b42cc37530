//! A write that conflicts tells the stored object, whether or not the response brings it.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpListener;
use std::sync::mpsc::{self, Receiver};
use std::thread;

use pollenrouter_platform::client::{Client, PlatformError};
use rstest::rstest;

const KEY: &str = "members/a";
const STORED: &str = r#"{"key":"members/a","version":7,"value":"stored"}"#;

/// Starts a platform that answers each request with the next of these; yields the request lines.
fn platform(answers: Vec<(u16, &'static str)>) -> (Client, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("socket must bind");
    let address = listener.local_addr().expect("socket must have an address");
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        for (status, body) in answers {
            let (mut stream, _) = listener.accept().expect("connection must be accepted");
            let mut reader = BufReader::new(stream.try_clone().expect("socket must be cloned"));
            let mut line = String::new();
            reader.read_line(&mut line).expect("request must arrive");
            // The test may have ended.
            let _ = tx.send(line);
            let mut len = 0;
            loop {
                let mut header = String::new();
                reader.read_line(&mut header).expect("header must arrive");
                if let Some(value) = header.to_lowercase().strip_prefix("content-length:") {
                    len = value.trim().parse().expect("length must be a number");
                }
                if header.trim().is_empty() {
                    break;
                }
            }
            reader
                .read_exact(&mut vec![0; len])
                .expect("body must arrive");
            let len = body.len();
            let answer = format!(
                "HTTP/1.1 {status} x\r\nconnection: close\r\ncontent-length: {len}\r\n\r\n{body}"
            );
            stream
                .write_all(answer.as_bytes())
                .expect("answer must be sent");
        }
    });
    (Client::new(&format!("http://{address}")), rx)
}

struct Case {
    body: &'static str,
    requests: usize,
}

const OBJECT: Case = Case {
    body: STORED,
    requests: 1,
};
const NOTHING: Case = Case {
    body: "",
    requests: 2,
};
const NO_OBJECT: Case = Case {
    body: "{}",
    ..NOTHING
};
const UNREADABLE: Case = Case {
    body: r#"{"key":"members/a","version":1e999,"value":"stored"}"#,
    ..NOTHING
};

/// Guards against a daemon that never registers again because the response to its conflicting write
/// has no object that can be read.
#[rstest]
#[case::object(OBJECT)]
#[case::nothing(NOTHING)]
#[case::no_object(NO_OBJECT)]
#[case::unreadable(UNREADABLE)]
fn a_conflict_tells_the_stored_object(#[case] case: Case) {
    let (client, requests) = platform(vec![(409, case.body), (200, STORED)]);
    let written = client.put(KEY, "new", 0);
    let Err(PlatformError::Conflict(_, 0, 7, Some(stored))) = written else {
        panic!("write must conflict: {written:?}");
    };
    assert_eq!(stored.value, "stored");
    assert_eq!(requests.try_iter().count(), case.requests);
}
