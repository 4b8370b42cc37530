//! HTTP/1.1 for the stand-ins: a server with a thread for each connection, and a client that
//! opens a connection for each request.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub struct Message {
    /// The request line or the status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let word = self.start.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// Reads a message with a length or without a body.
pub fn read(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Message> {
    let mut chunk = [0; 4096];
    let end = loop {
        if let Some(at) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break at;
        }
        let len = stream.read(&mut chunk).ok().filter(|len| *len > 0)?;
        buf.extend_from_slice(&chunk[..len]);
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let start = lines.next()?.to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect();
    let mut message = Message {
        start,
        headers,
        body: Vec::new(),
    };
    let len = message
        .header("content-length")
        .and_then(|len| len.parse().ok())
        .unwrap_or(0);
    while buf.len() < end + 4 + len {
        let read = stream.read(&mut chunk).ok().filter(|len| *len > 0)?;
        buf.extend_from_slice(&chunk[..read]);
    }
    message.body = buf[end + 4..end + 4 + len].to_vec();
    buf.drain(..end + 4 + len);
    Some(message)
}

/// An answer: status, headers, body.
pub type Answer = (u16, Vec<(&'static str, String)>, String);

pub fn encode(answer: &Answer) -> Vec<u8> {
    let (status, headers, body) = answer;
    let mut text = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    text += body;
    text.into_bytes()
}

/// Returns `None` to close the connection without an answer.
type Handle = dyn Fn(&Message) -> Option<Answer> + Send + Sync;

/// A server that can end like a process that crashes, and listen again.
pub struct Server {
    address: SocketAddr,
    handle: Box<Handle>,
    /// Connections since the server began to listen; `None` while it does not.
    open: Mutex<Option<Vec<TcpStream>>>,
}

impl Server {
    pub fn new<F>(address: SocketAddr, handle: F) -> Arc<Self>
    where
        F: Fn(&Message) -> Option<Answer> + Send + Sync + 'static,
    {
        Arc::new(Self {
            address,
            handle: Box::new(handle),
            open: Mutex::default(),
        })
    }

    pub fn listen(self: &Arc<Self>) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        *self.open.lock().unwrap() = Some(Vec::new());
        let server = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let mut open = server.open.lock().unwrap();
                let Some(streams) = open.as_mut() else {
                    return;
                };
                let Ok(stream) = stream else { continue };
                streams.extend(stream.try_clone());
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(())
    }

    /// Ends listening and all connections.
    pub fn crash(&self) {
        let streams = self.open.lock().unwrap().take();
        // Wakes the listener, which is closed before the connections are.
        let _ = TcpStream::connect(self.address);
        while TcpStream::connect(self.address).is_ok() {
            thread::sleep(Duration::from_millis(1));
        }
        for stream in streams.into_iter().flatten() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buf = Vec::new();
        while let Some(message) = read(&mut stream, &mut buf) {
            let Some(answer) = (self.handle)(&message) else {
                return;
            };
            if stream.write_all(&encode(&answer)).is_err() {
                return;
            }
        }
    }
}

/// Sends a request on a connection of its own; `None` without a complete answer.
pub fn request(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<Message> {
    let mut stream =
        TcpStream::connect_timeout(&address, timeout.min(Duration::from_secs(1))).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let _ = stream.set_nodelay(true);
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        text += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method == "POST" {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    text += body;
    stream.write_all(text.as_bytes()).ok()?;
    read(&mut stream, &mut Vec::new())
}
