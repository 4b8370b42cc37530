//! Three of the five machines of a zone are lost at once and do not come back; then the operator
//! moves a route to another service.

use std::collections::BTreeSet;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, cannot_run};
use crate::http;
use crate::json;
use crate::record::Record;

/// `configApplyS` of mghhc-mesh-grown; 2 s at mghhc-mesh.
const CONFIG_APPLY: Duration = Duration::from_millis(2500);
/// Time from the loss to the change, much longer than `stableWindowS`.
const CALM: Duration = Duration::from_secs(6);
/// Time for which requests are sent after the change.
const LENGTH: Duration = Duration::from_secs(45);
/// Machines of the zone that are lost.
const LOST: [&str; 3] = [
    "sidecar-evesham-2",
    "sidecar-evesham-4",
    "sidecar-evesham-5",
];

fn config(version: u32, service: &str) -> String {
    format!(
        r#"{{"version":"r{version}","routes":{{"avail-check":{{"host":"avail.example","pathPrefix":"/avail/","kind":"safe","timeoutS":1.2,"targetLatencyS":0.3,"priority":2,"service":"{service}","maxAttempts":2}}}},"services":{{"catalogue":{{"healthPath":"/health","maxConnections":260,"protocol":"h1","tls":false}},"bookings":{{"healthPath":"/health","maxConnections":260,"protocol":"h1","tls":false}}}},"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}}}"#
    )
}

fn request(host: &str, id: &str) -> String {
    format!(
        "GET /{host}/work=20 HTTP/1.1\r\nHost: {host}.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 1200\r\nConnection: close\r\n\r\n"
    )
}

pub fn run(trouble: bool, record: &Record) -> bool {
    let services = [
        ("catalogue", "evesham"),
        ("catalogue", "evesham"),
        ("bookings", "evesham"),
        ("catalogue", "evesham"),
        ("bookings", "evesham"),
        ("catalogue", "lichfield"),
        ("bookings", "lichfield"),
    ];
    let mut fleet = Fleet::start(&services, &config(1, "catalogue"), record);
    for (i, machine) in fleet.machines.iter().enumerate() {
        let request = request("avail", &format!("warm{i}"));
        let response = http::call(machine.outbound, request.as_bytes(), Duration::from_secs(2));
        if response.is_none_or(|response| response.status() != 200) {
            cannot_run("a machine does not serve");
        }
    }
    for machine in &fleet.machines {
        let request = format!(
            "GET /status HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n",
            machine.ready
        );
        let status = http::call(machine.ready, request.as_bytes(), Duration::from_secs(1));
        let text = status
            .map(|s| String::from_utf8_lossy(&s.body).into_owned())
            .unwrap_or_default();
        let watches = text.contains(r#""watches_platform":true"#);
        record.line(&format!("{} watches the store: {watches}", machine.name));
    }
    if trouble {
        for machine in &mut fleet.machines {
            if LOST.contains(&machine.name.as_str()) {
                record.line(&format!("{} is lost", machine.name));
                machine.kill();
            }
        }
    }
    thread::sleep(CALM);
    fleet.store.put(
        "config",
        "main",
        json::parse(&config(2, "bookings")).expect("valid JSON"),
    );
    let acked = Instant::now();
    record.say("version r2 is acknowledged: the route goes to bookings");
    // Ids of the requests that were sent later than the bound, and when.
    let mut late: Vec<(String, &str, f64)> = Vec::new();
    let survivors: Vec<usize> = (0..5)
        .filter(|i| !LOST.contains(&fleet.machines[*i].name.as_str()))
        .collect();
    let mut number = 0;
    while acked.elapsed() < LENGTH {
        for i in &survivors {
            number += 1;
            let machine = &fleet.machines[*i];
            let id = format!("req{number}");
            let after = acked.elapsed();
            record.line(&format!("sent {id} to {}", machine.name));
            let response = http::call(
                machine.outbound,
                request("avail", &id).as_bytes(),
                Duration::from_secs(2),
            );
            let status = response.map(|response| response.status());
            record.line(&format!("answer to {id}: {status:?}"));
            if after > CONFIG_APPLY {
                late.push((id, &machine.name, after.as_secs_f64()));
            }
        }
        thread::sleep(Duration::from_millis(250));
    }
    let runs = fleet.runs.lock().unwrap().clone();
    let is_catalogue = |backend: &str| {
        let machine = fleet.machines.iter().find(|m| m.backend.id == backend);
        machine.is_some_and(|m| m.backend.service == "catalogue")
    };
    let old: BTreeSet<&str> = runs
        .iter()
        .filter(|run| is_catalogue(&run.backend))
        .map(|run| run.id.as_str())
        .collect();
    let broken: Vec<_> = late
        .iter()
        .filter(|(id, ..)| old.contains(id.as_str()))
        .collect();
    let until = broken.last().map_or(0.0, |(_, _, after)| *after);
    record.say(&format!(
        "{} of {} requests that were sent later than 2.5 s after r2 were run by catalogue, as only r1 allows; the last {until:.1} s after r2",
        broken.len(),
        late.len()
    ));
    !broken.is_empty()
}
