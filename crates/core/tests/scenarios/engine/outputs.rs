//! What the state machines decide, carried out in virtual time.

use std::time::Duration;

use pollenrouter_core::call::{Refusal, Reply};
use pollenrouter_core::entry::{self, Verdict};
use pollenrouter_core::gate;
use pollenrouter_core::id::{CallId, Ticket};

use super::{Engine, Event, LATENCY, Press};

impl Engine {
    pub(super) fn done(&mut self, token: entry::Token, verdict: Verdict, ticket: Option<Ticket>) {
        let Press { label, number } = &self.presses[&token];
        let number = *number;
        let text = match verdict {
            Verdict::Answer(id) | Verdict::Failure(id) => {
                assert_eq!(self.press_of_id[&id], number, "answer of another call");
                let word = match verdict {
                    Verdict::Failure(_) => "answered with a failure",
                    _ => "answered",
                };
                format!("{label} {word}")
            }
            Verdict::NotRun(refusal) => format!("{label} not run: {refusal}"),
            Verdict::Unknown(doubt) => format!("{label} unknown: {doubt}"),
        };
        self.say(&text);
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
            gate::Output::Start { id, .. } => self.begin(at, id),
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
                self.say(&format!("{at} cancels call {}", self.press_of_id[&id]));
            }
            gate::Output::RequestLoad
            | gate::Output::CacheAnswer(_)
            | gate::Output::EvictAnswer(_) => {}
        }
    }

    pub(super) fn begin(&mut self, at: &str, id: CallId) {
        let number = self.press_of_id[&id];
        *self.runs.entry(number).or_default() += 1;
        self.say(&format!("{at} starts call {number}"));
        let host = self.hosts.get_mut(at).expect("host must exist");
        host.running.insert(id);
        let (work, incarnation) = (host.work, host.incarnation);
        self.after(work, Event::Done(at.to_owned(), incarnation, id));
    }

    pub(super) fn reply(&mut self, at: &str, to: &str, epoch: u64, id: CallId, reply: Reply) {
        let hint = self.hosts[at].gate.hint(self.now);
        let event = Event::Reply(at.to_owned(), to.to_owned(), id, reply, hint);
        if to == at {
            self.after(Duration::ZERO, event);
        } else if self.links.carries(to, at, epoch) {
            self.after(LATENCY, event);
        }
    }
}
