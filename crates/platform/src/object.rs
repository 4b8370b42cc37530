//! Objects that pollenrouter stores at the platform.

use std::net;

use pollenrouter_core::gate::target::TargetIncarnation;
use pollenrouter_core::{id, quarantine, replica};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Key prefix of service documents.
pub const SERVICES: &str = "services/";
/// Key prefix of routing tables that the operator writes as a whole.
pub const TABLES: &str = "tables/";
/// Key prefix of members.
pub const MEMBERS: &str = "members/";
/// Key prefix of the rejections of a service's documents.
pub const REJECTIONS: &str = "rejections/";
/// Key prefix of departures that only daemons store, while the platform is unavailable; the
/// host and the incarnation of the target follow.
pub const DEPARTURES: &str = "departures/";
/// Key prefix of the crashes of targets, which daemons tell each other at once; the host follows.
pub const CRASHES: &str = "crashes/";
/// Key prefix of the evacuations that an operator has written; the failure domain follows.
pub const EVACUATIONS: &str = "evacuations/";
/// Key of an object that daemons tell each other together with the evacuations, once one of them has
/// read all of these from the platform. The platform does not have it.
pub const EVACUATIONS_KNOWN: &str = "evacuations-known";
/// Key of the platform's latest era, as daemons tell each other; its version is the era.
pub const ERA: &str = "era";
/// Maximum number of departed incarnations that a member's object keeps; a host has one target at a time.
pub const DEPARTED_MAX: usize = 16;
/// Maximum number of changes that an object keeps.
const CHANGES_MAX: usize = 100;

/// A service document with its change history.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The document's text, as the operator wrote it.
    pub text: String,
    /// Latest changes, oldest first.
    pub changes: Vec<Change>,
}

/// Rejections of a service's document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejections {
    /// The latest rejected version.
    pub version: id::Version,
    /// Reasons for the rejection of that version.
    pub findings: Vec<String>,
    /// Latest changes, oldest first.
    pub changes: Vec<Change>,
}

/// A member of the fleet: one daemon on a host, with the target on that host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Host of the daemon and the target.
    pub host: id::HostName,
    /// Failure domain of the host.
    pub failure_domain: id::DomainName,
    /// Service of the target, once the target has announced itself.
    pub service: Option<id::ServiceName>,
    /// Incarnation of the daemon.
    pub incarnation: id::Incarnation,
    /// Address at which other daemons reach this one.
    pub address: net::SocketAddr,
    /// State of the member.
    pub state: MemberState,
    /// Incarnations of targets on the host that have departed, oldest first.
    #[serde(default)]
    pub departed: Vec<TargetIncarnation>,
    /// Crashes of targets on the host, kept for the case that all daemons restart.
    #[serde(default)]
    pub crashes: quarantine::Report,
    /// Latest changes, oldest first.
    pub changes: Vec<Change>,
}

/// State of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// The member accepts calls.
    Serving,
    /// The member accepts no new calls.
    Leaving,
    /// The member has stopped, or another daemon reported it as gone.
    Left,
}

/// One change of an object, kept for the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Time of the change by the author's clock, seconds since the Unix epoch.
    pub at: u64,
    /// Who made the change.
    pub author: SmolStr,
    /// What was done.
    pub action: SmolStr,
    /// Version of the object that the change is based on; 0 if the change created it.
    pub from: id::Version,
    /// Random number that makes each written value unique, so that an author recognizes its
    /// own write.
    pub nonce: u64,
}

/// Appends a change and drops the oldest ones beyond the maximum that an object keeps.
pub fn record_change(changes: &mut Vec<Change>, change: Change) {
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

/// Departure of one incarnation of a target on a host, as daemons store it.
#[must_use]
pub fn departure(host: &str, incarnation: &TargetIncarnation) -> replica::Object {
    replica::Object {
        key: departure_key(host, incarnation),
        version: 1,
        value: serde_json::to_string(incarnation)
            .unwrap_or_default()
            .into(),
    }
}

/// Key of the departure of one incarnation of a target.
#[must_use]
pub fn departure_key(host: &str, incarnation: &TargetIncarnation) -> SmolStr {
    format!(
        "{DEPARTURES}{host}/{}-{}",
        incarnation.name, incarnation.started_ms
    )
    .into()
}

/// Key of the crashes of targets on a host.
#[must_use]
pub fn crashes_key(host: &str) -> SmolStr {
    format!("{CRASHES}{host}").into()
}

/// Key of a member.
#[must_use]
pub fn member_key(host: &str) -> SmolStr {
    format!("{MEMBERS}{host}").into()
}
