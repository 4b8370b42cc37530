//! Slopes for the capacity page: what a daemon spends as the fleet, the number
//! and size of documents, the call rate and the tickets kept grow.

use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use pollenrouter_dev::bare::Bare;
use pollenrouter_dev::caller::{self, Call, Told};
use pollenrouter_dev::deployment::{self, Deployment};
use pollenrouter_dev::error::Error;
use pollenrouter_http::client;
use serde_json::json;
use tokio::{runtime, task, time};

use crate::cli;

const SETTLE: Duration = Duration::from_secs(8);
const WINDOW: Duration = Duration::from_secs(20);
/// Ticks of the kernel's processor accounting, per second.
const TICKS_PER_SECOND: f64 = 100.0;
const PAGE_KIB: u64 = 4;
const COLUMNS: &str = "cpu % of a core  resident KiB  bytes/s each way  reads/s  watches/s  \
    writes/s  change in force ms";
const DOCUMENT: &str = "routes:
  - {name: list, method: GET, path: /list, repeatable: true, owed_ms: 500}
  - {name: assign, method: POST, path: /assign, repeatable: false, owed_ms: 1000}
measuring: {probes_per_minute: 60, targets_max: 16}
";

/// What a process has used up to now.
#[derive(Clone, Copy, Debug)]
struct Usage {
    ticks: u64,
    resident_kib: u64,
}

/// Runs the measurement that was asked for.
pub fn run(args: &cli::Capacity) -> Result<(), Error> {
    match args.what {
        cli::Slope::Members => members(&args.sizes),
        cli::Slope::Services => services(&args.sizes),
        cli::Slope::DocumentBytes => document_bytes(&args.sizes),
        cli::Slope::Calls => calls(&args.sizes),
        cli::Slope::Tickets => tickets(&args.sizes),
    }
}

fn members(sizes: &[usize]) -> Result<(), Error> {
    println!("members  {COLUMNS}");
    for size in sizes {
        let deployment = Bare::start(*size, &documents(3, 0))?;
        row(*size, &deployment)?;
    }
    Ok(())
}

fn services(sizes: &[usize]) -> Result<(), Error> {
    println!("services  {COLUMNS}");
    for size in sizes {
        let deployment = Bare::start(24, &documents(*size, 0))?;
        row(*size, &deployment)?;
    }
    Ok(())
}

fn document_bytes(sizes: &[usize]) -> Result<(), Error> {
    println!("document bytes  {COLUMNS}");
    for size in sizes {
        let deployment = Bare::start(24, &documents(3, *size))?;
        row(*size, &deployment)?;
    }
    Ok(())
}

/// Documents of so many services, each padded to a size.
fn documents(count: usize, bytes: usize) -> Vec<(String, String)> {
    (0..count).map(|nth| document(nth, bytes, 0)).collect()
}

fn document(nth: usize, bytes: usize, edition: u32) -> (String, String) {
    let name = format!("service-{nth}");
    let text = format!("# edition {edition}\nservice: {name}\n{DOCUMENT}");
    let padding = bytes.saturating_sub(text.len());
    let comment = "# padding\n".repeat(padding / 10);
    (name, format!("{text}{comment}"))
}

/// Measures a deployment at rest, then one change of a document.
fn row(size: usize, deployment: &Bare) -> Result<(), Error> {
    let announcing = Announcing::start(deployment);
    thread::sleep(SETTLE);
    let counts = deployment.platform_counts()?;
    let before = usages(deployment);
    let bytes = loopback_bytes();
    thread::sleep(WINDOW);
    let after = usages(deployment);
    let sent = loopback_bytes() - bytes;
    let counted = deployment.platform_counts()?;
    let n = before.len() as f64;
    let ticks: u64 = before
        .iter()
        .zip(&after)
        .map(|(b, a)| a.ticks - b.ticks)
        .sum();
    let seconds = WINDOW.as_secs_f64();
    let per_second = |name: &str| {
        (counted[name].as_f64().unwrap_or(0.0) - counts[name].as_f64().unwrap_or(0.0)) / seconds
    };
    let resident: u64 = after.iter().map(|usage| usage.resident_kib).sum();
    let in_force = change(deployment)?;
    println!(
        "{size:>7}  {:>15.2}  {:>12.0}  {:>16.0}  {:>7.2}  {:>9.2}  {:>8.2}  {:>18}",
        ticks as f64 / TICKS_PER_SECOND / seconds / n * 100.0,
        resident as f64 / n,
        sent as f64 / seconds / n,
        per_second("reads"),
        per_second("watches"),
        per_second("writes"),
        in_force.as_millis()
    );
    drop(announcing);
    Ok(())
}

