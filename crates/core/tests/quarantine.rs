//! Requests that crash their targets are told from those that run beside them.

use std::collections::BTreeSet;
use std::time::Duration;

use pollenrouter_core::gate::target::TargetIncarnation;
use pollenrouter_core::id::{Fingerprint, HostName};
use pollenrouter_core::quarantine::{EVIDENCE_TTL, Evidence, Observer, Quarantined};
use rstest::rstest;

const POISON: Fingerprint = 1;
const POPULAR: Fingerprint = 2;
const RARE: Fingerprint = 3;
/// Time between two crashes.
const GAP: Duration = Duration::from_secs(2);
/// Time that evidence takes to become effective, at most.
const EFFECTIVE: Duration = Duration::from_secs(1);

fn incarnation(number: u64) -> TargetIncarnation {
    TargetIncarnation {
        name: format!("i-{number}").into(),
        started_ms: number,
    }
}

/// Daemons that observe their targets and know each other's reports.
struct Fleet {
    hosts: Vec<(Observer, Evidence)>,
    now: Duration,
    crashes: u64,
}

impl Fleet {
    fn new(hosts: usize) -> Self {
        Self {
            hosts: vec![(Observer::default(), Evidence::default()); hosts],
            now: Duration::ZERO,
            crashes: 0,
        }
    }

    fn crash(&mut self, host: usize, running: &[Fingerprint]) {
        self.crashes += 1;
        for fingerprint in running {
            let target = incarnation(self.crashes);
            self.hosts[host]
                .0
                .record_crash(self.now, &target, *fingerprint);
        }
        self.exchange();
        self.now += GAP;
    }

    fn complete(&mut self, host: usize, fingerprint: Fingerprint) {
        let (observer, evidence) = &mut self.hosts[host];
        observer.record_completed(self.now, fingerprint, evidence);
        self.exchange();
    }

    /// Exchanges reports until none changes.
    fn exchange(&mut self) {
        loop {
            let reports: Vec<_> = self
                .hosts
                .iter_mut()
                .map(|(observer, _)| observer.take_changed(self.now))
                .collect();
            if reports.iter().all(Option::is_none) {
                return;
            }
            for (host, report) in reports.into_iter().enumerate() {
                let Some(report) = report else {
                    continue;
                };
                for (observer, evidence) in &mut self.hosts {
                    evidence.apply(self.now, format!("host-{host}").into(), report.clone());
                    observer.clear_completed(self.now, evidence);
                }
            }
        }
    }

    /// What every host keeps from its target.
    fn quarantined(&self) -> Quarantined {
        let sets: BTreeSet<Quarantined> = self
            .hosts
            .iter()
            .map(|(_, evidence)| evidence.quarantined(self.now + EFFECTIVE))
            .collect();
        assert_eq!(sets.len(), 1, "hosts disagree: {sets:?}");
        sets.into_iter().flatten().collect()
    }
}

struct Case {
    play: fn(&mut Fleet),
    quarantined: &'static [Fingerprint],
    /// Host on which these requests may be tried.
    trial_host: Option<&'static str>,
}

/// A request that two services send.
const BY_BOARD: Fingerprint = 1 << 48 | POISON;
const BY_SEATS: Fingerprint = 2 << 48 | POISON;
const BY_LISTS: Fingerprint = 3 << 48 | POISON;

