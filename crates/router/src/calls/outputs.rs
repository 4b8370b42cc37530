//! Performs the outputs of the entry and the gate.

use std::time::Duration;

use log::{info, warn};
use pollenrouter_caller::message::{CallerResult, CallerResultKind};
use pollenrouter_core::call::{self, Refusal, Reply, UnknownReason};
use pollenrouter_core::entry::{self, CallResult, Sent};
use pollenrouter_core::{gate, hint, id};
use pollenrouter_daemon::message::{Command, GateReply, Peer};
use pollenrouter_target::message as target;
use smol_str::SmolStr;

use super::{Calls, Input, PendingCall, Waiter};

impl Calls {
    pub(super) fn apply_entry_output(&mut self, now: Duration, output: entry::Output) {
        match output {
            entry::Output::Offer(host, token, offer) => self.send_offer(host, token, offer),
            entry::Output::Query(host, query) if host == self.host => {
                self.add_waiter(query.id, Waiter::Entry);
                self.inputs
                    .push_back(Input::Gate(gate::Input::Query(query)));
            }
            entry::Output::Query(host, query) => {
                self.send_to_daemon(&host, |peer| Command::Query(peer, query));
            }
            entry::Output::Withdraw(host, query) if host == self.host => {
                self.inputs
                    .push_back(Input::Gate(gate::Input::Withdraw(query)));
            }
            entry::Output::Withdraw(host, query) => {
                self.send_to_daemon(&host, |peer| Command::Withdraw(peer, query));
            }
            entry::Output::Probe(host) => {
                self.send_to_daemon(&host, Command::Probe);
            }
            entry::Output::KeepFailure(token, _) => {
                let failure_answer = self.reply_answer.take();
                if let Some(call) = self.pending.get_mut(&token) {
                    call.failure_answer = failure_answer;
                }
            }
            entry::Output::Done(token, result, ticket) => {
                self.finish_call(now, token, result, ticket);
            }
        }
    }

    fn send_offer(&mut self, host: id::HostName, token: entry::Token, offer: call::Offer) {
        let Some(request) = self.pending.get(&token).map(|call| call.request.clone()) else {
            return;
        };
        if host == self.host {
            self.hold_request(&offer, request, Waiter::Entry);
            self.inputs
                .push_back(Input::Gate(gate::Input::Offer(offer)));
            return;
        }
        let id = offer.id;
        if !self.send_to_daemon(&host, |peer| Command::Offer(peer, offer, request)) {
            let lost = entry::Input::ConnectionLost(host, id, Sent::Nothing);
            self.inputs.push_back(Input::Entry(lost));
        }
    }

    fn send_to_daemon(&self, host: &id::HostName, command: impl FnOnce(Peer) -> Command) -> bool {
        let Some(peer) = self.peers.get(host) else {
            return false;
        };
        self.channels
            .daemon_commands
            .try_send(command(peer.clone()))
            .is_ok()
    }

    fn finish_call(
        &mut self,
        now: Duration,
        token: entry::Token,
        result: CallResult,
        ticket: Option<id::Ticket>,
    ) {
        let Some(mut call) = self.pending.remove(&token) else {
            return;
        };
        if matches!(result, CallResult::NotRun(_)) {
            self.unused_permits.extend(call.permit.take());
        }
        let answer = match result {
            CallResult::Answer(_) => self.reply_answer.clone(),
            CallResult::Failure(_) => self
                .reply_answer
                .clone()
                .or_else(|| call.failure_answer.clone()),
            _ => None,
        };
        let (kind, outcome, reason) = match result {
            CallResult::Answer(_) | CallResult::Failure(_) => match answer {
                Some(answer) => (
                    CallerResultKind::Answer(answer.head, answer.body),
                    "answered",
                    SmolStr::default(),
                ),
                None => unknown_result(UnknownReason::AnswerNotKept),
            },
            CallResult::NotRun(refusal) => (
                CallerResultKind::NotRun(refusal),
                "not-run",
                refusal.to_string().into(),
            ),
            CallResult::Unknown(reason) => unknown_result(reason),
        };
        let elapsed = now.saturating_sub(call.started_at);
        if !reason.is_empty() {
            self.log_failed_call(now, &call, outcome, &reason);
        }
        self.instruments
            .count_call(&call.service, outcome, &reason, elapsed);
        if matches!(kind, CallerResultKind::NotRun(_)) {
            self.instruments.count_refusal(&reason, call.rank);
        }
        let retry_after = matches!(kind, CallerResultKind::NotRun(_))
            .then(|| self.entry.retry_after(now, &call.service));
        // The send fails if the caller has disconnected.
        let _ = call.reply_to.send(CallerResult {
            kind,
            ticket,
            retry_after,
        });
    }

