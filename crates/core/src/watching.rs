//! Which daemons watch the platform, and for how long.
//!
//! In each failure domain the first daemons on the hash ring are assigned to watch. They send
//! heartbeats to all daemons of the domain, which state whether updates of the platform reach them. A
//! daemon that hears none, since its watchers are lost or out of its reach, takes over. A watcher
//! that does not reach the platform asks those of other domains for a heartbeat.
//!
//! A watch that waits for a change looks the same as one whose connection has gone silent, until
//! its wait is over. So the watches of a fleet end at different moments: one of them ends soon
//! after any silence, and the daemon tells the others what it has missed.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id;

/// Number of daemons in each failure domain that are assigned to watch the platform.
pub const WATCHERS_PER_DOMAIN: usize = 2;
/// Interval between beats, in which duties count time.
pub const BEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Beats between two heartbeats of a watcher.
const HEARTBEAT_BEATS: u64 = 2;
/// Beats after which a heartbeat no longer counts: one may be lost, and a change that comes just
/// after the loss of the watchers must still be in force within two seconds.
const HEARTBEAT_TTL_BEATS: u64 = 4;
/// Beats after the start in which missing heartbeats mean nothing: others may be starting, too.
const STARTUP_BEATS: u64 = 15;
/// Watchers of a domain while none of them reaches the platform, which may turn away only some
/// hosts. If all daemons tried, they would overload a platform that is coming back.
const OUTAGE_WATCHERS: usize = 2 * WATCHERS_PER_DOMAIN;
/// The same once the outage has lasted for [`LONG_OUTAGE_BEATS`].
const LONG_OUTAGE_WATCHERS: usize = 4 * WATCHERS_PER_DOMAIN;
/// Length of a long outage.
const LONG_OUTAGE_BEATS: u64 = 5;
/// Beats between two requests of a daemon to a watcher, in place of a peer out of reach.
const ASK_BEATS: u64 = 2;

/// Time between the ends of two watches of a fleet. With the time for a response, a silence that
/// hits all watches is over within two seconds, and within three if every second watcher is lost.
pub const WATCH_SPACING: Duration = Duration::from_secs(1);
/// Longest wait of one watch; in a large fleet watches end in shorter intervals.
const WAIT_MAX: Duration = Duration::from_secs(10);

/// How long the watches of one daemon wait for a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Waits {
    /// Wait of the first watch after a change or a failure, which all watchers see at once.
    pub first: Duration,
    /// Wait of each watch that follows one without a change.
    pub next: Duration,
}

impl Waits {
    /// Waits of a daemon that nobody tells what its watch has missed.
    pub const ALONE: Self = Self {
        first: WATCH_SPACING.saturating_mul(2),
        next: WATCH_SPACING.saturating_mul(2),
    };

    /// Waits of the watcher at `position`, counted from 0, among the `watchers` of a fleet.
    #[must_use]
    pub fn new(position: usize, watchers: usize) -> Self {
        let watchers = u32::try_from(watchers.max(1)).unwrap_or(u32::MAX);
        let position = u32::try_from(position)
            .unwrap_or(u32::MAX)
            .min(watchers - 1);
        let next = WATCH_SPACING.saturating_mul(watchers).min(WAIT_MAX);
        Self {
            first: next * (position + 1) / watchers,
            next,
        }
    }
}

/// Time without updates of the platform after which a change may have been missed.
pub const SILENCE_MAX: Duration = WATCH_SPACING.saturating_mul(2);

/// Latest heartbeat of a watcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Heartbeat {
    beat: u64,
    is_connected: bool,
}

/// Whether one daemon watches the platform.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Duty {
    /// Position in the order of the daemons of the failure domain; `None` until it is known.
    rank: Option<usize>,
    /// Positions of the other daemons of the failure domain.
    ranks: BTreeMap<id::HostName, usize>,
    /// Heartbeats of watchers in the failure domain.
    heard: BTreeMap<id::HostName, Heartbeat>,
    /// Heartbeats of watchers in other failure domains: requests, or replies that state what these
    /// watchers see themselves.
    heard_remote: BTreeMap<id::HostName, Heartbeat>,
    beat: u64,
    /// Beat of the latest heartbeat from the failure domain.
    heard_at: u64,
    /// Latest beat at which a watcher that reaches the platform was known.
    served_at: u64,
    /// Latest beat at which updates of the platform reached this daemon.
    updated_at: u64,
    /// Beat at which a watcher was asked for updates.
    asked_at: u64,
    /// Whether this daemon's own watch reaches the platform.
    is_connected: bool,
    is_watching: bool,
}

impl Default for Duty {
    fn default() -> Self {
        Self {
            rank: None,
            ranks: BTreeMap::new(),
            heard: BTreeMap::new(),
            heard_remote: BTreeMap::new(),
            beat: 0,
            heard_at: STARTUP_BEATS,
            served_at: STARTUP_BEATS,
            updated_at: STARTUP_BEATS,
            asked_at: 0,
            is_connected: false,
            is_watching: false,
        }
    }
}

impl Duty {
    /// Sets the daemons of the failure domain, in ring order.
    pub fn set_domain(&mut self, own: &id::HostName, hosts: Vec<id::HostName>) {
        let ranks = hosts.into_iter().enumerate();
        self.ranks = ranks.map(|(rank, host)| (host, rank)).collect();
        self.rank = self.ranks.remove(own);
        let known = &self.ranks;
        self.heard.retain(|host, _| known.contains_key(host));
    }

