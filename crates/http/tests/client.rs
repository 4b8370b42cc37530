//! The client sends each request once, even if the server closes the connection, and reuses
//! idle connections only while they are open.

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

const BODY_MAX_BYTES: u64 = 1024;
const TIMEOUT: Duration = Duration::from_secs(10);
const COMPLETE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const TRUNCATED: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok";

/// Serves one connection for each of `responses`: reads one request, writes the response and
/// closes the connection. The receiver gets one message for each request.
fn server(responses: &'static [&'static [u8]]) -> (SocketAddr, Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener must bind");
    let address = listener
        .local_addr()
        .expect("listener must have an address");
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        for (response, stream) in responses.iter().zip(listener.incoming()) {
            serve(stream.expect("connection must open"), response, &tx);
        }
    });
    (address, rx)
}

fn serve(mut stream: TcpStream, response: &[u8], tx: &Sender<()>) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") && stream.read_exact(&mut byte).is_ok() {
        head.push(byte[0]);
    }
    tx.send(()).expect("receiver must be open");
    stream
        .write_all(response)
        .expect("response must be written");
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    task::LocalSet::new().block_on(&runtime.expect("runtime must start"), future)
}

fn request() -> Request<Full<Bytes>> {
    let request = Request::builder().uri("/").header("host", "target");
    request
        .body(Full::new(Bytes::new()))
        .expect("request must be well-formed")
}

#[test]
fn a_request_is_not_resent_after_the_server_closes_the_connection() {
    let (address, requests) = server(&[b"", COMPLETE]);
    let result = block_on(async {
        Client::new(address)
            .send(request(), client::IDLE_MAX)
            .await
            .map(drop)
    });
    assert!(
        matches!(result, Err(ClientError::ConnectionLost(_))),
        "{result:?}"
    );
    assert_eq!(requests.try_iter().count(), 1);
}

#[test]
fn a_closed_idle_connection_is_replaced() {
    let (address, requests) = server(&[COMPLETE, COMPLETE]);
    block_on(async {
        let client = Client::new(address);
        for _ in 0..2 {
            let (response, connection) = client
                .send(request(), client::IDLE_MAX)
                .await
                .expect("client must receive a response");
            let body = body::read(response.into_body(), BODY_MAX_BYTES, TIMEOUT).await;
            assert_eq!(body, Ok(Bytes::from_static(b"ok")));
            connection.return_to_pool();
        }
    });
    assert_eq!(requests.try_iter().count(), 2);
}

#[test]
fn a_truncated_body_is_an_error() {
    let (address, _requests) = server(&[TRUNCATED]);
    let result = block_on(async {
        let sent = Client::new(address).send(request(), client::IDLE_MAX).await;
        let (response, _connection) = sent.expect("client must receive a response head");
        body::read(response.into_body(), BODY_MAX_BYTES, TIMEOUT).await
    });
    assert!(
        matches!(result, Err(BodyError::Incomplete(_))),
        "{result:?}"
    );
}
