//! Budgets shared by the fleet: probes of all daemons together stay within the service's
//! budget despite restarts, joins and stale views, and retries stay within their share.

use std::collections::BTreeMap;
use std::time::Duration;

use pollenrouter_core::bucket::{Bucket, Rate, RetryBudget};
use pollenrouter_core::probe_share;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

const STEP: Duration = Duration::from_millis(100);
const MINUTES: u32 = 10;

struct Case {
    rate: Rate,
    daemons: usize,
    /// Mean number of steps between two restarts of one daemon.
    restart_every: u32,
}

const FEW: Case = Case {
    rate: Rate {
        per_minute: 24,
        shared_by: 8,
    },
    daemons: 4,
    restart_every: 1_000_000,
};

const FULL: Case = Case {
    rate: Rate {
        per_minute: 24,
        shared_by: 8,
    },
    daemons: 8,
    restart_every: 1_000_000,
};

const RESTARTS: Case = Case {
    restart_every: 300,
    ..FULL
};

const TOO_MANY: Case = Case {
    daemons: 30,
    restart_every: 600,
    ..FULL
};

struct Daemon {
    version: u64,
    bucket: Bucket,
    /// Registrations known to this daemon, by daemon; stale between its reads.
    known_versions: BTreeMap<usize, u64>,
}

fn register(fleet: &mut BTreeMap<usize, Daemon>, index: usize, revision: &mut u64, now: Duration) {
    *revision += 1;
    let mut known_versions: BTreeMap<usize, u64> =
        fleet.iter().map(|(other, d)| (*other, d.version)).collect();
    known_versions.insert(index, *revision);
    let daemon = Daemon {
        version: *revision,
        bucket: Bucket::new(now),
        known_versions,
    };
    fleet.insert(index, daemon);
}

#[rstest]
#[case(FEW)]
#[case(FULL)]
#[case(RESTARTS)]
#[case(TOO_MANY)]
fn probes_stay_within_the_budget(#[case] case: Case) {
    let probes = count_probes(&case, true);
    let budget = case.rate.per_minute * MINUTES;
    assert!(
        probes > 0 && probes <= budget,
        "{probes} probes, budget {budget}"
    );
}

#[test]
fn budget_is_exceeded_if_every_daemon_has_a_share() {
    let probes = count_probes(&TOO_MANY, false);
    assert!(
        probes > TOO_MANY.rate.per_minute * MINUTES,
        "{probes} probes"
    );
}

/// Counts the probes of all daemons; without `limit_shares` every daemon has a share.
fn count_probes(case: &Case, limit_shares: bool) -> u32 {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut fleet = BTreeMap::new();
    let mut revision = 0;
    for index in 0..case.daemons {
        register(&mut fleet, index, &mut revision, Duration::ZERO);
    }
    let mut probes = 0;
    let steps = MINUTES * 600;
    for step in 0..steps {
        let now = STEP * step;
        let versions: BTreeMap<usize, u64> =
            fleet.iter().map(|(index, d)| (*index, d.version)).collect();
        for index in 0..case.daemons {
            if rng.random_range(0..case.restart_every) == 0 {
                register(&mut fleet, index, &mut revision, now);
                continue;
            }
            let daemon = fleet.get_mut(&index).expect("daemon must exist");
            if rng.random_range(0..100) == 0 {
                daemon.known_versions.clone_from(&versions);
            }
            let others = daemon
                .known_versions
                .iter()
                .filter(|(other, _)| **other != index);
            let position =
                probe_share::position(Some(daemon.version), others.map(|(_, version)| *version));
            let has_share = !limit_shares || probe_share::has_share(position, case.rate.shared_by);
            probes += u32::from(has_share && daemon.bucket.take(case.rate, now));
        }
    }
    probes
}

#[test]
fn an_unregistered_daemon_has_no_share() {
    assert_eq!(probe_share::position(None, [1, 2].into_iter()), None);
    assert!(!probe_share::has_share(None, 8));
}

#[test]
fn retries_stay_within_their_share_of_the_traffic() {
    let mut budget = RetryBudget::new(10, 1);
    let mut taken = 0;
    for _ in 0..10_000 {
        budget.credit(10);
        taken += u32::from(budget.take());
    }
    // A tenth of the traffic, plus the initial budget.
    assert!((1000..=1010).contains(&taken), "{taken}");
}
