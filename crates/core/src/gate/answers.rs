//! Answers that a gate keeps for resends, within bounds of memory and time.

use std::time::Duration;

use super::{ANSWER_TTL, ANSWERS_MAX_BYTES, Gate, Output};
use crate::id;
use crate::records::{Known, State};

impl Gate {
    pub(super) fn settle(
        &mut self,
        now: Duration,
        id: id::CallId,
        once: bool,
        bytes: u64,
        out: &mut Vec<Output>,
    ) {
        self.records.set(id, State::Done { kept: once }, None);
        if !once {
            return;
        }
        out.push(Output::Keep(id));
        self.kept.push_back((id, bytes, now));
        self.kept_bytes += bytes;
        while self.kept_bytes > ANSWERS_MAX_BYTES {
            self.forget_oldest(out);
        }
    }

    pub(super) fn expire_answers(&mut self, now: Duration, out: &mut Vec<Output>) {
        while self
            .kept
            .front()
            .is_some_and(|(_, _, at)| *at + ANSWER_TTL < now)
        {
            self.forget_oldest(out);
        }
    }

    fn forget_oldest(&mut self, out: &mut Vec<Output>) {
        if let Some((id, bytes, _)) = self.kept.pop_front() {
            self.kept_bytes -= bytes;
            if matches!(self.records.known(id), Known::Record(_)) {
                self.records.set(id, State::Done { kept: false }, None);
            }
            out.push(Output::Forget(id));
        }
    }

    pub(super) fn trim(&mut self, out: &mut Vec<Output>) {
        for id in self.records.trim() {
            if let Some(at) = self.kept.iter().position(|(kept, _, _)| *kept == id) {
                let bytes = self.kept.remove(at).map_or(0, |(_, bytes, _)| bytes);
                self.kept_bytes -= bytes;
                out.push(Output::Forget(id));
            }
        }
    }
}
