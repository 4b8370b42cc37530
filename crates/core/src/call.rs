//! Messages about one call between an entry and a gate.

use std::time::Duration;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::id;

/// Deepest chain of calls that the system distinguishes.
pub const MAX_DEPTH: u8 = 7;

/// What a gate does with a call that finds its target slow for the moment.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum WhenSlow {
    /// It refuses the call, which goes to another gate.
    Refuse,
    /// It waits for the target to recover while the call can still be in time.
    Wait,
    /// It starts the call all the same.
    #[default]
    Start,
}

/// A call that an entry asks a gate to run.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Offer {
    /// Incarnation of the gate that may run it.
    pub incarnation: id::Incarnation,
    /// The call's id.
    pub id: id::CallId,
    /// Service that the caller asked for.
    pub service: id::ServiceName,
    /// Route that the request matched.
    pub route: id::RouteName,
    /// 0 for the public, 1 and more for calls between services.
    pub depth: u8,
    /// Rank of the route; 0 goes first.
    pub rank: u8,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Time left until the latency owed is exceeded.
    pub objective: Duration,
    /// Whether it gives way when it can not meet that.
    pub gives_way: bool,
    /// What the gate does while its target is slow for the moment.
    pub when_slow: WhenSlow,
    /// Whether the call may run at most once.
    pub once: bool,
    /// Digest of method, path and body; a ticket stays with one request.
    pub fingerprint: u64,
    /// Whether the sender itself issued the id; else it came in a caller's ticket.
    pub vouched: bool,
}

/// Asks a gate to reply for a call that it may know, or to void its id.
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
    /// Why a call was not run, and never will be under its id.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
    pub enum Refusal {
        /// No document for the service is in force here.
        NoDocument { display("no document of this service is in force") }
        /// The daemon has not read the documents since its start.
        NotReady { display("the daemon has not read the documents yet") }
        /// The document has no such route.
        NoRoute { display("no route for this host, method and path") }
        /// The route is for calls between services only.
        NotPublic { display("the route is closed to the public") }
        /// The entry's document says repeatable, the gate's newer one does not.
        StaleDocument { display("the daemon that took the call has an older document") }
        /// The calling service is not among those that the document names.
        NotCaller { display("the service does not admit this caller") }
        /// No gate of the service is known or reachable.
        NoTarget { display("no target of this service is reachable") }
        /// The target or its daemon is leaving.
        Draining { display("the target is leaving") }
        /// Too many calls wait already.
        QueueFull { display("the queue is full") }
        /// The wait would outlast the deadline.
        Late { display("the deadline can not be met") }
        /// The target is slow for the moment.
        Slow { display("the target is slow for the moment") }
        /// The target refused the call before it began.
        Shed { display("the target shed the call") }
        /// The target accepts no connection.
        Unreachable { display("could not connect to the target") }
        /// The id was voided by an earlier question or refusal.
        Void { display("the ticket is void") }
        /// The caller left before the call began.
        Cancelled { display("the call was withdrawn before it began") }
        /// The ticket belongs to another service.
        WrongService { display("the ticket belongs to another service") }
        /// The ticket was already used with a different request.
        WrongRequest { display("the ticket was used with a different request") }
        /// A bounded ring in the daemon is full.
        Overloaded { display("the daemon is overloaded") }
    }
}

quick_error! {
    /// Why nobody can say whether a call ran.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
    pub enum Doubt {
        /// The incarnation that may have run the call is gone.
        GateGone { display("the gate that may have run the call is gone") }
        /// The gate did not reply before the deadline.
        Silent { display("the gate did not reply before the deadline") }
        /// The target broke off after the request was sent.
        TargetLost { display("the target broke off after the request was sent") }
        /// The call ran; its answer was let go.
        AnswerNotKept { display("the call ran and its answer is no longer kept") }
        /// The ticket is older than what the gate remembers.
        TicketExpired { display("the ticket is older than what the gate remembers") }
        /// This entry could not ask the gate that the caller's ticket names.
        NotAsked { display("the gate that the ticket names was not asked") }
        /// An earlier attempt may have run before this refusal.
        EarlierAttempt { display("an earlier attempt may have run") }
    }
}

/// A gate's final word on an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Reply {
    /// The call ran; the answer goes with this reply.
    Answer,
    /// The call ran and the target reported a failure; its answer goes with this reply.
    Failure,
    /// The call did not run and never will under this id.
    NotRun(Refusal),
    /// The call may have run.
    Unknown(Doubt),
}
