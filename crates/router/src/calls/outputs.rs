//! Carries out what the entry and the gate decided.

use std::time::Duration;

use bytes::Bytes;
use log::{info, warn};
use pollenrouter_caller::message::{CallerResult, CallerResultKind};
use pollenrouter_core::call::{self, Refusal, Reply, UnknownReason};
use pollenrouter_core::entry::{self, CallResult, Sent};
use pollenrouter_core::{gate, hint, id};
use pollenrouter_daemon::message::{Command, GateReply, Peer};
use pollenrouter_target::message as target;
use smol_str::SmolStr;

use super::{Caller, Calls, Step, Waiter};

impl Calls {
    pub(super) fn entry_output(&mut self, now: Duration, output: entry::Output) {
        match output {
            entry::Output::Offer(host, token, offer) => self.send_offer(host, token, offer),
            entry::Output::Query(host, query) if host == self.host => {
                self.wait(query.id, Waiter::Entry);
                self.steps.push_back(Step::Gate(gate::Input::Query(query)));
            }
            entry::Output::Query(host, query) => {
                self.send(&host, |peer| Command::Query(peer, query));
            }
            entry::Output::Withdraw(host, query) if host == self.host => {
                self.steps
                    .push_back(Step::Gate(gate::Input::Withdraw(query)));
            }
            entry::Output::Withdraw(host, query) => {
                self.send(&host, |peer| Command::Withdraw(peer, query));
            }
            entry::Output::Probe(host) => {
                self.send(&host, Command::Probe);
            }
            entry::Output::KeepFailure(token, _) => {
                let failure = self.arrived.take();
                if let Some(caller) = self.callers.get_mut(&token) {
                    caller.failure = failure;
                }
            }
            entry::Output::Done(token, verdict, ticket) => self.done(now, token, verdict, ticket),
        }
    }

    fn send_offer(&mut self, host: id::HostName, token: entry::Token, offer: call::Offer) {
        let Some(request) = self
            .callers
            .get(&token)
            .map(|caller| caller.request.clone())
        else {
            return;
        };
        if host == self.host {
            self.hold(&offer, request, Waiter::Entry);
            self.steps.push_back(Step::Gate(gate::Input::Offer(offer)));
            return;
        }
        let id = offer.id;
        if !self.send(&host, |peer| Command::Offer(peer, offer, request)) {
            let lost = entry::Input::ConnectionLost(host, id, Sent::Nothing);
            self.steps.push_back(Step::Entry(lost));
        }
    }

    fn send(&self, host: &id::HostName, command: impl FnOnce(Peer) -> Command) -> bool {
        let Some(peer) = self.peers.get(host) else {
            return false;
        };
        self.rings.daemons.try_send(command(peer.clone())).is_ok()
    }

    fn done(
        &mut self,
        now: Duration,
        token: entry::Token,
        verdict: CallResult,
        ticket: Option<id::Ticket>,
    ) {
        let Some(caller) = self.callers.remove(&token) else {
            return;
        };
        let answer = match verdict {
            CallResult::Answer(_) => self.arrived.clone(),
            CallResult::Failure(_) => self.arrived.clone().or_else(|| caller.failure.clone()),
            _ => None,
        };
        let (kind, outcome, reason) = match verdict {
            CallResult::Answer(_) | CallResult::Failure(_) => match answer {
                Some(answer) => (
                    CallerResultKind::Answer(answer.head, answer.body),
                    "answered",
                    SmolStr::default(),
                ),
                None => unknown(UnknownReason::AnswerNotKept),
            },
            CallResult::NotRun(refusal) => (
                CallerResultKind::NotRun(refusal),
                "not-run",
                refusal.to_string().into(),
            ),
            CallResult::Unknown(doubt) => unknown(doubt),
        };
        let took = now.saturating_sub(caller.begun);
        if !reason.is_empty() {
            self.log_ending(now, &caller, outcome, &reason);
        }
        self.instruments
            .ended(&caller.service, outcome, &reason, took);
        let retry_after = matches!(kind, CallerResultKind::NotRun(_))
            .then(|| self.entry.retry_after(now, &caller.service));
        // The caller may have left.
        let _ = caller.reply_to.send(CallerResult {
            kind,
            ticket,
            retry_after,
        });
    }

