//! DRAIN: a backend that has left, which its daemon has acknowledged, gets requests again after
//! daemons were started again. A heartbeat from before its departure arrives late.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::fleet::{Fleet, cannot_run};
use crate::http;
use crate::record::Record;

const CONFIG: &str = r#"{"version":"r7","routes":{"r-list":{"host":"list.example","pathPrefix":"/list/","kind":"unsafe","timeoutS":2,"targetLatencyS":1,"priority":1,"service":"list","maxAttempts":2}},"services":{"list":{"healthPath":"/health","maxConnections":260,"protocol":"h1","tls":false},"other":{"healthPath":"/health","maxConnections":260,"protocol":"h1","tls":false}},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}"#;
const SERVICES: [(&str, &str); 6] = [
    ("list", "north"),
    ("other", "north"),
    ("list", "south"),
    ("other", "south"),
    ("list", "west"),
    ("other", "west"),
];
/// The machine whose backend leaves, and its zone.
const LEAVING: usize = 0;
const ZONE: &str = "north";
/// `drainS` of mghhc-mesh-grown; 2 s at mghhc-mesh.
const DRAIN: Duration = Duration::from_millis(2500);
const STABLE_WINDOW: Duration = Duration::from_secs(3);
const ACK_TIMEOUT: Duration = Duration::from_secs(4);
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// A request: its id, and when it was sent.
type Sent = (String, Duration);

