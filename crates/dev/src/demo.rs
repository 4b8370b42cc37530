//! The demo: Wartebank under load, with a restart and a drain.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use pollenrouter_dev::caller::{self, Call, Told};
use pollenrouter_dev::deployment::{self, Deployment, Host};
use pollenrouter_dev::error::Error;
use pollenrouter_dev::judge::{self, Made};
use pollenrouter_dev::times::Times;
use pollenrouter_dev::{ledger, target};
use pollenrouter_http::client;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::{runtime, task, time};

use crate::cli;

const DRAIN_CHECK: Duration = Duration::from_millis(20);
/// Signal of an entry that is about to stop: callers are told to go elsewhere.
const ENTRY_NOTICE: Duration = Duration::from_millis(200);

type Entries = Arc<Mutex<Vec<SocketAddr>>>;

/// Runs the demo and prints its table and verdict.
pub fn run(args: &cli::Demo) -> Result<ExitCode, Error> {
    let plan = deployment::wartebank(&args.examples);
    let mut deployment = Deployment::start(&plan)?;
    println!(
        "{} daemons and {} targets are up",
        deployment.hosts.len(),
        deployment.hosts.len()
    );
    let entries = Entries::default();
    list_entries(&deployment, &entries, None);
    let load = start_load(args, &entries);
    let third = Duration::from_secs(args.seconds) / 3;
    thread::sleep(third);
    restart(&mut deployment, &entries)?;
    thread::sleep(third / 2);
    drain(&mut deployment)?;
    let made = load.join().unwrap_or_default();
    let ledgers = deployment.hosts.iter().map(|host| host.ledger.as_path());
    let verdict = judge::judge(&made, &ledger::runs(ledgers)?);
    print_table(&made);
    print_reasons(&made);
    println!(
        "demo: {} calls, {} answered, {} not-run, {} unknown, {} wrong, {} run twice",
        verdict.calls,
        verdict.answered,
        verdict.not_run,
        verdict.unknown,
        verdict.wrong,
        verdict.run_twice
    );
    let clean = verdict.wrong + verdict.run_twice + verdict.not_run_yet_run + verdict.unknown == 0;
    Ok(if clean && verdict.calls > 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Tells the load which entries callers may use.
fn list_entries(deployment: &Deployment, entries: &Entries, without: Option<usize>) {
    let open = deployment.hosts.iter().enumerate();
    let open = open.filter(|(at, host)| host.daemon.is_some() && Some(*at) != without);
    let addresses = open.map(|(_, host)| host.addresses.public).collect();
    *entries.lock().unwrap_or_else(PoisonError::into_inner) = addresses;
}

/// Stops one daemon while its target has calls, and starts it again.
fn restart(deployment: &mut Deployment, entries: &Entries) -> Result<(), Error> {
    const RESTARTED: usize = 5;
    list_entries(deployment, entries, Some(RESTARTED));
    thread::sleep(ENTRY_NOTICE);
    let host = &mut deployment.hosts[RESTARTED];
    let begun = Instant::now();
    if let Some(daemon) = host.daemon.take() {
        daemon.stop()?;
    }
    println!(
        "{} stopped after {} ms",
        host.name,
        begun.elapsed().as_millis()
    );
    host.restart_daemon()?;
    deployment.wait("documents", |status| status["documents_confirmed"] == true)?;
    list_entries(deployment, entries, None);
    Ok(())
}

/// Drains one target and stops it once nothing runs there.
fn drain(deployment: &mut Deployment) -> Result<(), Error> {
    const DRAINED: usize = 10;
    let host: &mut Host = &mut deployment.hosts[DRAINED];
    host.control(&target::Control {
        draining: true,
        ..target::Control::default()
    })?;
    let begun = Instant::now();
    // The target's next announcement tells the daemon.
    thread::sleep(Duration::from_secs(1));
    while host.running()? > 0 {
        thread::sleep(DRAIN_CHECK);
    }
    if let Some(mut target) = host.target.take() {
        target.kill()?;
    }
    println!(
        "target of {} drained after {} ms",
        host.name,
        begun.elapsed().as_millis()
    );
    Ok(())
}

fn start_load(args: &cli::Demo, entries: &Entries) -> thread::JoinHandle<Vec<Made>> {
    let entries = entries.clone();
    let (seconds, rate, seed) = (args.seconds, args.rate, args.seed);
    thread::spawn(move || {
        let runtime = runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.expect("runtime must start");
        let load = load(entries, seconds * rate, rate, seed);
        task::LocalSet::new().block_on(&runtime, load)
    })
}

/// Sends calls on a schedule that does not wait for answers.
async fn load(entries: Entries, count: u64, rate: u64, seed: u64) -> Vec<Made> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut clients: BTreeMap<SocketAddr, client::Client> = BTreeMap::new();
    let made = Rc::new(RefCell::new(Vec::new()));
    let mut open = task::JoinSet::new();
    let begun = time::Instant::now();
    for nth in 0..count {
        time::sleep_until(
            begun
                + Duration::from_secs(1) * u32::try_from(nth).unwrap_or(0)
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
        let (service, once, call) = mixed(&mut rng, nth);
        let made = made.clone();
        open.spawn_local(async move {
            let ended = caller::call(&client, &call).await;
            made.borrow_mut().push(Made {
                request: call.request,
                service: service.into(),
                once,
                ended,
            });
        });
    }
    while open.join_next().await.is_some() {}
    made.take()
}

/// One call of the mix: the public watches, volunteers assign, staff release.
fn mixed(rng: &mut SmallRng, nth: u64) -> (&'static str, bool, Call) {
    const MIX: [(u32, &str, &str, &str, usize); 5] = [
        (40, "board", "GET", "/refresh", 2_000),
        (5, "board", "GET", "/reload", 60_000),
        (25, "assignment", "POST", "/assign", 100),
        (20, "seats", "GET", "/list", 4_000),
        (10, "seats", "POST", "/release", 100),
    ];
    let mut draw = rng.random_range(0..100);
    let mut picked = MIX[0];
    for kind in MIX {
        picked = kind;
        if draw < kind.0 {
            break;
        }
        draw -= kind.0;
    }
    let (_, service, method, path, answer_bytes) = picked;
    let call = Call {
        request: format!("r{nth}").into(),
        method,
        path: format!("/{service}{path}").into(),
        body: Bytes::from(if method == "POST" {
            format!("press {nth}")
        } else {
            String::new()
        }),
        work: None,
        answer_bytes,
        ticket: None,
        deadline: None,
        chain: 0,
    };
    (service, method == "POST", call)
}

fn print_table(made: &[Made]) {
    println!("service      calls  p50 added  p99 added  max added  refused  unknown");
    for service in ["board", "assignment", "seats"] {
        let of: Vec<&Made> = made.iter().filter(|made| made.service == service).collect();
        let mut added = Times::default();
        for call in &of {
            if let Told::Answered { took } = call.ended.told {
                added.record(call.ended.latency.saturating_sub(took));
            }
        }
        let told = |wanted: fn(&Told) -> bool| of.iter().filter(|c| wanted(&c.ended.told)).count();
        println!(
            "{service:<12} {:>5} {:>7} us {:>7} us {:>7} us {:>8} {:>8}",
            of.len(),
            added.at(0.5),
            added.at(0.99),
            added.max(),
            told(|t| matches!(t, Told::NotRun(_))),
            told(|t| matches!(t, Told::Unknown(_))),
        );
    }
}

/// Prints why calls failed, if any did.
fn print_reasons(made: &[Made]) {
    let mut reasons = BTreeMap::new();
    for call in made {
        let reason = match &call.ended.told {
            Told::Answered { .. } => continue,
            Told::NotRun(reason) => format!("not-run: {reason}"),
            Told::Unknown(reason) => format!("unknown: {reason}"),
            Told::Wrong(reason) => format!("wrong: {reason}"),
        };
        *reasons.entry(reason).or_insert(0) += 1;
    }
    for (reason, count) in reasons {
        println!("{count} x {reason}");
    }
}
