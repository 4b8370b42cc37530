//! Activation of service documents and routing tables.

use log::{info, warn};
use pollenrouter_core::{active_table, documents, replica, table};
use pollenrouter_platform::object;

use super::{Effect, Fleet};
use crate::platform_io::Write;

impl Fleet {
    pub(super) fn on_document_change(
        &mut self,
        change: documents::Change,
        effects: &mut Vec<Effect>,
    ) {
        self.record_unusable();
        match change {
            documents::Change::Activated { from, to, service } => {
                info!(service:% = service.name, from, to; "document in force");
                self.compile_table(effects);
            }
            documents::Change::Rejected {
                name,
                version,
                findings,
            } => {
                let text = findings.join("; ");
                warn!(service:% = name, version; "document rejected: {text}");
                // All daemons come to the same result, so only the watchers record it.
                if self.membership.is_watcher() {
                    self.enqueue_write(Write::RecordRejection(name, version, findings));
                }
            }
        }
    }

    /// Tells the listeners of which services they know no routes.
    fn record_unusable(&self) {
        let unusable = self.documents.unusable().cloned().collect();
        self.shared.update(|state| state.unusable = unusable);
    }

    /// Compiles the active documents into a routing table and activates it.
    pub(super) fn compile_table(&mut self, effects: &mut Vec<Effect>) {
        let caller_limits = table::CallerLimits::default();
        let table = table::Table::from_documents(self.documents.active(), caller_limits);
        self.activate_table(table, effects);
    }
    /// Activates a routing table that is stored as one object, if the profile has such
    /// tables.
    pub(super) fn apply_table_object(
        &mut self,
        object: &replica::Object,
        effects: &mut Vec<Effect>,
    ) {
        let Some(parse) = self.profile.parse_table else {
            return;
        };
        match parse(&object.value, &self.profile.default_limits) {
            Ok(table) => {
                self.shared.update(|state| state.is_confirmed = true);
                self.activate_table(table, effects);
            }
            Err(findings) => {
                let text = findings.join("; ");
                warn!(key:% = object.key, revision = object.version; "table rejected: {text}");
            }
        }
    }

    /// Tells the listeners which version of the table other daemons have announced.
    pub(super) fn record_announced_table(&mut self) {
        let prefix = match self.profile.parse_table {
            Some(_) => object::TABLES,
            None => object::SERVICES,
        };
        let announced = self.membership.announced(prefix);
        if self.staleness.on_announced(announced) {
            let announced = announced.unwrap_or_default();
            self.shared
                .update(|state| state.announced_table = announced);
        }
    }

    pub(super) fn activate_table(&mut self, table: table::Table, effects: &mut Vec<Effect>) {
        let Some(active_table::Change { from, to }) = self.active_table.apply(table) else {
            return;
        };
        let announced_ms = self.staleness.on_activated();
        info!(from, to, announced_ms; "table in force");
        let Some(table) = self.active_table.get().cloned() else {
            return;
        };
        effects.extend(table.services.values().cloned().map(Effect::SetService));
        self.shared.update(|state| state.table = Some(table));
    }
}
