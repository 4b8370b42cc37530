//! Targets that leave: nothing more goes to them, and that is acknowledged once it lasts.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::info;
use pollenrouter_core::gate::target::TargetIncarnation;
use tokio::sync::oneshot;

use super::{Router, acknowledge};

/// A departure that the platform has not taken by then is copied to other
/// daemons; a target waits one second for an acknowledgement.
const PLATFORM_PATIENCE: Duration = Duration::from_millis(250);
/// A target that leaves and waits until that will last.
pub(super) struct Leaving {
    life: TargetIncarnation,
    since: Duration,
    /// Whether other daemons were asked to hold a copy of the departure.
    copied: bool,
    reply_to: oneshot::Sender<()>,
}

impl Router {
    /// The life that a target means which does not say when it started. Of a target
    /// that was not heard of yet, every life up to now has left.
    pub(super) fn full_life(&self, life: TargetIncarnation) -> TargetIncarnation {
        if life.started_ms != 0 {
            return life;
        }
        let leaving = self.leaving.iter().map(|leaving| &leaving.life);
        let mut known = self
            .calls
            .gate()
            .target_incarnation()
            .into_iter()
            .chain(leaving);
        known
            .find(|known| known.name == life.name)
            .cloned()
            .unwrap_or_else(|| TargetIncarnation {
                started_ms: unix_millis(),
                ..life
            })
    }

    /// A target leaves: nothing more goes to it, and that is acknowledged once a
    /// restart of this daemon does not undo it.
    pub(super) fn departs(&mut self, life: TargetIncarnation, reply_to: oneshot::Sender<()>) {
        self.calls.departed(life.clone());
        if self.departed.iter().any(|known| known.covers(&life)) {
            self.update_state();
            acknowledge(reply_to);
            return;
        }
        info!(target:% = life.name, born = life.started_ms; "target leaves");
        let state = self.state();
        self.fleet.record_departure(life.clone(), state);
        self.leaving.push(Leaving {
            life,
            since: self.calls.now(),
            copied: false,
            reply_to,
        });
    }

    /// Copies departures to other daemons that the platform does not take.
    pub(super) fn copy_departures(&mut self) {
        let now = self.calls.now();
        let mut effects = Vec::new();
        for leaving in &mut self.leaving {
            if !leaving.copied && now >= leaving.since + PLATFORM_PATIENCE {
                leaving.copied = true;
                effects.extend(self.fleet.replicate_departure(&leaving.life));
            }
        }
        // A target that asked again has a request of its own.
        self.leaving.retain(|leaving| !leaving.reply_to.is_closed());
        self.apply(effects);
    }

    /// That a target has left is known, whatever becomes of this daemon.
    pub(super) fn departure_kept(&mut self, life: TargetIncarnation) {
        self.calls.departed(life.clone());
        let (kept, waiting) = std::mem::take(&mut self.leaving)
            .into_iter()
            .partition(|leaving| life.covers(&leaving.life));
        self.leaving = waiting;
        let kept: Vec<Leaving> = kept;
        for leaving in kept {
            acknowledge(leaving.reply_to);
        }
        self.departed.insert(life);
    }
}

/// Time of day, milliseconds since 1970, as targets state their starts.
fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.unwrap_or_default().as_millis();
    u64::try_from(millis).unwrap_or(u64::MAX)
}
