//! Responses of a platform that comes back from a copy: versions are ordered by its era first.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver};
use std::thread;
use std::time::Duration;

use pollenrouter_core::version;
use pollenrouter_platform::client::{Client, PlatformError};
use rstest::rstest;

const KEY: &str = "members/a";

/// Starts a platform that answers the n-th request in the n-th era, with the object at the
/// revision; yields the request lines.
fn platform(eras: &'static [Option<&'static str>], revision: u64) -> (Client, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("socket must bind");
    let address = listener.local_addr().expect("socket must have an address");
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        for era in eras {
            let (mut stream, _) = listener.accept().expect("client must connect");
            let mut reader = BufReader::new(stream.try_clone().expect("socket must be cloned"));
            let mut lines = Vec::new();
            loop {
                let mut line = String::new();
                reader.read_line(&mut line).expect("head must arrive");
                if line.trim().is_empty() {
                    break;
                }
                lines.push(line.trim().to_ascii_lowercase());
            }
            let length = lines
                .iter()
                .find_map(|line| line.strip_prefix("content-length: "))
                .and_then(|length| length.parse().ok())
                .unwrap_or(0);
            reader
                .read_exact(&mut vec![0; length])
                .expect("body must arrive");
            let header = era.map_or_else(String::new, |era| format!("platform-era: {era}\r\n"));
            let body = format!(
                r#"{{"key":"{KEY}","version":{revision},"value":"","revision":{revision},"objects":[]}}"#
            );
            let answer = format!(
                "HTTP/1.1 200 OK\r\n{header}connection: close\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            );
            // The test may have ended.
            let _ = tx.send(lines[0].clone());
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    (Client::new(&format!("http://{address}")), rx)
}

struct Case {
    eras: &'static [Option<&'static str>],
    /// Era of the last object read.
    expected: Option<u64>,
}

#[rstest]
#[case::none(Case { eras: &[None], expected: Some(0) })]
#[case::stated(Case { eras: &[Some("3")], expected: Some(3) })]
#[case::risen(Case { eras: &[Some("3"), Some("5")], expected: Some(5) })]
#[case::missing(Case { eras: &[Some("3"), None], expected: Some(3) })]
#[case::unreadable(Case { eras: &[Some("3"), Some("four")], expected: Some(3) })]
#[case::out_of_range(Case { eras: &[Some("3"), Some("18446744073709551616")], expected: Some(3) })]
#[case::went_back(Case { eras: &[Some("3"), Some("4"), Some("3")], expected: Some(3) })]
#[case::one_wrong(Case { eras: &[Some("3"), Some("900"), Some("3"), Some("4")], expected: Some(4) })]
fn a_version_belongs_to_the_era_of_the_response(#[case] case: Case) {
    let (client, _requests) = platform(case.eras, 7);
    let mut results = case.eras.iter().map(|_| client.get(KEY));
    let last = results.by_ref().last().expect("there must be a response");
    let version = last.ok().flatten().map(|object| object.version);
    assert_eq!(version, case.expected.map(|era| version::in_era(era, 7)));
}

/// Guards against eras that are equal because their numbers are large.
#[rstest]
#[case::seconds(&[Some("1780000000"), Some("1780000001")])]
#[case::milliseconds(&[Some("1780000000000"), Some("1780000000001")])]
#[case::largest(&[Some("18446744073709551614"), Some("18446744073709551615")])]
fn eras_may_begin_at_any_number(#[case] eras: &'static [Option<&'static str>]) {
    let (client, _requests) = platform(eras, 7);
    let version = || {
        let object = client.get(KEY).expect("object must be read");
        object.expect("object must exist").version
    };
    let (before, after) = (version(), version());
    assert!(before < after, "{before}, {after}");
    assert_eq!(version::revision(after), 7);
}

#[test]
fn later_eras_are_newer_than_any_revision_before() {
    assert!(version::in_era(2, 1) > version::in_era(1, 1_000_000));
    assert_eq!(version::era(version::in_era(9, 8)), 9);
    assert_eq!(version::revision(version::in_era(9, 8)), 8);
}

/// Guards against a conditional write that matches a revision which was given out again.
#[test]
fn a_write_based_on_an_earlier_era_is_a_conflict() {
    let (client, requests) = platform(&[Some("1"), Some("2"), Some("2")], 7);
    let before = client.get(KEY).expect("object must be read");
    let before = before.expect("object must exist");
    client.get(KEY).expect("object must be read");
    let written = client.put(KEY, "new", before.version);
    let Err(PlatformError::Conflict(_, _, current, Some(stored))) = written else {
        panic!("write must conflict: {written:?}");
    };
    assert_eq!(current, version::in_era(2, 7));
    assert_eq!(stored.version, current);
    assert!(requests.try_iter().all(|line| line.starts_with("get ")));
}

/// Guards against a watch that goes on in the numbers of an earlier era and misses changes.
#[rstest]
#[case::known_before(&[Some("1"), Some("2")])]
#[case::known_by_the_response(&[Some("1"), Some("2"), Some("2")])]
fn a_watch_does_not_go_on_in_another_era(#[case] eras: &'static [Option<&'static str>]) {
    let (client, _requests) = platform(eras, 7);
    let after = client.get(KEY).expect("object must be read");
    let after = after.expect("object must exist").version;
    if eras.len() == 2 {
        client.get(KEY).expect("object must be read");
    }
    let changes = client.watch("members/", after, Duration::from_secs(10));
    assert!(
        matches!(changes, Err(PlatformError::Compacted)),
        "{changes:?}"
    );
}

/// Guards against a watch that goes on above what the platform has, or that skips what lies below: of a
/// platform that states no era, only its revision tells that it has come back from a copy.
#[test]
fn a_watch_does_not_go_on_from_a_revision_that_the_platform_has_not_reached() {
    let (client, _requests) = platform(&[None], 7);
    let changes = client.watch("members/", version::in_era(0, 9), Duration::from_secs(10));
    assert!(
        matches!(changes, Err(PlatformError::Compacted)),
        "{changes:?}"
    );
}

/// Guards against a daemon that goes on from a revision, after requests have failed, though nothing
/// tells that it still means the same.
#[rstest]
#[case::same_era(&[Some("1"), Some("1")], true)]
#[case::another_era(&[Some("1"), Some("2")], false)]
#[case::era_not_stated(&[Some("1"), None], false)]
#[case::eras_never_stated(&[None, None], false)]
fn changes_are_resumed_only_in_an_era_that_is_stated(
    #[case] eras: &'static [Option<&'static str>],
    #[case] is_resumed: bool,
) {
    let (client, requests) = platform(eras, 7);
    let after = client.get(KEY).expect("object must be read");
    let after = after.expect("object must exist").version;
    let resumed = client.resume("members/", after);
    match resumed {
        Ok(_) => assert!(is_resumed),
        Err(PlatformError::Compacted) => assert!(!is_resumed),
        Err(err) => panic!("platform must answer: {err}"),
    }
    let request = requests.try_iter().last().expect("request must arrive");
    assert!(
        request.starts_with("get /watch?after=7&wait_ms=1 "),
        "{request}"
    );
}

/// Guards against an answer from before a restore that is used after it, however late it comes.
#[test]
fn an_answer_to_a_request_from_before_a_restore_is_not_used() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("socket must bind");
    let address = listener.local_addr().expect("socket must have an address");
    let client = Client::new(&format!("http://{address}"));
    let accept = || listener.accept().expect("client must connect").0;
    let answer = |mut stream: TcpStream, era: u64| {
        let body = format!(r#"{{"key":"{KEY}","version":7,"value":""}}"#);
        let len = body.len();
        let head = format!("HTTP/1.1 200 OK\r\nplatform-era: {era}\r\ncontent-length: {len}");
        let answer = format!("{head}\r\nconnection: close\r\n\r\n{body}");
        stream
            .write_all(answer.as_bytes())
            .expect("answer must be sent");
        // The request must be read, or its connection would be reset.
        let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
        lines.find(String::is_empty).expect("head must arrive");
    };
    let get = |client: &Client| {
        let client = client.clone();
        thread::spawn(move || client.get(KEY))
    };
    let (early, early_connection) = (get(&client), accept());
    let (late, late_connection) = (get(&client), accept());
    answer(late_connection, 4);
    let late = late.join().expect("thread must end");
    let version = late.expect("object must be read").map(|o| o.version);
    assert_eq!(version, Some(version::in_era(4, 7)));
    answer(early_connection, 3);
    let early = early.join().expect("thread must end");
    assert!(
        matches!(early, Err(PlatformError::Unavailable(_))),
        "{early:?}"
    );
}
