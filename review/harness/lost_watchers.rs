//! CONFIG: which configuration is in force in a zone after three of its five machines were lost.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crate::fleet::Fleet;
use crate::http;
use crate::json;
use crate::record::Record;

const OLD: &str = "view";
/// The lost machines, by their numbers: the two that watch the store, and the one before them on
/// the ring of the zone.
const LOST: [&str; 3] = ["sidecar-north-1", "sidecar-north-3", "sidecar-north-4"];
/// `stableWindowS`, and a second more.
const SETTLE: Duration = Duration::from_secs(4);
const AFTER_START: Duration = Duration::from_secs(14);
const CONFIG_APPLY: Duration = Duration::from_secs(2);
/// The time after that in which requests are sent.
const JUDGED: Duration = Duration::from_secs(10);
const REQUEST_INTERVAL: Duration = Duration::from_millis(200);

fn config(version: &str, service: &str) -> String {
    format!(
        r#"{{"version":"{version}","routes":{{"r-view":{{"host":"view.example","pathPrefix":"/view/","kind":"unsafe","timeoutS":2,"targetLatencyS":1,"priority":1,"service":"{service}","maxAttempts":2}}}},"services":{{"view":{{"healthPath":"/health","maxConnections":260,"protocol":"h1","tls":false}},"other":{{"healthPath":"/health","maxConnections":260,"protocol":"h1","tls":false}}}},"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}}}"#
    )
}

fn send(outbound: SocketAddr, id: &str, record: &Record) {
    let request = format!(
        "POST /view/work=20 HTTP/1.1\r\nHost: view.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 2000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    );
    record.line(&format!("sent {id} to {outbound}"));
    let response = http::call(outbound, request.as_bytes(), Duration::from_secs(2));
    record.line(&format!("answered {id} {}", response.map_or(0, |response| response.status())));
}

pub fn run(trouble: bool, record: &Record) -> bool {
    let north = [("view", "north"), ("other", "north"), ("view", "north"), ("other", "north"), ("view", "north")];
    let south = [("view", "south"), ("other", "south")];
    let services: Vec<_> = north.into_iter().chain(south).collect();
    let mut fleet = Fleet::start(&services, &config("r7", OLD), record);
    // Long enough for the reads that every daemon makes after its start to end.
    thread::sleep(AFTER_START);
    if trouble {
        for machine in &mut fleet.machines {
            if LOST.contains(&machine.name.as_str()) {
                machine.kill();
                record.line(&format!("{} is lost for good", machine.name));
            }
        }
    }
    thread::sleep(SETTLE);
    fleet.store.put("config", "main", json::parse(&config("r9", "other")).expect("JSON"));
    record.line("r9 acknowledged: the route goes to the service `other`");
    thread::sleep(CONFIG_APPLY + Duration::from_millis(10));
    let alive = fleet.machines.iter().filter(|m| !LOST.contains(&m.name.as_str()));
    let outbounds: Vec<SocketAddr> = alive.map(|m| m.outbound).collect();
    let until = record.now() + JUDGED;
    let mut n = 0;
    let mut clients = Vec::new();
    while record.now() < until {
        for outbound in outbounds.clone() {
            let (id, record) = (format!("after{n:04}"), record.clone());
            clients.push(thread::spawn(move || send(outbound, &id, &record)));
            n += 1;
        }
        thread::sleep(REQUEST_INTERVAL);
    }
    for client in clients {
        let _ = client.join();
    }
    let runs = fleet.runs.lock().unwrap().clone();
    let is_old = |id: &str| {
        let machine = fleet.machines.iter().find(|m| m.backend.id == id);
        machine.is_some_and(|m| m.backend.service == OLD)
    };
    let after = runs.iter().filter(|run| run.id.starts_with("after"));
    let stale = after.filter(|run| is_old(&run.backend)).count();
    record.say(&format!(
        "{n} requests sent later than {} s after r9 was acknowledged; {stale} were run by the old service",
        CONFIG_APPLY.as_secs()
    ));
    stale > 0
}