    /// Tells why a caller got no answer, with what this entry believed of the gates.
    fn log_ending(&self, now: Duration, caller: &Caller, outcome: &str, reason: &str) {
        let gates = self.entry.gates();
        let beliefs: Vec<String> = gates
            .filter(|(member, _)| member.service == caller.service)
            .map(|(member, load)| load.describe(&member.host, now))
            .collect();
        info!(
            request:% = caller.request_id,
            service:% = caller.service,
            route:% = caller.route,
            took_ms = now.saturating_sub(caller.begun).as_millis(),
            gates:% = beliefs.join(" "),
            outcome;
            "call failed: {reason}"
        );
    }

    pub(super) fn gate_output(&mut self, now: Duration, output: &gate::Output) {
        match *output {
            gate::Output::Start { id, deadline } => self.start(id, deadline),
            gate::Output::RequestLoad => self.ask_load(),
            gate::Output::Cancel(id) => {
                // A call that is not cancelled only runs to its end.
                let _ = self.rings.target.try_send(target::Command::Cancel(id));
            }
            gate::Output::Reply(id, reply) => self.reply(now, id, reply),
            gate::Output::ReplyWrongRequest(id) => {
                let latest = self.waiters.get_mut(&id).and_then(Vec::pop);
                let reply = Reply::NotRun(Refusal::WrongRequest);
                self.reply_to(id, latest, reply, self.gate.hint(now));
            }
            gate::Output::CacheAnswer(id) => self.keep(id),
            gate::Output::EvictAnswer(id) => {
                self.kept.remove(&id);
                self.answers.remove(&id);
            }
        }
    }

    /// Asks the target for its load; a full ring stands for no answer.
    fn ask_load(&mut self) {
        self.instruments.asked_load();
        let asked = self.rings.target.try_send(target::Command::QueryLoad);
        if asked.is_err() {
            self.steps
                .push_back(Step::Gate(gate::Input::LoadNotReported));
        }
    }

    /// Keeps an answer in a buffer of its own size; the one that it was read into
    /// is much larger.
    fn keep(&mut self, id: id::CallId) {
        if let Some(answer) = self.answers.get_mut(&id) {
            answer.body = Bytes::copy_from_slice(&answer.body);
            self.kept.insert(id);
        }
    }

    fn start(&mut self, id: id::CallId, deadline: Duration) {
        let Some(held) = self.held.remove(&id) else {
            warn!("call without a request");
            return;
        };
        let run = target::OutboundCall {
            id,
            head: held.request.head,
            body: held.request.body,
            deadline: self.origin + deadline,
            depth: held.depth,
            target: self
                .gate
                .target_incarnation()
                .map(|life| life.name.clone())
                .unwrap_or_default(),
            at_most_once: held.once,
            answer_max_bytes: self.answer_bytes,
        };
        if self
            .rings
            .target
            .try_send(target::Command::Send(run))
            .is_err()
        {
            let outcome = gate::Outcome::NotStarted(Refusal::Overloaded);
            let finished = gate::Input::Finished(id, outcome);
            self.steps.push_back(Step::Gate(finished));
        }
    }

    fn reply(&mut self, now: Duration, id: id::CallId, reply: Reply) {
        self.held.remove(&id);
        let hint = self.gate.hint(now);
        for waiter in self.waiters.remove(&id).unwrap_or_default() {
            self.reply_to(id, Some(waiter), reply, hint);
        }
    }

    fn reply_to(&mut self, id: id::CallId, waiter: Option<Waiter>, reply: Reply, hint: hint::Hint) {
        let answers = matches!(reply, Reply::Answer | Reply::Failure);
        let answer = self.answers.get(&id).filter(|_| answers);
        match waiter {
            None => {}
            Some(Waiter::Entry) => {
                self.arrived = answer.cloned();
                let input = entry::Input::Reply(self.host.clone(), id, reply, hint);
                let now = self.now();
                for output in self.entry.step(now, input) {
                    self.entry_output(now, output);
                }
                self.arrived = None;
            }
            Some(Waiter::Daemon(reply_to)) => {
                let replied = GateReply {
                    reply,
                    load: hint,
                    answer: answer.cloned(),
                };
                // The entry may have given the stream up.
                let _ = reply_to.send(replied);
            }
        }
    }
}

fn unknown(doubt: UnknownReason) -> (CallerResultKind, &'static str, SmolStr) {
    (
        CallerResultKind::Unknown(doubt),
        "unknown",
        doubt.to_string().into(),
    )
}