/// Time from the platform's answer until every daemon has a change in force.
fn change(deployment: &Bare) -> Result<Duration, Error> {
    let bytes = deployment.documents[0].1.len();
    let (name, text) = document(0, bytes, 1);
    let version = deployment.write(&name, &text)?;
    let begun = Instant::now();
    for daemon in &deployment.daemons {
        loop {
            let status = deployment::get(daemon.1.operator, "/status").map_err(|err| {
                let latest = daemon.0.latest().join("\n");
                Error::NotReady(format!("{err}; its latest lines:\n{latest}"))
            })?;
            let documents = status["documents"].as_array().cloned().unwrap_or_default();
            if documents.iter().any(|d| d["version"] == version) {
                break;
            }
            thread::sleep(Duration::from_millis(2));
        }
    }
    Ok(begun.elapsed())
}

/// Announces a target to every daemon, as targets do.
struct Announcing(Arc<AtomicBool>);

impl Announcing {
    fn start(deployment: &Bare) -> Self {
        let over = Arc::new(AtomicBool::new(false));
        let stop = over.clone();
        let count = deployment.documents.len();
        let daemons: Vec<SocketAddr> = deployment
            .daemons
            .iter()
            .map(|(_, addresses)| addresses.announcements)
            .collect();
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                for (nth, address) in daemons.iter().enumerate() {
                    let announcement = json!({
                        "service": format!("service-{}", nth % count),
                        "address": address,
                        "slots": 10,
                        "draining": false,
                        "cold_start_ms": 0,
                    });
                    let uri = format!("http://{address}/.pollenrouter/target");
                    // The next round makes up for a failed one.
                    let _ = ureq::put(uri).send_json(announcement);
                }
                thread::sleep(Duration::from_secs(1));
            }
        });
        Self(over)
    }
}

impl Drop for Announcing {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

fn usages(deployment: &Bare) -> Vec<Usage> {
    deployment
        .daemons
        .iter()
        .filter_map(|(process, _)| usage(process.id()))
        .collect()
}

fn usage(id: u32) -> Option<Usage> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let number = |at: usize| fields.get(at).and_then(|text| text.parse::<u64>().ok());
    Some(Usage {
        ticks: number(11)? + number(12)?,
        resident_kib: number(21)? * PAGE_KIB,
    })
}

fn loopback_bytes() -> u64 {
    let text = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"));
    let received = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    received.unwrap_or(0)
}

/// An entry and another daemon's gate under a rate of calls.
fn calls(rates: &[usize]) -> Result<(), Error> {
    println!("calls/s  entry cpu us/call  gate cpu us/call  answered");
    let deployment = pair()?;
    for rate in rates {
        let before = pair_usage(&deployment);
        let count = rate * 10;
        let answered = drive(&deployment, count, *rate, "GET", "/seats/list")?;
        let after = pair_usage(&deployment);
        let micros = |at: usize| {
            let ticks = after[at].ticks - before[at].ticks;
            ticks as f64 / TICKS_PER_SECOND * 1e6 / count as f64
        };
        println!(
            "{rate:>7}  {:>17.0}  {:>16.0}  {answered:>8}",
            micros(0),
            micros(1)
        );
    }
    Ok(())
}

/// Memory of a gate by the number of tickets that it remembers.
fn tickets(sizes: &[usize]) -> Result<(), Error> {
    println!("tickets kept  gate resident KiB  answered");
    let deployment = pair()?;
    let mut kept = 0;
    for size in sizes {
        let count = size.saturating_sub(kept);
        kept = *size;
        let answered = drive(&deployment, count, 2000, "POST", "/seats/release")?;
        println!(
            "{size:>12}  {:>17}  {answered:>8}",
            pair_usage(&deployment)[1].resident_kib
        );
    }
    Ok(())
}

/// Host 0 is the entry; the only target of `seats` stands on host 1.
fn pair() -> Result<Deployment, Error> {
    let mut plan = deployment::wartebank(std::path::Path::new("examples"));
    plan.services.retain(|service| service.name != "assignment");
    for service in &mut plan.services {
        service.domains.truncate(1);
        service.work_us = 0;
        service.stragglers = 0;
        service.slots = 200;
    }
    Deployment::start(&plan)
}

fn pair_usage(deployment: &Deployment) -> Vec<Usage> {
    let daemons = deployment
        .hosts
        .iter()
        .filter_map(|host| host.daemon.as_ref());
    daemons.filter_map(|daemon| usage(daemon.id())).collect()
}

fn drive(
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
    let work = async move {
        let client = client::Client::new(entry);
        let mut open = task::JoinSet::new();
        let begun = time::Instant::now();
        let mut answered = 0;
        for nth in 0..count {
            time::sleep_until(begun + Duration::from_secs_f64(nth as f64 / rate as f64)).await;
            let client = client.clone();
            open.spawn_local(async move {
                caller::call(&client, &Call::plain(method, path, &format!("s{nth}"))).await
            });
            while let Some(Ok(ended)) = open.try_join_next() {
                answered += usize::from(matches!(ended.told, Told::Answered { .. }));
            }
        }
        while let Some(Ok(ended)) = open.join_next().await {
            answered += usize::from(matches!(ended.told, Told::Answered { .. }));
        }
        answered
    };
    Ok(task::LocalSet::new().block_on(&runtime, work))
}
