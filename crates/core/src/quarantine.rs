//! Requests that crash the targets that run them.
//!
//! Most of the calls that were running when a target ended are innocent. A request is quarantined,
//! that is sent to no target, once several targets have ended under it and it has run to its end
//! at none.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gate::target::TargetIncarnation;
use crate::{fingerprint, id};

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
        if evidence.is_suspect(fingerprint) {
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
        if evidence.suspects.is_empty() {
            return;
        }
        let completed = self.recently_completed.iter().copied();
        let completed: BTreeSet<_> = completed.filter(|f| evidence.is_suspect(*f)).collect();
        for fingerprint in completed {
            self.clear_suspect(now, fingerprint);
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
    /// Requests that were running in several crashes, whoever called.
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

    /// Whether the same request, of any caller, was running in several crashes. That it has run to
    /// its end then matters to all daemons.
    fn is_suspect(&self, fingerprint: id::Fingerprint) -> bool {
        let request = fingerprint::of_any_caller(fingerprint);
        self.suspects.contains(&request)
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
        let completed: BTreeSet<id::Fingerprint> = {
            let reports = self.reports.values();
            let completed = reports.flat_map(|(_, report)| &report.completed);
            completed.copied().collect()
        };
        let crashes = self.crashes(&completed);
        self.suspects = counts(&by_request(&crashes))
            .into_iter()
            .filter(|(_, count)| *count >= SUSPECT_CRASHES_MIN)
            .map(|(request, _)| request)
            .collect();
        let earlier = std::mem::take(&mut self.convicted);
        for fingerprint in convicted(&crashes, &completed) {
            // Who has seen the request of another caller complete has reported so by now.
            let same = |(known, _): &(&id::Fingerprint, &Conviction)| {
                fingerprint::is_same_request(**known, fingerprint)
            };
            let since = earlier.iter().filter(same).map(|(_, known)| known.since);
            let since = since.min().unwrap_or(now);
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
                .filter(|crash| {
                    let mut running = crash.fingerprints.iter();
                    running.any(|running| fingerprint::is_same_request(*running, fingerprint))
                })
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

    /// The requests that were running in each crash and have not run to their end since.
    fn crashes(&self, completed: &BTreeSet<id::Fingerprint>) -> Vec<Vec<id::Fingerprint>> {
        let reports = self.reports.values().map(|(_, report)| report);
        let crashes = reports.flat_map(|report| &report.crashes);
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

/// Requests with at least [`CRASHES_MIN`] crashes, and of these the callers under whom targets
/// crashed. A request counts as the same for any caller if it has crashed targets for several and
/// run to its end for none.
fn convicted(
    crashes: &[Vec<id::Fingerprint>],
    completed: &BTreeSet<id::Fingerprint>,
) -> BTreeSet<id::Fingerprint> {
    let mut convicted = BTreeSet::new();
    for (request, attributed) in attribute(&by_request(crashes), CRASHES_MIN) {
        let is_of_request = |f: &&id::Fingerprint| fingerprint::is_same_request(**f, request);
        let of_request = attributed.iter().map(|index| {
            let running = crashes[*index].iter();
            running.filter(is_of_request).copied().collect()
        });
        let of_request: Vec<Vec<id::Fingerprint>> = of_request.collect();
        let by_caller = attribute(&of_request, 1);
        let independent: BTreeSet<&Vec<usize>> = by_caller.values().collect();
        let has_completed = completed
            .iter()
            .any(|f| fingerprint::is_same_request(*f, request));
        if independent.len() > 1 && !has_completed {
            convicted.insert(request);
        } else {
            convicted.extend(by_caller.into_keys());
        }
    }
    convicted
}

/// Attributes each crash to the keys with the most crashes among those that were running; it does
/// not count against the others. Returns the keys to which at least `min` crashes, and the crashes.
fn attribute(
    crashes: &[Vec<id::Fingerprint>],
    min: usize,
) -> BTreeMap<id::Fingerprint, Vec<usize>> {
    let mut attributed = BTreeMap::new();
    let mut left: Vec<Vec<id::Fingerprint>> = crashes.to_vec();
    loop {
        let mut counts = counts(&left);
        let most = counts.values().copied().max().unwrap_or(0);
        if most < min.max(1) {
            return attributed;
        }
        counts.retain(|_, count| *count == most);
        for (index, running) in left.iter_mut().enumerate() {
            let causes: Vec<id::Fingerprint> = running
                .iter()
                .filter(|f| counts.contains_key(f))
                .copied()
                .collect();
            if !causes.is_empty() {
                running.clear();
            }
            for cause in causes {
                attributed.entry(cause).or_insert_with(Vec::new).push(index);
            }
        }
    }
}

/// The requests of each crash, whoever called.
fn by_request(crashes: &[Vec<id::Fingerprint>]) -> Vec<Vec<id::Fingerprint>> {
    let requests = crashes.iter().map(|running| {
        let requests = running.iter().map(|f| fingerprint::of_any_caller(*f));
        requests
            .collect::<BTreeSet<id::Fingerprint>>()
            .into_iter()
            .collect()
    });
    requests.collect()
}

/// Number of crashes of each request.
fn counts(crashes: &[Vec<id::Fingerprint>]) -> BTreeMap<id::Fingerprint, usize> {
    let mut counts = BTreeMap::new();
    for fingerprint in crashes.iter().flatten() {
        *counts.entry(*fingerprint).or_default() += 1;
    }
    counts
}
