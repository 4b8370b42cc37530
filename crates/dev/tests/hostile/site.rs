//! The daemons under attack, and what must hold for them.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pollenrouter_dev::deployment::Deployment;

use crate::support;

/// Memory of the host, MB; less than half of that of the smallest host.
const MEMORY_MB: u64 = 64;
/// Memory of a host whose budget has room for two long answers, MB.
pub const TWO_ANSWERS_MB: u64 = 40;
/// Descriptors of the host.
pub const DESCRIPTORS: usize = 400;
/// Limit of the bodies of requests and answers, bytes.
pub const BODY_BYTES: usize = 4 << 20;
/// Size of the long answers, bytes: the stand-in adds a line to what it is asked for.
pub const ANSWER_BYTES: usize = BODY_BYTES - (4 << 10);
/// A request that is not answered for so long counts as hung. It is the time in which callers have to take
/// their responses, docs/CALLERS.md: by then each caller that takes nothing is cut off.
pub const HUNG_AFTER: Duration = Duration::from_secs(30);

/// Keeps the tests of this program apart: each needs the memory bounds for itself.
static TURN: Mutex<()> = Mutex::new(());

/// Two daemons. The target of `board` is beside the first, that of `assignment` beside the second.
pub struct Site {
    pub deployment: Deployment,
    memory_mb: u64,
    descriptors: usize,
    _turn: MutexGuard<'static, ()>,
}

impl Site {
    /// Starts the daemons with the lowered limits.
    pub fn start() -> Self {
        Self::with_memory(MEMORY_MB)
    }

    /// The same with this much memory, MB.
    pub fn with_memory(memory_mb: u64) -> Self {
        Self::with_limits(memory_mb, DESCRIPTORS)
    }

    /// The same with this many descriptors.
    pub fn with_limits(memory_mb: u64, descriptors: usize) -> Self {
        let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
        let mut plan = support::two_service_plan(1, 0);
        let dir = tempfile::TempDir::new().expect("directory must be created");
        for service in &plan.services {
            write_document(&plan.documents, dir.path(), service.name);
        }
        plan.documents = dir.path().to_path_buf();
        // The wait is that of deploy/settings.yaml: a call that its target does not end keeps its
        // slot for no longer after its deadline.
        plan.settings =
            format!("memory_mb: {memory_mb}\ndescriptors: {descriptors}\nanswer_wait_ms: 200\n");
        Self {
            deployment: Deployment::start(&plan).expect("deployment must start"),
            memory_mb,
            descriptors,
            _turn: turn,
        }
    }

    /// Address for callers of the first daemon.
    pub fn public(&self) -> SocketAddr {
        self.deployment.hosts[0].addresses.public
    }

    /// Asserts that the bounds hold now and that an ordinary request is answered.
    pub fn check(&self, name: &str) {
        self.check_service(name, "GET /board/refresh");
    }

    /// The same with a request that begins with `start`.
    pub fn check_service(&self, name: &str, start: &str) {
        self.check_bounds(name);
        let request = format!(
            "{start} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
        );
        self.check_answered(name, request.as_bytes());
        self.check_bounds(name);
    }

    /// Asserts that a request with a body of the maximum size is answered.
    pub fn check_large(&self, name: &str) {
        let head = format!(
            "POST /assignment/assign HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
             content-length: {BODY_BYTES}\r\npollenrouter-deadline-ms: 30000\r\n\r\n"
        );
        self.check_answered(name, &[head.as_bytes(), &vec![b'x'; BODY_BYTES]].concat());
        self.check_bounds(name);
    }

    /// Asserts that the daemons live and have not taken more than the host has.
    pub fn check_bounds(&self, name: &str) {
        for (index, host) in self.deployment.hosts.iter().enumerate() {
            let peak = support::memory_kib(&self.deployment, index, "VmHWM:");
            let pid = host.daemon.as_ref().expect("daemon must be running").pid();
            let open = fs::read_dir(format!("/proc/{pid}/fd")).expect("daemon must be running");
            let open = open.count();
            eprintln!("{name}: {}: peak {peak} KiB, {open} descriptors", host.name);
            assert!(
                peak <= self.memory_mb << 10,
                "{name}: peak memory of {} is {peak} KiB, its host has {} KiB",
                host.name,
                self.memory_mb << 10
            );
            assert!(
                open <= self.descriptors,
                "{name}: {} has {open} open descriptors, its host has {}",
                host.name,
                self.descriptors
            );
        }
    }

    /// Prints what the first daemon reports of its memory and its gate, to trace a failure.
    fn print_metrics(&self, name: &str, response: &[u8]) {
        let operator = self.deployment.hosts[0].addresses.operator;
        let metrics = exchange(operator, b"GET /metrics HTTP/1.0\r\n\r\n");
        let metrics = String::from_utf8_lossy(&metrics);
        let names = ["pollenrouter_memory_", "pollenrouter_gate_"];
        let lines = metrics
            .lines()
            .filter(|line| names.iter().any(|name| line.starts_with(name)));
        let response = String::from_utf8_lossy(response);
        eprintln!("{name}: response {:?}", response.lines().next());
        lines.for_each(|line| eprintln!("{name}: {line}"));
    }

    /// A refusal may come first: the requests of the crowd may still be in the way.
    fn check_answered(&self, name: &str, request: &[u8]) {
        let answered = format!("{name}: an ordinary request is answered");
        support::wait_until(&answered, || {
            let response = exchange(self.public(), request);
            let is_answered = response.starts_with(b"HTTP/1.1 200 ");
            if !is_answered {
                self.print_metrics(name, &response);
            }
            is_answered
        });
    }
}

/// Writes the example document of a service with the lowered limits.
fn write_document(from: &Path, to: &Path, name: &str) {
    let file = format!("{name}.yaml");
    let text = fs::read_to_string(from.join(&file)).expect("example must be readable");
    let limits = ["answer_bytes:", "request_bytes:"];
    let lines = text
        .lines()
        .filter(|line| !limits.iter().any(|limit| line.trim().starts_with(limit)));
    let text = lines.collect::<Vec<_>>().join("\n");
    let lowered = format!("limits:\n  request_bytes: {BODY_BYTES}\n  answer_bytes: {BODY_BYTES}\n");
    let text = text.replacen("limits:\n", &lowered, 1);
    fs::write(to.join(file), text).expect("document must be written");
}

/// Sends a request and returns what arrives before the connection ends; nothing if the
/// connection fails.
fn exchange(address: SocketAddr, request: &[u8]) -> Vec<u8> {
    let mut response = Vec::new();
    let Ok(mut stream) = TcpStream::connect(address) else {
        return response;
    };
    let timeouts = [
        stream.set_read_timeout(Some(HUNG_AFTER)),
        stream.set_write_timeout(Some(HUNG_AFTER)),
    ];
    assert!(timeouts.iter().all(Result::is_ok), "timeouts must be set");
    // The daemon may refuse the request before it has read it.
    let _ = stream.write_all(request);
    let _ = stream.read_to_end(&mut response);
    response
}
