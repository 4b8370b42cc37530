//! Requests that crash the targets that run them.
//!
//! Most of the calls that were running when a target ended are innocent. A request is quarantined,
//! that is sent to no target, once several targets have ended under it and it has run to its end
//! at none.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gate::target::TargetIncarnation;
use crate::id;

/// Number of crashes from which a request is quarantined. With fewer, the requests that happen to
/// run beside a crash could not be told from its cause.
pub const CRASHES_MIN: usize = 3;
/// Number of crashes from which a run to the end of a request is reported.
const SUSPECT_CRASHES_MIN: usize = CRASHES_MIN - 1;
/// Evidence is forgotten after this long, so that a repaired target is tried again.
pub const EVIDENCE_TTL: Duration = Duration::from_mins(10);
/// Time for the daemons that have seen a request complete to report so, before it is
/// quarantined.
const CLEARANCE: Duration = Duration::from_millis(500);
/// Targets that end within this time of each other may have been ended together from outside.
const WAVE: Duration = Duration::from_secs(1);
/// Calls that end within this time of each other at one target end by the same crash.
const CRASH_SPAN: Duration = Duration::from_secs(1);
/// Crashes that a report contains.
const CRASHES_MAX: usize = 8;
/// Requests that a report contains for each crash, and completed suspects that it contains.
const FINGERPRINTS_MAX: usize = 64;
/// Completed requests that a daemon remembers, in case that they become suspects.
const COMPLETED_MAX: usize = 1024;

/// Requests that are kept from targets, with the host on which they may be tried.
pub type Quarantined = BTreeMap<id::Fingerprint, Option<id::HostName>>;

/// End of a target while calls were running at it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Crash {
    /// The target that ended.
    pub target: TargetIncarnation,
    /// Number among the crashes on its host; targets may have no name.
    pub number: u64,
    /// The requests that were running.
    pub fingerprints: Vec<id::Fingerprint>,
}

/// What the daemon of one host has seen of its targets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Report {
    /// Latest crashes, oldest first.
    pub crashes: Vec<Crash>,
    /// Suspects that have run to their end.
    pub completed: Vec<id::Fingerprint>,
}

impl Crash {
    fn is_same(&self, other: &Self) -> bool {
        (&self.target, self.number) == (&other.target, other.number)
    }
}

impl Report {
    /// Adds what an earlier incarnation of the daemon has seen.
    pub fn add_earlier(&mut self, mut earlier: Self) {
        earlier
            .crashes
            .retain(|crash| !self.crashes.iter().any(|known| known.is_same(crash)));
        earlier.crashes.append(&mut self.crashes);
        let excess = earlier.crashes.len().saturating_sub(CRASHES_MAX);
        earlier.crashes.drain(..excess);
        earlier.completed.retain(|f| !self.completed.contains(f));
        earlier.completed.append(&mut self.completed);
        let excess = earlier.completed.len().saturating_sub(FINGERPRINTS_MAX);
        earlier.completed.drain(..excess);
        *self = earlier;
    }

    /// Whether there is no evidence.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.completed.is_empty()
    }
}

/// The evidence that one daemon collects at its own target.
#[derive(Clone, Debug, Default)]
pub struct Observer {
    crashes: VecDeque<(Duration, Crash)>,
    completed_suspects: VecDeque<(Duration, id::Fingerprint)>,
    recently_completed: VecDeque<id::Fingerprint>,
    is_changed: bool,
}

impl Observer {
    /// Records that the target ended while a request was running.
    pub fn record_crash(
        &mut self,
        now: Duration,
        target: &TargetIncarnation,
        fingerprint: id::Fingerprint,
    ) {
        let last = self.crashes.back_mut();
        let last = last.filter(|(at, crash)| crash.target == *target && now <= *at + CRASH_SPAN);
        if let Some((_, crash)) = last {
            if crash.fingerprints.len() < FINGERPRINTS_MAX
                && !crash.fingerprints.contains(&fingerprint)
            {
                crash.fingerprints.push(fingerprint);
                self.is_changed = true;
            }
            return;
        }
        let latest = self.crashes.iter().map(|(_, crash)| crash.number).max();
        let crash = Crash {
            target: target.clone(),
            number: latest.unwrap_or(0) + 1,
            fingerprints: vec![fingerprint],
        };
        self.crashes.push_back((now, crash));
        if self.crashes.len() > CRASHES_MAX {
            self.crashes.pop_front();
        }
        self.is_changed = true;
    }

