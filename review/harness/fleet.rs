//! A small deployment: the store, and daemons as separate processes with their backends.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::{Backend, Crashes, Run};
use crate::http;
use crate::json;
use crate::proxy::Proxy;
use crate::record::Record;
use crate::store::Store;

const DAEMON: &str = "target/release/pollenrouter";
/// `graceS`.
const GRACE: Duration = Duration::from_secs(6);
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// One machine: a daemon and the backend beside it.
pub struct Machine {
    pub name: String,
    pub backend: Backend,
    pub outbound: SocketAddr,
    pub control: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct Fleet {
    pub machines: Vec<Machine>,
    pub store: Store,
    /// Between the daemons and the store.
    pub proxy: Proxy,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub folder: PathBuf,
}

/// A free address for a listener, outside the range that the system takes ports of outgoing
/// connections from.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    loop {
        let offset = u32::from(NEXT.fetch_add(1, Ordering::SeqCst)) + std::process::id() * 37;
        let port = 20_000 + u16::try_from(offset % 10_000).unwrap_or(0);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

impl Fleet {
    /// Starts one machine for each of `services`, in the zone that stands beside it, with the
    /// configuration that is given, and waits until all daemons are ready.
    pub fn start(services: &[(&str, &str)], config: &str, record: &Record) -> Self {
        Self::start_with(services, config, None, record)
    }

    /// Starts a deployment whose store is set up by `set_up`.
    pub fn start_on(
        services: &[(&str, &str)],
        config: &str,
        record: &Record,
        set_up: impl Fn(&Store),
    ) -> Self {
        Self::start_all(services, config, None, record, set_up)
    }

    /// Starts a deployment in which some requests crash the backends that run them.
    pub fn start_with(
        services: &[(&str, &str)],
        config: &str,
        crashes: Option<Crashes>,
        record: &Record,
    ) -> Self {
        Self::start_all(services, config, crashes, record, |_| {})
    }

