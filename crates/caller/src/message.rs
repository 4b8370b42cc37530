//! Messages between the listeners and the router.

use std::time::Duration;

use bytes::Bytes;
use pollenrouter_core::{call, entry, http_message, id, table};
use tokio::sync::oneshot;

/// A request of a caller.
#[derive(Debug)]
pub struct Call {
    /// Identifies the call in [`Event::Disconnected`].
    pub token: entry::Token,
    /// Service that is called.
    pub service: id::ServiceName,
    /// Route that the request matched.
    pub route: table::Route,
    /// Organisation that holds the caller's key, if it has one.
    pub organisation: Option<id::OrganisationName>,
    /// Request head, with the path as it is sent to the target.
    pub head: http_message::RequestHead,
    /// Complete request body.
    pub body: Bytes,
    /// Time from the arrival of the request to its deadline, if the caller states it.
    pub remaining: Option<Duration>,
    /// Time since the request arrived, by which `remaining` and all defaults for it are shorter
    /// now.
    pub waited: Duration,
    /// 0 on the public listener, at least 1 on the internal listener.
    pub depth: u8,
    /// Ticket that the caller sent.
    pub ticket: Option<id::Ticket>,
    /// Channel for the result.
    pub reply_to: oneshot::Sender<CallerResult>,
}

/// Result of a call, for its caller.
#[derive(Debug)]
pub struct CallerResult {
    /// Whether the call was answered, did not run, or may have run.
    pub kind: CallerResultKind,
    /// The call's ticket, if one was issued.
    pub ticket: Option<id::Ticket>,
    /// Time after which the caller of a call that did not run may retry.
    pub retry_after: Option<Duration>,
}

/// Kinds of results.
#[derive(Debug)]
pub enum CallerResultKind {
    /// The target's response.
    Answer(http_message::ResponseHead, Bytes),
    /// The call did not run and never will.
    NotRun(call::Refusal),
    /// The call may have run.
    Unknown(call::UnknownReason),
}

/// Events that the listeners send to the router.
#[derive(Debug)]
pub enum Event {
    /// A complete request was received.
    Call(Box<Call>),
    /// The caller disconnected before its response.
    Disconnected(entry::Token),
    /// A caller requests a ticket for a service.
    TicketRequested(id::ServiceName, oneshot::Sender<Option<id::Ticket>>),
}