    /// Records that a request has run to its end at the target.
    pub fn record_completed(
        &mut self,
        now: Duration,
        fingerprint: id::Fingerprint,
        evidence: &Evidence,
    ) {
        if evidence.suspects().contains(&fingerprint) {
            self.clear_suspect(now, fingerprint);
        } else {
            self.recently_completed.push_back(fingerprint);
            if self.recently_completed.len() > COMPLETED_MAX {
                self.recently_completed.pop_front();
            }
        }
    }

    /// Clears the suspects that have run to their end here before they became suspects.
    pub fn clear_completed(&mut self, now: Duration, evidence: &Evidence) {
        for fingerprint in evidence.suspects() {
            if self.recently_completed.contains(fingerprint) {
                self.clear_suspect(now, *fingerprint);
            }
        }
    }

    fn clear_suspect(&mut self, now: Duration, fingerprint: id::Fingerprint) {
        let mut known = self.completed_suspects.iter();
        if known.any(|(_, completed)| *completed == fingerprint) {
            return;
        }
        // A suspect in place of another one would only swap their states, again and again.
        if self.completed_suspects.len() < FINGERPRINTS_MAX {
            self.completed_suspects.push_back((now, fingerprint));
            self.is_changed = true;
        }
    }

    /// Takes over the evidence of an earlier incarnation of the daemon.
    pub fn restore(&mut self, now: Duration, report: &Report) {
        for crash in report.crashes.iter().rev() {
            let mut known = self.crashes.iter();
            if known.all(|(_, known)| !known.is_same(crash)) && self.crashes.len() < CRASHES_MAX {
                self.crashes.push_front((now, crash.clone()));
                self.is_changed = true;
            }
        }
        for fingerprint in &report.completed {
            self.clear_suspect(now, *fingerprint);
        }
    }

    /// Drops what has expired; returns the report if it has changed since the last call.
    pub fn take_changed(&mut self, now: Duration) -> Option<Report> {
        let before = self.crashes.len() + self.completed_suspects.len();
        self.crashes.retain(|(at, _)| now <= *at + EVIDENCE_TTL);
        self.completed_suspects
            .retain(|(at, _)| now <= *at + EVIDENCE_TTL);
        let has_expired = before > self.crashes.len() + self.completed_suspects.len();
        let is_changed = std::mem::take(&mut self.is_changed) || has_expired;
        is_changed.then(|| self.report())
    }

    /// The evidence that is held.
    #[must_use]
    pub fn report(&self) -> Report {
        Report {
            crashes: self
                .crashes
                .iter()
                .map(|(_, crash)| crash.clone())
                .collect(),
            completed: self.completed_suspects.iter().map(|(_, f)| *f).collect(),
        }
    }
}

/// The evidence of the whole fleet, as one daemon knows it.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Reports and when they arrived, by host.
    reports: BTreeMap<id::HostName, (Duration, Report)>,
    /// When each crash became known.
    crash_times: BTreeMap<(id::HostName, TargetIncarnation, u64), Duration>,
    suspects: BTreeSet<id::Fingerprint>,
    /// Requests that the evidence is against, and since when.
    convicted: BTreeMap<id::Fingerprint, Conviction>,
}

#[derive(Clone, Debug)]
struct Conviction {
    since: Duration,
    trial_host: Option<id::HostName>,
}

impl Evidence {
    /// Replaces the report of one host.
    pub fn apply(&mut self, now: Duration, host: id::HostName, report: Report) {
        self.insert(now, host, report);
        self.evaluate(now);
    }

    fn insert(&mut self, now: Duration, host: id::HostName, report: Report) {
        for crash in &report.crashes {
            let key = (host.clone(), crash.target.clone(), crash.number);
            self.crash_times.entry(key).or_insert(now);
        }
        self.reports.insert(host, (now, report));
    }

    /// Applies the report of one host that the platform has stored, unless a newer one is known.
    /// The time for clearance has passed since it was made.
    pub fn apply_stored(&mut self, now: Duration, host: &id::HostName, report: &Report) {
        if !report.is_empty() && !self.reports.contains_key(host) {
            self.insert(now, host.clone(), report.clone());
            self.evaluate(now.saturating_sub(CLEARANCE));
        }
    }

    /// Drops the reports of hosts that have not renewed them.
    pub fn expire(&mut self, now: Duration) {
        let before = self.reports.len();
        self.reports.retain(|_, (at, _)| now <= *at + EVIDENCE_TTL);
        if before > self.reports.len() {
            self.evaluate(now);
        }
    }

