//! BUDGET: on how many backends one client attempt runs while a daemon is frozen.

use std::collections::{BTreeMap, BTreeSet};
use std::thread;
use std::time::Duration;

use crate::fleet::Fleet;
use crate::http;
use crate::record::Record;

const CONFIG: &str = r#"{"version":"r7","routes":{"r-view":{"host":"view.example","pathPrefix":"/view/","kind":"safe","timeoutS":5,"targetLatencyS":3,"priority":1,"service":"view","maxAttempts":1}},"services":{"view":{"healthPath":"/health","maxConnections":260,"protocol":"h1","tls":false}},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}"#;
const MAX_ATTEMPTS: usize = 1;
/// Requests that may run on more backends than that.
const ALLOWED: usize = 3;
const REQUESTS: usize = 36;
const FREEZE: Duration = Duration::from_secs(2);

fn request(id: &str, work_ms: u32) -> String {
    format!(
        "GET /view/work={work_ms} HTTP/1.1\r\nHost: view.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 5000\r\n\r\n"
    )
}

pub fn run(trouble: bool, record: &Record) -> bool {
    let services = [("view", "north"), ("view", "north"), ("view", "north")];
    let fleet = Fleet::start(&services, CONFIG, record);
    fleet.warm_up(|id| request(id, 5));
    let outbound = fleet.machines[0].outbound;
    let mut clients = Vec::new();
    for i in 0..REQUESTS {
        let record = record.clone();
        clients.push(thread::spawn(move || {
            let id = format!("a{i:04}");
            let request = request(&id, 1500);
            record.line(&format!("sent {id}"));
            let response = http::call(outbound, request.as_bytes(), Duration::from_secs(5));
            let status = response.map_or(0, |response| response.status());
            record.line(&format!("answered {id} {status}"));
            status
        }));
        thread::sleep(Duration::from_millis(10));
    }
    thread::sleep(Duration::from_millis(150));
    if trouble {
        let frozen = &fleet.machines[1];
        record.line(&format!("freeze {}", frozen.name));
        frozen.signal("STOP");
        thread::sleep(FREEZE);
        frozen.signal("CONT");
        record.line(&format!("wake {}", frozen.name));
    }
    let statuses: Vec<u16> = clients.into_iter().map(|c| c.join().unwrap_or(0)).collect();
    thread::sleep(Duration::from_secs(2));
    let mut backends: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for run in fleet.runs.lock().unwrap().iter() {
        backends
            .entry(run.id.clone())
            .or_default()
            .insert(run.backend.clone());
    }
    let answered = statuses.iter().filter(|status| **status == 200).count();
    let over = backends.values().filter(|b| b.len() > MAX_ATTEMPTS).count();
    record.say(&format!(
        "{REQUESTS} requests, {answered} with 200; {over} ran on more than {MAX_ATTEMPTS} backend(s), {ALLOWED} may"
    ));
    over > ALLOWED
}