    /// Logs why a caller got no answer, with the loads of the service's gates that this
    /// entry knows.
    fn log_failed_call(&self, now: Duration, call: &PendingCall, outcome: &str, reason: &str) {
        let gates = self.entry.gates();
        let loads: Vec<String> = gates
            .filter(|(member, _)| member.service == call.service)
            .map(|(member, load)| load.describe(&member.host, now))
            .collect();
        info!(
            request:% = call.request_id,
            service:% = call.service,
            route:% = call.route,
            took_ms = now.saturating_sub(call.started_at).as_millis(),
            gates:% = loads.join(" "),
            outcome;
            "call failed: {reason}"
        );
    }

    pub(super) fn apply_gate_output(&mut self, now: Duration, output: &gate::Output) {
        match *output {
            gate::Output::Start { id, deadline } => {
                self.instruments.count_start();
                self.send_to_target(id, deadline);
            }
            gate::Output::RequestLoad => self.request_load(),
            gate::Output::Cancel(id) => {
                // If the channel is full, the call runs to its end.
                let _ = self
                    .channels
                    .target_commands
                    .try_send(target::Command::Cancel(id));
            }
            gate::Output::Reply(id, reply) => self.reply_to_waiters(now, id, reply),
            gate::Output::ReplyWrongRequest(id) => {
                let latest_waiter = self.waiters.get_mut(&id).and_then(Vec::pop);
                let reply = Reply::NotRun(Refusal::WrongRequest);
                self.reply_to_waiter(id, latest_waiter, reply, self.gate.hint(now));
            }
            gate::Output::CacheAnswer(id) => self.cache_answer(id),
            gate::Output::EvictAnswer(id) => {
                self.cached_ids.remove(&id);
                self.answers.remove(&id);
            }
        }
    }

    /// Requests a load report from the target; a full channel counts as no report.
    fn request_load(&mut self) {
        self.instruments.count_load_request();
        let target = self.gate.target_incarnation().cloned().unwrap_or_default();
        let sent = self
            .channels
            .target_commands
            .try_send(target::Command::QueryLoad(target));
        if sent.is_err() {
            self.inputs
                .push_back(Input::Gate(gate::Input::LoadNotReported));
        }
    }

    /// Caches an answer. A body is held in a buffer of its exact size, which draws on the memory
    /// budget until it is evicted.
    fn cache_answer(&mut self, id: id::CallId) {
        if self.answers.contains_key(&id) {
            self.cached_ids.insert(id);
        }
    }

    fn send_to_target(&mut self, id: id::CallId, deadline: Duration) {
        let Some(offered) = self.offered_requests.remove(&id) else {
            warn!("could not start a call: its request is missing");
            return;
        };
        let outbound_call = target::OutboundCall {
            id,
            head: offered.request.head,
            body: offered.request.body,
            fingerprint: self.gate.fingerprint(id).unwrap_or_default(),
            deadline: self.clock_start + deadline,
            depth: offered.depth,
            target: self.gate.target_incarnation().cloned().unwrap_or_default(),
            at_most_once: offered.at_most_once,
            answer_max_bytes: self.answer_max_bytes,
        };
        if self
            .channels
            .target_commands
            .try_send(target::Command::Send(outbound_call))
            .is_err()
        {
            let outcome = gate::Outcome::NotStarted(Refusal::Overloaded);
            let finished = gate::Input::Finished(id, outcome);
            self.inputs.push_back(Input::Gate(finished));
        }
    }

    fn reply_to_waiters(&mut self, now: Duration, id: id::CallId, reply: Reply) {
        self.offered_requests.remove(&id);
        let hint = self.gate.hint(now);
        for waiter in self.waiters.remove(&id).unwrap_or_default() {
            self.reply_to_waiter(id, Some(waiter), reply, hint);
        }
    }

    fn reply_to_waiter(
        &mut self,
        id: id::CallId,
        waiter: Option<Waiter>,
        reply: Reply,
        hint: hint::Hint,
    ) {
        let expects_answer = matches!(reply, Reply::Answer | Reply::Failure);
        let answer = self.answers.get(&id).filter(|_| expects_answer);
        match waiter {
            None => {}
            Some(Waiter::Entry) => {
                self.reply_answer = answer.cloned();
                let input = entry::Input::Reply(self.host.clone(), id, reply, hint);
                let now = self.now();
                for output in self.entry.step(now, input) {
                    self.apply_entry_output(now, output);
                }
                self.reply_answer = None;
            }
            Some(Waiter::Daemon(reply_to)) => {
                let gate_reply = GateReply {
                    reply,
                    load: hint,
                    target_notice: self.gate.target_notice(),
                    answer: answer.cloned(),
                };
                // The send fails if the entry has closed the stream.
                let _ = reply_to.send(gate_reply);
            }
        }
    }
}

fn unknown_result(reason: UnknownReason) -> (CallerResultKind, &'static str, SmolStr) {
    (
        CallerResultKind::Unknown(reason),
        "unknown",
        reason.to_string().into(),
    )
}