    /// Counts a beat. `is_connected` states whether this daemon's own watch reaches the platform.
    pub fn count_beat(&mut self, is_connected: bool) {
        self.beat += 1;
        self.is_connected = is_connected;
        if is_connected || self.has_connected_watcher() {
            self.served_at = self.beat;
        }
        if self.receives_updates() || self.has_connected_watcher() {
            self.updated_at = self.updated_at.max(self.beat);
        }
        self.is_watching = self.should_watch();
    }

    /// How long no update of the platform has been able to reach this daemon, by its own watch or
    /// by a watcher that it hears.
    #[must_use]
    pub fn silent_for(&self) -> Duration {
        let beats = self.beat.saturating_sub(self.updated_at);
        BEAT_INTERVAL.saturating_mul(u32::try_from(beats).unwrap_or(u32::MAX))
    }

    /// Records that all objects were read from the platform.
    pub fn count_listing(&mut self) {
        self.is_connected = true;
        self.served_at = self.beat;
    }

    /// Records a heartbeat of a watcher in the own failure domain. Returns whether it is the first
    /// one after a silence, in which updates may have been missed.
    pub fn record_heartbeat(&mut self, host: id::HostName, is_connected: bool) -> bool {
        let is_first = self.beat > self.heard_at + HEARTBEAT_TTL_BEATS;
        let beat = self.beat;
        self.heard_at = self.heard_at.max(beat);
        self.heard.insert(host, Heartbeat { beat, is_connected });
        self.is_watching = self.should_watch();
        is_first
    }

    /// Records a heartbeat of a watcher in another failure domain.
    pub fn record_remote_heartbeat(&mut self, host: id::HostName, is_connected: bool) {
        let beat = self.beat;
        let heartbeat = Heartbeat { beat, is_connected };
        self.heard_remote.insert(host, heartbeat);
        self.heard_remote.retain(|_, h| is_recent(h, beat));
    }

    /// Whether this daemon should watch the platform.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        self.is_watching
    }

    /// Whether this daemon watches the platform without being assigned to.
    #[must_use]
    pub fn has_taken_over(&self) -> bool {
        self.is_watching && !self.is_assigned()
    }

    /// Whether this daemon should send heartbeats at this beat.
    #[must_use]
    pub fn is_heartbeat_due(&self) -> bool {
        self.is_watching && self.beat.is_multiple_of(HEARTBEAT_BEATS)
    }

    /// Whether this daemon's own watch reaches the platform.
    #[must_use]
    pub fn is_connected(&self) -> bool {
        self.is_connected
    }

    /// Whether updates of the platform reach this daemon, by its own watch or by the watchers of
    /// other failure domains.
    #[must_use]
    pub fn receives_updates(&self) -> bool {
        let mut remote = self.heard_remote.values();
        self.is_connected || remote.any(|h| h.is_connected && is_recent(h, self.beat))
    }

    /// A watcher in the own failure domain that receives updates, to ask for them in place of a peer
    /// that cannot be reached; `None` if one was asked within [`ASK_BEATS`].
    pub fn watcher_to_ask(&mut self) -> Option<id::HostName> {
        if self.beat < self.asked_at + ASK_BEATS {
            return None;
        }
        let mut heard = self.heard.iter();
        let connected = heard.find(|(_, h)| h.is_connected && is_recent(h, self.beat));
        let host = connected.map(|(host, _)| host.clone())?;
        self.asked_at = self.beat;
        Some(host)
    }

    /// Whether a watcher of another failure domain has recently sent a heartbeat.
    #[must_use]
    pub fn hears_remote(&self, host: &id::HostName) -> bool {
        let heartbeat = self.heard_remote.get(host);
        heartbeat.is_some_and(|h| is_recent(h, self.beat))
    }

    /// Whether this daemon is assigned to watch. It begins with the next beat: a daemon that starts
    /// knows itself first, and those that come before it only a moment later.
    #[must_use]
    pub fn is_assigned(&self) -> bool {
        self.rank.is_some_and(|rank| rank < WATCHERS_PER_DOMAIN)
    }

    fn has_connected_watcher(&self) -> bool {
        let mut heard = self.heard.values();
        heard.any(|h| h.is_connected && is_recent(h, self.beat))
    }

    /// Applies the rules in order: assigned daemons watch; nobody takes over from a watcher that
    /// receives updates; a few more try while no watcher does; a daemon that hears none takes over.
    fn should_watch(&self) -> bool {
        if self.is_assigned() {
            return true;
        }
        let rank = self.rank.unwrap_or(usize::MAX);
        let recent = || self.heard.iter().filter(|(_, h)| is_recent(h, self.beat));
        // Of several that have taken over, the first one goes on.
        let is_before = |host: &id::HostName| self.ranks.get(host).is_some_and(|r| *r < rank);
        let mut connected = recent().filter(|(_, h)| h.is_connected);
        if connected.any(|(host, _)| !self.is_watching || is_before(host)) {
            return false;
        }
        if self.is_watching && self.is_connected {
            return true;
        }
        if recent().next().is_some() {
            let is_long = self.beat > self.served_at + LONG_OUTAGE_BEATS;
            let watchers = if is_long {
                LONG_OUTAGE_WATCHERS
            } else {
                OUTAGE_WATCHERS
            };
            return rank < watchers;
        }
        self.beat > self.heard_at + HEARTBEAT_TTL_BEATS + takeover_delay(rank)
    }
}

fn is_recent(heartbeat: &Heartbeat, beat: u64) -> bool {
    beat <= heartbeat.beat + HEARTBEAT_TTL_BEATS
}

/// Beats that a daemon waits before it takes over, so that those before it can tell it that they
/// have. A daemon that reaches no other must not wait longer than the last ones do.
fn takeover_delay(rank: usize) -> u64 {
    match rank / WATCHERS_PER_DOMAIN {
        0 | 1 => 0,
        2 | 3 => 1,
        _ => 2,
    }
}
