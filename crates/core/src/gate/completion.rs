//! Calls at the target that have ended.

use std::time::Duration;

use super::{Gate, OUTCOME_WINDOW, Outcome, Output, Running, speed};
use crate::call::{Refusal, Reply, UnknownReason};
use crate::id;
use crate::records::State;

impl Gate {
    pub(super) fn handle_finished(
        &mut self,
        now: Duration,
        id: id::CallId,
        outcome: Outcome,
        out: &mut Vec<Output>,
    ) {
        let Some(running) = self.running.remove(&id) else {
            return;
        };
        self.record_use(now, &running, outcome);
        match outcome {
            Outcome::Answered { bytes, failed } => {
                let took = now.saturating_sub(running.started);
                self.service_times.record(
                    &running.route,
                    took * speed::NORMAL_SLOWNESS / running.slowness,
                );
                self.record_outcome(failed);
                let reply = if failed {
                    Reply::Failure
                } else {
                    Reply::Answer
                };
                out.push(Output::Reply(id, reply));
                self.complete(now, id, running.at_most_once, bytes, out);
            }
            // Says nothing about the target.
            Outcome::NotKept => {
                self.records.set(id, State::Done { cached: false }, None);
                out.push(Output::Reply(
                    id,
                    Reply::Unknown(UnknownReason::AnswerNotKept),
                ));
            }
            Outcome::NotStarted(refusal) => {
                self.record_outcome(refusal == Refusal::Unreachable);
                self.refuse(id, refusal, None, out);
            }
            Outcome::Lost | Outcome::Crashed => {
                self.record_outcome(true);
                self.records.set(id, State::Lost, None);
                out.push(Output::Reply(id, Reply::Unknown(UnknownReason::TargetLost)));
            }
        }
    }

    fn record_outcome(&mut self, failed: bool) {
        self.outcomes.push_back(failed);
        if self.outcomes.len() > OUTCOME_WINDOW as usize {
            self.outcomes.pop_front();
        }
    }

    /// Corrects the recent use of the target by the organisation of a call that has ended.
    fn record_use(&mut self, now: Duration, running: &Running, outcome: Outcome) {
        let Running {
            rank,
            organisation,
            expected,
            ..
        } = running;
        let fairness = &mut self.fairness;
        if matches!(outcome, Outcome::NotStarted(_)) {
            fairness.record_not_run(now, *rank, organisation, *expected);
        } else {
            let took = now.saturating_sub(running.started);
            fairness.record_end(now, *rank, organisation, *expected, took);
        }
    }
}
