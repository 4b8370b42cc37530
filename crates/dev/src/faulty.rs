//! Stand-in for a target that breaks the protocol: silence, answers without end, second copies.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;
use std::time::Duration;

use rustix::net::sockopt;

/// Pause between the bytes of a trickle.
const TRICKLE_PAUSE: Duration = Duration::from_millis(100);
const HEAD: &str = "HTTP/1.1 200 OK\r\n";
/// Head of an answer that states, in the default convention, that the call did not run.
const REFUSAL_HEAD: &str = "HTTP/1.1 503 Service Unavailable\r\ntarget-shed: 1\r\n";
const BLOCK: [u8; 4096] = [b'y'; 4096];
/// Chunks of a long body.
const LONG_BODY_CHUNKS: usize = 32;

/// What the target does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Answers.
    None,
    /// Answers without the id of the call.
    NoEcho,
    /// Answers, and sends another copy of the answer in front of the next one.
    SecondCopy,
    /// Refuses to run the call, and sends another copy of the refusal in front of the next answer.
    RefusedTwice,
    /// Sends this many bytes of an answer in this form, and closes the connection.
    Cut(Form, usize),
    /// Sends an answer whose body ends with the connection, and resets the connection.
    ResetBody,
    /// Sends nothing.
    Silent,
    /// Sends bytes that are no answer, without end.
    EndlessGarbage,
    /// Sends headers without end.
    EndlessHead,
    /// Sends one header without end.
    EndlessHeader,
    /// Sends interim responses without end.
    EndlessInterim,
    /// Sends chunks without end.
    EndlessChunks,
    /// Sends chunks of one byte without end.
    EndlessTinyChunks,
    /// Sends the extension of a chunk without end.
    EndlessExtension,
    /// Sends trailers without end.
    EndlessTrailers,
    /// Sends a body without a length and without end.
    EndlessBody,
    /// Answers, and sends further bytes without end.
    EndlessSurplus,
    /// States a length and sends nothing more.
    MissingBody,
    /// Sends half of the body and closes the connection.
    HalfBody,
    /// Sends the head byte by byte, too slowly.
    TrickledHead,
    /// Answers with a long body in chunks.
    LongBody,
    /// Sends the same, but for its last chunk.
    StalledLongBody,
    /// Sends the head after this many milliseconds, and after as many again the body.
    SlowParts(u64),
    /// Sends a body byte by byte, too slowly.
    TrickledBody,
    /// Answers with these lines in place of the status line.
    StatusLine(&'static str),
}

/// Lines that begin an answer and state no final status (RFC 9112, section 4; RFC 9110, section 15).
pub const INVALID_STATUS_LINES: [&str; 22] = [
    "HTTP/1.1 000 Zero",
    "HTTP/1.1 099 Below",
    "HTTP/1.1 99 Short",
    "HTTP/1.1 1000 Long",
    "HTTP/1.1 2000 Long",
    "HTTP/1.1 2x0 Letter",
    "HTTP/1.1 abc Letters",
    "HTTP/1.1 -20 Sign",
    "HTTP/1.1  200 Spaces",
    "HTTP/1.1 ",
    "HTTP/1.1",
    "HTTP/3.1 200 OK",
    "",
    "HTTP/1.1 100 Continue",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: websocket",
    "HTTP/1.1 103 Early Hints",
    "HTTP/1.1 199 Unknown",
    "HTTP/1.1 200 OK\r\nHTTP/1.1 500 Internal Server Error",
    "HTTP/1.1 600 Above",
    "HTTP/1.1 700 Above",
    "HTTP/1.1 999 Above",
];

/// How a complete answer is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// With the length of the body.
    Length,
    /// With a body in chunks.
    Chunks,
    /// With line feeds only.
    BareLineFeeds,
    /// Behind an interim response.
    AfterInterim,
}

impl Form {
    /// All forms.
    pub const ALL: [Self; 4] = [
        Self::Length,
        Self::Chunks,
        Self::BareLineFeeds,
        Self::AfterInterim,
    ];

    /// Length of the answer to a request with this head, bytes.
    #[must_use]
    pub fn answer_len(self, head: &str) -> usize {
        self.write(&echoed_headers(head)).len()
    }

