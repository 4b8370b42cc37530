//! Startup synchronization: decides when the gate of a restarted daemon may open.
//!
//! Earlier incarnations of the daemon may have acknowledged departures of targets on its
//! host. Those are stored at the platform or, if the platform was unavailable at the time,
//! only on other daemons. The gate must not open before they are known. Where failure domains can
//! be evacuated, it must not open before the evacuations are known either.

use std::collections::BTreeSet;

use crate::id;

/// Gossip rounds that a daemon waits for other daemons to respond, once it is registered or the
/// first one has responded. Daemons respond within milliseconds; one that does not may have stopped
/// and lost its copies.
const PEER_WAIT_ROUNDS: u32 = 2;
/// Number of other daemons that are asked to store a copy of a departure that the platform has
/// stored. A starting daemon asks the same ones for what it lacks.
pub const COPIES: usize = 3;
/// Number of other daemons that store a departure before it is acknowledged, so that the loss of
/// one does not lose the departure.
pub const CONFIRMATIONS: usize = 2;

/// How many of the `asked` daemons must respond to a starting one, so that at least one of them has
/// confirmed each acknowledged departure. Two at least, if there are two: one copy may have been
/// under way only.
#[must_use]
pub fn responses_required(asked: usize) -> usize {
    let confirmed = CONFIRMATIONS.min(asked);
    (asked + 1 - confirmed).max(confirmed).min(asked)
}

/// Progress of a daemon's startup synchronization.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct StartupSync {
    is_registered: bool,
    has_listed: bool,
    /// Daemons that have sent every object that this one lacked.
    synced_peers: BTreeSet<id::HostName>,
    /// Whether the evacuations are not known yet, and have to be.
    awaits_evacuations: bool,
    rounds: u32,
    /// Rounds since the first daemon has responded.
    rounds_since_peer: u32,
}

/// What this daemon knows about the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetView<'a> {
    /// Whether a member object of this host is known, possibly from an earlier incarnation.
    pub has_own_object: bool,
    /// Whether any other daemon is a member.
    pub has_other_members: bool,
    /// The daemons that this one asks for what it lacks.
    pub asked: &'a [id::HostName],
}

impl StartupSync {
    /// Keeps the gate closed until the evacuations are known, from the platform or a peer.
    pub fn await_evacuations(&mut self) {
        self.awaits_evacuations = true;
    }

    /// Records that the evacuations were read from the platform.
    pub fn on_evacuations_listed(&mut self) {
        self.awaits_evacuations = false;
    }

    /// Records that the platform stored this incarnation's registration, which also
    /// returned what the platform knows about earlier incarnations.
    pub fn on_registered(&mut self) {
        self.is_registered = true;
    }

    /// Records that the members were read from the platform.
    pub fn on_members_listed(&mut self) {
        self.has_listed = true;
    }

    /// Records that another daemon has sent every object that this one lacked.
    pub fn on_peer_synced(&mut self, host: id::HostName) {
        self.synced_peers.insert(host);
    }

    /// Whether the members were read from the platform or sent by another daemon.
    #[must_use]
    pub fn knows_members(&self) -> bool {
        self.has_listed || !self.synced_peers.is_empty()
    }

    /// Counts a gossip round; rounds before the registration are not counted.
    pub fn on_round(&mut self) {
        self.rounds += u32::from(self.is_registered);
        self.rounds_since_peer += u32::from(!self.synced_peers.is_empty());
    }

    /// Whether the gate may open.
    #[must_use]
    pub fn is_complete(&self, view: FleetView) -> bool {
        let responses = view
            .asked
            .iter()
            .filter(|host| self.synced_peers.contains(*host));
        let have_responded = responses.count() >= responses_required(view.asked.len())
            || self.rounds_since_peer >= PEER_WAIT_ROUNDS;
        let peer_synced = !self.synced_peers.is_empty() && view.has_own_object && have_responded;
        let is_alone = self.has_listed && !view.has_other_members;
        let is_platform_synced =
            self.is_registered && (is_alone || self.rounds >= PEER_WAIT_ROUNDS);
        peer_synced || is_platform_synced && !self.awaits_evacuations
    }
}
