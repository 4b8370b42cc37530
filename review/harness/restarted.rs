//! All daemons are killed at once and started again; the store answers the creation of an object
//! that exists with 409, without the object.

use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::Fleet;
use crate::http;
use crate::record::Record;

const CONFIG: &str = r#"{"version":"r1","routes":{"avail-check":{"host":"avail.example","pathPrefix":"/avail/","kind":"safe","timeoutS":1.2,"targetLatencyS":0.3,"priority":2,"service":"catalogue","maxAttempts":2}},"services":{"catalogue":{"healthPath":"/health","maxConnections":260,"protocol":"h1","tls":false},"bookings":{"healthPath":"/health","maxConnections":260,"protocol":"h1","tls":false}},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}"#;
/// Time from the kill to the next start.
const DOWN: Duration = Duration::from_millis(1100);
/// `recoveryS`.
const RECOVERY: Duration = Duration::from_secs(15);
const REQUESTS: usize = 100;

pub fn run(trouble: bool, record: &Record) -> bool {
    let services = [
        ("catalogue", "evesham"),
        ("bookings", "evesham"),
        ("catalogue", "lichfield"),
        ("bookings", "lichfield"),
    ];
    let mut fleet = Fleet::start_on(&services, CONFIG, record, |store| {
        store.set_bare_conflicts()
    });
    let before = serve(&fleet, "before", record);
    if trouble {
        for machine in &mut fleet.machines {
            record.line(&format!("{} is killed", machine.name));
            machine.kill();
        }
        thread::sleep(DOWN);
        for machine in &mut fleet.machines {
            record.line(&format!("{} is started again", machine.name));
            machine.start();
        }
    }
    let back = Instant::now();
    thread::sleep(RECOVERY + Duration::from_millis(500) - back.elapsed());
    for machine in &fleet.machines {
        record.line(&format!(
            "{} is ready: {}",
            machine.name,
            machine.is_ready()
        ));
    }
    let after = serve(&fleet, "after", record);
    record.say(&format!(
        "served {before} of {REQUESTS} before, {after} of {REQUESTS} later than 15 s after the machines are back"
    ));
    before * 4 >= REQUESTS && after * 4 < REQUESTS
}

/// Sends requests to the machines whose own backends are of the other service; returns how many are
/// served.
fn serve(fleet: &Fleet, name: &str, record: &Record) -> usize {
    let mut served = 0;
    for number in 0..REQUESTS {
        let machine = &fleet.machines[1 + number % 2 * 2];
        let id = format!("{name}{number}");
        let request = format!(
            "GET /avail/work=20 HTTP/1.1\r\nHost: avail.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 1200\r\nConnection: close\r\n\r\n"
        );
        record.line(&format!("sent {id} to {}", machine.name));
        let response = http::call(machine.outbound, request.as_bytes(), Duration::from_secs(2));
        let status = response.map(|response| response.status());
        record.line(&format!("answer to {id}: {status:?}"));
        served += usize::from(status == Some(200));
        thread::sleep(Duration::from_millis(50));
    }
    served
}
