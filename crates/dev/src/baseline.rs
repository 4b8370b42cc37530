//! Simulated latencies of simpler load-balancing policies for the same arrivals and
//! service times, without network, refusals or deadlines.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use pollenrouter_dev::schedule::Arrival;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Interval at which the two-choices policy refreshes its load reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Simulated result of one policy.
pub struct Baseline {
    /// Name of the policy.
    pub name: &'static str,
    /// Latency of each arrival, in the order of the arrivals.
    pub latencies: Vec<Duration>,
}

/// Simulates all policies.
pub fn compute_all(arrivals: &[Arrival], targets: usize, slots: usize, seed: u64) -> Vec<Baseline> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let random = simulate(arrivals, targets, slots, |_, _| {
        rng.random_range(0..targets)
    });
    let mut next = 0;
    let round_robin = simulate(arrivals, targets, slots, |_, _| {
        next += 1;
        next % targets
    });
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut reports = vec![0; targets];
    let mut reported_at = Duration::ZERO;
    let two_choices = simulate(arrivals, targets, slots, |at, calls_in_flight| {
        if at >= reported_at + REPORT_INTERVAL {
            reports = calls_in_flight.to_vec();
            reported_at = at;
        }
        let (a, b) = (rng.random_range(0..targets), rng.random_range(0..targets));
        if reports[a] <= reports[b] { a } else { b }
    });
    let shared_queue = simulate(arrivals, 1, targets * slots, |_, _| 0);
    vec![
        Baseline {
            name: "random",
            latencies: random,
        },
        Baseline {
            name: "round robin",
            latencies: round_robin,
        },
        Baseline {
            name: "two choices, reports 100 ms old",
            latencies: two_choices,
        },
        Baseline {
            name: "one shared queue",
            latencies: shared_queue,
        },
    ]
}

/// Simulates one FIFO queue for each target. `choose_target` gets the time of the
/// arrival and the number of queued and running calls at each target.
fn simulate(
    arrivals: &[Arrival],
    targets: usize,
    slots: usize,
    mut choose_target: impl FnMut(Duration, &[usize]) -> usize,
) -> Vec<Duration> {
    let idle = BinaryHeap::from(vec![Reverse(Duration::ZERO); slots]);
    let mut slots_free_at = vec![idle; targets];
    let mut completion_times: Vec<BinaryHeap<Reverse<Duration>>> = vec![BinaryHeap::new(); targets];
    let mut latencies = Vec::with_capacity(arrivals.len());
    for arrival in arrivals {
        for pending in &mut completion_times {
            while pending
                .peek()
                .is_some_and(|Reverse(end)| *end <= arrival.at)
            {
                pending.pop();
            }
        }
        let calls_in_flight: Vec<usize> = completion_times.iter().map(BinaryHeap::len).collect();
        let target = choose_target(arrival.at, &calls_in_flight);
        let Reverse(free_from) = slots_free_at[target]
            .pop()
            .unwrap_or(Reverse(Duration::ZERO));
        let end = free_from.max(arrival.at) + arrival.service_time;
        slots_free_at[target].push(Reverse(end));
        completion_times[target].push(Reverse(end));
        latencies.push(end.saturating_sub(arrival.at));
    }
    latencies
}