/// Clients that send requests to all machines until the end of the script.
struct Clients {
    sent: Arc<Mutex<Vec<Sent>>>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Clients {
    fn start(fleet: &Fleet, until: Duration, record: &Record) -> Self {
        let sent = Arc::<Mutex<Vec<Sent>>>::default();
        let clients = fleet.machines.iter().enumerate().map(|(i, machine)| {
            let (outbound, sent, record) = (machine.outbound, sent.clone(), record.clone());
            thread::spawn(move || {
                let mut calls = Vec::new();
                for n in 0.. {
                    if record.now() > until {
                        break;
                    }
                    let id = format!("m{}-{n:04}", i + 1);
                    sent.lock().unwrap().push((id.clone(), record.now()));
                    let record = record.clone();
                    calls.push(thread::spawn(move || send(outbound, &id, &record)));
                    thread::sleep(REQUEST_INTERVAL);
                }
                for call in calls {
                    let _ = call.join();
                }
            })
        });
        let threads = clients.collect();
        Self { sent, threads }
    }

    fn join(self) -> Vec<Sent> {
        for thread in self.threads {
            let _ = thread.join();
        }
        self.sent.lock().unwrap().clone()
    }
}

fn send(outbound: SocketAddr, id: &str, record: &Record) {
    let request = format!(
        "POST /list/work=20 HTTP/1.1\r\nHost: list.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 2000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    );
    record.line(&format!("sent {id}"));
    let response = http::call(outbound, request.as_bytes(), Duration::from_secs(2));
    record.line(&format!(
        "answered {id} {}",
        response.map_or(0, |response| response.status())
    ));
}

fn sleep_until(at: Duration, record: &Record) {
    thread::sleep(at.saturating_sub(record.now()));
}

/// The backend leaves; returns its last heartbeat, which is still on its way, and when the
/// departure was acknowledged.
fn leave(fleet: &Fleet, record: &Record) -> (String, Duration) {
    let machine = &fleet.machines[LEAVING];
    let delayed = machine.backend.next_beat(ZONE);
    record.line("the backend sends a heartbeat, which is delayed, and deregisters");
    if !machine.backend.deregister(machine.control, ACK_TIMEOUT) {
        cannot_run("the departure is not acknowledged");
    }
    record.say("the departure is acknowledged; the backend serves on for some seconds");
    (delayed, record.now())
}

fn deliver(delayed: &str, fleet: &Fleet, record: &Record) {
    let machine = &fleet.machines[LEAVING];
    let acked = machine.backend.post(machine.control, "heartbeat", delayed);
    record.say(&format!(
        "the delayed heartbeat arrives, acknowledged: {acked}"
    ));
}

/// Whether requests have reached the backend that were sent later than `drainS` after the
/// acknowledgement, and when its daemon had been in touch again since `in_touch`.
fn check(
    clients: Clients,
    fleet: &Fleet,
    acked: Duration,
    in_touch: Duration,
    record: &Record,
) -> bool {
    let sent = clients.join();
    let runs = fleet.runs.lock().unwrap().clone();
    let left = &fleet.machines[LEAVING].backend.id;
    let is_bound = |at: Duration| at > acked + DRAIN && at > in_touch;
    let bound: Vec<&Sent> = sent.iter().filter(|(_, at)| is_bound(*at)).collect();
    let has_reached = |id: &str| runs.iter().any(|run| run.id == id && run.backend == *left);
    let late: Vec<&&Sent> = bound.iter().filter(|(id, _)| has_reached(id)).collect();
    let after = |sent: Option<&&&Sent>| sent.map_or(0.0, |(_, at)| (*at - acked).as_secs_f64());
    record.say(&format!(
        "{} requests sent later than {} s after the acknowledgement, by machines in touch; {} reached the backend, sent {:.1} to {:.1} s after it",
        bound.len(),
        DRAIN.as_secs_f64(),
        late.len(),
        after(late.first()),
        after(late.last())
    ));
    !late.is_empty()
}

/// The store is up when the backend leaves. Then it is down, and the daemon is stopped and started
/// again, as planned.
pub fn run_forgotten(trouble: bool, record: &Record) -> bool {
    let mut fleet = Fleet::start(&SERVICES, CONFIG, record);
    let start = record.now();
    let at = |seconds: f64| start + Duration::from_secs_f64(seconds);
    let clients = Clients::start(&fleet, at(13.0), record);
    sleep_until(at(2.0), record);
    let (delayed, acked) = leave(&fleet, record);
    sleep_until(at(3.0), record);
    if trouble {
        record.say("the store is down");
        fleet.store.set_down(true);
    }
    sleep_until(at(3.5), record);
    record.say("SIGTERM to the daemon");
    fleet.machines[LEAVING].stop();
    fleet.machines[LEAVING].start();
    let started = record.now();
    record.say("the daemon is started again");
    sleep_until(started + Duration::from_millis(1500), record);
    deliver(&delayed, &fleet, record);
    sleep_until(at(11.0), record);
    if trouble {
        record.say("the store is back");
        fleet.store.set_down(false);
    }
    check(clients, &fleet, acked, started + STABLE_WINDOW, record)
}

/// The store is down when the backend leaves. Then all daemons are killed and start again, and the
/// store comes back.
pub fn run_lost(trouble: bool, record: &Record) -> bool {
    let mut fleet = Fleet::start(&SERVICES, CONFIG, record);
    let start = record.now();
    let at = |seconds: f64| start + Duration::from_secs_f64(seconds);
    let clients = Clients::start(&fleet, at(14.0), record);
    sleep_until(at(1.0), record);
    if trouble {
        record.say("the store is down");
        fleet.store.set_down(true);
    }
    sleep_until(at(2.0), record);
    let (delayed, acked) = leave(&fleet, record);
    sleep_until(at(3.0).max(acked + Duration::from_millis(500)), record);
    if trouble {
        record.say("all daemons are killed, and start again");
        for machine in &mut fleet.machines {
            machine.kill();
        }
        for machine in &mut fleet.machines {
            machine.start();
        }
    }
    sleep_until(at(4.5), record);
    if trouble {
        record.say("the store is back");
        fleet.store.set_down(false);
    }
    let back = record.now();
    sleep_until(at(7.0), record);
    deliver(&delayed, &fleet, record);
    check(clients, &fleet, acked, back + STABLE_WINDOW, record)
}
