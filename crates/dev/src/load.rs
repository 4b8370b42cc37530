//! Open-loop load on the `board` service of the Wartebank example, compared with
//! baselines that are simulated for the same arrivals.

use std::cell::RefCell;
use std::fs;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use pollenrouter_dev::caller::{self, Call, CallResult, Outcome};
use pollenrouter_dev::deployment::{self, Deployment};
use pollenrouter_dev::error::Error;
use pollenrouter_dev::histogram::LatencyHistogram;
use pollenrouter_dev::ledger;
use pollenrouter_dev::schedule::{self, Arrival, Class, LoadProfile};
use pollenrouter_dev::verify::{self, CallRecord, Summary};
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

/// Latencies of one policy and class.
#[derive(Debug, Serialize)]
pub struct Row {
    /// Load-balancing policy.
    pub policy: String,
    /// Class of the calls; `None` for all classes.
    pub class: Option<Class>,
    /// Number of answered calls.
    pub answered: u64,
    /// Median latency of answered calls, milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency, milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile of the latency, milliseconds.
    pub p999_ms: f64,
}

/// Report of a load run.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Mean offered load as a fraction of capacity.
    pub load: f64,
    /// Random seed of the load.
    pub seed: u64,
    /// Latencies by policy and class.
    pub rows: Vec<Row>,
    /// Calls made.
    pub calls: usize,
    /// Calls answered within their latency objective, as a fraction of capacity.
    pub goodput: f64,
    /// Calls reported as `not-run`.
    pub not_run: usize,
    /// Calls reported as `unknown`: they may have run.
    pub unknown: usize,
    /// 99th percentile of the latency of refusals, milliseconds.
    pub refused_p99_ms: f64,
}

/// Runs the load, prints the report and writes it as JSON and as a plot if requested.
pub fn run(args: &cli::Load) -> Result<(), Error> {
    let profile = LoadProfile {
        offered_load: args.share,
        slots: SLOTS * u32::try_from(TARGETS).unwrap_or(1),
        duration: Duration::from_secs(args.seconds),
        seed: args.seed,
    };
    let arrivals = schedule::generate(profile);
    let mut plan = deployment::wartebank(&args.examples);
    plan.services.retain(|service| service.name == "board");
    let deployment = Deployment::start(&plan)?;
    let records = run_load(&deployment, &arrivals)?;
    let ledgers = deployment.hosts.iter().map(|host| host.ledger.as_path());
    let summary = verify::summarize(&records, &ledger::count_runs(ledgers)?);
    let report = build_report(profile, &arrivals, &records, summary);
    print_report(&report, summary);
    if let Some(path) = &args.json {
        let text = serde_json::to_string_pretty(&report).unwrap_or_default();
        fs::write(path, text)?;
    }
    if let Some(path) = &args.plot {
        plot::draw(path, &report)?;
    }
    Ok(())
}

fn run_load(deployment: &Deployment, arrivals: &[Arrival]) -> Result<Vec<CallRecord>, Error> {
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
    let calls = send_calls(&public, &internal, arrivals);
    Ok(task::LocalSet::new().block_on(&runtime, calls))
}

/// Sends calls at their arrival times. Latency is measured from the scheduled time, not
/// from when the call was actually sent.
async fn send_calls(
    public: &[SocketAddr],
    internal: &[SocketAddr],
    arrivals: &[Arrival],
) -> Vec<CallRecord> {
    let clients = |addresses: &[SocketAddr]| -> Vec<client::Client> {
        addresses
            .iter()
            .map(|address| client::Client::new(*address))
            .collect()
    };
    let (public, internal) = (clients(public), clients(internal));
    let results: Rc<RefCell<Vec<Option<CallResult>>>> =
        Rc::new(RefCell::new(vec![None; arrivals.len()]));
    let mut rng = SmallRng::seed_from_u64(1);
    let mut in_flight = task::JoinSet::new();
    let started_at = Instant::now();
    for (index, arrival) in arrivals.iter().enumerate() {
        let due = started_at + arrival.at;
        time::sleep_until(due.into()).await;
        let clients = if arrival.class == Class::Internal {
            &internal
        } else {
            &public
        };
        let client = clients[rng.random_range(0..clients.len())].clone();
        let call = build_call(index, arrival);
        let results = results.clone();
        in_flight.spawn_local(async move {
            let mut result = caller::make_call(&client, &call).await;
            result.latency = due.elapsed();
            results.borrow_mut()[index] = Some(result);
        });
        while in_flight.try_join_next().is_some() {}
    }
    while in_flight.join_next().await.is_some() {}
    let results = results.take();
    results
        .into_iter()
        .enumerate()
        .filter_map(|(index, result)| Some(to_record(index, result?)))
        .collect()
}

