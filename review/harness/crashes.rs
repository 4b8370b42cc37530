//! BUDGET: how often a request that crashes backends is sent to them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::fleet::Fleet;
use crate::http::{self, Message};
use crate::record::Record;

const CONFIG: &str = r#"{"version":"r7","routes":{"r-view":{"host":"view.example","pathPrefix":"/view/","kind":"safe","timeoutS":2,"targetLatencyS":1,"priority":1,"service":"view","maxAttempts":2}},"services":{"view":{"healthPath":"/health","maxConnections":260,"protocol":"h1","tls":false},"other":{"healthPath":"/health","maxConnections":260,"protocol":"h1","tls":false}},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}"#;
const CRASHES: usize = 3;
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Retries that may reach backends later than that after the third crash.
const ALLOWED: usize = 3;
const ROUNDS: usize = 35;
const INTERVAL: Duration = Duration::from_secs(1);

/// The request crashes backends if it comes from the service `other`; `view` sends the same path.
fn crashes(request: &Message) -> bool {
    request.header("caller-service") == Some("other")
}

fn send(outbound: SocketAddr, id: &str, record: &Record) {
    let request = format!(
        "GET /view/work=20 HTTP/1.1\r\nHost: view.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 2000\r\nConnection: close\r\n\r\n"
    );
    record.line(&format!("sent {id}"));
    let response = http::call(outbound, request.as_bytes(), Duration::from_secs(2));
    record.line(&format!(
        "answered {id} {}",
        response.map_or(0, |response| response.status())
    ));
}

pub fn run(trouble: bool, record: &Record) -> bool {
    let services = [
        ("view", "north"),
        ("view", "north"),
        ("view", "north"),
        ("other", "north"),
    ];
    let fleet = Fleet::start_with(&services, CONFIG, trouble.then_some(crashes), record);
    let (view, other) = (fleet.machines[0].outbound, fleet.machines[3].outbound);
    let is_done = Arc::new(AtomicBool::new(false));
    let sound = {
        let (is_done, record) = (is_done.clone(), record.clone());
        thread::spawn(move || {
            let mut n = 0;
            // SOUND=0 leaves these requests out, to show that the quarantine then works.
            let is_sent = std::env::var("SOUND").map_or(true, |value| value != "0");
            while is_sent && !is_done.load(Ordering::SeqCst) {
                send(view, &format!("sound{n}"), &record);
                n += 1;
                thread::sleep(Duration::from_millis(100));
            }
        })
    };
    thread::sleep(INTERVAL);
    for n in 0..ROUNDS {
        send(other, &format!("deadly{n:03}"), record);
        thread::sleep(INTERVAL);
    }
    is_done.store(true, Ordering::SeqCst);
    let _ = sound.join();
    let runs = fleet.runs.lock().unwrap().clone();
    let deadly: Vec<_> = runs
        .iter()
        .filter(|run| run.id.starts_with("deadly"))
        .collect();
    let third = deadly.get(CRASHES - 1).map(|run| run.at);
    let is_late = |at: Duration| third.is_some_and(|third| at > third + STABLE_WINDOW);
    let late = deadly.iter().filter(|run| trouble && is_late(run.at));
    let retries = late.map(|run| &run.id).collect::<BTreeSet<_>>().len();
    record.say(&format!(
        "{} runs of the request; {retries} retries reached backends later than {} s after its third crash, {ALLOWED} may",
        deadly.len(),
        STABLE_WINDOW.as_secs()
    ));
    retries > ALLOWED
}