    /// Requests that were running in several crashes, and of which no run to the end is known.
    #[must_use]
    pub fn suspects(&self) -> &BTreeSet<id::Fingerprint> {
        &self.suspects
    }

    /// Requests that must be sent to no target but, one at a time, that of the host stated: if all
    /// targets ended together, one further run tells whether the request was the cause.
    #[must_use]
    pub fn quarantined(&self, now: Duration) -> Quarantined {
        let due = |conviction: &&Conviction| now >= conviction.since + CLEARANCE;
        let convicted = self.convicted.iter();
        convicted
            .filter(|(_, conviction)| due(conviction))
            .map(|(fingerprint, conviction)| (*fingerprint, conviction.trial_host.clone()))
            .collect()
    }

    fn evaluate(&mut self, now: Duration) {
        let reports = &self.reports;
        self.crash_times.retain(|(host, target, number), _| {
            let crashes = reports.get(host).map(|(_, report)| &report.crashes);
            let mut crashes = crashes.into_iter().flatten();
            crashes.any(|crash| (&crash.target, crash.number) == (target, *number))
        });
        let crashes = self.crashes();
        let counts = counts(&crashes).into_iter();
        let suspects = counts.filter(|(_, count)| *count >= SUSPECT_CRASHES_MIN);
        self.suspects = suspects.map(|(fingerprint, _)| fingerprint).collect();
        let convicted = convicted(crashes);
        let mut earlier = std::mem::take(&mut self.convicted);
        for fingerprint in convicted {
            let since = earlier.remove(&fingerprint).map_or(now, |c| c.since);
            let trial_host = self.trial_host(fingerprint);
            self.convicted
                .insert(fingerprint, Conviction { since, trial_host });
        }
    }

    /// The host on which a request may be tried, if all targets that crashed under it ended
    /// together.
    fn trial_host(&self, fingerprint: id::Fingerprint) -> Option<id::HostName> {
        let reports = self.reports.iter();
        let crashes = reports.flat_map(|(host, (_, report))| {
            let crashes = report.crashes.iter();
            crashes
                .filter(|crash| crash.fingerprints.contains(&fingerprint))
                .map(|crash| (host.clone(), crash.target.clone(), crash.number))
        });
        let crashes: Vec<_> = crashes.collect();
        let times = || crashes.iter().filter_map(|key| self.crash_times.get(key));
        let (first, last) = (times().min()?, times().max()?);
        let hosts: BTreeSet<&id::HostName> = crashes.iter().map(|(host, ..)| host).collect();
        // Two crashes on one host are not one wave, however late they became known.
        let is_wave = *last <= *first + WAVE && hosts.len() == crashes.len();
        hosts
            .first()
            .filter(|_| is_wave)
            .map(|host| (*host).clone())
    }

    /// The suspects of each crash.
    fn crashes(&self) -> Vec<Vec<id::Fingerprint>> {
        let reports = || self.reports.values().map(|(_, report)| report);
        let completed: BTreeSet<_> = reports().flat_map(|report| &report.completed).collect();
        let crashes = reports().flat_map(|report| &report.crashes);
        let suspects = crashes.map(|crash| {
            let suspects = crash.fingerprints.iter();
            suspects
                .filter(|fingerprint| !completed.contains(fingerprint))
                .copied()
                .collect()
        });
        suspects.collect()
    }
}

/// Requests with at least [`CRASHES_MIN`] crashes. A crash is attributed to the request with the
/// most crashes among those that were running, and does not count against the others.
fn convicted(mut crashes: Vec<Vec<id::Fingerprint>>) -> BTreeSet<id::Fingerprint> {
    let mut convicted = BTreeSet::new();
    loop {
        let mut counts = counts(&crashes);
        let most = counts.values().copied().max().unwrap_or(0);
        if most < CRASHES_MIN {
            return convicted;
        }
        counts.retain(|_, count| *count == most);
        crashes.retain(|suspects| !suspects.iter().any(|f| counts.contains_key(f)));
        convicted.extend(counts.into_keys());
    }
}

/// Number of crashes of each request.
fn counts(crashes: &[Vec<id::Fingerprint>]) -> BTreeMap<id::Fingerprint, usize> {
    let mut counts = BTreeMap::new();
    for fingerprint in crashes.iter().flatten() {
        *counts.entry(*fingerprint).or_default() += 1;
    }
    counts
}
