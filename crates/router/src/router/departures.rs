//! Departures of targets: each is acknowledged once it is stored outside this process, and other
//! daemons can tell it to the next incarnation of this one.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::info;
use pollenrouter_core::gate::target::TargetIncarnation;
use tokio::sync::oneshot;

use super::{Router, acknowledge};
use crate::fleet::Effect;

/// A departure that the platform has not stored within this time is copied to other
/// daemons. A target waits one second for an acknowledgement.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(250);

/// A departure that the platform has stored is acknowledged this long after it was received at the
/// latest, even if too few other daemons have confirmed a copy: they may be out of reach. A target
/// waits one second for an acknowledgement.
const COPY_TIMEOUT: Duration = Duration::from_millis(750);

/// Departure that is not yet acknowledged.
pub(super) struct PendingDeparture {
    incarnation: TargetIncarnation,
    received_at: Duration,
    /// Whether the platform has stored it.
    is_stored: bool,
    /// Whether other daemons were asked to store a copy of it, or of the registration with it if the
    /// platform has stored that.
    copies_requested: bool,
    /// `None` if the target does not wait for an acknowledgement.
    reply_to: Option<oneshot::Sender<()>>,
}

impl Router {
    /// Fills in the start time if a departing target did not state it: that of the known
    /// incarnation with its name. For an unknown name it is the current time, which covers
    /// every incarnation up to now.
    pub(super) fn resolve_incarnation(&self, incarnation: TargetIncarnation) -> TargetIncarnation {
        if incarnation.started_ms != 0 {
            return incarnation;
        }
        let pending = self
            .pending_departures
            .iter()
            .map(|departure| &departure.incarnation);
        let mut known = self
            .calls
            .gate()
            .target_incarnation()
            .into_iter()
            .chain(pending);
        known
            .find(|known| known.name == incarnation.name)
            .cloned()
            .unwrap_or_else(|| TargetIncarnation {
                started_ms: unix_millis(),
                ..incarnation
            })
    }

    /// Stops sending calls to a target that leaves, and acknowledges the departure once a
    /// restart of this daemon would not lose it.
    pub(super) fn handle_departure(
        &mut self,
        incarnation: TargetIncarnation,
        reply_to: Option<oneshot::Sender<()>>,
    ) {
        self.calls.handle_departure(incarnation.clone());
        if self
            .stored_departures
            .iter()
            .any(|known| known.implies_departure_of(&incarnation))
        {
            self.update_state();
            if let Some(reply_to) = reply_to {
                acknowledge(reply_to);
            }
            return;
        }
        info!(target:% = incarnation.name, born = incarnation.started_ms; "target leaves");
        let state = self.member_state();
        self.fleet.record_departure(incarnation.clone(), state);
        self.pending_departures.push(PendingDeparture {
            incarnation,
            received_at: self.calls.now(),
            is_stored: false,
            copies_requested: false,
            reply_to,
        });
    }

    /// Copies departures to other daemons if the platform did not store them in time, and
    /// acknowledges those that it has stored but too few other daemons confirm.
    pub(super) fn check_overdue_departures(&mut self) {
        let now = self.calls.now();
        let is_overdue = |departure: &&PendingDeparture| {
            departure.is_stored && now >= departure.received_at + COPY_TIMEOUT
        };
        let overdue = self.pending_departures.iter().filter(is_overdue);
        let overdue: Vec<_> = overdue.map(|d| d.incarnation.clone()).collect();
        for incarnation in overdue {
            self.handle_departure_copied(incarnation);
        }
        let mut effects = self.copy_stored_departures();
        for departure in &mut self.pending_departures {
            let is_due = now >= departure.received_at + PLATFORM_TIMEOUT;
            if is_due && !departure.is_stored && !departure.copies_requested {
                departure.copies_requested = true;
                effects.extend(self.fleet.replicate_departure(&departure.incarnation));
            }
        }
        // If the target stopped waiting and sends its departure again, that request adds
        // another pending departure.
        let is_abandoned = |departure: &PendingDeparture| {
            let reply_to = departure.reply_to.as_ref();
            reply_to.is_some_and(oneshot::Sender::is_closed)
        };
        self.pending_departures
            .retain(|departure| !is_abandoned(departure));
        self.apply_effects(effects);
    }

    /// Has other daemons copy a departure that the platform has stored. Without a copy, an
    /// incarnation of this daemon that starts while the platform is out would not learn of it.
    pub(super) fn handle_departure_stored(&mut self, incarnation: TargetIncarnation) {
        self.calls.handle_departure(incarnation.clone());
        let mut is_pending = false;
        for departure in &mut self.pending_departures {
            if incarnation.implies_departure_of(&departure.incarnation) {
                departure.copies_requested &= departure.is_stored;
                departure.is_stored = true;
                is_pending = true;
            }
        }
        if !is_pending {
            self.stored_departures.insert(incarnation);
            return;
        }
        let effects = self.copy_stored_departures();
        self.apply_effects(effects);
    }

    /// Has other daemons copy the registration if it has departures that were not copied yet. Just
    /// after a start, no other daemon may be known; the copies are then requested later.
    fn copy_stored_departures(&mut self) -> Vec<Effect> {
        let is_uncopied = |d: &&mut PendingDeparture| d.is_stored && !d.copies_requested;
        let mut uncopied = self
            .pending_departures
            .iter_mut()
            .filter(is_uncopied)
            .peekable();
        if uncopied.peek().is_none() {
            return Vec::new();
        }
        let effects = self.fleet.copy_registration();
        uncopied.for_each(|departure| departure.copies_requested = !effects.is_empty());
        effects
    }

    /// Acknowledges a departure that a restart of this daemon does not lose any more.
    pub(super) fn handle_departure_copied(&mut self, incarnation: TargetIncarnation) {
        self.calls.handle_departure(incarnation.clone());
        let (stored, unstored) = std::mem::take(&mut self.pending_departures)
            .into_iter()
            .partition(|departure| incarnation.implies_departure_of(&departure.incarnation));
        self.pending_departures = unstored;
        let stored: Vec<PendingDeparture> = stored;
        for departure in stored {
            if let Some(reply_to) = departure.reply_to {
                acknowledge(reply_to);
            }
        }
        self.stored_departures.insert(incarnation);
    }
}

/// Milliseconds since the Unix epoch, the unit in which targets state their start times.
fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since_epoch.unwrap_or_default().as_millis();
    u64::try_from(millis).unwrap_or(u64::MAX)
}
