//! Many clients at once send bodies that the configuration allows. The platform's rule on memory
//! is applied to the daemons: one that exceeds its limit is killed, and started again.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::Fleet;
use crate::http;
use crate::record::Record;

const CONFIG: &str = r#"{"version":"r1","routes":{"return-log":{"host":"log.example","pathPrefix":"/log/","kind":"unsafe","timeoutS":8,"targetLatencyS":2,"priority":1,"service":"agreements","maxAttempts":2}},"services":{"agreements":{"healthPath":"/health","maxConnections":260,"protocol":"h1","tls":false}},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}"#;
/// `memoryMb` of the settings.
const MEMORY_MB: u64 = 260;
/// Time from the end of a daemon to its next start.
const RESTART: Duration = Duration::from_secs(1);
/// A quarter of `maxBodyBytes`.
const BODY_BYTES: usize = 15 << 20;
const CHUNK_BYTES: usize = 64 << 10;
/// 24 clients send 118 MB a second, which the link of 1,000 Mbit/s carries.
const CHUNK_PAUSE: Duration = Duration::from_millis(13);
/// Clients that send a large body in the usual second, and in a burst of x = 1.7.
const CLIENTS_USUAL: usize = 14;
const CLIENTS_BURST: usize = 24;
/// Clients with a kept connection, which send one small request after the other.
const CLIENTS_SMALL: usize = 8;
/// The rule allows so many lost requests.
const LOST_MAX: usize = 3;

pub fn run(trouble: bool, record: &Record) -> bool {
    let zones = ["evesham", "lichfield", "melton"];
    let services: Vec<_> = zones.iter().map(|zone| ("agreements", *zone)).collect();
    let mut fleet = Fleet::start(&services, CONFIG, record);
    let address = fleet.machines[0].outbound;
    let ended = Arc::new(AtomicBool::new(false));
    // Ids of the requests whose kept connection ended without an answer.
    let unanswered: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut threads = Vec::new();
    for client in 0..CLIENTS_SMALL {
        let (record, ended, unanswered) = (record.clone(), ended.clone(), unanswered.clone());
        threads.push(thread::spawn(move || {
            send_small(client, address, &record, &ended, &unanswered);
        }));
    }
    thread::sleep(Duration::from_secs(2));
    for client in 0..if trouble {
        CLIENTS_BURST
    } else {
        CLIENTS_USUAL
    } {
        let record = record.clone();
        threads.push(thread::spawn(move || send_large(client, address, &record)));
    }
    let until = Instant::now() + Duration::from_secs(12);
    let (mut peak, mut kills) = (0, 0);
    let mut restart_at = None;
    while Instant::now() < until {
        let machine = &mut fleet.machines[0];
        if machine.has_ended() {
            record.say("the daemon has ended by itself");
        }
        let memory = machine.memory_mb();
        peak = memory.max(peak);
        if memory > MEMORY_MB {
            record.line(&format!("{} has {memory} MB and is killed", machine.name));
            machine.kill();
            kills += 1;
            restart_at = Some(Instant::now() + RESTART);
        }
        if restart_at.is_some_and(|at| at <= Instant::now()) {
            record.line(&format!("{} is started again", machine.name));
            machine.start();
            restart_at = None;
        }
        thread::sleep(Duration::from_millis(20));
    }
    ended.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let runs = fleet.runs.lock().unwrap().clone();
    let unanswered = unanswered.lock().unwrap().clone();
    let lost = unanswered
        .iter()
        .filter(|id| runs.iter().any(|run| run.id == **id));
    let lost: Vec<_> = lost.cloned().collect();
    record.say(&format!(
        "peak {peak} MB of {MEMORY_MB}, killed {kills} times; passed on from a kept connection and closed without an answer: {} ({})",
        lost.len(),
        lost.join(" ")
    ));
    lost.len() > LOST_MAX
}

/// Sends small requests on a kept connection; after the first one on each connection, notes those
/// that are not answered.
fn send_small(
    client: usize,
    address: SocketAddr,
    record: &Record,
    ended: &AtomicBool,
    unanswered: &Mutex<Vec<String>>,
) {
    let mut number = 0;
    while !ended.load(Ordering::SeqCst) {
        let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let _ = stream.set_nodelay(true);
        for on_connection in 0.. {
            if ended.load(Ordering::SeqCst) {
                return;
            }
            number += 1;
            let id = format!("small{client}n{number}");
            let request = format!(
                "POST /log/work=300 HTTP/1.1\r\nHost: log.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 8000\r\nContent-Length: 2\r\n\r\nok"
            );
            record.line(&format!("sent {id}"));
            let response = http::exchange(&mut stream, request.as_bytes(), Duration::from_secs(9));
            let status = response.as_ref().map(http::Message::status);
            record.line(&format!("answer to {id}: {status:?}"));
            let Some(response) = response else {
                if on_connection > 0 {
                    unanswered.lock().unwrap().push(id);
                }
                break;
            };
            if response
                .header("connection")
                .is_some_and(|v| v.eq_ignore_ascii_case("close"))
            {
                break;
            }
        }
    }
}

fn send_large(client: usize, address: SocketAddr, record: &Record) {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return;
    };
    let id = format!("large{client}");
    record.line(&format!("sent {id}"));
    let head = format!(
        "POST /log/work=300 HTTP/1.1\r\nHost: log.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 8000\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    let chunk = vec![b'x'; CHUNK_BYTES];
    let mut written = stream.write_all(head.as_bytes());
    for _ in 0..BODY_BYTES / CHUNK_BYTES {
        if written.is_err() {
            break;
        }
        written = stream.write_all(&chunk);
        thread::sleep(CHUNK_PAUSE);
    }
    let response = http::exchange(&mut stream, b"", Duration::from_secs(8));
    let status = response.as_ref().map(http::Message::status);
    record.line(&format!("answer to {id}: {status:?}"));
}
