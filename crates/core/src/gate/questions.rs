//! What a gate says of calls that it may know: resends, queries, withdrawals.

use super::{Gate, Output, State, differs};
use crate::call::{self, Refusal, Reply, UnknownReason};
use crate::id;
use crate::records::{self, Known};

impl Gate {
    pub(super) fn resend(
        id: id::CallId,
        record: records::Record,
        fingerprint: u64,
        out: &mut Vec<Output>,
    ) {
        if differs(record.fingerprint, fingerprint) {
            out.push(Output::Mismatch(id));
            return;
        }
        let reply = match record.state {
            State::Waiting | State::Running => return,
            State::Done { kept: true } => Reply::Answer,
            State::Done { kept: false } => Reply::Unknown(UnknownReason::AnswerNotKept),
            State::Lost => Reply::Unknown(UnknownReason::TargetLost),
            State::Void(refusal) => Reply::NotRun(refusal),
        };
        out.push(Output::Reply(id, reply));
    }

    pub(super) fn query(&mut self, query: call::Query, out: &mut Vec<Output>) {
        let id = query.id;
        if query.incarnation != self.incarnation {
            out.push(Output::Reply(id, Reply::Unknown(UnknownReason::GateGone)));
            return;
        }
        match self.records.known(id) {
            Known::Record(record) => {
                let matches = !differs(record.fingerprint, query.fingerprint);
                if record.state == State::Waiting && matches {
                    self.unqueue(id);
                    self.refuse(id, Refusal::Void, None, out);
                } else {
                    Self::resend(id, record, query.fingerprint, out);
                }
            }
            Known::Expired => out.push(Output::Reply(
                id,
                Reply::Unknown(UnknownReason::TicketExpired),
            )),
            Known::New => self.refuse(id, Refusal::Void, Some(query.fingerprint), out),
        }
    }

    pub(super) fn withdraw(&mut self, query: call::Query, out: &mut Vec<Output>) {
        let id = query.id;
        if query.incarnation != self.incarnation {
            return;
        }
        if let Some(running) = self.running.get(&id) {
            if !running.once {
                out.push(Output::Cancel(id));
            }
            return;
        }
        let open = match self.records.known(id) {
            Known::New => true,
            Known::Expired => false,
            Known::Record(record) => {
                record.state == State::Waiting && !differs(record.fingerprint, query.fingerprint)
            }
        };
        if open {
            self.unqueue(id);
            self.refuse(id, Refusal::Cancelled, Some(query.fingerprint), out);
        }
    }
}
