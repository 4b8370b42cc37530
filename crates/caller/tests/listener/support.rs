//! A listener with a router that the test plays, and a caller on a raw connection.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::AtomicU64;
use std::sync::mpsc::{self, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use pollenrouter_caller::listener::{self, LookupResult, RouteMatch};
use pollenrouter_caller::message::{Call, CallerResult, CallerResultKind, Event};
use pollenrouter_caller::request::ParsedRequest;
use pollenrouter_caller::tables::Tables;
use pollenrouter_core::call::Refusal;
use pollenrouter_core::organisation::KeyDigest;
use pollenrouter_core::{http_message, service, table};
use pollenrouter_http::convention;
use pollenrouter_http::memory::Memory;
use tokio::sync::watch;
use tokio::{runtime, task};

/// Far longer than anything that a test waits for.
const TIMEOUT: Duration = Duration::from_secs(30);
pub const BODY_MAX_BYTES: u64 = 1024;
/// The same below `/write/large`.
pub const LARGE_BODY_MAX_BYTES: u64 = 64 << 10;

/// A listener, and the events that it sends to the router.
pub struct Listener {
    pub address: SocketAddr,
    pub events: Receiver<Event>,
    tables: Arc<Mutex<Tables>>,
    refusals: Arc<Mutex<Vec<Refusal>>>,
    stop: watch::Sender<bool>,
}

/// The table in force, and no newer one.
pub const TABLES: Tables = Tables {
    active: Some(1),
    announced: 0,
};

/// What the router does with an event before the test sees it; `None` if it handles the event.
pub type Intercept = fn(Event) -> Option<Event>;

/// Starts a listener; the test handles the events.
pub fn start() -> Listener {
    start_with(table::CallerLimits::default(), Some)
}

/// Starts a listener with limits for callers.
pub fn start_with(limits: table::CallerLimits, intercept: Intercept) -> Listener {
    start_limited(limits, intercept, Memory::unlimited())
}

/// Starts a listener with a memory budget.
pub fn start_limited(
    limits: table::CallerLimits,
    intercept: Intercept,
    memory: Memory,
) -> Listener {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener must bind");
    let address = listener
        .local_addr()
        .expect("listener must have an address");
    let (tx, events) = mpsc::channel();
    let tx = Mutex::new(tx);
    let (stop, stopping) = watch::channel(false);
    let tables = Arc::new(Mutex::new(TABLES));
    let (current, looked_up) = (tables.clone(), tables.clone());
    let refusals = Arc::<Mutex<Vec<Refusal>>>::default();
    let counted = refusals.clone();
    let cx = listener::Context {
        sink: Arc::new(move |event| match intercept(event) {
            None => true,
            // The receiver is gone if the test has ended.
            Some(event) => tx.lock().expect("no test panics here").send(event).is_ok(),
        }),
        lookup: Arc::new(move |req| lookup(req, *looked_up.lock().expect("no test panics here"))),
        tables: Arc::new(move || *current.lock().expect("no test panics here")),
        count_refusal: Arc::new(move |refusal| {
            counted.lock().expect("no test panics here").push(refusal);
        }),
        limits: Arc::new(move || limits),
        memory,
        max_connections: 1024,
        next_token: Arc::new(AtomicU64::new(1)),
        convention: convention::OWN,
        local_service: None,
    };
    thread::spawn(move || {
        let runtime = runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.expect("runtime must start");
        let serving = listener::serve(listener, service::Audience::Everyone, cx, stopping);
        task::LocalSet::new()
            .block_on(&runtime, serving)
            .expect("listener must serve");
    });
    Listener {
        address,
        events,
        tables,
        refusals,
        stop,
    }
}

/// The only key, and its organisation.
pub const KEY: &str = "k-7f3a";
pub const ORGANISATION: &str = "north";

/// Requests below `/read` may repeat, those below `/write` may not. Those below `/keyed` need
/// [`KEY`], those below `/open` may have it.
fn lookup(req: &ParsedRequest, tables: Tables) -> LookupResult {
    let Some(table) = tables.active else {
        return LookupResult::NotReady;
    };
    let (needs_key, is_open) = (
        req.path.starts_with("/keyed"),
        req.path.starts_with("/open"),
    );
    let repeatable = req.path.starts_with("/read");
    if !repeatable && !needs_key && !is_open && !req.path.starts_with("/write") {
        return LookupResult::NoRoute(tables);
    }
    let has_key = req.key == Some(KeyDigest::of(KEY.as_bytes()));
    if needs_key && !has_key {
        return LookupResult::UnknownKey(tables);
    }
    LookupResult::Route(Box::new(RouteMatch {
        table,
        route: table::Route {
            name: "route".into(),
            host: None,
            method: None,
            prefix: "/".into(),
            strip_bytes: 0,
            precedence: 0,
            split: Vec::new(),
            policy: table::Policy {
                repeatable,
                objective: Duration::from_millis(100),
                deadline: Duration::from_secs(1),
                timeout: None,
                has_uniform_deadline: false,
                attempts: 1,
                rank: 0,
                audience: service::Audience::Everyone,
                is_open,
            },
        },
        service: "board".into(),
        body_bytes: if req.path.starts_with("/write/large") {
            LARGE_BODY_MAX_BYTES
        } else {
            BODY_MAX_BYTES
        },
        has_keys: needs_key || is_open,
        organisation: has_key.then(|| ORGANISATION.into()),
    }))
}

impl Listener {
    pub fn connect(&self) -> Caller {
        let stream = TcpStream::connect(self.address).expect("listener must accept");
        stream
            .set_read_timeout(Some(TIMEOUT))
            .expect("timeout must be valid");
        stream.set_nodelay(true).expect("option must be set");
        Caller {
            reader: BufReader::new(stream.try_clone().expect("stream must be cloned")),
            stream,
        }
    }

    pub fn event(&self) -> Event {
        let event = self.events.recv_timeout(TIMEOUT);
        event.expect("listener must send an event")
    }

    /// The next call.
    pub fn call(&self) -> Box<Call> {
        match self.event() {
            Event::Call(call) => call,
            other => panic!("a call is expected: {other:?}"),
        }
    }

    /// Whether no event was sent before the listener has responded to another caller, a few
    /// times, so that it had every occasion to send one.
    pub fn is_quiet(&self) -> bool {
        for _ in 0..5 {
            let mut other = self.connect();
            other.send("GET /nowhere HTTP/1.1\r\nhost: x\r\n\r\n");
            assert_eq!(other.response().status, 404);
            thread::sleep(Duration::from_millis(2));
        }
        self.events.try_recv().is_err()
    }

    pub fn set_tables(&self, tables: Tables) {
        *self.tables.lock().expect("no test panics here") = tables;
    }

    /// The refusals that the listener has counted.
    pub fn refusals(&self) -> Vec<Refusal> {
        self.refusals.lock().expect("no test panics here").clone()
    }

    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Whether the listener ends without a further event.
    pub fn has_ended(&self) -> bool {
        let event = self.events.recv_timeout(TIMEOUT);
        matches!(event, Err(mpsc::RecvTimeoutError::Disconnected))
    }
}

/// Answers a call with a body.
pub fn answer(call: Call, body: impl Into<Bytes>) {
    let head = http_message::ResponseHead {
        status: 200,
        headers: Vec::new(),
    };
    // The caller may have left.
    let _ = call.reply_to.send(CallerResult {
        kind: CallerResultKind::Answer(head, body.into()),
        ticket: None,
        retry_after: None,
    });
}

/// A caller on one connection.
pub struct Caller {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub closes: bool,
    pub retry_after: Option<String>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).expect("body must be text")
    }
}

