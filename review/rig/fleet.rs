//! A small deployment: daemons as processes, backends, clients and the store as stand-ins.

use std::fs::{self, File};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::json::Json;
use crate::store::{Link, Store};

pub const HOST: &str = "jepu9.example";
const HEARTBEAT: Duration = Duration::from_millis(1500);
const DEADLINE: Duration = Duration::from_millis(1200);
/// `graceS` of the deployment.
const GRACE: Duration = Duration::from_secs(6);
const SIGTERM: i32 = 15;
const WORK: Duration = Duration::from_millis(20);

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// The request to this path from a machine of this service crashes each backend that runs it.
pub const POISON: &str = "/list/poison";
pub const POISON_CALLER: &str = "bookings";
const DOWN_TIME: Duration = Duration::from_secs(3);

/// A run at a backend.
#[derive(Clone)]
pub struct Run {
    pub at: Duration,
    pub attempt: String,
    pub service: String,
    pub backend: String,
}

/// A request of a client with its answer; status 0 means none.
#[derive(Clone)]
pub struct Sent {
    pub at: Duration,
    pub attempt: String,
    pub machine: String,
    pub path: String,
    pub status: u16,
}

/// What the clients, the backends and the operator have seen.
pub struct Log {
    start: Instant,
    pub lines: Mutex<Vec<(Duration, String)>>,
    pub runs: Mutex<Vec<Run>>,
    pub sent: Mutex<Vec<Sent>>,
    attempts: AtomicU64,
}

impl Log {
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn note(&self, text: String) {
        println!("{:8.3} {text}", self.now().as_secs_f64());
        self.lines.lock().unwrap().push((self.now(), text));
    }
}

pub struct Machine {
    pub name: String,
    pub zone: String,
    pub service: String,
    ip: Ipv4Addr,
    store: SocketAddr,
    child: Mutex<Option<Child>>,
    /// While set, the backend of the machine sends no heartbeats and answers nothing.
    pub is_lost: Arc<AtomicBool>,
    /// While set, the backend of the machine sends no heartbeats.
    pub is_quiet: Arc<AtomicBool>,
    /// Start of the backend, Unix milliseconds.
    born: Mutex<u128>,
    /// Times that the backend has started again.
    restarts: AtomicU64,
    server: OnceLock<Arc<http::Server>>,
    /// Number of its latest heartbeat.
    sequence: AtomicU64,
}

impl Machine {
    fn address(&self, port: u16) -> SocketAddr {
        (self.ip, port).into()
    }
    pub fn app(&self) -> SocketAddr {
        self.address(8301)
    }
    pub fn outbound(&self) -> SocketAddr {
        self.address(8304)
    }
    pub fn ready(&self) -> SocketAddr {
        self.address(8302)
    }
    pub fn control(&self) -> SocketAddr {
        self.address(8306)
    }
    /// Id of the backend.
    pub fn backend(&self) -> String {
        match self.restarts.load(Ordering::SeqCst) {
            0 => format!("i-{}", self.name),
            n => format!("i-{}-{n}", self.name),
        }
    }

    pub fn born(&self) -> u128 {
        *self.born.lock().unwrap()
    }

    /// The backend crashes, and is back after some seconds as a new incarnation.
    fn crash(self: &Arc<Self>) {
        if self.is_quiet.swap(true, Ordering::SeqCst) {
            return;
        }
        let machine = self.clone();
        thread::spawn(move || {
            let server = machine.server.get().expect("server of the backend");
            server.crash();
            thread::sleep(DOWN_TIME);
            machine.restarts.fetch_add(1, Ordering::SeqCst);
            machine.sequence.store(0, Ordering::SeqCst);
            *machine.born.lock().unwrap() = unix_millis();
            if server.listen().is_ok() {
                machine.is_quiet.store(false, Ordering::SeqCst);
            }
        });
    }

