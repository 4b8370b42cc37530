//! The active routing table of one daemon.

use std::sync::Arc;

use crate::id;
use crate::table::Table;

/// A table became active.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Change {
    /// Version of the replaced table; 0 for none.
    pub from: id::Version,
    /// Version that is active now.
    pub to: id::Version,
}

/// The active table of one daemon; its version never decreases.
///
/// A daemon without a table accepts the active one of a peer: it is no older than what
/// that peer uses, and later versions reach both daemons in the same way.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ActiveTable {
    active: Option<Arc<Table>>,
}

impl ActiveTable {
    /// Applies a version received from the platform or from a peer, unless it is stale.
    pub fn apply(&mut self, table: Table) -> Option<Change> {
        let from = self.active.as_ref().map_or(0, |table| table.version);
        if self.active.is_some() && table.version <= from {
            return None;
        }
        let to = table.version;
        self.active = Some(Arc::new(table));
        Some(Change { from, to })
    }

    /// The active table.
    #[must_use]
    pub fn get(&self) -> Option<&Arc<Table>> {
        self.active.as_ref()
    }
}
