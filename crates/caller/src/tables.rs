//! Whether verdicts by the routing table in force hold.

use std::sync::Arc;

use pollenrouter_core::call::Refusal;
use pollenrouter_core::id;

/// Versions of the routing table that a daemon knows of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tables {
    /// Version in force; `None` before the daemon has one.
    pub active: Option<id::Version>,
    /// Newest version that another daemon has announced and that this one lacks, as numbered by the
    /// platform; 0 for none.
    pub announced: id::Version,
}

/// Returns the current versions, which change at run time.
pub type CurrentTables = Arc<dyn Fn() -> Tables + Send + Sync>;

impl Tables {
    /// The refusal of a request that the table in force does not allow. A newer table may allow
    /// it.
    #[must_use]
    pub fn verdict(&self, refusal: Refusal) -> Refusal {
        match self.active {
            None => Refusal::NotReady,
            Some(_) if self.announced > 0 => Refusal::StaleTable,
            Some(_) => refusal,
        }
    }

    /// Why a limit of the table with version `decided_by` is no reason to refuse a request for
    /// good; `None` if it is one.
    #[must_use]
    pub fn outdated(&self, decided_by: Option<id::Version>) -> Option<Refusal> {
        match self.active {
            None => Some(Refusal::NotReady),
            active if self.announced > 0 || active != decided_by => Some(Refusal::StaleTable),
            Some(_) => None,
        }
    }
}