    fn start_all(
        services: &[(&str, &str)],
        config: &str,
        crashes: Option<Crashes>,
        record: &Record,
        set_up: impl Fn(&Store),
    ) -> Self {
        let folder = folder();
        fs::create_dir_all(&folder).expect("the folder must be writable");
        let store = Store::default();
        set_up(&store);
        let listener = TcpListener::bind("127.0.0.1:0").expect("socket must bind");
        let behind = listener.local_addr().expect("socket must have an address");
        store.serve(listener);
        let proxy = Proxy::default();
        let listener = TcpListener::bind("127.0.0.1:0").expect("socket must bind");
        let store_address = listener.local_addr().expect("socket must have an address");
        proxy.serve(listener, behind);
        store.put(
            "config",
            "main",
            json::parse(config).expect("the configuration must be JSON"),
        );
        let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
        let mut fleet = Self {
            machines: Vec::new(),
            store,
            proxy,
            runs,
            folder,
        };
        for (i, (service, zone)) in services.iter().enumerate() {
            let name = format!("sidecar-{zone}-{}", i + 1);
            let backend = Backend::start(
                &format!("i-{}", i + 1),
                service,
                &fleet.runs,
                crashes,
                record,
            );
            let machine = Machine {
                outbound: free_address(),
                control: free_address(),
                ready: free_address(),
                settings: fleet.folder.join(format!("{name}.yaml")),
                log: fleet.folder.join(format!("{name}.log")),
                child: None,
                name,
                backend,
            };
            // deploy/settings.yaml, with the values of a small deployment.
            let settings = format!(
                "host: {}\nfailure_domain: {zone}\nprofile: platform\nplatform: http://{store_address}\nservice: {service}\ntarget: {}\nannounce_period_s: 1.5\ngrace_s: 6\nretry:\n  ratio: 0.2\n  slack: 62\nlisten:\n  public: {}\n  target: {}\n  operator: {}\n  metrics: {}\n  daemons: {}\ndaemons: unauthenticated\nanswer_wait_ms: 200\nlimits:\n  slot_percent: 84\n  cold_percent: 100\n  depth_levels: 0\n  request_bytes: 16777216\n  answer_bytes: 16777216\n",
                machine.name,
                machine.backend.address,
                machine.outbound,
                machine.control,
                machine.ready,
                free_address(),
                free_address(),
            );
            fs::write(&machine.settings, settings).expect("the settings must be writable");
            machine.backend.beat(machine.control, zone);
            fleet.machines.push(machine);
        }
        for machine in &mut fleet.machines {
            machine.start();
        }
        for machine in &fleet.machines {
            machine.wait_until_ready();
        }
        // Heartbeats and members have gone round by then.
        thread::sleep(Duration::from_secs(4));
        fleet
    }
}

impl Fleet {
    /// Sends short requests with `request`, which is given an id, to one machine until each
    /// backend has run one.
    pub fn warm_up(&self, request: impl Fn(&str) -> String) {
        let until = Instant::now() + READY_TIMEOUT;
        for i in 0.. {
            let text = request(&format!("warm{i}"));
            http::call(
                self.machines[0].outbound,
                text.as_bytes(),
                Duration::from_secs(2),
            );
            let runs = self.runs.lock().unwrap().clone();
            let has_run = |m: &Machine| runs.iter().any(|run| run.backend == m.backend.id);
            if self.machines.iter().all(has_run) {
                return;
            }
            if Instant::now() > until {
                cannot_run("some backend gets no request");
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Machine {
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("the log must be writable");
        let child = Command::new(DAEMON)
            .args(["run", "--settings"])
            .arg(&self.settings)
            .env_clear()
            .env("POLLENROUTER_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log must be writable"))
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => self.child = Some(child),
            Err(err) => cannot_run(&format!("could not start {DAEMON}: {err}")),
        }
    }

    pub fn is_ready(&self) -> bool {
        let request = format!(
            "GET /api/ready HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n",
            self.ready
        );
        let response = http::call(self.ready, request.as_bytes(), Duration::from_secs(1));
        response.is_some_and(|response| response.status() == 200)
    }

    pub fn wait_until_ready(&self) {
        let until = Instant::now() + READY_TIMEOUT;
        while !self.is_ready() {
            if Instant::now() > until {
                cannot_run(&format!("{} is not ready", self.name));
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal to the daemon, such as `STOP`.
    pub fn signal(&self, name: &str) {
        let pid = self.pid().to_string();
        let _ = Command::new("kill")
            .args([&format!("-{name}"), &pid])
            .status();
    }

    /// Memory of the daemon, MB.
    pub fn memory_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status
            .lines()
            .find(|line| line.starts_with("VmRSS:"))
            .unwrap_or_default();
        let kb: u64 = line
            .split_whitespace()
            .nth(1)
            .and_then(|kb| kb.parse().ok())
            .unwrap_or(0);
        kb / 1024
    }

    /// Stops the daemon with SIGTERM, and with SIGKILL after the grace time.
    pub fn stop(&mut self) {
        self.signal("TERM");
        let until = Instant::now() + GRACE;
        while !self.has_ended() && Instant::now() < until {
            thread::sleep(Duration::from_millis(10));
        }
        self.kill();
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the daemon has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            machine.kill();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs in {}", self.folder.display());
        }
    }
}

/// The temporary folder of this process.
fn folder() -> PathBuf {
    std::env::temp_dir().join(format!("pollenrouter-review-{}", std::process::id()))
}

/// Ends the script because the case could not run.
pub fn cannot_run(reason: &str) -> ! {
    println!("could not run: {reason}");
    // Children of this process get the signal as well.
    let _ = Command::new("pkill")
        .args(["-KILL", "-P", &std::process::id().to_string()])
        .status();
    let _ = fs::remove_dir_all(folder());
    std::process::exit(2)
}
