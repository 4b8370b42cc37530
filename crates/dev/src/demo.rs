//! Demo: the Wartebank example under load, with a daemon restart and a target drain.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use pollenrouter_dev::caller::{self, Call, Outcome};
use pollenrouter_dev::deployment::{self, Deployment, Host};
use pollenrouter_dev::error::Error;
use pollenrouter_dev::histogram::LatencyHistogram;
use pollenrouter_dev::verify::{self, CallRecord};
use pollenrouter_dev::{ledger, target};
use pollenrouter_http::client;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::{runtime, task, time};

use crate::cli;

const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time between removing an entry from the list of the callers and stopping its daemon.
const ENTRY_DRAIN_DELAY: Duration = Duration::from_millis(200);

type SharedEntries = Arc<Mutex<Vec<SocketAddr>>>;

/// Runs the demo and prints the latencies, the failure reasons and the summary.
pub fn run(args: &cli::Demo) -> Result<ExitCode, Error> {
    let plan = deployment::wartebank(&args.examples);
    let mut deployment = Deployment::start(&plan)?;
    println!(
        "{} daemons and {} targets are up",
        deployment.hosts.len(),
        deployment.hosts.len()
    );
    let entries = SharedEntries::default();
    set_entries(&deployment, &entries, None);
    let load = start_load(args, &entries);
    let third = Duration::from_secs(args.seconds) / 3;
    thread::sleep(third);
    restart_daemon_under_load(&mut deployment, &entries)?;
    thread::sleep(third / 2);
    drain_target(&mut deployment)?;
    let records = load.join().unwrap_or_default();
    let ledgers = deployment.hosts.iter().map(|host| host.ledger.as_path());
    let summary = verify::summarize(&records, &ledger::count_runs(ledgers)?);
    print_latencies(&records);
    print_failure_reasons(&records);
    println!(
        "demo: {} calls, {} answered, {} not-run, {} unknown, {} wrong, {} run twice",
        summary.calls,
        summary.answered,
        summary.not_run,
        summary.unknown,
        summary.wrong,
        summary.run_twice
    );
    let passed = summary.wrong + summary.run_twice + summary.refused_but_run + summary.unknown == 0;
    Ok(if passed && summary.calls > 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Updates the entries that callers may use: those of running daemons, except `excluded`.
fn set_entries(deployment: &Deployment, entries: &SharedEntries, excluded: Option<usize>) {
    let hosts = deployment.hosts.iter().enumerate();
    let available = hosts.filter(|(index, host)| host.daemon.is_some() && Some(*index) != excluded);
    let addresses = available.map(|(_, host)| host.addresses.public).collect();
    *entries.lock().unwrap_or_else(PoisonError::into_inner) = addresses;
}

/// Stops a daemon while its target runs calls, and starts it again.
fn restart_daemon_under_load(
    deployment: &mut Deployment,
    entries: &SharedEntries,
) -> Result<(), Error> {
    const RESTARTED_HOST: usize = 5;
    set_entries(deployment, entries, Some(RESTARTED_HOST));
    thread::sleep(ENTRY_DRAIN_DELAY);
    let host = &mut deployment.hosts[RESTARTED_HOST];
    let started_at = Instant::now();
    if let Some(daemon) = host.daemon.take() {
        daemon.stop()?;
    }
    println!(
        "{} stopped after {} ms",
        host.name,
        started_at.elapsed().as_millis()
    );
    host.restart_daemon()?;
    deployment.wait_for_status("documents", |status| status["documents_confirmed"] == true)?;
    set_entries(deployment, entries, None);
    Ok(())
}

/// Drains a target and kills it once it runs no calls.
fn drain_target(deployment: &mut Deployment) -> Result<(), Error> {
    const DRAINED_HOST: usize = 10;
    let host: &mut Host = &mut deployment.hosts[DRAINED_HOST];
    host.set_control(&target::Control {
        draining: true,
        ..target::Control::default()
    })?;
    let started_at = Instant::now();
    // The daemon learns of the drain from the next announcement of the target.
    thread::sleep(Duration::from_secs(1));
    while host.running_calls()? > 0 {
        thread::sleep(DRAIN_POLL_INTERVAL);
    }
    if let Some(mut target) = host.target.take() {
        target.kill()?;
    }
    println!(
        "target of {} drained after {} ms",
        host.name,
        started_at.elapsed().as_millis()
    );
    Ok(())
}

fn start_load(args: &cli::Demo, entries: &SharedEntries) -> thread::JoinHandle<Vec<CallRecord>> {
    let entries = entries.clone();
    let (seconds, rate, seed) = (args.seconds, args.rate, args.seed);
    thread::spawn(move || {
        let runtime = runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.expect("runtime must start");
        let load = run_load(entries, seconds * rate, rate, seed);
        task::LocalSet::new().block_on(&runtime, load)
    })
}

/// Sends calls at a constant rate, without waiting for responses.
async fn run_load(entries: SharedEntries, count: u64, rate: u64, seed: u64) -> Vec<CallRecord> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut clients: BTreeMap<SocketAddr, client::Client> = BTreeMap::new();
    let records = Rc::new(RefCell::new(Vec::new()));
    let mut in_flight = task::JoinSet::new();
    let started_at = time::Instant::now();
    for index in 0..count {
        time::sleep_until(
            started_at
                + Duration::from_secs(1) * u32::try_from(index).unwrap_or(0)
                    / u32::try_from(rate).unwrap_or(1),
        )
        .await;
        let entry = {
            let entries = entries.lock().unwrap_or_else(PoisonError::into_inner);
            entries[rng.random_range(0..entries.len())]
        };
        let client = clients
            .entry(entry)
            .or_insert_with(|| client::Client::new(entry));
        let client = client.clone();
        let (service, at_most_once, call) = sample_call(&mut rng, index);
        let records = records.clone();
        in_flight.spawn_local(async move {
            let result = caller::make_call(&client, &call).await;
            records.borrow_mut().push(CallRecord {
                request_id: call.request_id,
                service: service.into(),
                at_most_once,
                result,
            });
        });
    }
    while in_flight.join_next().await.is_some() {}
    records.take()
}

/// Picks a call from the mix: public callers read the board, volunteers assign seats and
/// staff release them. Returns its service, whether it must run at most once, and the
/// call. The first field of `MIX` is a percentage.
fn sample_call(rng: &mut SmallRng, index: u64) -> (&'static str, bool, Call) {
    const MIX: [(u32, &str, &str, &str, usize); 5] = [
        (40, "board", "GET", "/refresh", 2_000),
        (5, "board", "GET", "/reload", 60_000),
        (25, "assignment", "POST", "/assign", 100),
        (20, "seats", "GET", "/list", 4_000),
        (10, "seats", "POST", "/release", 100),
    ];
    let mut draw = rng.random_range(0..100);
    let mut selected = MIX[0];
    for kind in MIX {
        selected = kind;
        if draw < kind.0 {
            break;
        }
        draw -= kind.0;
    }
    let (_, service, method, path, response_bytes) = selected;
    let call = Call {
        request_id: format!("r{index}").into(),
        method,
        path: format!("/{service}{path}").into(),
        body: Bytes::from(if method == "POST" {
            format!("press {index}")
        } else {
            String::new()
        }),
        service_time: None,
        response_bytes,
        ticket: None,
        deadline: None,
        chained_calls: 0,
    };
    (service, method == "POST", call)
}

fn print_latencies(records: &[CallRecord]) {
    println!("service      calls  p50 added  p99 added  max added  refused  unknown");
    for service in ["board", "assignment", "seats"] {
        let matching: Vec<&CallRecord> = records
            .iter()
            .filter(|record| record.service == service)
            .collect();
        let mut added = LatencyHistogram::default();
        for record in &matching {
            if let Outcome::Answered { run_time } = record.result.outcome {
                added.record(record.result.latency.saturating_sub(run_time));
            }
        }
        let count = |matches: fn(&Outcome) -> bool| {
            matching
                .iter()
                .filter(|record| matches(&record.result.outcome))
                .count()
        };
        println!(
            "{service:<12} {:>5} {:>7} us {:>7} us {:>7} us {:>8} {:>8}",
            matching.len(),
            added.quantile_us(0.5),
            added.quantile_us(0.99),
            added.max_us(),
            count(|outcome| matches!(outcome, Outcome::NotRun(_))),
            count(|outcome| matches!(outcome, Outcome::Unknown(_))),
        );
    }
}

/// Prints each failure reason with its number of calls.
fn print_failure_reasons(records: &[CallRecord]) {
    let mut reasons = BTreeMap::new();
    for record in records {
        let reason = match &record.result.outcome {
            Outcome::Answered { .. } => continue,
            Outcome::NotRun(reason) => format!("not-run: {reason}"),
            Outcome::Unknown(reason) => format!("unknown: {reason}"),
            Outcome::Wrong(reason) => format!("wrong: {reason}"),
        };
        *reasons.entry(reason).or_insert(0) += 1;
    }
    for (reason, count) in reasons {
        println!("{count} x {reason}");
    }
}
