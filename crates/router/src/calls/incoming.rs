//! Calls that come in from callers.

use std::mem;
use std::time::Duration;

use log::info;
use pollenrouter_caller::message::{Call, CallerResult, CallerResultKind};
use pollenrouter_core::call::{Refusal, UnknownReason};
use pollenrouter_core::{entry, fingerprint, http_message, id, quota};
use pollenrouter_daemon::message::Request;
use smol_str::SmolStr;

use super::{Calls, Input, PendingCall, RoutedCall};

impl Calls {
    /// Refuses a call without offering it to a gate; with the retry delay if one is known.
    pub fn refuse(&self, call: Box<Call>, refusal: Refusal, retry_after: Option<Duration>) {
        // A call with a ticket may have run in an earlier attempt.
        let (kind, outcome) = if call.ticket.is_some() {
            (
                CallerResultKind::Unknown(UnknownReason::GateNotAsked),
                "unknown",
            )
        } else {
            (CallerResultKind::NotRun(refusal), "not-run")
        };
        let reason = refusal.to_string();
        self.instruments
            .count_call(&call.service, outcome, &reason, Duration::ZERO);
        if call.ticket.is_none() {
            let rank = call.route.policy.rank;
            self.instruments.count_refusal(&reason, rank);
        }
        let result = CallerResult {
            kind,
            ticket: call.ticket,
            retry_after,
        };
        // The send fails if the caller has disconnected.
        let _ = call.reply_to.send(result);
    }

    /// Starts a call.
    pub fn start_call(&mut self, routed_call: RoutedCall) {
        let RoutedCall {
            call,
            retry_percent,
            retry_slack,
            sheddable,
            shed,
            permit,
        } = routed_call;
        let fingerprint = fingerprint::of(&call.head, &call.body, self.caller_header);
        // The gate that a ticket names may have the answer to an earlier attempt.
        if call.ticket.is_none() && self.is_quarantined(fingerprint) {
            self.log_quarantined(&call, fingerprint);
            self.refuse(call, Refusal::CrashesTargets, None);
            self.unused_permits.extend(permit);
            return;
        }
        let call = *call;
        let policy = call.route.policy;
        let started_at = self.now();
        let deadline = call.remaining.unwrap_or(policy.deadline);
        let remaining = policy
            .timeout
            .map_or(deadline, |timeout| timeout.min(deadline));
        let request = entry::Request {
            token: call.token,
            service: call.service.clone(),
            route: call.route.name,
            depth: call.depth,
            organisation: call.organisation.unwrap_or_default(),
            rank: policy.rank,
            // The request may have been in a buffer while the process was paused.
            remaining: remaining.saturating_sub(call.waited + self.pauses.extra_age(started_at)),
            objective: policy.objective,
            sheddable,
            shed,
            waited: call.waited,
            stated_remaining: call
                .remaining
                .filter(|_| policy.has_uniform_deadline)
                .map(|stated| stated.saturating_sub(call.waited)),
            max_attempts: policy.attempts,
            at_most_once: !policy.repeatable || call.ticket.is_some(),
            fingerprint,
            ticket: call.ticket,
            retry_percent,
            retry_slack,
            draw: rand::random(),
        };
        let request_id = self.request_id(&call.head);
        let pending_call = PendingCall {
            request_id,
            route: request.route.clone(),
            rank: request.rank,
            request: Request {
                head: call.head,
                body: call.body,
            },
            service: call.service,
            started_at,
            failure_answer: None,
            permit,
            reply_to: call.reply_to,
        };
        self.pending.insert(call.token, pending_call);
        self.process(Input::Entry(entry::Input::Call(request)));
    }

    /// Returns the quota tokens of calls that did not run since the previous call.
    pub fn take_unused_permits(&mut self) -> Vec<quota::Permit> {
        mem::take(&mut self.unused_permits)
    }

    fn log_quarantined(&self, call: &Call, fingerprint: id::Fingerprint) {
        info!(
            request:% = self.request_id(&call.head),
            service:% = call.service,
            route:% = call.route.name,
            digest:% = format_args!("{fingerprint:016x}"),
            outcome = "not-run";
            "call failed: {}", Refusal::CrashesTargets
        );
    }

    /// Returns the id that the caller gave its request, or an empty string.
    pub(super) fn request_id(&self, head: &http_message::RequestHead) -> SmolStr {
        let name = self.request_id_header;
        let header = head.headers.iter().find(|(n, _)| n == name);
        let request_id = header.map(|(_, value)| String::from_utf8_lossy(value));
        request_id.map(SmolStr::new).unwrap_or_default()
    }
}
