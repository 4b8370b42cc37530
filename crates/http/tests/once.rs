//! The client never sends a request twice, whatever the server does.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use pollenrouter_http::body::{self, BodyError};
use pollenrouter_http::client::{self, Client, ClientError};
use tokio::{runtime, task};

const LIMIT: u64 = 1024;
const TIMEOUT: Duration = Duration::from_secs(10);
const WHOLE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const SHORT: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok";

/// Serves one connection after another: each reads one request, answers with
/// the next of `answers`, and closes. Tells how many requests came.
fn server(answers: &'static [&'static [u8]]) -> (SocketAddr, Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener must bind");
    let address = listener
        .local_addr()
        .expect("listener must have an address");
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        for (answer, stream) in answers.iter().zip(listener.incoming()) {
            serve(stream.expect("connection must open"), answer, &tx);
        }
    });
    (address, rx)
}

fn serve(mut stream: TcpStream, answer: &[u8], tx: &Sender<()>) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") && stream.read_exact(&mut byte).is_ok() {
        head.push(byte[0]);
    }
    tx.send(()).expect("test must wait");
    stream.write_all(answer).expect("answer must be written");
}

fn run<T>(work: impl Future<Output = T>) -> T {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    task::LocalSet::new().block_on(&runtime.expect("runtime must start"), work)
}

fn request() -> Request<Full<Bytes>> {
    let request = Request::builder().uri("/").header("host", "target");
    request
        .body(Full::new(Bytes::new()))
        .expect("request must be well-formed")
}

#[test]
fn a_server_that_closes_after_reading_gets_the_request_once() {
    let (address, requests) = server(&[b"", WHOLE]);
    let result = run(async {
        Client::new(address)
            .send(request(), client::IDLE_MAX)
            .await
            .map(drop)
    });
    assert!(matches!(result, Err(ClientError::Broken(_))), "{result:?}");
    assert_eq!(requests.try_iter().count(), 1);
}

#[test]
fn an_idle_connection_that_closed_is_replaced() {
    let (address, requests) = server(&[WHOLE, WHOLE]);
    run(async {
        let client = Client::new(address);
        for _ in 0..2 {
            let (response, lent) = client
                .send(request(), client::IDLE_MAX)
                .await
                .expect("answer must come");
            let whole = body::read(response.into_body(), LIMIT, TIMEOUT).await;
            assert_eq!(whole, Ok(Bytes::from_static(b"ok")));
            lent.give_back();
        }
    });
    assert_eq!(requests.try_iter().count(), 2);
}

#[test]
fn a_short_body_is_an_error() {
    let (address, _requests) = server(&[SHORT]);
    let result = run(async {
        let sent = Client::new(address).send(request(), client::IDLE_MAX).await;
        let (response, _lent) = sent.expect("answer must begin");
        body::read(response.into_body(), LIMIT, TIMEOUT).await
    });
    assert!(matches!(result, Err(BodyError::Broken(_))), "{result:?}");
}