    /// Fills in the template of the deploy file.
    fn settings(&self) -> String {
        let template =
            fs::read_to_string("deploy/settings.yaml").expect("template of the settings");
        let values = [
            ("node", self.name.clone()),
            ("zone", self.zone.clone()),
            ("platform.address", self.store.to_string()),
            ("service", self.service.clone()),
            ("appAddr", self.app().to_string()),
            ("heartbeatS", HEARTBEAT.as_secs_f64().to_string()),
            ("bounds.graceS", "6".to_owned()),
            ("bounds.retryBudgetRatio", "0.2".to_owned()),
            ("bounds.retryBudgetSlack", "62".to_owned()),
            ("listen.outbound", self.outbound().to_string()),
            ("listen.control", self.control().to_string()),
            ("listen.ready", self.ready().to_string()),
            ("ip", self.ip.to_string()),
            ("internalPorts.0", "7620".to_owned()),
        ];
        let fill = |text: String, (name, value): &(&str, String)| {
            text.replace(&format!("{{{{{name}}}}}"), value)
        };
        let filled = values.iter().fold(template, fill);
        assert!(
            !filled.contains("{{"),
            "a field of the template is unknown: {filled}"
        );
        filled
    }

    /// The body of the backend's next heartbeat.
    pub fn next_heartbeat(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let (service, address, zone, born) = (&self.service, self.app(), &self.zone, self.born());
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":9,"state":"ready","coldRemainingS":0,"sequence":{sequence},"born":{born}}}"#
        )
    }

    /// Sends a message of the backend to the daemon beside it; returns the status, 0 without an
    /// answer.
    pub fn say(&self, what: &str, body: &str) -> u16 {
        let path = format!("/api/instances/{}/{what}", self.backend());
        let headers = [("Content-Type", "application/json")];
        let timeout = Duration::from_secs(1);
        let answer = http::request(self.control(), "POST", &path, &headers, body, timeout);
        answer.map_or(0, |answer| answer.status())
    }

    /// Stops the process with SIGTERM, and with SIGKILL after the grace time.
    pub fn stop(&self) {
        let mut child = self.child.lock().unwrap();
        let Some(mut process) = child.take() else {
            return;
        };
        // The process has not been waited for, so its id is still its own.
        unsafe { kill(process.id().cast_signed(), SIGTERM) };
        let deadline = Instant::now() + GRACE;
        while process.try_wait().is_ok_and(|status| status.is_none()) && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(10));
        }
        let _ = process.kill();
        let _ = process.wait();
    }

    /// Ends the process at once, as a loss of power does.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn has_ended(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child
            .as_mut()
            .is_some_and(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }
}

pub struct Fleet {
    pub dir: PathBuf,
    pub log: Arc<Log>,
    pub store: Arc<Store>,
    pub link: Arc<Link>,
    pub machines: Vec<Arc<Machine>>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for machine in &self.machines {
            machine.kill();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

fn unix_millis() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis())
}

impl Fleet {
    /// Starts the stand-ins of a deployment; `layout` has zone, name and service of each machine.
    pub fn new(layout: &[(&str, &str, &str)]) -> Self {
        let pid = std::process::id();
        let ip = |n: usize| Ipv4Addr::new(127, 32 + (pid >> 8) as u8 % 64, pid as u8, 10 + n as u8);
        let dir = std::env::temp_dir().join(format!("pollenrouter-review-{pid}"));
        fs::create_dir_all(&dir).expect("temporary folder");
        let log = Arc::new(Log {
            start: Instant::now(),
            lines: Mutex::default(),
            runs: Mutex::default(),
            sent: Mutex::default(),
            attempts: AtomicU64::new(1),
        });
        let (store, link) = (Arc::new(Store::default()), Arc::new(Link::default()));
        let (platform, behind) = (
            SocketAddr::from((ip(0), 8309)),
            SocketAddr::from((ip(0), 8310)),
        );
        store.serve(behind).expect("store must listen");
        link.serve(platform, behind).expect("link must listen");
        let machines = layout.iter().enumerate().map(|(n, (zone, name, service))| {
            Arc::new(Machine {
                name: (*name).to_owned(),
                zone: (*zone).to_owned(),
                service: (*service).to_owned(),
                ip: ip(n + 1),
                store: platform,
                child: Mutex::default(),
                is_lost: Arc::default(),
                is_quiet: Arc::default(),
                born: Mutex::new(unix_millis()),
                restarts: AtomicU64::new(0),
                server: OnceLock::new(),
                sequence: AtomicU64::new(0),
            })
        });
        Self {
            dir,
            log,
            store,
            link,
            machines: machines.collect(),
        }
    }

