//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Head and body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.line
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        query
            .split('&')
            .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}

/// Reads one message; `None` if the connection ends before it is complete. A body without a
/// length is read to the end of the connection for responses, and is empty for requests.
pub fn read(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<Message> {
    let mut buf = [0; 16 << 10];
    let end = loop {
        if let Some(end) = rest.windows(4).position(|w| w == b"\r\n\r\n") {
            break end;
        }
        match stream.read(&mut buf) {
            Ok(0) | Err(_) => return None,
            Ok(len) => rest.extend_from_slice(&buf[..len]),
        }
    };
    let head = String::from_utf8_lossy(&rest[..end]).into_owned();
    rest.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let mut message = Message {
        line: lines.next().unwrap_or_default().to_owned(),
        ..Message::default()
    };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            message
                .headers
                .push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    let len = message
        .header("content-length")
        .and_then(|v| v.parse::<usize>().ok());
    let len = len.unwrap_or(0);
    while rest.len() < len {
        match stream.read(&mut buf) {
            Ok(0) | Err(_) => return None,
            Ok(read) => rest.extend_from_slice(&buf[..read]),
        }
    }
    message.body = rest.drain(..len).collect();
    Some(message)
}

pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A server that can end as a process does: its port refuses, and its connections close.
#[derive(Clone, Default)]
pub struct Server {
    listener: Arc<Mutex<Option<TcpListener>>>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves each connection in a thread of its own; `handle` answers one request at a time and
    /// returns `None` to close the connection.
    pub fn start<F>(listener: TcpListener, handle: F) -> Self
    where
        F: Fn(&Message) -> Option<Vec<u8>> + Send + Sync + 'static,
    {
        let server = Self::default();
        listener
            .set_nonblocking(true)
            .expect("the listener must be usable");
        *server.listener.lock().unwrap() = Some(listener);
        let (accepting, handle) = (server.clone(), Arc::new(handle));
        thread::spawn(move || {
            loop {
                let accepted = match &*accepting.listener.lock().unwrap() {
                    None => return,
                    Some(listener) => listener.accept(),
                };
                let Ok((mut stream, _)) = accepted else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
                if let Ok(stream) = stream.try_clone() {
                    accepting.connections.lock().unwrap().push(stream);
                }
                let handle = handle.clone();
                thread::spawn(move || {
                    let mut rest = Vec::new();
                    while let Some(request) = read(&mut stream, &mut rest) {
                        let Some(bytes) = handle(&request) else { break };
                        if stream.write_all(&bytes).is_err() {
                            break;
                        }
                    }
                    let _ = stream.shutdown(Shutdown::Both);
                });
            }
        });
        server
    }

    /// Ends the server.
    pub fn crash(&self) {
        self.listener.lock().unwrap().take();
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Serves until the process ends.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(&Message) -> Option<Vec<u8>> + Send + Sync + 'static,
{
    Server::start(listener, handle);
}

/// Sends one request on a new connection and reads the response.
pub fn call(address: SocketAddr, request: &[u8], timeout: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    let _ = stream.set_nodelay(true);
    exchange(&mut stream, request, timeout)
}

/// Sends one request on a connection and reads the response.
pub fn exchange(stream: &mut TcpStream, request: &[u8], timeout: Duration) -> Option<Message> {
    let started = Instant::now();
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.write_all(request).ok()?;
    let mut rest = Vec::new();
    let response = read(stream, &mut rest);
    response.filter(|_| started.elapsed() <= timeout + Duration::from_secs(1))
}
