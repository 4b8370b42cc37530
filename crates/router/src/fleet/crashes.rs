//! Crashes of targets and the requests that cause them.

use log::warn;
use pollenrouter_core::gate::Outcome;
use pollenrouter_core::gate::target::TargetIncarnation;
use pollenrouter_core::{id, membership, quarantine, replica};
use pollenrouter_http::clock;
use pollenrouter_platform::object::{self, Member};

use super::{Effect, Fleet};

impl Fleet {
    /// Records how a request ended at the target on this host.
    pub fn on_call_finished(
        &mut self,
        target: &TargetIncarnation,
        fingerprint: id::Fingerprint,
        outcome: Outcome,
    ) {
        let now = clock::boot_time();
        match outcome {
            Outcome::Crashed => self.crash_observer.record_crash(now, target, fingerprint),
            Outcome::Answered { .. } => {
                self.crash_observer
                    .record_completed(now, fingerprint, &self.crash_evidence);
            }
            Outcome::NotStarted(_) | Outcome::NotKept | Outcome::Lost => {}
        }
    }

    /// Sends the evidence of this host to other daemons if it has changed.
    pub fn publish_crashes(&mut self) -> Vec<Effect> {
        let Some(report) = self.crash_observer.take_changed(clock::boot_time()) else {
            return Vec::new();
        };
        let key = object::crashes_key(&self.own.host);
        let held = self.membership.replica().get(&key);
        let object = replica::Object {
            version: held.map_or(0, |held| held.version) + 1,
            value: serde_json::to_string(&report).unwrap_or_default().into(),
            key,
        };
        self.step(membership::Input::Read(vec![object], rand::random()))
    }

    /// Stores the evidence of this host at the platform if it has changed.
    pub fn store_crashes(&mut self) {
        let report = self.crash_observer.report();
        if self.own.crashes != report {
            self.own.crashes = report;
            self.register();
        }
    }

    /// Applies the evidence in a member object.
    pub(super) fn apply_stored_crashes(&mut self, member: &Member) {
        let now = clock::boot_time();
        if member.host == self.own.host {
            self.crash_observer.restore(now, &member.crashes);
        }
        self.crash_evidence
            .apply_stored(now, &member.host, &member.crashes);
        self.crash_observer
            .clear_completed(now, &self.crash_evidence);
    }

    /// Requests that are kept from targets.
    pub fn quarantined(&mut self) -> quarantine::Quarantined {
        let now = clock::boot_time();
        self.crash_evidence.expire(now);
        self.crash_evidence.quarantined(now)
    }

    /// Applies the evidence of a host.
    pub(super) fn apply_crashes(&mut self, host: &str, value: &str) {
        let report: quarantine::Report = match serde_json::from_str(value) {
            Ok(report) => report,
            Err(err) => {
                warn!(host; "malformed crash report: {err}");
                return;
            }
        };
        let now = clock::boot_time();
        if self.own.host == host {
            self.crash_observer.restore(now, &report);
        }
        self.crash_evidence.apply(now, host.into(), report);
        self.crash_observer
            .clear_completed(now, &self.crash_evidence);
    }
}