impl Caller {
    pub fn send(&mut self, bytes: &str) {
        self.try_send(bytes).expect("listener must take the bytes");
    }

    pub fn try_send(&mut self, bytes: &str) -> std::io::Result<()> {
        self.stream.write_all(bytes.as_bytes())
    }

    /// Writes as many of the bytes as the connection takes without waiting.
    pub fn send_what_fits(&mut self, bytes: &[u8]) {
        self.stream.set_nonblocking(true).expect("mode must be set");
        let mut left = bytes;
        while let Ok(len) = self.stream.write(left) {
            left = &left[len..];
            if left.is_empty() {
                break;
            }
        }
        self.stream
            .set_nonblocking(false)
            .expect("mode must be set");
    }

    /// Reads one response whose length is stated.
    pub fn response(&mut self) -> Response {
        let mut response = Response {
            status: 0,
            closes: false,
            retry_after: None,
            body: Vec::new(),
        };
        let mut len = 0;
        loop {
            let mut line = String::new();
            self.reader.read_line(&mut line).expect("line must arrive");
            let line = line.trim_end().to_ascii_lowercase();
            if let Some(status) = line.strip_prefix("http/1.1 ") {
                response.status = status[..3].parse().expect("status must be a number");
            }
            if let Some(value) = line.strip_prefix("content-length: ") {
                len = value.parse().expect("length must be a number");
            }
            if let Some(value) = line.strip_prefix("retry-after: ") {
                response.retry_after = Some(value.into());
            }
            response.closes |= line == "connection: close";
            if line.is_empty() {
                break;
            }
        }
        response.body = vec![0; len];
        self.reader
            .read_exact(&mut response.body)
            .expect("body must arrive");
        response
    }

    /// Whether the listener closes the connection without a further byte.
    pub fn is_closed(&mut self) -> bool {
        matches!(self.reader.read(&mut [0; 1]), Ok(0))
    }

    pub fn close_sending_half(&self) {
        self.stream
            .shutdown(Shutdown::Write)
            .expect("stream must be open");
    }
}
