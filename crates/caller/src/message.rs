//! Messages between the listeners and their embedder.

use std::time::Duration;

use bytes::Bytes;
use pollenrouter_core::{call, entry, http_message, id, table};
use tokio::sync::oneshot;

/// A request of a caller.
#[derive(Debug)]
pub struct Call {
    /// Handle for [`Event::Gone`].
    pub token: entry::Token,
    /// Service that is called.
    pub service: id::ServiceName,
    /// Route that the request matched.
    pub route: table::Route,
    /// Head, with the path as the target gets it.
    pub head: http_message::RequestHead,
    /// Whole body.
    pub body: Bytes,
    /// Time left, where the caller states it.
    pub remaining: Option<Duration>,
    /// 0 on the public listener; on the internal one at least 1.
    pub depth: u8,
    /// Ticket that the caller sent.
    pub ticket: Option<id::Ticket>,
    /// Where the ending goes.
    pub reply_to: oneshot::Sender<Ending>,
}

/// What became of a call, for its caller.
#[derive(Debug)]
pub struct Ending {
    /// Answer, refusal or doubt.
    pub kind: EndingKind,
    /// The call's ticket, where one was issued.
    pub ticket: Option<id::Ticket>,
    /// When a caller whose call was not run may come back.
    pub retry_after: Option<Duration>,
}

/// Kinds of ending.
#[derive(Debug)]
pub enum EndingKind {
    /// The target's answer.
    Answer(http_message::ResponseHead, Bytes),
    /// The call did not run and never will.
    NotRun(call::Refusal),
    /// The call may have run.
    Unknown(call::UnknownReason),
}

/// What the listeners tell their embedder.
#[derive(Debug)]
pub enum Event {
    /// A request is whole.
    Call(Box<Call>),
    /// The caller left before its answer.
    Gone(entry::Token),
    /// A caller asks for a ticket.
    Ticket(id::ServiceName, oneshot::Sender<Option<id::Ticket>>),
}
