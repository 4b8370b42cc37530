//! Messages about a call that entries and gates exchange.

use std::time::Duration;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::gate::statement::TargetNotice;
use crate::id;

/// Largest call depth that is distinguished; deeper calls count as this depth.
pub const MAX_DEPTH: u8 = 7;

/// What a gate does with a call while its target is temporarily slow.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum WhenSlow {
    /// Refuse the call, so that the entry can offer it to another gate.
    Refuse,
    /// Queue the call until the target recovers, as long as it can still be answered in
    /// time.
    Wait,
    /// Queue the call until the target recovers, and start it if the target stays slow: no
    /// other gate takes it.
    #[default]
    Start,
}

/// A call that an entry asks a gate to run.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Offer {
    /// Incarnation of the gate that may run the call.
    pub incarnation: id::Incarnation,
    /// The call's id.
    pub id: id::CallId,
    /// Service that is called.
    pub service: id::ServiceName,
    /// Route that the request matched.
    pub route: id::RouteName,
    /// Call depth: 0 for calls from the public, 1 and more for calls between services.
    pub depth: u8,
    /// Organisation of the caller; empty if it has none.
    pub organisation: id::OrganisationName,
    /// Priority rank of the call; 0 is the most urgent.
    pub rank: u8,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Time left until the latency objective is missed.
    pub objective: Duration,
    /// Whether the call is refused, or queued only briefly, when it cannot meet the latency
    /// objective.
    pub sheddable: bool,
    /// What the gate does while its target is temporarily slow.
    pub when_slow: WhenSlow,
    /// Whether the call must not run more than once.
    pub at_most_once: bool,
    /// Digest of method, path and body; a ticket is valid for one request only.
    pub fingerprint: id::Fingerprint,
    /// Whether the sender issued the id itself; otherwise it comes from a caller's ticket.
    pub issued_by_sender: bool,
    /// What the sender knows about the gate's target.
    pub target_notice: Option<Box<TargetNotice>>,
}

/// Asks a gate for its reply to a call; a gate that has not started the call voids its
/// id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Query {
    /// Incarnation of the gate that the call was offered to.
    pub incarnation: id::Incarnation,
    /// The call's id.
    pub id: id::CallId,
    /// Digest of the request, as in the offer.
    pub fingerprint: u64,
}

quick_error! {
    /// Why a call was not run. It never runs under the same id afterwards.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
    pub enum Refusal {
        /// The daemon has no service document for the service. Sent by earlier versions only.
        NoDocument { display("no document of this service is in force") }
        /// The daemon has not read the service documents since its start.
        NotReady { display("the daemon has not read the documents yet") }
        /// The service document has no matching route.
        NoRoute { display("no route for this host, method and path") }
        /// The route is for calls between services only.
        NotPublic { display("the route is closed to the public") }
        /// The entry's document declares the route repeatable, the gate's newer one does
        /// not.
        StaleDocument { display("the daemon that took the call has an older document") }
        /// The service document does not list the calling service.
        CallerNotAllowed { display("the service does not admit this caller") }
        /// No gate of the service is known or reachable.
        NoTarget { display("no target of this service is reachable") }
        /// The target or its daemon is draining.
        Draining { display("the target is leaving") }
        /// The gate's queue is full.
        QueueFull { display("the queue is full") }
        /// The call would wait beyond its deadline or, if it is sheddable, beyond its latency
        /// objective.
        Late { display("the deadline can not be met") }
        /// The target is temporarily slow.
        TargetSlow { display("the target is slow for the moment") }
        /// The target refused the call before running it.
        Shed { display("the target shed the call") }
        /// The target accepts no connection.
        Unreachable { display("could not connect to the target") }
        /// An earlier query or refusal voided the id.
        Void { display("the ticket is void") }
        /// The caller disconnected before the call started.
        Cancelled { display("the call was withdrawn before it began") }
        /// The ticket belongs to another service.
        WrongService { display("the ticket belongs to another service") }
        /// The ticket was already used with a different request.
        WrongRequest { display("the ticket was used with a different request") }
        /// A bounded channel in the daemon is full.
        Overloaded { display("the daemon is overloaded") }
        /// Several targets have crashed while they ran the same request.
        CrashesTargets { display("the request crashes the targets that run it") }
        /// The target takes no further call in time at the rate that it has named.
        RateLimited { display("the rate limit of the target is reached") }
        /// No organisation holds the key of the caller.
        UnknownKey { display("no organisation holds this key") }
        /// The organisation has used up its quota.
        QuotaUsed { display("the quota of the organisation is used up") }
        /// Calls that cost callers more to refuse take the room.
        Displaced { display("more urgent calls took the room") }
        /// The failure domain of the gate is evacuated.
        Evacuated { display("the failure domain of the target is evacuated") }
        /// No holder of the organisation's quota could be asked.
        QuotaUnknown { display("no holder of the organisation's quota is reachable") }
        /// The routing table in force does not allow the request, and a newer one was announced.
        StaleTable { display("a newer routing table is on its way") }
    }
}

impl Refusal {
    /// The refusal that an entry reports for one that it received from a gate. A gate that lacks
    /// a document or a route knows less than the entry, whose table has the route: it cannot
    /// tell that the request is wrong. Nor can one whose target now serves another service.
    #[must_use]
    pub fn from_gate(self) -> Self {
        match self {
            Self::NoDocument | Self::NoRoute | Self::NotPublic | Self::CallerNotAllowed => {
                Self::NotReady
            }
            Self::WrongService => Self::NoTarget,
            other => other,
        }
    }
}

quick_error! {
    /// Why it is unknown whether a call ran.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
    pub enum UnknownReason {
        /// The incarnation of the gate that may have run the call is gone.
        GateGone { display("the gate that may have run the call is gone") }
        /// The gate did not reply before the deadline.
        NoReply { display("the gate did not reply before the deadline") }
        /// The connection to the target broke after the request was sent.
        TargetLost { display("the target broke off after the request was sent") }
        /// The call ran, but its answer is no longer stored.
        AnswerNotKept { display("the call ran and its answer is no longer kept") }
        /// The ticket is older than the records that the gate keeps.
        TicketExpired { display("the ticket is older than what the gate remembers") }
        /// This daemon could not query the gate that the caller's ticket names.
        GateNotAsked { display("the gate that the ticket names was not asked") }
        /// The last attempt was refused, but an earlier one may have run.
        EarlierAttempt { display("an earlier attempt may have run") }
    }
}

/// A gate's final reply for an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Reply {
    /// The call ran; the answer accompanies this reply.
    Answer,
    /// The call ran and the target reported a failure; its answer accompanies this reply.
    Failure,
    /// The call did not run and will not run under this id.
    NotRun(Refusal),
    /// The call may have run.
    Unknown(UnknownReason),
}
