//! What the router does in each gossip round.

use log::info;
use pollenrouter_core::bucket;
use pollenrouter_target::message as target;

use super::Router;

impl Router {
    /// Runs what is due in each gossip round.
    pub(super) fn run_membership_round(&mut self) {
        self.update_state();
        self.fleet.store_crashes();
        let effects = self.fleet.on_round();
        self.apply_effects(effects);
        self.probe_target();
        let hint = self.calls.gate().hint(self.calls.now());
        let recorded_calls = self.calls.gate().record_count();
        let members = self.fleet.members().count();
        self.calls
            .instruments()
            .record_gauges(&hint, recorded_calls, members);
        let staleness = self.fleet.staleness();
        self.calls.instruments().record_staleness(staleness);
        let received = self.fleet.take_received();
        self.calls.instruments().count_received_values(received);
        self.report_cold_target();
        let evacuated_domains = self.fleet.evacuations().iter().count();
        let is_evacuated = self.calls.gate().is_evacuated();
        self.calls
            .instruments()
            .record_evacuations(evacuated_domains, is_evacuated);
        self.update_quota_members();
        self.report_quotas();
    }

    /// Logs when the target becomes cold or warm, and records how long it stays cold.
    fn report_cold_target(&mut self) {
        let remaining = self.calls.gate().cold_remaining(self.calls.now());
        self.calls
            .instruments()
            .record_cold(remaining.unwrap_or_default());
        if remaining.is_some() == self.is_target_cold || self.service.is_none() {
            return;
        }
        self.is_target_cold = remaining.is_some();
        match remaining {
            Some(remaining) => {
                let remaining_ms = remaining.as_millis();
                info!(remaining_ms; "the target is cold, its calls are paced");
            }
            None => info!("the target is warm"),
        }
    }

    /// Probes the target if this daemon's share of the service's probe budget allows it.
    fn probe_target(&mut self) {
        if self.calls.gate().is_evacuated() {
            return;
        }
        let Some(service) = &self.service else {
            return;
        };
        let table = self.fleet.table();
        let Some(document) = table.and_then(|table| table.services.get(service)) else {
            return;
        };
        let rate = bucket::Rate {
            per_minute: document.probe_budget.probes_per_minute,
            shared_by: document.probe_budget.targets_max,
        };
        let has_share = self.fleet.has_probe_share(rate.shared_by);
        if has_share && self.probe_bucket.take(rate, self.calls.now()) {
            self.calls.instruments().count_probe();
            // If the channel is full, the probe is skipped.
            let _ = self.target_commands.try_send(target::Command::Probe);
        }
    }
}
