//! Startup synchronization: decides when the gate of a restarted daemon may open.
//!
//! Earlier incarnations of the daemon may have acknowledged departures of targets on its
//! host. Those are stored at the platform or, if the platform was unavailable at the time,
//! only on other daemons. The gate must not open before they are known. Where failure domains can
//! be evacuated, it must not open before the evacuations are known either.

/// Gossip rounds that a registered daemon waits for another daemon to respond. Daemons
/// respond within milliseconds; one that does not may have stopped and lost its copies.
const PEER_WAIT_ROUNDS: u32 = 2;

/// Progress of a daemon's startup synchronization.
#[expect(
    clippy::struct_excessive_bools,
    reason = "the steps are independent of each other"
)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct StartupSync {
    is_registered: bool,
    has_listed: bool,
    has_peer_sync: bool,
    /// Whether the evacuations are not known yet, and have to be.
    awaits_evacuations: bool,
    rounds: u32,
}

/// What this daemon knows about the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetView {
    /// Whether a member object of this host is known, possibly from an earlier incarnation.
    pub has_own_object: bool,
    /// Whether any other daemon is a member.
    pub has_other_members: bool,
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
    pub fn on_peer_synced(&mut self) {
        self.has_peer_sync = true;
    }

    /// Whether the members were read from the platform or sent by another daemon.
    #[must_use]
    pub fn knows_members(self) -> bool {
        self.has_listed || self.has_peer_sync
    }

    /// Counts a gossip round; rounds before the registration are not counted.
    pub fn on_round(&mut self) {
        self.rounds += u32::from(self.is_registered);
    }

    /// Whether the gate may open.
    #[must_use]
    pub fn is_complete(self, view: FleetView) -> bool {
        let peer_synced = self.has_peer_sync && view.has_own_object;
        let is_alone = self.has_listed && !view.has_other_members;
        let is_platform_synced =
            self.is_registered && (is_alone || self.rounds >= PEER_WAIT_ROUNDS);
        peer_synced || is_platform_synced && !self.awaits_evacuations
    }
}
