//! Documents and tables as they come into force.

use log::{info, warn};
use pollenrouter_core::{active_table, documents, replica, table};

use super::{Effect, Fleet};
use crate::registry::Write;

impl Fleet {
    pub(super) fn document_changed(
        &mut self,
        change: documents::Change,
        effects: &mut Vec<Effect>,
    ) {
        match change {
            documents::Change::Activated { from, to, service } => {
                info!(service:% = service.name, from, to; "document in force");
                self.compile(effects);
            }
            documents::Change::Rejected {
                name,
                version,
                findings,
            } => {
                let text = findings.join("; ");
                warn!(service:% = name, version; "document rejected: {text}");
                // The verdict is the same everywhere, so a few daemons note it.
                if self.membership.is_watcher() {
                    self.write(Write::Rejected(name, version, findings));
                }
            }
        }
    }

    /// Compiles the documents in force into the table in force.
    pub(super) fn compile(&mut self, effects: &mut Vec<Effect>) {
        let callers = table::CallerLimits::default();
        let table = table::Table::from_documents(self.documents.active(), callers);
        self.learn(table, effects);
    }

    pub(super) fn table_changed(&mut self, object: &replica::Object, effects: &mut Vec<Effect>) {
        let Some(read) = self.profile.parse_table else {
            return;
        };
        match read(&object.value, &self.profile.default_limits) {
            Ok(table) => {
                self.shared.set(|known| known.is_confirmed = true);
                self.learn(table, effects);
            }
            Err(findings) => {
                let text = findings.join("; ");
                warn!(key:% = object.key, revision = object.version; "table rejected: {text}");
            }
        }
    }

    pub(super) fn learn(&mut self, table: table::Table, effects: &mut Vec<Effect>) {
        let Some(active_table::Change { from, to }) = self.tables.apply(table) else {
            return;
        };
        info!(from, to; "table in force");
        let Some(table) = self.tables.get().cloned() else {
            return;
        };
        effects.extend(table.services.values().cloned().map(Effect::Document));
        self.shared.set(|known| known.table = Some(table));
    }
}
