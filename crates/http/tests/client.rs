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
use tokio::{runtime, task, time};

const BODY_MAX_BYTES: u64 = 1024;
const TIMEOUT: Duration = Duration::from_secs(10);
const COMPLETE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const TRUNCATED: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok";

/// A server that has one response for each connection.
struct Server {
    address: SocketAddr,
    /// One message for each request.
    requests: Receiver<()>,
    /// One message for each connection that the server has closed.
    closed: Receiver<()>,
}

/// Serves one connection for each of `responses`: reads one request, writes the response and
/// closes the connection.
fn server(responses: &'static [&'static [u8]]) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener must bind");
    let address = listener
        .local_addr()
        .expect("listener must have an address");
    let (requests_tx, requests) = mpsc::channel();
    let (closed_tx, closed) = mpsc::channel();
    thread::spawn(move || {
        for (response, stream) in responses.iter().zip(listener.incoming()) {
            serve(
                stream.expect("connection must open"),
                response,
                &requests_tx,
            );
            // A test that does not wait for it may have ended.
            let _ = closed_tx.send(());
        }
    });
    Server {
        address,
        requests,
        closed,
    }
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
    let server = server(&[b"", COMPLETE]);
    let result = block_on(async {
        Client::new(server.address)
            .send(request(), client::IDLE_MAX)
            .await
            .map(drop)
    });
    assert!(
        matches!(result, Err(ClientError::ConnectionLost(_))),
        "{result:?}"
    );
    assert_eq!(server.requests.try_iter().count(), 1);
}

/// Lets the runtime poll its sockets and then the connections that have become readable.
async fn poll_sockets() {
    for _ in 0..2 {
        time::sleep(Duration::from_millis(1)).await;
    }
}

/// The server closes a connection after its response. The next request must go to a new
/// connection once the close has reached the client; a request that is sent earlier is lost
/// with the connection, which another test covers.
#[test]
fn a_closed_idle_connection_is_replaced() {
    let server = server(&[COMPLETE, COMPLETE]);
    block_on(async {
        let client = Client::new(server.address);
        for _ in 0..2 {
            let (response, connection) = client
                .send(request(), client::IDLE_MAX)
                .await
                .expect("client must receive a response");
            let body = body::read(response.into_body(), BODY_MAX_BYTES, TIMEOUT).await;
            assert_eq!(body, Ok(Bytes::from_static(b"ok")));
            connection.return_to_pool();
            let closed = server.closed.recv_timeout(TIMEOUT);
            closed.expect("server must close the connection");
            poll_sockets().await;
        }
    });
    assert_eq!(server.requests.try_iter().count(), 2);
}

#[test]
fn a_truncated_body_is_an_error() {
    let server = server(&[TRUNCATED]);
    let result = block_on(async {
        let sent = Client::new(server.address)
            .send(request(), client::IDLE_MAX)
            .await;
        let (response, _connection) = sent.expect("client must receive a response head");
        body::read(response.into_body(), BODY_MAX_BYTES, TIMEOUT).await
    });
    assert!(
        matches!(result, Err(BodyError::Incomplete(_))),
        "{result:?}"
    );
}
