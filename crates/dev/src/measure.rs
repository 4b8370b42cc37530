//! Latency that the path adds to a direct call, measured in one run.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hdrhistogram::Histogram;
use pollenrouter_dev::caller::{self, Call, Told};
use pollenrouter_dev::deployment::{self, Deployment};
use pollenrouter_dev::error::Error;
use pollenrouter_http::client;
use tokio::{runtime, task, time};

use crate::cli;

const TARGET_US: u64 = 390;
const WARM_UP_CALLS: usize = 200;

/// Runs direct calls and calls through the path by turns.
pub fn run(args: &cli::Measure) -> Result<(), Error> {
    let mut plan = deployment::wartebank(&args.examples);
    plan.services.retain(|service| service.name == "seats");
    for service in &mut plan.services {
        service.work_us = 0;
        service.stragglers = 0;
    }
    let deployment = Deployment::start(&plan)?;
    let entry = deployment.hosts[0].addresses.public;
    let target = deployment.hosts[1].target_address;
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let work = measure(args, entry, target);
    let (direct, path) = task::LocalSet::new().block_on(&runtime, work);
    println!("kind      p50 us  p99 us  max us");
    for (name, times) in [("direct", &direct), ("path", &path)] {
        let (p50, p99) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
        println!("{name:<8} {p50:>7} {p99:>7} {:>7}", times.max());
    }
    let added = |q| {
        path.value_at_quantile(q)
            .saturating_sub(direct.value_at_quantile(q))
    };
    println!(
        "added at p50 {} us, at p99 {} us; target {TARGET_US} us at p99",
        added(0.5),
        added(0.99)
    );
    Ok(())
}

async fn measure(
    args: &cli::Measure,
    entry: SocketAddr,
    target: SocketAddr,
) -> (Histogram<u64>, Histogram<u64>) {
    let (to_entry, to_target) = (client::Client::new(entry), client::Client::new(target));
    let histogram = || Histogram::new(3).expect("histogram must be valid");
    let (mut direct, mut path) = (histogram(), histogram());
    let period = Duration::from_secs(1) / u32::try_from(args.rate.max(1)).unwrap_or(1);
    let mut due = time::interval(period);
    for nth in 0..args.calls + WARM_UP_CALLS {
        due.tick().await;
        let by_target = timed(&to_target, "/list", nth).await;
        let by_entry = timed(&to_entry, "/seats/list", nth).await;
        if nth >= WARM_UP_CALLS {
            direct.saturating_record(by_target);
            path.saturating_record(by_entry);
        }
    }
    (direct, path)
}

/// Time of one call, microseconds; a failed call counts as the largest time.
async fn timed(client: &client::Client, path: &str, nth: usize) -> u64 {
    let call = Call {
        request: format!("m{nth}").into(),
        method: "GET",
        path: path.into(),
        body: Bytes::new(),
        work: Some(Duration::ZERO),
        answer_bytes: 100,
        ticket: None,
        deadline: None,
    };
    let ended = caller::call(client, &call).await;
    match ended.told {
        Told::Answered { .. } => u64::try_from(ended.latency.as_micros()).unwrap_or(u64::MAX),
        other => {
            eprintln!("call failed: {other:?}");
            u64::MAX
        }
    }
}
