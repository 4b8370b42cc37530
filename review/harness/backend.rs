//! Stand-in for a backend and for the heartbeats that it sends to the daemon on its host.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message, Server};
use crate::record::Record;

pub const SLOTS: usize = 18;
/// Time from a crash to the next start.
const DOWN: Duration = Duration::from_secs(2);

/// Start of a run.
#[derive(Clone, Debug)]
pub struct Run {
    /// The client's `Attempt-Id`.
    pub id: String,
    /// The backend's first id.
    pub backend: String,
    pub at: Duration,
}

/// Whether a request crashes the backend that begins to run it.
pub type Crashes = fn(&Message) -> bool;

/// One start of a backend.
#[derive(Clone, Default)]
struct Incarnation {
    id: String,
    born: u64,
    server: Server,
    is_down: bool,
}

#[derive(Clone)]
pub struct Backend {
    /// The id of the first incarnation; later ones add a number.
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
    running: Arc<AtomicUsize>,
    sequence: Arc<AtomicU64>,
    incarnation: Arc<Mutex<Incarnation>>,
    /// Whether no more heartbeats are sent.
    is_quiet: Arc<AtomicBool>,
    crashes: Option<Crashes>,
    record: Record,
}

fn unix_millis() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(0)
}

impl Backend {
    pub fn start(
        id: &str,
        service: &str,
        runs: &Arc<Mutex<Vec<Run>>>,
        crashes: Option<Crashes>,
        record: &Record,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("socket must bind");
        let backend = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().expect("socket must have an address"),
            runs: runs.clone(),
            running: Arc::default(),
            sequence: Arc::default(),
            incarnation: Arc::default(),
            is_quiet: Arc::default(),
            crashes,
            record: record.clone(),
        };
        backend.serve(listener, id.to_owned());
        backend
    }

    fn serve(&self, listener: TcpListener, id: String) {
        let handler = self.clone();
        let mut incarnation = self.incarnation.lock().unwrap();
        self.sequence.store(0, Ordering::SeqCst);
        *incarnation = Incarnation {
            id,
            born: unix_millis(),
            server: Server::start(listener, move |request| handler.handle(request)),
            is_down: false,
        };
    }

    /// Ends this incarnation; the next one starts after [`DOWN`].
    fn crash(&self) {
        let mut incarnation = self.incarnation.lock().unwrap();
        if incarnation.is_down {
            return;
        }
        incarnation.is_down = true;
        incarnation.server.crash();
        self.record.line(&format!("crash of {}", incarnation.id));
        let backend = self.clone();
        let id = format!("{}-{}", self.id, incarnation.born);
        thread::spawn(move || {
            thread::sleep(DOWN);
            if let Ok(listener) = TcpListener::bind(backend.address) {
                backend.running.store(0, Ordering::SeqCst);
                backend.serve(listener, id);
            }
        });
    }

    /// Runs a request for as long as its path says, `/prefix/work=MS`, but no longer than its
    /// deadline.
    fn handle(&self, request: &Message) -> Option<Vec<u8>> {
        let own_id = self.incarnation.lock().unwrap().id.clone();
        let load = format!("{},0,{SLOTS},100", self.running.load(Ordering::SeqCst));
        if request.target() == "/health" {
            let headers = [
                ("Instance-Id", own_id.as_str()),
                ("Server-Load", load.as_str()),
            ];
            return Some(http::response(200, &headers, b""));
        }
        let attempt = request.header("attempt-id").unwrap_or_default().to_owned();
        let refuse = |status| {
            let headers = [("Attempt-Id", attempt.as_str()), ("Not-Executed", "1")];
            Some(http::response(status, &headers, b""))
        };
        if attempt.is_empty() {
            return refuse(400);
        }
        if request
            .header("target-instance")
            .is_some_and(|id| id != own_id)
        {
            return refuse(421);
        }
        if self.running.fetch_add(1, Ordering::SeqCst) >= SLOTS {
            self.running.fetch_sub(1, Ordering::SeqCst);
            return refuse(503);
        }
        let run = Run {
            id: attempt.clone(),
            backend: self.id.clone(),
            at: self.record.now(),
        };
        self.record
            .line(&format!("run {} at {}", run.id, run.backend));
        self.runs.lock().unwrap().push(run);
        if self.crashes.is_some_and(|crashes| crashes(request)) {
            self.crash();
            return None;
        }
        let work = request
            .target()
            .rsplit_once("work=")
            .and_then(|(_, ms)| ms.parse().ok());
        let deadline = request.header("deadline-ms").and_then(|ms| ms.parse().ok());
        let deadline = deadline.unwrap_or(u64::MAX);
        let work = work.unwrap_or(5);
        thread::sleep(Duration::from_millis(work.min(deadline)));
        self.running.fetch_sub(1, Ordering::SeqCst);
        let status = if work <= deadline { 200 } else { 504 };
        let seal = format!("seal.{}.{attempt}", self.id);
        let headers = [
            ("Attempt-Id", attempt.as_str()),
            ("Server-Seal", seal.as_str()),
            ("Server-Load", load.as_str()),
        ];
        let body = format!("answer to {attempt}");
        Some(http::response(status, &headers, body.as_bytes()))
    }

    /// Sends heartbeats to the daemon's `control` address until the backend leaves.
    pub fn beat(&self, control: SocketAddr, zone: &str) {
        let (backend, zone) = (self.clone(), zone.to_owned());
        thread::spawn(move || {
            while !backend.is_quiet.load(Ordering::SeqCst) {
                let acked = backend.beat_once(control, &zone);
                thread::sleep(Duration::from_millis(if acked { 1500 } else { 200 }));
            }
        });
    }

    /// The body of the next heartbeat.
    pub fn next_beat(&self, zone: &str) -> String {
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{zone}","version":"v1","slots":{SLOTS},"state":"ready","coldRemainingS":0,"sequence":{},"born":{}}}"#,
            self.service,
            self.address,
            self.sequence.fetch_add(1, Ordering::SeqCst) + 1,
            self.incarnation.lock().unwrap().born
        )
    }

    /// Sends `POST /api/instances/ID/CALL` to the daemon; returns whether it was acknowledged.
    pub fn post(&self, control: SocketAddr, call: &str, body: &str) -> bool {
        let id = self.incarnation.lock().unwrap().id.clone();
        let request = format!(
            "POST /api/instances/{id}/{call} HTTP/1.1\r\nHost: {control}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
            body.len()
        );
        let acked = http::call(control, request.as_bytes(), Duration::from_secs(1));
        acked.is_some_and(|response| response.status() / 100 == 2)
    }

    /// Deregisters until that is acknowledged, and sends no more heartbeats. The backend goes on
    /// serving. Returns whether it was acknowledged in time.
    pub fn deregister(&self, control: SocketAddr, timeout: Duration) -> bool {
        self.is_quiet.store(true, Ordering::SeqCst);
        let body = format!(r#"{{"born":{}}}"#, self.incarnation.lock().unwrap().born);
        let until = self.record.now() + timeout;
        while self.record.now() < until {
            if self.post(control, "deregister", &body) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn beat_once(&self, control: SocketAddr, zone: &str) -> bool {
        if self.incarnation.lock().unwrap().is_down {
            return false;
        }
        self.post(control, "heartbeat", &self.next_beat(zone))
    }
}
