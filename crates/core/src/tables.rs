//! Which routing table is in force here.

use std::sync::Arc;

use crate::id;
use crate::table::Table;

/// A table came into force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Change {
    /// Version that it replaces; 0 for none.
    pub from: id::Version,
    /// Version now in force.
    pub to: id::Version,
}

/// The table in force at one daemon; its version only goes up.
///
/// A daemon that knows no table takes the one that a peer has in force: it is no
/// older than the peer's, and the next one reaches both by the same ways.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Tables {
    in_force: Option<Arc<Table>>,
}

impl Tables {
    /// Takes in one version, from the platform or from a peer.
    pub fn learn(&mut self, table: Table) -> Option<Change> {
        let from = self.in_force.as_ref().map_or(0, |table| table.version);
        if self.in_force.is_some() && table.version <= from {
            return None;
        }
        let to = table.version;
        self.in_force = Some(Arc::new(table));
        Some(Change { from, to })
    }

    /// The table in force.
    #[must_use]
    pub fn get(&self) -> Option<&Arc<Table>> {
        self.in_force.as_ref()
    }
}
