//! Answers that a gate caches for resends, bounded in memory and time.

use std::time::Duration;

use super::{ANSWER_TTL, ANSWERS_MAX_BYTES, Gate, Output};
use crate::id;
use crate::records::{Lookup, State};

impl Gate {
    /// Bounds the total size of the cached answers to `bytes`, if that is less than
    /// [`ANSWERS_MAX_BYTES`].
    #[must_use]
    pub fn with_answers_max(mut self, bytes: u64) -> Self {
        self.answers_max_bytes = bytes.min(ANSWERS_MAX_BYTES);
        self
    }

    pub(super) fn complete(
        &mut self,
        now: Duration,
        id: id::CallId,
        at_most_once: bool,
        bytes: u64,
        out: &mut Vec<Output>,
    ) {
        self.records.set(
            id,
            State::Done {
                cached: at_most_once,
            },
            None,
        );
        if !at_most_once {
            return;
        }
        out.push(Output::CacheAnswer(id));
        self.cached_answers.push_back((id, bytes, now));
        self.cached_bytes += bytes;
        while self.cached_bytes > self.answers_max_bytes {
            self.evict_oldest_answer(out);
        }
    }

    pub(super) fn expire_answers(&mut self, now: Duration, out: &mut Vec<Output>) {
        while self
            .cached_answers
            .front()
            .is_some_and(|(_, _, cached_at)| *cached_at + ANSWER_TTL < now)
        {
            self.evict_oldest_answer(out);
        }
    }

    fn evict_oldest_answer(&mut self, out: &mut Vec<Output>) {
        if let Some((id, bytes, _)) = self.cached_answers.pop_front() {
            self.cached_bytes -= bytes;
            if matches!(self.records.lookup(id), Lookup::Record(_)) {
                self.records.set(id, State::Done { cached: false }, None);
            }
            out.push(Output::EvictAnswer(id));
        }
    }

    pub(super) fn evict_records(&mut self, out: &mut Vec<Output>) {
        for id in self.records.evict_excess() {
            if let Some(index) = self
                .cached_answers
                .iter()
                .position(|(cached, _, _)| *cached == id)
            {
                let bytes = self
                    .cached_answers
                    .remove(index)
                    .map_or(0, |(_, bytes, _)| bytes);
                self.cached_bytes -= bytes;
                out.push(Output::EvictAnswer(id));
            }
        }
    }
}
