//! Latencies that simpler policies would give for the same arrivals and service
//! times, computed without network, refusals or deadlines.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use pollenrouter_dev::schedule::Arrival;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Age of a target's report in the policy that trusts reports.
const REPORT_AGE: Duration = Duration::from_millis(100);

/// A baseline: its name, and the latency of each arrival.
pub struct Baseline {
    /// Name.
    pub name: &'static str,
    /// Latency of each arrival, in their order.
    pub latencies: Vec<Duration>,
}

/// All baselines.
pub fn all(arrivals: &[Arrival], targets: usize, slots: usize, seed: u64) -> Vec<Baseline> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let random = spread(arrivals, targets, slots, |_, _| {
        rng.random_range(0..targets)
    });
    let mut next = 0;
    let turns = spread(arrivals, targets, slots, |_, _| {
        next += 1;
        next % targets
    });
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut reports = vec![0; targets];
    let mut reported_at = Duration::ZERO;
    let reported = spread(arrivals, targets, slots, |at, loads| {
        if at >= reported_at + REPORT_AGE {
            reports = loads.to_vec();
            reported_at = at;
        }
        let (a, b) = (rng.random_range(0..targets), rng.random_range(0..targets));
        if reports[a] <= reports[b] { a } else { b }
    });
    let shared = spread(arrivals, 1, targets * slots, |_, _| 0);
    vec![
        Baseline {
            name: "random",
            latencies: random,
        },
        Baseline {
            name: "round robin",
            latencies: turns,
        },
        Baseline {
            name: "two choices, reports 100 ms old",
            latencies: reported,
        },
        Baseline {
            name: "one shared queue",
            latencies: shared,
        },
    ]
}

/// First-come queues, one for each target; `pick` sees the calls at each.
fn spread(
    arrivals: &[Arrival],
    targets: usize,
    slots: usize,
    mut pick: impl FnMut(Duration, &[usize]) -> usize,
) -> Vec<Duration> {
    let idle = BinaryHeap::from(vec![Reverse(Duration::ZERO); slots]);
    let mut free_at = vec![idle; targets];
    let mut ends: Vec<BinaryHeap<Reverse<Duration>>> = vec![BinaryHeap::new(); targets];
    let mut latencies = Vec::with_capacity(arrivals.len());
    for arrival in arrivals {
        for at in &mut ends {
            while at.peek().is_some_and(|Reverse(end)| *end <= arrival.at) {
                at.pop();
            }
        }
        let loads: Vec<usize> = ends.iter().map(BinaryHeap::len).collect();
        let target = pick(arrival.at, &loads);
        let Reverse(free) = free_at[target].pop().unwrap_or(Reverse(Duration::ZERO));
        let end = free.max(arrival.at) + arrival.work;
        free_at[target].push(Reverse(end));
        ends[target].push(Reverse(end));
        latencies.push(end.saturating_sub(arrival.at));
    }
    latencies
}
