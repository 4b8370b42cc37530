//! Measures how the resource use of daemons grows with the number of daemons, the
//! number and size of documents, the call rate and the number of remembered tickets.

use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use pollenrouter_dev::caller::{self, Call, Outcome};
use pollenrouter_dev::deployment::{self, Deployment};
use pollenrouter_dev::error::Error;
use pollenrouter_dev::fleet::DaemonFleet;
use pollenrouter_http::client;
use serde_json::json;
use tokio::{runtime, task, time};

use crate::cli;

const SETTLE_TIME: Duration = Duration::from_secs(8);
const MEASUREMENT_WINDOW: Duration = Duration::from_secs(20);
/// Clock ticks per second in the CPU times of `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
const PAGE_KIB: u64 = 4;
const COLUMNS: &str = "cpu % of a core  resident KiB  bytes/s each way  reads/s  watches/s  \
    writes/s  document change ms";
const DOCUMENT_BODY: &str = "routes:
  - {name: list, method: GET, path: /list, repeatable: true, owed_ms: 500}
  - {name: assign, method: POST, path: /assign, repeatable: false, owed_ms: 1000}
measuring: {probes_per_minute: 60, targets_max: 16}
";

/// CPU time since the start of a process, and its resident memory.
#[derive(Clone, Copy, Debug)]
struct Usage {
    ticks: u64,
    resident_kib: u64,
}

/// Runs the measurement of the requested dimension.
pub fn run(args: &cli::Capacity) -> Result<(), Error> {
    match args.what {
        cli::Dimension::Members => measure_members(&args.sizes),
        cli::Dimension::Services => measure_services(&args.sizes),
        cli::Dimension::DocumentBytes => measure_document_bytes(&args.sizes),
        cli::Dimension::Calls => measure_calls(&args.sizes),
        cli::Dimension::Tickets => measure_tickets(&args.sizes),
    }
}

fn measure_members(sizes: &[usize]) -> Result<(), Error> {
    println!("members  {COLUMNS}");
    for size in sizes {
        let fleet = DaemonFleet::start(*size, &documents(3, 0))?;
        measure_fleet(*size, &fleet)?;
    }
    Ok(())
}

fn measure_services(sizes: &[usize]) -> Result<(), Error> {
    println!("services  {COLUMNS}");
    for size in sizes {
        let fleet = DaemonFleet::start(24, &documents(*size, 0))?;
        measure_fleet(*size, &fleet)?;
    }
    Ok(())
}

fn measure_document_bytes(sizes: &[usize]) -> Result<(), Error> {
    println!("document bytes  {COLUMNS}");
    for size in sizes {
        let fleet = DaemonFleet::start(24, &documents(3, *size))?;
        measure_fleet(*size, &fleet)?;
    }
    Ok(())
}

/// Documents of `count` services, each padded with comments to at most `bytes`.
fn documents(count: usize, bytes: usize) -> Vec<(String, String)> {
    (0..count).map(|index| document(index, bytes, 0)).collect()
}

/// Name of a service and its document; another `edition` changes the text.
fn document(index: usize, bytes: usize, edition: u32) -> (String, String) {
    let name = format!("service-{index}");
    let text = format!("# edition {edition}\nservice: {name}\n{DOCUMENT_BODY}");
    let padding = bytes.saturating_sub(text.len());
    let comment = "# padding\n".repeat(padding / 10);
    (name, format!("{text}{comment}"))
}

/// Measures an idle fleet, then the propagation of one document change.
fn measure_fleet(size: usize, fleet: &DaemonFleet) -> Result<(), Error> {
    let announcer = Announcer::start(fleet);
    thread::sleep(SETTLE_TIME);
    let counts_before = fleet.platform_counts()?;
    let usages_before = read_usages(fleet);
    let bytes_before = loopback_bytes();
    thread::sleep(MEASUREMENT_WINDOW);
    let usages_after = read_usages(fleet);
    let bytes_sent = loopback_bytes() - bytes_before;
    let counts_after = fleet.platform_counts()?;
    let daemons_measured = usages_before.len() as f64;
    let ticks: u64 = usages_before
        .iter()
        .zip(&usages_after)
        .map(|(before, after)| after.ticks - before.ticks)
        .sum();
    let seconds = MEASUREMENT_WINDOW.as_secs_f64();
    let per_second = |name: &str| {
        (counts_after[name].as_f64().unwrap_or(0.0) - counts_before[name].as_f64().unwrap_or(0.0))
            / seconds
    };
    let resident_kib: u64 = usages_after.iter().map(|usage| usage.resident_kib).sum();
    let propagation = measure_propagation(fleet)?;
    println!(
        "{size:>7}  {:>15.2}  {:>12.0}  {:>16.0}  {:>7.2}  {:>9.2}  {:>8.2}  {:>18}",
        ticks as f64 / TICKS_PER_SECOND / seconds / daemons_measured * 100.0,
        resident_kib as f64 / daemons_measured,
        bytes_sent as f64 / seconds / daemons_measured,
        per_second("reads"),
        per_second("watches"),
        per_second("writes"),
        propagation.as_millis()
    );
    drop(announcer);
    Ok(())
}

