//! CONFIG: which configuration is in force after the connections to the store went silent.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crate::fleet::Fleet;
use crate::http;
use crate::json;
use crate::record::Record;

const OLD: &str = "view";
/// Age of the watches when the connections go silent.
const WATCH_AGE: Duration = Duration::from_secs(1);
/// `stableWindowS`, and a second more.
const SETTLE: Duration = Duration::from_secs(4);
/// `configApplyS` of mghhc-mesh-grown; 2 s at mghhc-mesh.
const CONFIG_APPLY: Duration = Duration::from_millis(2500);
/// The time after that in which requests are sent.
const JUDGED: Duration = Duration::from_secs(3);
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

fn config(version: &str, service: &str) -> String {
    format!(
        r#"{{"version":"{version}","routes":{{"r-view":{{"host":"view.example","pathPrefix":"/view/","kind":"unsafe","timeoutS":2,"targetLatencyS":1,"priority":1,"service":"{service}","maxAttempts":2}}}},"services":{{"view":{{"healthPath":"/health","maxConnections":260,"protocol":"h1","tls":false}},"other":{{"healthPath":"/health","maxConnections":260,"protocol":"h1","tls":false}}}},"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}}}"#
    )
}

fn request(id: &str) -> String {
    format!(
        "POST /view/work=20 HTTP/1.1\r\nHost: view.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 2000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    )
}

fn send(outbound: SocketAddr, id: &str, record: &Record) {
    record.line(&format!("sent {id} to {outbound}"));
    let response = http::call(outbound, request(id).as_bytes(), Duration::from_secs(2));
    record.line(&format!(
        "answered {id} {}",
        response.map_or(0, |response| response.status())
    ));
}

pub fn run(trouble: bool, record: &Record) -> bool {
    let services = [
        ("view", "north"),
        ("view", "north"),
        ("other", "north"),
        ("other", "north"),
    ];
    let fleet = Fleet::start(&services, &config("r7", OLD), record);
    let outbounds: Vec<SocketAddr> = fleet.machines.iter().map(|m| m.outbound).collect();
    for (i, outbound) in outbounds.iter().enumerate() {
        send(*outbound, &format!("before{i}"), record);
    }
    // Ends the watches of all daemons, so that they all begin anew.
    fleet.store.put(
        "config",
        "main",
        json::parse(&config("r8", OLD)).expect("JSON"),
    );
    record.line("r8 acknowledged: the route stays as it is");
    thread::sleep(WATCH_AGE);
    if trouble {
        record.line("the open connections to the store go silent, new ones work");
        fleet.proxy.silence();
    }
    thread::sleep(SETTLE);
    fleet.store.put(
        "config",
        "main",
        json::parse(&config("r9", "other")).expect("JSON"),
    );
    record.line("r9 acknowledged: the route goes to the service `other`");
    thread::sleep(CONFIG_APPLY + Duration::from_millis(10));
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
    let service = |id: &str| {
        fleet
            .machines
            .iter()
            .find(|m| m.backend.id == id)
            .map(|m| &m.backend.service)
    };
    let stale = runs.iter().filter(|run| run.id.starts_with("after"));
    let stale = stale
        .filter(|run| service(&run.backend).is_some_and(|s| s == OLD))
        .count();
    record.say(&format!(
        "{n} requests sent later than {} s after r9 was acknowledged; {stale} were run by the old service",
        CONFIG_APPLY.as_secs_f64()
    ));
    stale > 0
}