const THREE_CRASHES: Case = Case {
    play: |fleet| {
        for host in 0..3 {
            fleet.crash(host, &[POISON, 10 + host as u64]);
        }
    },
    quarantined: &[POISON],
    trial_host: None,
};
const TWO_CRASHES: Case = Case {
    play: |fleet| {
        fleet.crash(0, &[POISON]);
        fleet.crash(1, &[POISON]);
    },
    quarantined: &[],
    trial_host: None,
};
const ONE_HOST: Case = Case {
    play: |fleet| {
        for _ in 0..3 {
            fleet.crash(0, &[POISON]);
        }
    },
    quarantined: &[POISON],
    trial_host: None,
};
const UNNAMED_TARGET: Case = Case {
    play: |fleet| {
        for _ in 0..3 {
            let target = TargetIncarnation::default();
            fleet.hosts[0].0.record_crash(fleet.now, &target, POISON);
            fleet.exchange();
            fleet.now += GAP;
        }
    },
    quarantined: &[POISON],
    trial_host: None,
};
const CALLS_OF_ONE_CRASH: Case = Case {
    play: |fleet| fleet.crash(0, &[POISON, POISON, POISON, POISON]),
    quarantined: &[],
    trial_host: None,
};
const KILLED_UNDER_A_POPULAR_READ: Case = Case {
    play: |fleet| {
        fleet.complete(3, POPULAR);
        for host in 0..3 {
            fleet.crash(host, &[POPULAR]);
        }
    },
    quarantined: &[],
    trial_host: None,
};
const COMPLETED_LATER: Case = Case {
    play: |fleet| {
        for host in 0..3 {
            fleet.crash(host, &[POPULAR]);
        }
        fleet.complete(3, POPULAR);
    },
    quarantined: &[],
    trial_host: None,
};
const BESIDE_THE_CAUSE: Case = Case {
    play: |fleet| {
        for host in 0..3 {
            fleet.crash(host, &[POISON, RARE]);
        }
        fleet.crash(3, &[POISON]);
    },
    quarantined: &[POISON],
    trial_host: None,
};
const TWO_CAUSES: Case = Case {
    play: |fleet| {
        for host in 0..3 {
            fleet.crash(host, &[POISON]);
            fleet.crash(host, &[RARE]);
        }
        fleet.complete(0, POPULAR);
    },
    quarantined: &[POISON, RARE],
    trial_host: None,
};
const FORGOTTEN: Case = Case {
    play: |fleet| {
        for host in 0..3 {
            fleet.crash(host, &[POISON]);
        }
        fleet.now += EVIDENCE_TTL;
        fleet.exchange();
    },
    quarantined: &[],
    trial_host: None,
};
const ALL_KILLED_TOGETHER: Case = Case {
    play: |fleet| {
        for host in 0..4 {
            fleet.crash(host, &[POPULAR]);
            fleet.now -= GAP;
        }
    },
    quarantined: &[POPULAR],
    trial_host: Some("host-0"),
};
const COMPLETED_ON_TRIAL: Case = Case {
    play: |fleet| {
        (ALL_KILLED_TOGETHER.play)(fleet);
        fleet.now += GAP;
        fleet.complete(0, POPULAR);
    },
    quarantined: &[],
    trial_host: None,
};
const CRASHED_ON_TRIAL: Case = Case {
    play: |fleet| {
        (ALL_KILLED_TOGETHER.play)(fleet);
        fleet.now += GAP;
        fleet.crash(0, &[POPULAR]);
    },
    quarantined: &[POPULAR],
    trial_host: None,
};
const RESTARTED_DAEMON: Case = Case {
    play: |fleet| {
        fleet.crash(0, &[POISON]);
        fleet.crash(0, &[POISON]);
        let report = fleet.hosts[0].0.clone();
        let mut report = report;
        report.record_crash(fleet.now, &incarnation(99), RARE);
        let report = report.take_changed(fleet.now).expect("report must change");
        fleet.hosts[0].0 = Observer::default();
        fleet.hosts[0].0.restore(fleet.now, &report);
        fleet.crash(0, &[POISON]);
    },
    quarantined: &[POISON],
    trial_host: None,
};

const SOUND_FOR_ANOTHER_CALLER: Case = Case {
    play: |fleet| {
        for host in 0..3 {
            fleet.crash(host, &[BY_BOARD, BY_SEATS]);
            fleet.complete(3, BY_SEATS);
        }
    },
    quarantined: &[BY_BOARD],
    trial_host: None,
};
const SOUND_BEFORE_THE_CRASHES: Case = Case {
    play: |fleet| {
        fleet.complete(3, BY_SEATS);
        for host in 0..3 {
            fleet.crash(host, &[BY_BOARD]);
        }
        fleet.crash(3, &[BY_LISTS]);
    },
    // Not for any caller, as it is sound for one.
    quarantined: &[BY_BOARD, BY_LISTS],
    trial_host: None,
};
const ONE_CRASH_FOR_EACH_CALLER: Case = Case {
    play: |fleet| {
        fleet.crash(0, &[BY_BOARD]);
        fleet.crash(1, &[BY_SEATS]);
        fleet.crash(2, &[BY_LISTS]);
    },
    quarantined: &[POISON],
    trial_host: None,
};
const FIRST_CRASH_FOR_ANOTHER_CALLER: Case = Case {
    play: |fleet| {
        for host in 0..3 {
            fleet.crash(host, &[BY_BOARD]);
        }
        fleet.crash(3, &[BY_SEATS]);
    },
    quarantined: &[POISON],
    trial_host: None,
};
const NO_CRASH_FOR_ANOTHER_CALLER: Case = Case {
    play: |fleet| {
        for host in 0..3 {
            fleet.crash(host, &[BY_BOARD]);
        }
    },
    quarantined: &[BY_BOARD],
    trial_host: None,
};
const BESIDE_ANOTHER_CALLER: Case = Case {
    play: |fleet| {
        fleet.crash(0, &[BY_BOARD, BY_SEATS]);
        fleet.crash(1, &[BY_BOARD]);
        fleet.crash(2, &[BY_BOARD]);
    },
    quarantined: &[BY_BOARD],
    trial_host: None,
};

