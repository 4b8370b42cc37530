//! Latency that daemons add to a direct call, with all kinds of calls measured in one run.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pollenrouter_dev::caller::{self, Call, Outcome};
use pollenrouter_dev::deployment::{self, Deployment};
use pollenrouter_dev::error::Error;
use pollenrouter_dev::histogram::LatencyHistogram;
use pollenrouter_http::client;
use pollenrouter_platform::client::{Client, PlatformError};
use tokio::{runtime, task, time};

use crate::cli;

const ADDED_P99_GOAL_US: u64 = 390;
const WARM_UP_CALLS: usize = 200;
/// Key of the object that the write measurement overwrites.
const WRITE_KEY: &str = "measured";

/// Kinds of calls, made alternately.
const CALL_KINDS: [&str; 3] = ["direct", "own gate", "other gate"];

/// Alternates direct calls, calls through the gate of the entry's own daemon and calls
/// through the gate of another daemon, and prints their latencies.
pub fn run(args: &cli::Measure) -> Result<(), Error> {
    let mut plan = deployment::wartebank(&args.examples);
    plan.services.retain(|service| service.name != "assignment");
    for service in &mut plan.services {
        service.service_time_us = 0;
        service.stragglers_per_thousand = 0;
        service.domains.truncate(1);
    }
    let deployment = Deployment::start(&plan)?;
    let entry = deployment.hosts[0].addresses.public;
    let target = deployment.hosts[1].target_address;
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let calls = measure_calls(args, entry, target);
    let histograms = task::LocalSet::new().block_on(&runtime, calls);
    println!("kind         p50 us  p99 us  max us  added at p50  added at p99");
    for (name, histogram) in CALL_KINDS.iter().zip(&histograms) {
        let quantile_us = |quantile| histogram.quantile_us(quantile);
        let added_us =
            |quantile| quantile_us(quantile).saturating_sub(histograms[0].quantile_us(quantile));
        println!(
            "{name:<12} {:>6}  {:>6}  {:>6}  {:>12}  {:>12}",
            quantile_us(0.5),
            quantile_us(0.99),
            histogram.max_us(),
            added_us(0.5),
            added_us(0.99)
        );
    }
    println!("goal: {ADDED_P99_GOAL_US} us added at p99");
    let write_latencies = measure_platform_writes(&deployment, args.calls)?;
    let (p50, p99) = (
        write_latencies.quantile_us(0.5),
        write_latencies.quantile_us(0.99),
    );
    println!(
        "one platform write (an alternative way to at-most-once): {p50} us at p50, {p99} us at p99"
    );
    Ok(())
}

/// Latencies of sequential writes to the platform stand-in.
fn measure_platform_writes(
    deployment: &Deployment,
    count: usize,
) -> Result<LatencyHistogram, Error> {
    let client = Client::new(&format!("http://{}", deployment.platform_address));
    let to_error = |err: PlatformError| Error::Http(WRITE_KEY.to_owned(), err.to_string());
    let mut version = 0;
    let mut histogram = LatencyHistogram::default();
    for _ in 0..count {
        let started_at = Instant::now();
        version = client.put(WRITE_KEY, "ran", version).map_err(to_error)?;
        histogram.record(started_at.elapsed());
    }
    Ok(histogram)
}

async fn measure_calls(
    args: &cli::Measure,
    entry: SocketAddr,
    target: SocketAddr,
) -> Vec<LatencyHistogram> {
    let (to_entry, to_target) = (client::Client::new(entry), client::Client::new(target));
    let paths = [
        (&to_target, "/list"),
        (&to_entry, "/board/refresh"),
        (&to_entry, "/seats/list"),
    ];
    let mut histograms: Vec<LatencyHistogram> =
        paths.iter().map(|_| LatencyHistogram::default()).collect();
    let period = Duration::from_secs(1) / u32::try_from(args.rate.max(1)).unwrap_or(1);
    let mut interval = time::interval(period);
    for index in 0..args.calls + WARM_UP_CALLS {
        interval.tick().await;
        for ((client, path), histogram) in paths.iter().zip(&mut histograms) {
            let latency = time_call(client, path, index).await;
            if index >= WARM_UP_CALLS {
                histogram.record(latency);
            }
        }
    }
    histograms
}

/// Latency of one call; a failed call counts as the largest latency.
async fn time_call(client: &client::Client, path: &str, index: usize) -> Duration {
    let call = Call::new("GET", path, &format!("m{index}"));
    let result = caller::make_call(client, &call).await;
    match result.outcome {
        Outcome::Answered { .. } => result.latency,
        other => {
            eprintln!("call failed: {other:?}");
            Duration::MAX
        }
    }
}
