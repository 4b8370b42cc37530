//! How old this daemon's knowledge of the platform is, for operators.

use std::sync::PoisonError;
use std::time::Duration;

use log::{info, warn};
use pollenrouter_caller::tables::Tables;
use pollenrouter_core::{id, membership, watching};
use pollenrouter_http::clock;
use serde::Serialize;

use super::{Fleet, ListenerState};

/// What is remembered between two reports.
#[derive(Debug, Default)]
pub(super) struct Staleness {
    /// When the active table became active; `None` without one.
    activated_at: Option<Duration>,
    /// The newest version of a table that was announced and is not active yet.
    announced: Option<id::Version>,
    /// Since when a newer table than the active one is known to exist.
    announced_at: Option<Duration>,
    /// Whether the current silence has been logged.
    is_silence_logged: bool,
}

/// Age of the active table, and of the latest news of the platform.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Report {
    /// Version of the active table; 0 without one.
    pub table: id::Version,
    /// Newest version of a table that other daemons have announced and that is not active yet; 0
    /// for none.
    pub announced_table: id::Version,
    /// Time for which that table has been active, milliseconds.
    pub table_age_ms: u64,
    /// Time for which no update of the platform has been able to reach this daemon, milliseconds.
    pub silent_ms: u64,
    /// The platform's era as far as this daemon knows it.
    pub era: Option<u64>,
}

impl Staleness {
    /// Records that a table became active; returns how long a newer table than the one before has
    /// been known to exist, milliseconds.
    pub(super) fn on_activated(&mut self) -> u64 {
        let now = clock::boot_time();
        self.activated_at = Some(now);
        let announced_at = self.announced_at.take();
        to_millis(announced_at.map_or(Duration::ZERO, |at| now.saturating_sub(at)))
    }

    /// Records the newest version of a table that was announced; returns whether it has changed.
    pub(super) fn on_announced(&mut self, announced: Option<id::Version>) -> bool {
        if self.announced == announced {
            return false;
        }
        self.announced = announced;
        if announced.is_some() {
            self.announced_at.get_or_insert_with(clock::boot_time);
        }
        true
    }
}

impl ListenerState {
    /// Versions of the routing table that are known.
    #[must_use]
    pub fn tables(&self) -> Tables {
        let active = self.table.as_ref().filter(|_| self.is_confirmed);
        Tables {
            active: active.map(|table| table.version),
            announced: self.announced_table,
        }
    }
}

impl Fleet {
    /// Takes the sizes of the values that other daemons have sent since the latest call.
    pub fn take_received(&mut self) -> membership::Received {
        self.membership.take_received()
    }

    /// Versions of the routing table that are known.
    #[must_use]
    pub fn tables(&self) -> Tables {
        let state = self.shared.listener_state.read();
        state.unwrap_or_else(PoisonError::into_inner).tables()
    }

    /// How old this daemon's knowledge of the platform is.
    #[must_use]
    pub fn staleness(&self) -> Report {
        let activated_at = self.staleness.activated_at;
        let table_age = activated_at.map(|at| clock::boot_time().saturating_sub(at));
        Report {
            table: self.active_table.get().map_or(0, |table| table.version),
            announced_table: self.staleness.announced.unwrap_or_default(),
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
            announced_table: _,
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
