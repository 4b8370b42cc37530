//! Load on the `board` service of Wartebank, on a schedule that does not wait for
//! answers, beside baselines computed over the same arrivals.

use std::cell::RefCell;
use std::fs;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use pollenrouter_dev::caller::{self, Call, Ended, Told};
use pollenrouter_dev::deployment::{self, Deployment};
use pollenrouter_dev::error::Error;
use pollenrouter_dev::judge::{self, Made, Verdict};
use pollenrouter_dev::ledger;
use pollenrouter_dev::schedule::{self, Arrival, Class, Shape};
use pollenrouter_dev::times::Times;
use pollenrouter_http::client;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use tokio::{runtime, task, time};

use crate::baseline;
use crate::cli;
use crate::plot;

const TARGETS: usize = 4;
const SLOTS: u32 = 10;
const CLASSES: [Class; 3] = [Class::Short, Class::Long, Class::Internal];

/// One row of the table.
#[derive(Debug, Serialize)]
pub struct Row {
    /// Policy that gave it.
    pub policy: String,
    /// Class of work; `None` for all.
    pub class: Option<Class>,
    /// Calls answered.
    pub answered: u64,
    /// Latency of answered calls, milliseconds.
    pub p50_ms: f64,
    /// The same.
    pub p99_ms: f64,
    /// The same.
    pub p999_ms: f64,
}

/// What a run found.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Mean load as a share of capacity.
    pub load: f64,
    /// Seed.
    pub seed: u64,
    /// Rows.
    pub rows: Vec<Row>,
    /// Calls made.
    pub calls: usize,
    /// Answered within what is owed, as a share of what all slots can serve.
    pub goodput: f64,
    /// Calls refused as not run.
    pub not_run: usize,
    /// Calls whose caller was told that nobody knows.
    pub unknown: usize,
    /// Time until a refusal was said, 99 in 100, milliseconds.
    pub refused_p99_ms: f64,
}

/// Runs the load, prints the table and writes JSON and a plot.
pub fn run(args: &cli::Load) -> Result<(), Error> {
    let shape = Shape {
        load: args.share,
        slots: SLOTS * u32::try_from(TARGETS).unwrap_or(1),
        length: Duration::from_secs(args.seconds),
        seed: args.seed,
    };
    let arrivals = schedule::draw(shape);
    let mut plan = deployment::wartebank(&args.examples);
    plan.services.retain(|service| service.name == "board");
    let deployment = Deployment::start(&plan)?;
    let ended = drive(&deployment, &arrivals)?;
    let ledgers = deployment.hosts.iter().map(|host| host.ledger.as_path());
    let verdict = judge::judge(&ended, &ledger::runs(ledgers)?);
    let report = report(shape, &arrivals, &ended, verdict);
    print(&report, verdict);
    if let Some(path) = &args.json {
        let text = serde_json::to_string_pretty(&report).unwrap_or_default();
        fs::write(path, text)?;
    }
    if let Some(path) = &args.plot {
        plot::draw(path, &report)?;
    }
    Ok(())
}

fn drive(deployment: &Deployment, arrivals: &[Arrival]) -> Result<Vec<Made>, Error> {
    let public: Vec<SocketAddr> = deployment
        .hosts
        .iter()
        .map(|host| host.addresses.public)
        .collect();
    let internal: Vec<SocketAddr> = deployment
        .hosts
        .iter()
        .map(|host| host.addresses.internal)
        .collect();
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let work = send(&public, &internal, arrivals);
    Ok(task::LocalSet::new().block_on(&runtime, work))
}

/// Latency counts from when a call was due, not from when it was sent.
async fn send(public: &[SocketAddr], internal: &[SocketAddr], arrivals: &[Arrival]) -> Vec<Made> {
    let clients = |addresses: &[SocketAddr]| -> Vec<client::Client> {
        addresses
            .iter()
            .map(|address| client::Client::new(*address))
            .collect()
    };
    let (public, internal) = (clients(public), clients(internal));
    let made: Rc<RefCell<Vec<Option<Ended>>>> = Rc::new(RefCell::new(vec![None; arrivals.len()]));
    let mut rng = SmallRng::seed_from_u64(1);
    let mut open = task::JoinSet::new();
    let begun = Instant::now();
    for (nth, arrival) in arrivals.iter().enumerate() {
        let due = begun + arrival.at;
        time::sleep_until(due.into()).await;
        let of = if arrival.class == Class::Internal {
            &internal
        } else {
            &public
        };
        let client = of[rng.random_range(0..of.len())].clone();
        let call = call(nth, arrival);
        let made = made.clone();
        open.spawn_local(async move {
            let mut ended = caller::call(&client, &call).await;
            ended.latency = due.elapsed();
            made.borrow_mut()[nth] = Some(ended);
        });
        while open.try_join_next().is_some() {}
    }
    while open.join_next().await.is_some() {}
    let ended = made.take();
    ended
        .into_iter()
        .enumerate()
        .filter_map(|(nth, ended)| Some(named(nth, ended?)))
        .collect()
}