    /// The answer; `id` holds the headers that show its call.
    fn write(self, id: &str) -> String {
        let answer = format!("{HEAD}{id}content-length: 4\r\n\r\ndone");
        match self {
            Self::Length => answer,
            Self::Chunks => {
                format!("{HEAD}{id}transfer-encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n")
            }
            Self::BareLineFeeds => answer.replace("\r\n", "\n"),
            Self::AfterInterim => format!("HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n{answer}"),
        }
    }
}

impl Fault {
    /// All faults whose answers never end.
    pub const ENDLESS: [Self; 9] = [
        Self::EndlessGarbage,
        Self::EndlessHead,
        Self::EndlessHeader,
        Self::EndlessInterim,
        Self::EndlessChunks,
        Self::EndlessTinyChunks,
        Self::EndlessExtension,
        Self::EndlessTrailers,
        Self::EndlessBody,
    ];
    /// All faults that keep a call without its answer.
    pub const SILENT: [Self; 4] = [
        Self::Silent,
        Self::MissingBody,
        Self::TrickledHead,
        Self::TrickledBody,
    ];
}

/// What the target has seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seen {
    /// A request: the number of its connection, counted from 0, and its head.
    Request(usize, String),
    /// The end of a connection.
    Closed(usize),
}

/// A target on a port assigned by the system. Its threads end with their connections.
pub struct Target {
    /// Address of the target.
    pub address: SocketAddr,
    /// What it sees, in order.
    pub seen: Receiver<Seen>,
}

/// Chooses the fault for a request, by the number of its connection and its head.
pub type Choose = Arc<dyn Fn(usize, &str) -> Fault + Send + Sync>;

/// Starts a target.
///
/// # Errors
/// The listener cannot be bound.
pub fn start(choose: Choose) -> io::Result<Target> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let (tx, seen) = mpsc::channel();
    thread::spawn(move || {
        for (index, stream) in listener.incoming().flatten().enumerate() {
            let (tx, choose) = (tx.clone(), choose.clone());
            thread::spawn(move || {
                // The daemon closes the connection, which ends every fault.
                let _ = serve(stream, index, &tx, &choose);
                let _ = tx.send(Seen::Closed(index));
            });
        }
    });
    Ok(Target { address, seen })
}

fn serve(
    mut stream: TcpStream,
    index: usize,
    tx: &Sender<Seen>,
    choose: &Choose,
) -> io::Result<()> {
    let mut copy = Vec::new();
    while let Some(head) = read_request(&mut stream)? {
        let fault = choose(index, &head);
        let id = echoed_headers(&head);
        // The test may have ended.
        let _ = tx.send(Seen::Request(index, head));
        let answer = format!("{HEAD}{id}content-length: 4\r\n\r\ndone").into_bytes();
        match fault {
            Fault::None => stream.write_all(&[copy.as_slice(), &answer].concat())?,
            Fault::SecondCopy => {
                stream.write_all(&answer)?;
                copy = answer;
            }
            Fault::RefusedTwice => {
                let refusal = format!("{REFUSAL_HEAD}{id}content-length: 0\r\n\r\n");
                stream.write_all(refusal.as_bytes())?;
                copy = refusal.into_bytes();
            }
            Fault::Cut(form, len) => {
                let answer = form.write(&id);
                let len = len.min(answer.len());
                return stream.write_all(&answer.as_bytes()[..len]);
            }
            Fault::ResetBody => {
                stream.write_all(format!("{HEAD}{id}\r\ndone").as_bytes())?;
                // Closing the socket then resets the connection.
                sockopt::set_socket_linger(&stream, Some(Duration::ZERO))?;
                return Ok(());
            }
            Fault::NoEcho => {
                stream.write_all(format!("{HEAD}content-length: 4\r\n\r\ndone").as_bytes())?;
            }
            Fault::StatusLine(line) => {
                let headers = format!("{id}server-seal: 3e1b.07\r\ncontent-length: 4\r\n\r\n");
                stream.write_all(format!("{line}\r\n{headers}done").as_bytes())?;
            }
            Fault::HalfBody => {
                return stream
                    .write_all(format!("{HEAD}{id}content-length: 8\r\n\r\ndone").as_bytes());
            }
            Fault::LongBody => {
                stream.write_all(long_body(&id).as_bytes())?;
                stream.write_all(b"0\r\n\r\n")?;
            }
            Fault::SlowParts(ms) => {
                thread::sleep(Duration::from_millis(ms));
                stream.write_all(format!("{HEAD}{id}content-length: 4\r\n\r\n").as_bytes())?;
                thread::sleep(Duration::from_millis(ms));
                stream.write_all(b"done")?;
            }
            _ => return play(&mut stream, fault, &id),
        }
    }
    Ok(())
}

