//! Inputs about ids that may already have a record: resends, queries and withdrawals.

use super::{Gate, Output, State, is_mismatch};
use crate::call::{self, Refusal, Reply, UnknownReason};
use crate::id;
use crate::records::{self, Lookup};

impl Gate {
    pub(super) fn reply_from_record(
        id: id::CallId,
        record: records::Record,
        fingerprint: u64,
        out: &mut Vec<Output>,
    ) {
        if is_mismatch(record.fingerprint, fingerprint) {
            out.push(Output::ReplyWrongRequest(id));
            return;
        }
        let reply = match record.state {
            State::Waiting | State::Running => return,
            State::Done { cached: true } => Reply::Answer,
            State::Done { cached: false } => Reply::Unknown(UnknownReason::AnswerNotKept),
            State::Lost => Reply::Unknown(UnknownReason::TargetLost),
            State::Void(refusal) => Reply::NotRun(refusal),
        };
        out.push(Output::Reply(id, reply));
    }

    pub(super) fn handle_query(&mut self, query: call::Query, out: &mut Vec<Output>) {
        let id = query.id;
        if query.incarnation != self.incarnation {
            out.push(Output::Reply(id, Reply::Unknown(UnknownReason::GateGone)));
            return;
        }
        match self.records.lookup(id) {
            Lookup::Record(record) => {
                let matches = !is_mismatch(record.fingerprint, query.fingerprint);
                if record.state == State::Waiting && matches {
                    self.remove_waiting(id);
                    self.refuse(id, Refusal::Void, None, out);
                } else {
                    Self::reply_from_record(id, record, query.fingerprint, out);
                }
            }
            Lookup::Expired => out.push(Output::Reply(
                id,
                Reply::Unknown(UnknownReason::TicketExpired),
            )),
            Lookup::New => self.refuse(id, Refusal::Void, Some(query.fingerprint), out),
        }
    }

    pub(super) fn handle_withdrawal(&mut self, query: call::Query, out: &mut Vec<Output>) {
        let id = query.id;
        if query.incarnation != self.incarnation {
            return;
        }
        if let Some(running) = self.running.get(&id) {
            if !running.at_most_once {
                out.push(Output::Cancel(id));
            }
            return;
        }
        let not_started = match self.records.lookup(id) {
            Lookup::New => true,
            Lookup::Expired => false,
            Lookup::Record(record) => {
                record.state == State::Waiting
                    && !is_mismatch(record.fingerprint, query.fingerprint)
            }
        };
        if not_started {
            self.remove_waiting(id);
            self.refuse(id, Refusal::Cancelled, Some(query.fingerprint), out);
        }
    }
}