    pub fn start_daemon(&self, machine: &Machine) {
        let settings = self.dir.join(format!("{}.yaml", machine.name));
        fs::write(&settings, machine.settings()).expect("settings must be written");
        let out = File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{}.log", machine.name)));
        let out = out.expect("log of a daemon");
        let child = Command::new("target/release/pollenrouter")
            .args(["run", "--settings"])
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(out.try_clone().expect("log of a daemon"))
            .stderr(out)
            .spawn();
        match child {
            Ok(child) => *machine.child.lock().unwrap() = Some(child),
            Err(err) => unusable(self, &format!("the daemon does not start: {err}")),
        }
    }

    /// Starts all daemons and backends, and waits until every daemon is ready and serves.
    pub fn start(&self, probe: &[&str]) {
        for machine in &self.machines {
            self.start_daemon(machine);
            self.start_backend(machine);
        }
        let deadline = Instant::now() + Duration::from_secs(20);
        let serves = |machine: &Arc<Machine>| {
            let ready = http::request(
                machine.ready(),
                "GET",
                "/api/ready",
                &[],
                "",
                Duration::from_secs(1),
            );
            ready.is_some_and(|answer| answer.status() == 200)
                && probe.iter().all(|path| self.request(machine, path) == 200)
        };
        for machine in &self.machines {
            while !serves(machine) {
                if Instant::now() > deadline {
                    unusable(self, &format!("{} does not serve", machine.name));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        self.log.note("all daemons are ready and serve".to_owned());
        self.log.sent.lock().unwrap().clear();
        self.log.runs.lock().unwrap().clear();
    }

    fn start_backend(&self, machine: &Arc<Machine>) {
        let (log, owner) = (self.log.clone(), machine.clone());
        let server = http::Server::new(machine.app(), move |message| answer(&log, &owner, message));
        if let Err(err) = server.listen() {
            unusable(self, &format!("a backend cannot listen: {err}"));
        }
        let _ = machine.server.set(server);
        let machine = machine.clone();
        thread::spawn(move || {
            while !machine.is_lost.load(Ordering::SeqCst) {
                if !machine.is_quiet.load(Ordering::SeqCst) {
                    let body = machine.next_heartbeat();
                    machine.say("heartbeat", &body);
                }
                thread::sleep(HEARTBEAT);
            }
        });
    }

    /// Sends a request from a client on a machine; returns the status, 0 without an answer.
    pub fn request(&self, machine: &Machine, path: &str) -> u16 {
        send(&self.log, machine, path)
    }

    /// Lets clients on a machine send requests to these paths, one every `gap` each.
    pub fn start_clients(
        &self,
        machine: &Arc<Machine>,
        paths: &[&'static str],
        gap: Duration,
        until: Duration,
    ) {
        for path in paths.iter().copied() {
            let (log, machine) = (self.log.clone(), machine.clone());
            thread::spawn(move || {
                while log.now() < until && !machine.is_lost.load(Ordering::SeqCst) {
                    let (log, machine) = (log.clone(), machine.clone());
                    thread::spawn(move || send(&log, &machine, path));
                    thread::sleep(gap);
                }
            });
        }
    }

    pub fn sleep_until(&self, at: Duration) {
        thread::sleep(at.saturating_sub(self.log.now()));
    }

    /// Writes the record: what was sent, answered and run, and what the script did.
    pub fn write_record(&self, path: &str) {
        let mut lines: Vec<(Duration, String)> = self.log.lines.lock().unwrap().clone();
        for sent in self.log.sent.lock().unwrap().iter() {
            let Sent {
                at,
                attempt,
                machine,
                path,
                status,
            } = sent;
            lines.push((
                *at,
                format!("sent {attempt} {path} at {machine}: answered {status}"),
            ));
        }
        for run in self.log.runs.lock().unwrap().iter() {
            let Run {
                at,
                attempt,
                service,
                backend,
            } = run;
            lines.push((*at, format!("run {attempt} by {backend} of {service}")));
        }
        lines.sort();
        let mut out = File::create(path).expect("record");
        for (at, text) in lines {
            let _ = writeln!(out, "{:8.3} {text}", at.as_secs_f64());
        }
    }
}

/// Ends the script: the case could not run.
pub fn unusable(fleet: &Fleet, reason: &str) -> ! {
    println!(
        "the case could not run: {reason}; logs in {}",
        fleet.dir.display()
    );
    for machine in &fleet.machines {
        machine.kill();
    }
    std::process::exit(2);
}

fn answer(log: &Log, machine: &Arc<Machine>, message: &Message) -> Option<http::Answer> {
    if machine.is_lost.load(Ordering::SeqCst) {
        return None;
    }
    let load = ("Server-Load", "1,0,9,100".to_owned());
    let path = message.start.split(' ').nth(1).unwrap_or("");
    if path == "/health" {
        return Some((
            200,
            vec![("Instance-Id", machine.backend()), load],
            String::new(),
        ));
    }
    let Some(attempt) = message.header("Attempt-Id") else {
        return Some((400, vec![("Not-Executed", "1".to_owned())], String::new()));
    };
    let echo = ("Attempt-Id", attempt.to_owned());
    if message
        .header("Target-Instance")
        .is_some_and(|target| target != machine.backend())
    {
        return Some((
            421,
            vec![echo, ("Not-Executed", "1".to_owned())],
            String::new(),
        ));
    }
    log.runs.lock().unwrap().push(Run {
        at: log.now(),
        attempt: attempt.to_owned(),
        service: machine.service.clone(),
        backend: machine.backend(),
    });
    thread::sleep(WORK);
    let caller = message.header("Caller-Service").unwrap_or("");
    if path == POISON && caller == POISON_CALLER {
        machine.crash();
        thread::sleep(DOWN_TIME);
        return None;
    }
    let seal = ("Server-Seal", format!("seal.{attempt}"));
    Some((
        200,
        vec![echo, seal, load],
        format!("{attempt} {}", machine.service),
    ))
}

fn send(log: &Log, machine: &Machine, path: &str) -> u16 {
    let at = log.now();
    let attempt = format!("{:016x}", log.attempts.fetch_add(1, Ordering::SeqCst));
    let deadline = DEADLINE.as_millis().to_string();
    let headers = [
        ("Host", HOST),
        ("Attempt-Id", attempt.as_str()),
        ("Deadline-Ms", deadline.as_str()),
    ];
    let answer = http::request(machine.outbound(), "GET", path, &headers, "", DEADLINE);
    let status = answer.map_or(0, |answer| answer.status());
    log.sent.lock().unwrap().push(Sent {
        at,
        attempt,
        machine: machine.name.clone(),
        path: path.to_owned(),
        status,
    });
    status
}

/// A configuration; `routes` has the prefix and the service of each.
pub fn config(version: u32, routes: &[(&str, &str)], services: &[&str]) -> Json {
    let routes: Vec<String> = routes
        .iter()
        .map(|(prefix, service)| {
            let name = prefix.trim_matches('/');
            format!(
                r#""{name}":{{"name":"{name}","host":"{HOST}","pathPrefix":"{prefix}","kind":"safe","timeoutS":2,"targetLatencyS":0.4,"priority":1,"service":"{service}","maxAttempts":2}}"#
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(r#""{name}":{{"name":"{name}","healthPath":"/health","maxConnections":260}}"#)
        })
        .collect();
    let text = format!(
        r#"{{"version":"r{version}","routes":{{{}}},"services":{{{}}},"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutS":3,"idleTimeoutS":15}}}}"#,
        routes.join(","),
        services.join(",")
    );
    Json::parse(&text).expect("configuration must be JSON")
}
