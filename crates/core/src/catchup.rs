//! What a daemon that has just started must know before its gate opens: departures that
//! its earlier lives acknowledged stand at the platform, or, where that was out, with
//! other daemons only.

/// Rounds for which a registered daemon waits for the word of another one. Daemons answer
/// within milliseconds; one that does not may be gone like its copies.
const ROUNDS_MAX: u32 = 2;

/// How far a daemon has come since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Catchup {
    is_registered: bool,
    has_listed: bool,
    was_told: bool,
    rounds: u32,
}

/// What is known of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct View {
    /// Whether an object of this host is known, maybe that of an earlier life.
    pub knows_own: bool,
    /// Whether another daemon is there to be asked.
    pub has_others: bool,
}

impl Catchup {
    /// The platform has this life's registration, and with it what it knows of earlier
    /// ones.
    pub fn registered(&mut self) {
        self.is_registered = true;
    }

    /// The members were read from the platform.
    pub fn listed(&mut self) {
        self.has_listed = true;
    }

    /// Another daemon has sent all that it holds and this one lacked.
    pub fn told(&mut self) {
        self.was_told = true;
    }

    /// A round has passed.
    pub fn round(&mut self) {
        self.rounds += u32::from(self.is_registered);
    }

    /// Whether the gate may open.
    #[must_use]
    pub fn is_done(self, view: View) -> bool {
        let told = self.was_told && view.knows_own;
        let is_alone = self.has_listed && !view.has_others;
        told || self.is_registered && (is_alone || self.rounds >= ROUNDS_MAX)
    }
}
