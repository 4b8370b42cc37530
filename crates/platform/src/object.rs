//! Objects that the system keeps at the platform.

use std::net;

use pollenrouter_core::gate::target::TargetIncarnation;
use pollenrouter_core::id;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Keys of service documents begin with this.
pub const SERVICES: &str = "services/";
/// Keys of routing tables that are written as a whole begin with this.
pub const TABLES: &str = "tables/";
/// Keys of members begin with this.
pub const MEMBERS: &str = "members/";
/// Keys of the rejections of a service's documents begin with this.
pub const REJECTIONS: &str = "rejections/";
/// Keys of departures that only daemons hold, while the platform is out, begin with
/// this; a host and the name of a target follow.
pub const DEPARTURES: &str = "departures/";
/// Departed lives that a member's object remembers; a host has one target at a time.
pub const DEPARTED_MAX: usize = 16;
/// Changes that an object remembers.
const CHANGES_MAX: usize = 100;

/// A service document with its changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The document's text, as the operator gave it.
    pub text: String,
    /// Latest changes, oldest first.
    pub changes: Vec<Change>,
}

/// Rejected versions of a service's document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejections {
    /// The latest rejected version.
    pub version: id::Version,
    /// What is wrong with it.
    pub findings: Vec<String>,
    /// Latest changes, oldest first.
    pub changes: Vec<Change>,
}

/// A member: one daemon beside one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its host.
    pub host: id::HostName,
    /// Its failure domain.
    pub failure_domain: id::DomainName,
    /// The target's service, once the target announced itself.
    pub service: Option<id::ServiceName>,
    /// Incarnation of the daemon.
    pub incarnation: id::Incarnation,
    /// Address for other daemons.
    pub address: net::SocketAddr,
    /// Whether it is there.
    pub state: MemberState,
    /// Lives of targets on its host that have left, oldest first.
    #[serde(default)]
    pub departed: Vec<TargetIncarnation>,
    /// Latest changes, oldest first.
    pub changes: Vec<Change>,
}

/// State of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// It takes calls.
    Serving,
    /// It takes no new calls.
    Leaving,
    /// It has stopped, or was found gone.
    Left,
}

/// One change of an object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Seconds since 1970 by the author's clock.
    pub at: u64,
    /// Who made it.
    pub author: SmolStr,
    /// What was done.
    pub action: SmolStr,
    /// Version that it was based on; 0 for none.
    pub from: id::Version,
    /// Random number by which an author knows its own write again.
    pub nonce: u64,
}

/// Adds a change and lets the oldest ones go.
pub fn note(changes: &mut Vec<Change>, change: Change) {
    changes.push(change);
    let excess = changes.len().saturating_sub(CHANGES_MAX);
    changes.drain(..excess);
}

/// Key of a service's document.
#[must_use]
pub fn service_key(service: &str) -> SmolStr {
    format!("{SERVICES}{service}").into()
}

/// Key of the rejections of a service's document.
#[must_use]
pub fn rejections_key(service: &str) -> SmolStr {
    format!("{REJECTIONS}{service}").into()
}

/// Key of a departure.
#[must_use]
pub fn departure_key(host: &str, life: &TargetIncarnation) -> SmolStr {
    format!("{DEPARTURES}{host}/{}-{}", life.name, life.started_ms).into()
}

/// Key of a member.
#[must_use]
pub fn member_key(host: &str) -> SmolStr {
    format!("{MEMBERS}{host}").into()
}