fn named(nth: usize, ended: Ended) -> Made {
    Made {
        request: format!("l{nth}").into(),
        service: "board".into(),
        once: false,
        ended,
    }
}

fn call(nth: usize, arrival: &Arrival) -> Call {
    let path = if arrival.class == Class::Long {
        "/board/reload"
    } else {
        "/board/refresh"
    };
    Call {
        request: format!("l{nth}").into(),
        method: "GET",
        path: path.into(),
        body: Bytes::new(),
        work: Some(arrival.work),
        answer_bytes: 500,
        ticket: None,
        deadline: Some(owed(arrival.class)),
        chain: 0,
    }
}

/// Latency owed: stragglers are longer than what is owed for the rest.
fn owed(class: Class) -> Duration {
    match class {
        Class::Long => Duration::from_secs(4),
        Class::Short | Class::Internal => Duration::from_millis(1500),
    }
}

fn report(shape: Shape, arrivals: &[Arrival], made: &[Made], verdict: Verdict) -> Report {
    let mut rows = Vec::new();
    let told = |made: &Made| matches!(made.ended.told, Told::Answered { .. });
    let answered = |class: Option<Class>| {
        let both = arrivals.iter().zip(made);
        let of = both.filter(|(a, m)| told(m) && class.is_none_or(|class| a.class == class));
        of.map(|(_, m)| m.ended.latency).collect::<Vec<_>>()
    };
    for class in CLASSES.map(Some).into_iter().chain([None]) {
        rows.push(row("pollenrouter", class, &answered(class)));
    }
    for baseline in baseline::all(arrivals, TARGETS, SLOTS as usize, shape.seed) {
        for class in CLASSES.map(Some).into_iter().chain([None]) {
            let both = arrivals.iter().zip(&baseline.latencies);
            let of = both.filter(|(a, _)| class.is_none_or(|class| a.class == class));
            let latencies: Vec<Duration> = of.map(|(_, latency)| *latency).collect();
            rows.push(row(baseline.name, class, &latencies));
        }
    }
    let in_time = arrivals
        .iter()
        .zip(made)
        .filter(|(a, m)| told(m) && m.ended.latency <= owed(a.class));
    let refused = made
        .iter()
        .filter(|m| matches!(m.ended.told, Told::NotRun(_)));
    let refused: Vec<Duration> = refused.map(|m| m.ended.latency).collect();
    let seconds = shape.length.as_secs_f64();
    Report {
        load: shape.load,
        seed: shape.seed,
        rows,
        calls: verdict.calls,
        goodput: in_time.count() as f64 / seconds / schedule::capacity(shape.slots),
        not_run: verdict.not_run,
        unknown: verdict.unknown,
        refused_p99_ms: row("", None, &refused).p99_ms,
    }
}

fn row(policy: &str, class: Option<Class>, latencies: &[Duration]) -> Row {
    let mut times = Times::default();
    for latency in latencies {
        times.record(*latency);
    }
    let at = |q| times.at(q) as f64 / 1000.0;
    Row {
        policy: policy.to_owned(),
        class,
        answered: times.len(),
        p50_ms: at(0.5),
        p99_ms: at(0.99),
        p999_ms: at(0.999),
    }
}

fn print(report: &Report, verdict: Verdict) {
    println!(
        "load {}, seed {}, {} calls",
        report.load, report.seed, report.calls
    );
    println!("policy                           class     answered   p50 ms   p99 ms  p99.9 ms");
    for row in &report.rows {
        let class = row
            .class
            .map_or_else(|| "all".to_owned(), |c| format!("{c:?}").to_lowercase());
        println!(
            "{:<32} {class:<9} {:>8} {:>8.1} {:>8.1} {:>9.1}",
            row.policy, row.answered, row.p50_ms, row.p99_ms, row.p999_ms
        );
    }
    println!(
        "goodput {:.3} of capacity, {} not-run (said within {:.1} ms for 99 in 100), {} unknown, \
         {} wrong, {} refused yet run",
        report.goodput,
        report.not_run,
        report.refused_p99_ms,
        report.unknown,
        verdict.wrong,
        verdict.not_run_yet_run
    );
}
