//! How old this daemon's knowledge of the platform is, for operators.

use std::time::Duration;

use log::{info, warn};
use pollenrouter_core::{id, watching};
use pollenrouter_http::clock;
use serde::Serialize;

use super::Fleet;

/// What is remembered between two reports.
#[derive(Debug, Default)]
pub(super) struct Staleness {
    /// When the active table became active; `None` without one.
    activated_at: Option<Duration>,
    /// Whether the current silence has been logged.
    is_silence_logged: bool,
}

/// Age of the active table, and of the latest news of the platform.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Report {
    /// Version of the active table; 0 without one.
    pub table: id::Version,
    /// Time for which that table has been active, milliseconds.
    pub table_age_ms: u64,
    /// Time for which no update of the platform has been able to reach this daemon, milliseconds.
    pub silent_ms: u64,
    /// The platform's era as far as this daemon knows it.
    pub era: Option<u64>,
}

impl Staleness {
    pub(super) fn on_activated(&mut self) {
        self.activated_at = Some(clock::boot_time());
    }
}

impl Fleet {
    /// How old this daemon's knowledge of the platform is.
    #[must_use]
    pub fn staleness(&self) -> Report {
        let activated_at = self.staleness.activated_at;
        let table_age = activated_at.map(|at| clock::boot_time().saturating_sub(at));
        Report {
            table: self.active_table.get().map_or(0, |table| table.version),
            table_age_ms: to_millis(table_age.unwrap_or_default()),
            silent_ms: to_millis(self.membership.silent_for()),
            era: self.era.number(),
        }
    }

    /// Logs the beginning and the end of a silence in which a change may have been missed.
    pub(super) fn log_silence(&mut self) {
        let is_silent = self.membership.silent_for() > watching::SILENCE_MAX;
        if is_silent == self.staleness.is_silence_logged {
            return;
        }
        self.staleness.is_silence_logged = is_silent;
        let Report {
            table,
            table_age_ms,
            silent_ms,
            era,
        } = self.staleness();
        if is_silent {
            warn!(table, table_age_ms, silent_ms, era:?; "no update of the platform can reach this daemon");
        } else {
            info!(table, table_age_ms, era:?; "updates of the platform reach this daemon again");
        }
    }
}

fn to_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