#[rstest]
#[case::sound_for_another_caller(SOUND_FOR_ANOTHER_CALLER)]
#[case::sound_before_the_crashes(SOUND_BEFORE_THE_CRASHES)]
#[case::one_crash_for_each_caller(ONE_CRASH_FOR_EACH_CALLER)]
#[case::first_crash_for_another_caller(FIRST_CRASH_FOR_ANOTHER_CALLER)]
#[case::no_crash_for_another_caller(NO_CRASH_FOR_ANOTHER_CALLER)]
#[case::beside_another_caller(BESIDE_ANOTHER_CALLER)]
#[case::three_crashes(THREE_CRASHES)]
#[case::two_crashes(TWO_CRASHES)]
#[case::one_host(ONE_HOST)]
#[case::unnamed_target(UNNAMED_TARGET)]
#[case::calls_of_one_crash(CALLS_OF_ONE_CRASH)]
#[case::killed_under_a_popular_read(KILLED_UNDER_A_POPULAR_READ)]
#[case::completed_later(COMPLETED_LATER)]
#[case::beside_the_cause(BESIDE_THE_CAUSE)]
#[case::two_causes(TWO_CAUSES)]
#[case::forgotten(FORGOTTEN)]
#[case::all_killed_together(ALL_KILLED_TOGETHER)]
#[case::completed_on_trial(COMPLETED_ON_TRIAL)]
#[case::crashed_on_trial(CRASHED_ON_TRIAL)]
#[case::restarted_daemon(RESTARTED_DAEMON)]
fn only_requests_that_crash_targets_are_quarantined(#[case] case: Case) {
    let mut fleet = Fleet::new(4);
    (case.play)(&mut fleet);
    let trial_host = case.trial_host.map(HostName::new);
    let quarantined = case.quarantined.iter().map(|f| (*f, trial_host.clone()));
    assert_eq!(fleet.quarantined(), quarantined.collect());
}

/// Guards against runs in the first moments after a restart of the whole fleet.
#[test]
fn stored_evidence_counts_at_once() {
    let now = GAP;
    let mut evidence = Evidence::default();
    for host in 0..3 {
        let mut observer = Observer::default();
        observer.record_crash(now, &incarnation(host), POISON);
        let report = observer.report();
        evidence.apply_stored(now, &format!("host-{host}").into(), &report);
    }
    assert!(evidence.quarantined(now).contains_key(&POISON));
}

/// Guards against one more trial by each daemon that reads old crashes all at the same moment.
#[test]
fn a_request_that_has_crashed_on_trial_is_not_tried_after_a_restart() {
    let now = GAP;
    let mut evidence = Evidence::default();
    for host in 0..3 {
        let mut observer = Observer::default();
        observer.record_crash(now, &incarnation(host), POISON);
        if host == 0 {
            observer.record_crash(now + GAP, &incarnation(10), POISON);
        }
        let report = observer.report();
        evidence.apply_stored(now, &format!("host-{host}").into(), &report);
    }
    assert_eq!(evidence.quarantined(now), [(POISON, None)].into());
}

/// Guards against daemons that tell each other for ever which of many requests have completed.
#[test]
fn reports_settle_with_many_popular_requests() {
    let mut fleet = Fleet::new(4);
    let popular: Vec<Fingerprint> = (100..1000).collect();
    for fingerprint in &popular {
        fleet.complete(3, *fingerprint);
    }
    for chunk in popular.chunks(64) {
        for host in 0..2 {
            fleet.crash(host, chunk);
        }
    }
    assert!(fleet.quarantined().is_empty());
}

#[test]
fn a_report_is_bounded() {
    let mut observer = Observer::default();
    for crash in 0..100 {
        for fingerprint in 0..1000 {
            observer.record_crash(GAP, &incarnation(crash), fingerprint);
        }
    }
    let report = observer.take_changed(GAP).expect("report must change");
    let calls = report.crashes.iter().map(|crash| crash.fingerprints.len());
    assert!(report.crashes.len() <= 8, "{}", report.crashes.len());
    assert!(calls.max() <= Some(64));
}
