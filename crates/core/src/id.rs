//! Identifiers: names, incarnations, call ids and tickets.

use std::fmt;
use std::str;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Name of a service, as given in its document.
pub type ServiceName = SmolStr;
/// Name of a host; each host runs one daemon and one target.
pub type HostName = SmolStr;
/// Name of a failure domain.
pub type DomainName = SmolStr;
/// Name of an organisation, whose callers share a quota.
pub type OrganisationName = SmolStr;
/// Name of a route within a service document.
pub type RouteName = SmolStr;
/// Identity of a target, as the target reports it.
pub type TargetName = SmolStr;
/// Random number that a daemon generates at each start.
pub type Incarnation = u64;
/// Digest of a request's host, method, path and body, and of its caller.
pub type Fingerprint = u64;
/// Version of an object, assigned by the platform or by the object's writer; see
/// [`crate::version`].
pub type Version = u64;

/// Identifier of one attempt to run one call at one gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallId {
    /// Incarnation of the daemon that issued the id.
    pub entry: Incarnation,
    /// Sequence number among the ids issued by that daemon.
    pub seq: u64,
    /// Random number that makes the id unguessable.
    pub nonce: u64,
}

/// Permission to run one call at one incarnation of one gate.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ticket {
    /// Service that the ticket was issued for.
    pub service: ServiceName,
    /// Host of the only gate that may run the call.
    pub host: HostName,
    /// Incarnation of that gate.
    pub incarnation: Incarnation,
    /// Id of the call at that gate.
    pub id: CallId,
}

quick_error! {
    /// Error from parsing a ticket.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum TicketError {
        /// The text does not have the six parts of a ticket.
        PartCount(found: usize) {
            display("ticket has {found} parts separated by `.` where 6 are expected")
        }
        /// A part is not a hexadecimal number of 64 bits.
        InvalidNumber(part: &'static str) {
            display("ticket part `{part}` is not a hexadecimal number of 64 bits")
        }
    }
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let CallId { entry, seq, nonce } = self.id;
        write!(
            f,
            "{}.{}.{:x}.{entry:x}.{seq:x}.{nonce:x}",
            self.service, self.host, self.incarnation
        )
    }
}

impl str::FromStr for Ticket {
    type Err = TicketError;

    fn from_str(text: &str) -> Result<Self, TicketError> {
        let parts: Vec<&str> = text.split('.').collect();
        let &[service, host, incarnation, entry, seq, nonce] = parts.as_slice() else {
            return Err(TicketError::PartCount(parts.len()));
        };
        let id = CallId {
            entry: parse_hex("entry", entry)?,
            seq: parse_hex("seq", seq)?,
            nonce: parse_hex("nonce", nonce)?,
        };
        Ok(Self {
            service: service.into(),
            host: host.into(),
            incarnation: parse_hex("incarnation", incarnation)?,
            id,
        })
    }
}

fn parse_hex(part: &'static str, text: &str) -> Result<u64, TicketError> {
    u64::from_str_radix(text, 16).map_err(|_| TicketError::InvalidNumber(part))
}