/// Time from the response of the platform until every daemon uses the changed document.
fn measure_propagation(fleet: &DaemonFleet) -> Result<Duration, Error> {
    let bytes = fleet.documents[0].1.len();
    let (name, text) = document(0, bytes, 1);
    let version = fleet.write_document(&name, &text)?;
    let started_at = Instant::now();
    for daemon in &fleet.daemons {
        loop {
            let status = deployment::get_json(daemon.1.operator, "/status").map_err(|err| {
                let recent_lines = daemon.0.recent_lines().join("\n");
                Error::NotReady(format!("{err}; recent output:\n{recent_lines}"))
            })?;
            let documents = status["documents"].as_array().cloned().unwrap_or_default();
            if documents
                .iter()
                .any(|document| document["version"] == version)
            {
                break;
            }
            thread::sleep(Duration::from_millis(2));
        }
    }
    Ok(started_at.elapsed())
}

/// Announces one target to each daemon every second until dropped.
struct Announcer(Arc<AtomicBool>);

impl Announcer {
    fn start(fleet: &DaemonFleet) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stop_requested = stop.clone();
        let count = fleet.documents.len();
        let daemons: Vec<SocketAddr> = fleet
            .daemons
            .iter()
            .map(|(_, addresses)| addresses.announcements)
            .collect();
        thread::spawn(move || {
            while !stop_requested.load(Ordering::Relaxed) {
                for (index, address) in daemons.iter().enumerate() {
                    let announcement = json!({
                        "service": format!("service-{}", index % count),
                        "address": address,
                        "slots": 10,
                        "draining": false,
                        "cold_start_ms": 0,
                    });
                    let uri = format!("http://{address}/.pollenrouter/target");
                    // A failed announcement is repeated in the next round.
                    let _ = ureq::put(uri).send_json(announcement);
                }
                thread::sleep(Duration::from_secs(1));
            }
        });
        Self(stop)
    }
}

impl Drop for Announcer {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

fn read_usages(fleet: &DaemonFleet) -> Vec<Usage> {
    fleet
        .daemons
        .iter()
        .filter_map(|(process, _)| read_usage(process.pid()))
        .collect()
}

fn read_usage(pid: u32) -> Option<Usage> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let field = |index: usize| fields.get(index).and_then(|text| text.parse::<u64>().ok());
    Some(Usage {
        ticks: field(11)? + field(12)?,
        resident_kib: field(21)? * PAGE_KIB,
    })
}

/// Bytes received on the loopback interface so far; all sent bytes are received there.
fn loopback_bytes() -> u64 {
    let text = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"));
    let received = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    received.unwrap_or(0)
}

/// Measures the CPU time per call of an entry and of the gate on another host.
fn measure_calls(rates: &[usize]) -> Result<(), Error> {
    println!("calls/s  entry cpu us/call  gate cpu us/call  answered");
    let deployment = start_two_hosts()?;
    for rate in rates {
        let before = daemon_usages(&deployment);
        let count = rate * 10;
        let answered = send_calls(&deployment, count, *rate, "GET", "/seats/list")?;
        let after = daemon_usages(&deployment);
        let micros_per_call = |host: usize| {
            let ticks = after[host].ticks - before[host].ticks;
            ticks as f64 / TICKS_PER_SECOND * 1e6 / count as f64
        };
        println!(
            "{rate:>7}  {:>17.0}  {:>16.0}  {answered:>8}",
            micros_per_call(0),
            micros_per_call(1)
        );
    }
    Ok(())
}

/// Measures the memory of a gate by the number of tickets that it remembers.
fn measure_tickets(sizes: &[usize]) -> Result<(), Error> {
    println!("tickets held  gate resident KiB  answered");
    let deployment = start_two_hosts()?;
    let mut remembered = 0;
    for size in sizes {
        let count = size.saturating_sub(remembered);
        remembered = *size;
        let answered = send_calls(&deployment, count, 2000, "POST", "/seats/release")?;
        println!(
            "{size:>12}  {:>17}  {answered:>8}",
            daemon_usages(&deployment)[1].resident_kib
        );
    }
    Ok(())
}

/// Starts two hosts: host 0 is the entry, host 1 has the only target of `seats`.
fn start_two_hosts() -> Result<Deployment, Error> {
    let mut plan = deployment::wartebank(std::path::Path::new("examples"));
    plan.services.retain(|service| service.name != "assignment");
    for service in &mut plan.services {
        service.domains.truncate(1);
        service.service_time_us = 0;
        service.stragglers_per_thousand = 0;
        service.slots = 200;
    }
    Deployment::start(&plan)
}

fn daemon_usages(deployment: &Deployment) -> Vec<Usage> {
    let daemons = deployment
        .hosts
        .iter()
        .filter_map(|host| host.daemon.as_ref());
    daemons
        .filter_map(|daemon| read_usage(daemon.pid()))
        .collect()
}

fn send_calls(
    deployment: &Deployment,
    count: usize,
    rate: usize,
    method: &'static str,
    path: &'static str,
) -> Result<usize, Error> {
    let entry = deployment.hosts[0].addresses.public;
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let calls = async move {
        let client = client::Client::new(entry);
        let mut in_flight = task::JoinSet::new();
        let started_at = time::Instant::now();
        let mut answered = 0;
        for index in 0..count {
            time::sleep_until(started_at + Duration::from_secs_f64(index as f64 / rate as f64))
                .await;
            let client = client.clone();
            in_flight.spawn_local(async move {
                caller::make_call(&client, &Call::new(method, path, &format!("s{index}"))).await
            });
            while let Some(Ok(result)) = in_flight.try_join_next() {
                answered += usize::from(matches!(result.outcome, Outcome::Answered { .. }));
            }
        }
        while let Some(Ok(result)) = in_flight.join_next().await {
            answered += usize::from(matches!(result.outcome, Outcome::Answered { .. }));
        }
        answered
    };
    Ok(task::LocalSet::new().block_on(&runtime, calls))
}