fn to_record(index: usize, result: CallResult) -> CallRecord {
    CallRecord {
        request_id: format!("l{index}").into(),
        service: "board".into(),
        at_most_once: false,
        result,
    }
}

fn build_call(index: usize, arrival: &Arrival) -> Call {
    let path = if arrival.class == Class::Long {
        "/board/reload"
    } else {
        "/board/refresh"
    };
    Call {
        request_id: format!("l{index}").into(),
        method: "GET",
        path: path.into(),
        body: Bytes::new(),
        service_time: Some(arrival.service_time),
        response_bytes: 500,
        ticket: None,
        deadline: Some(latency_objective(arrival.class)),
        chained_calls: 0,
    }
}

/// Latency objective of a class; service times of stragglers can exceed it.
fn latency_objective(class: Class) -> Duration {
    match class {
        Class::Long => Duration::from_secs(4),
        Class::Short | Class::Internal => Duration::from_millis(1500),
    }
}

fn build_report(
    profile: LoadProfile,
    arrivals: &[Arrival],
    records: &[CallRecord],
    summary: Summary,
) -> Report {
    let mut rows = Vec::new();
    let is_answered =
        |record: &CallRecord| matches!(record.result.outcome, Outcome::Answered { .. });
    let answered = |class: Option<Class>| {
        let pairs = arrivals.iter().zip(records);
        let selected = pairs.filter(|(arrival, record)| {
            is_answered(record) && class.is_none_or(|class| arrival.class == class)
        });
        selected
            .map(|(_, record)| record.result.latency)
            .collect::<Vec<_>>()
    };
    for class in CLASSES.map(Some).into_iter().chain([None]) {
        rows.push(build_row("pollenrouter", class, &answered(class)));
    }
    for baseline in baseline::compute_all(arrivals, TARGETS, SLOTS as usize, profile.seed) {
        for class in CLASSES.map(Some).into_iter().chain([None]) {
            let pairs = arrivals.iter().zip(&baseline.latencies);
            let selected =
                pairs.filter(|(arrival, _)| class.is_none_or(|class| arrival.class == class));
            let latencies: Vec<Duration> = selected.map(|(_, latency)| *latency).collect();
            rows.push(build_row(baseline.name, class, &latencies));
        }
    }
    let in_time = arrivals.iter().zip(records).filter(|(arrival, record)| {
        is_answered(record) && record.result.latency <= latency_objective(arrival.class)
    });
    let refused = records
        .iter()
        .filter(|record| matches!(record.result.outcome, Outcome::NotRun(_)));
    let refused_latencies: Vec<Duration> = refused.map(|record| record.result.latency).collect();
    let seconds = profile.duration.as_secs_f64();
    Report {
        load: profile.offered_load,
        seed: profile.seed,
        rows,
        calls: summary.calls,
        goodput: in_time.count() as f64 / seconds / schedule::capacity(profile.slots),
        not_run: summary.not_run,
        unknown: summary.unknown,
        refused_p99_ms: build_row("", None, &refused_latencies).p99_ms,
    }
}

fn build_row(policy: &str, class: Option<Class>, latencies: &[Duration]) -> Row {
    let mut histogram = LatencyHistogram::default();
    for latency in latencies {
        histogram.record(*latency);
    }
    let quantile_ms = |quantile| histogram.quantile_us(quantile) as f64 / 1000.0;
    Row {
        policy: policy.to_owned(),
        class,
        answered: histogram.len(),
        p50_ms: quantile_ms(0.5),
        p99_ms: quantile_ms(0.99),
        p999_ms: quantile_ms(0.999),
    }
}

fn print_report(report: &Report, summary: Summary) {
    println!(
        "load {}, seed {}, {} calls",
        report.load, report.seed, report.calls
    );
    println!("policy                           class     answered   p50 ms   p99 ms  p99.9 ms");
    for row in &report.rows {
        let class = row.class.map_or_else(
            || "all".to_owned(),
            |class| format!("{class:?}").to_lowercase(),
        );
        println!(
            "{:<32} {class:<9} {:>8} {:>8.1} {:>8.1} {:>9.1}",
            row.policy, row.answered, row.p50_ms, row.p99_ms, row.p999_ms
        );
    }
    println!(
        "goodput {:.3} of capacity, {} not-run (refused within {:.1} ms at p99), {} unknown, \
         {} wrong, {} refused but run",
        report.goodput,
        report.not_run,
        report.refused_p99_ms,
        report.unknown,
        summary.wrong,
        summary.refused_but_run
    );
}