/// Plays a fault until the connection ends.
fn play(stream: &mut TcpStream, fault: Fault, id: &str) -> io::Result<()> {
    let chunked = format!("{HEAD}{id}transfer-encoding: chunked\r\n\r\n");
    let block = String::from_utf8_lossy(&BLOCK);
    let (start, repeated) = match fault {
        Fault::EndlessGarbage => (String::new(), block.to_string()),
        Fault::EndlessHead => (HEAD.to_owned(), "x: y\r\n".repeat(100)),
        Fault::EndlessHeader => (format!("{HEAD}x: "), block.to_string()),
        Fault::EndlessInterim => (String::new(), "HTTP/1.1 100 Continue\r\n\r\n".repeat(100)),
        Fault::EndlessChunks => (chunked, format!("1000\r\n{block}\r\n")),
        Fault::EndlessTinyChunks => (chunked, "1\r\ny\r\n".repeat(100)),
        Fault::EndlessExtension => (format!("{chunked}1;"), block.to_string()),
        Fault::EndlessTrailers => (format!("{chunked}0\r\n"), "x: y\r\n".repeat(100)),
        Fault::EndlessBody => (format!("{HEAD}{id}\r\n"), block.to_string()),
        Fault::EndlessSurplus => (
            format!("{HEAD}{id}content-length: 4\r\n\r\ndone"),
            block.to_string(),
        ),
        Fault::StalledLongBody => (long_body(id), String::new()),
        Fault::MissingBody => (
            format!("{HEAD}{id}content-length: 10\r\n\r\n"),
            String::new(),
        ),
        Fault::TrickledHead => return trickle(stream, HEAD.as_bytes()),
        Fault::TrickledBody => {
            let head = format!("{HEAD}{id}content-length: 100000\r\n\r\n");
            stream.write_all(head.as_bytes())?;
            return trickle(stream, &BLOCK);
        }
        _ => (String::new(), String::new()),
    };
    stream.write_all(start.as_bytes())?;
    if repeated.is_empty() {
        // Never answers what comes later on this connection either.
        return io::copy(stream, &mut io::sink()).map(drop);
    }
    loop {
        stream.write_all(repeated.as_bytes())?;
    }
}

/// A head and chunks; the empty chunk that ends the body is left out.
fn long_body(id: &str) -> String {
    let chunk = format!("1000\r\n{}\r\n", String::from_utf8_lossy(&BLOCK));
    let chunks = chunk.repeat(LONG_BODY_CHUNKS);
    format!("{HEAD}{id}transfer-encoding: chunked\r\n\r\n{chunks}")
}

fn trickle(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    for byte in bytes.iter().cycle() {
        stream.write_all(&[*byte])?;
        thread::sleep(TRICKLE_PAUSE);
    }
    Ok(())
}

/// Reads a request; returns its head, or `None` if the connection has ended.
fn read_request(stream: &mut TcpStream) -> io::Result<Option<String>> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte)? == 0 {
            return Ok(None);
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let len = header(&head, "content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; len.unwrap_or(0)];
    stream.read_exact(&mut body)?;
    Ok(Some(head))
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut headers = head.lines().filter_map(|line| line.split_once(": "));
    headers
        .find(|(found, _)| found.eq_ignore_ascii_case(name))
        .map(|(_, value)| value)
}

/// The headers by which an answer shows its call, in the default convention and the users'.
fn echoed_headers(head: &str) -> String {
    let names = ["pollenrouter-call", "attempt-id"];
    let found = names.map(|name| header(head, name).map(|value| format!("{name}: {value}\r\n")));
    found.into_iter().flatten().collect()
}
