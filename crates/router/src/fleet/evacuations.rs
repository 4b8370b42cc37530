//! Evacuated failure domains. Gates there refuse all calls, and entries offer none.

use log::info;
use pollenrouter_core::evacuations::{self, Evacuations};
use pollenrouter_core::{membership, replica, version};
use pollenrouter_platform::listing::Listing;
use pollenrouter_platform::object;

use super::{Effect, Fleet};

impl Fleet {
    /// The failure domains that are evacuated.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Keeps the gate closed until the evacuations are known, if the settings ask for them.
    pub(super) fn await_evacuations(&mut self) {
        if self.profile.evacuations {
            self.startup_sync.await_evacuations();
        }
    }

    /// Whether the evacuations are known, or nobody has to know them. Daemons that have just
    /// restarted may have nothing to tell each other.
    pub(super) fn knows_evacuations(&self) -> bool {
        let held = self.membership.replica().get(object::EVACUATIONS_KNOWN);
        !self.profile.evacuations || held.is_some()
    }

    /// Requests missing objects from other daemons while the evacuations are unknown, once a round:
    /// daemons that know nothing would answer each other without end.
    pub(super) fn request_evacuations(&mut self, effects: &mut Vec<Effect>) {
        if !self.is_synced && !self.knows_evacuations() {
            effects.extend(self.step(membership::Input::Sync));
        }
    }

    /// Adds to a listing the removals that follow from it. A stale one, or one with objects that
    /// cannot be read, shows none.
    pub(super) fn on_evacuations_listed(&mut self, prefix: &str, listing: &mut Listing) {
        if !self.profile.evacuations || !object::EVACUATIONS.starts_with(prefix) {
            return;
        }
        self.startup_sync.on_evacuations_listed();
        if listing.is_complete {
            listing.objects.push(replica::Object {
                key: object::EVACUATIONS_KNOWN.into(),
                version: 1,
                value: "".into(),
            });
            let held = self.membership.replica();
            let (listed, revision) = (&listing.objects, listing.revision);
            let removed = evacuations::removals(held, object::EVACUATIONS, listed, revision);
            listing.objects.extend(removed);
        }
    }

    /// Applies the newest version of an evacuation; returns whether it changes anything.
    pub(super) fn apply_evacuation(
        &mut self,
        domain: &str,
        object: &replica::Object,
        effects: &mut Vec<Effect>,
    ) -> bool {
        if !self.profile.evacuations || !self.evacuations.apply(domain, &object.value) {
            return false;
        }
        let is_evacuated = self.evacuations.contains(domain);
        let (era, revision) = (
            version::era(object.version),
            version::revision(object.version),
        );
        if is_evacuated {
            info!(domain, era, revision; "failure domain evacuated");
        } else {
            info!(domain, era, revision; "failure domain returned to service");
        }
        if self.own.failure_domain == domain {
            effects.push(Effect::SetEvacuated(is_evacuated));
        }
        true
    }
}
