//! Executes the outputs of the state machines in virtual time.

use std::time::Duration;

use pollenrouter_core::call::{Refusal, Reply};
use pollenrouter_core::entry::{self, CallResult};
use pollenrouter_core::gate;
use pollenrouter_core::id::{CallId, Ticket};

use super::{Engine, Event, LATENCY, ScriptCall};

impl Engine {
    pub(super) fn report_result(
        &mut self,
        token: entry::Token,
        result: CallResult,
        ticket: Option<Ticket>,
    ) {
        let ScriptCall { label, number } = &self.calls[&token];
        let number = *number;
        let text = match result {
            CallResult::Answer(id) | CallResult::Failure(id) => {
                assert_eq!(
                    self.number_of_id[&id], number,
                    "answer must belong to this call"
                );
                let text = match result {
                    CallResult::Failure(_) => "answered with a failure",
                    _ => "answered",
                };
                format!("{label} {text}")
            }
            CallResult::NotRun(refusal) => format!("{label} not run: {refusal}"),
            CallResult::Unknown(reason) => format!("{label} unknown: {reason}"),
        };
        self.log_event(&text);
        if let Some(ticket) = ticket {
            self.tickets.entry(number).or_insert(ticket);
        }
    }

    pub(super) fn gate_step(&mut self, at: &str, input: gate::Input) {
        let now = self.now;
        let host = self.hosts.get_mut(at).expect("host must exist");
        for output in host.gate.step(now, input) {
            self.gate_output(at, &output);
        }
    }

    pub(super) fn gate_output(&mut self, at: &str, output: &gate::Output) {
        match *output {
            gate::Output::Start { id, .. } => self.start_call(at, id),
            gate::Output::Reply(id, reply) => {
                let host = self.hosts.get_mut(at).expect("host must exist");
                for (to, epoch) in host.waiters.remove(&id).unwrap_or_default() {
                    self.reply(at, &to, epoch, id, reply);
                }
            }
            gate::Output::ReplyWrongRequest(id) => {
                let host = self.hosts.get_mut(at).expect("host must exist");
                if let Some((to, epoch)) = host.waiters.get_mut(&id).and_then(Vec::pop) {
                    self.reply(at, &to, epoch, id, Reply::NotRun(Refusal::WrongRequest));
                }
            }
            gate::Output::Cancel(id) => {
                self.log_event(&format!("{at} cancels call {}", self.number_of_id[&id]));
            }
            gate::Output::RequestLoad
            | gate::Output::CacheAnswer(_)
            | gate::Output::EvictAnswer(_) => {}
        }
    }

    pub(super) fn start_call(&mut self, at: &str, id: CallId) {
        let number = self.number_of_id[&id];
        *self.runs.entry(number).or_default() += 1;
        self.log_event(&format!("{at} starts call {number}"));
        let host = self.hosts.get_mut(at).expect("host must exist");
        host.running.insert(id);
        let (service_time, incarnation) = (host.service_time, host.incarnation);
        self.schedule(
            service_time,
            Event::TargetDone(at.to_owned(), incarnation, id),
        );
    }

    pub(super) fn reply(&mut self, at: &str, to: &str, epoch: u64, id: CallId, reply: Reply) {
        let hint = self.hosts[at].gate.hint(self.now);
        let event = Event::Reply(at.to_owned(), to.to_owned(), id, reply, hint);
        if to == at {
            self.schedule(Duration::ZERO, event);
        } else if self.links.delivers(to, at, epoch) {
            self.schedule(LATENCY, event);
        }
    }
}
