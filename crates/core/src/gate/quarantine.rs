//! Requests that are kept from the target of this gate.

use std::collections::BTreeMap;

use super::{Gate, Output};
use crate::call::Refusal;
use crate::{fingerprint, id};

/// The quarantined requests, and whether they may be tried.
pub type Trials = BTreeMap<id::Fingerprint, Trial>;

/// Whether a quarantined request may be tried at the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Trial {
    /// It is refused.
    Refused,
    /// It may run if it is not at work already.
    OneAtATime,
}

impl Gate {
    pub(super) fn set_quarantined(&mut self, trials: Trials, out: &mut Vec<Output>) {
        self.quarantined = trials;
        let waiting: Vec<id::CallId> = self.waiting.iter().map(|w| w.id).collect();
        for id in waiting {
            let fingerprint = self.fingerprint(id);
            if fingerprint.is_some_and(|f| fingerprint::get(&self.quarantined, f).is_some()) {
                self.remove_waiting(id);
                self.refuse(id, Refusal::CrashesTargets, None, out);
            }
        }
    }

    /// Whether a request must not be sent to the target at present.
    pub(super) fn is_quarantined(&self, fingerprint: id::Fingerprint) -> bool {
        match fingerprint::get(&self.quarantined, fingerprint) {
            None => false,
            Some((_, Trial::Refused)) => true,
            Some((key, Trial::OneAtATime)) => {
                let waiting = self.waiting.iter().map(|w| &w.id);
                let at_work = waiting.chain(self.running.keys());
                let mut at_work = at_work.filter_map(|id| self.fingerprint(*id));
                at_work.any(|other| fingerprint::matches(key, other))
            }
        }
    }
}
