//! Calls as they come from callers.

use std::time::Duration;

use pollenrouter_caller::message::{Call, CallerResult, CallerResultKind};
use pollenrouter_core::call::{Refusal, UnknownReason};
use pollenrouter_core::{entry, http_message};
use pollenrouter_daemon::message::Request;
use smol_str::SmolStr;

use super::{Caller, Calls, Routed, Step};
use crate::routes;

impl Calls {
    /// Tells a caller at once that its call goes no further than this entry.
    pub fn refuse(&self, call: Box<Call>, refusal: Refusal) {
        // With a ticket an earlier try may have run.
        let (kind, outcome) = if call.ticket.is_some() {
            (
                CallerResultKind::Unknown(UnknownReason::GateNotAsked),
                "unknown",
            )
        } else {
            (CallerResultKind::NotRun(refusal), "not-run")
        };
        let text = refusal.to_string();
        self.instruments
            .ended(&call.service, outcome, &text, Duration::ZERO);
        let ending = CallerResult {
            kind,
            ticket: call.ticket,
            retry_after: None,
        };
        // The caller may have left.
        let _ = call.reply_to.send(ending);
    }

    /// Starts a call.
    pub fn call(&mut self, routed: Routed) {
        let Routed {
            call,
            retry_percent,
            retry_slack,
            gives_way,
        } = routed;
        let call = *call;
        let terms = call.route.policy;
        let begun = self.now();
        let deadline = call.remaining.unwrap_or(terms.deadline);
        let request = entry::Request {
            token: call.token,
            service: call.service.clone(),
            route: call.route.name,
            depth: call.depth,
            rank: terms.rank,
            remaining: terms
                .timeout
                .map_or(deadline, |timeout| timeout.min(deadline)),
            objective: terms.objective,
            sheddable: gives_way,
            stated_remaining: call.remaining.filter(|_| terms.has_uniform_deadline),
            max_attempts: terms.attempts,
            at_most_once: !terms.repeatable || call.ticket.is_some(),
            fingerprint: routes::fingerprint(&call.head, &call.body),
            ticket: call.ticket,
            retry_percent,
            retry_slack,
            draw: rand::random(),
        };
        let request_id = self.request_id(&call.head);
        let caller = Caller {
            request_id,
            route: request.route.clone(),
            request: Request {
                head: call.head,
                body: call.body,
            },
            service: call.service,
            begun,
            failure: None,
            reply_to: call.reply_to,
        };
        self.callers.insert(call.token, caller);
        self.run(Step::Entry(entry::Input::Call(request)));
    }

    /// What a caller calls its request.
    pub(super) fn request_id(&self, head: &http_message::RequestHead) -> SmolStr {
        let name = self.request_id_header;
        let found = head.headers.iter().find(|(n, _)| n == name);
        let text = found.map(|(_, value)| String::from_utf8_lossy(value));
        text.map(SmolStr::new).unwrap_or_default()
    }
}
