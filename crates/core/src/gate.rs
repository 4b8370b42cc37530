//! The gate: stands alone before one target and decides what starts when.
//!
//! Safety rests on three rules. A start is recorded before the call is handed
//! to the target. A refusal is recorded as void before it is said. An id that
//! is void, expired or bound to another incarnation is never started.

mod admission;
mod answers;
mod pace;
mod questions;
mod starts;
pub mod target;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::call::{self, Refusal, Reply, UnknownReason};
use crate::hint;
use crate::id;
use crate::queue;
use crate::records::{self, State};
use crate::service;
use crate::size;

/// A target that has not announced itself for this long gets no new work.
pub const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(3);
/// Kept answers are let go after this long.
pub const ANSWER_TTL: Duration = Duration::from_mins(10);
/// Size of kept answers in all, bytes.
pub const ANSWERS_MAX_BYTES: u64 = 16 << 20;
/// Ids that a gate remembers.
pub const RECORDS_MAX: usize = 1 << 16;
const OUTCOMES: u32 = 8;

/// What a target says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Announcement {
    /// Which life of which target speaks.
    pub life: target::Life,
    /// Number that grows with each announcement of a life; 0 where there is none.
    pub sequence: u64,
    /// Service that the target serves.
    pub service: id::ServiceName,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// Time that it takes to warm up after its first announcement.
    pub cold_start: Duration,
}

/// What a target reports with an answer or to a probe.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Report {
    /// How long work takes at this moment, in hundredths of the usual.
    pub slowness: u32,
}

/// What a target made of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// It answered.
    Answered {
        /// Memory that the answer takes if it is kept, bytes.
        bytes: u64,
        /// Whether the answer is a server error.
        failed: bool,
    },
    /// No byte of the request was sent.
    NotStarted(Refusal),
    /// The connection broke after the request may have been sent.
    Lost,
}

/// What happens to a gate.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// An entry offers a call.
    Offer(call::Offer),
    /// An entry asks for a reply to an id, or to void it.
    Query(call::Query),
    /// The caller left.
    Withdraw(call::Query),
    /// The target is done with a call.
    Finished(id::CallId, Outcome),
    /// The target announced itself.
    Announced(Announcement),
    /// The life of a target is leaving or gone, whatever it announces later.
    Departed(target::Life),
    /// The target reported its load.
    Reported(Report),
    /// The target was asked for its load and did not report it.
    Unreported,
    /// Announcements are believed from now on: departures before this daemon's
    /// start are known.
    Synced,
    /// A service document came into force.
    Document(service::Service),
    /// The daemon is about to stop.
    Drain,
    /// Time has passed.
    Tick,
}

/// What the embedder has to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send the call to the target, unless the deadline has passed by then.
    Start {
        /// The call.
        id: id::CallId,
        /// When it must be answered.
        deadline: Duration,
    },
    /// Ask the target for its load.
    Ask,
    /// Tell the target that the answer is no longer wanted.
    Cancel(id::CallId),
    /// Reply to everybody who waits for this id.
    Reply(id::CallId, Reply),
    /// Reply [`Refusal::WrongRequest`] to the sender of this input only.
    Mismatch(id::CallId),
    /// Keep the answer of this id for resends.
    Keep(id::CallId),
    /// Let the kept answer of this id go.
    Forget(id::CallId),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Running {
    route: id::RouteName,
    once: bool,
    long: bool,
    started: Duration,
    /// Time that its work takes, hundredths of the usual.
    slowness: u32,
}

/// State of one gate.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Gate {
    incarnation: id::Incarnation,
    document: Option<service::Service>,
    targets: target::Targets,
    pace: pace::Pace,
    announcement_ttl: Duration,
    synced: bool,
    draining: bool,
    /// Rank of the most urgent calls that were held up of late, and when the latest was.
    urgent: Option<(u8, Duration)>,
    waiting: Vec<queue::Waiting>,
    running: BTreeMap<id::CallId, Running>,
    records: records::Records,
    kept: VecDeque<(id::CallId, u64, Duration)>,
    kept_bytes: u64,
    times: size::Times,
    outcomes: VecDeque<bool>,
}

impl Gate {
    /// A gate that remembers up to `records_max` ids.
    #[must_use]
    pub fn new(incarnation: id::Incarnation, records_max: usize) -> Self {
        Self {
            incarnation,
            document: None,
            targets: target::Targets::default(),
            pace: pace::Pace::default(),
            announcement_ttl: ANNOUNCEMENT_TTL,
            synced: true,
            draining: false,
            urgent: None,
            waiting: Vec::new(),
            running: BTreeMap::new(),
            records: records::Records::new(records_max),
            kept: VecDeque::new(),
            kept_bytes: 0,
            times: size::Times::default(),
            outcomes: VecDeque::new(),
        }
    }

    /// Believes a target for this long after an announcement.
    #[must_use]
    pub fn with_announcement_ttl(mut self, ttl: Duration) -> Self {
        self.announcement_ttl = ttl;
        self
    }

    /// Asks the target for its load before a start, where the latest report is old.
    #[must_use]
    pub fn asking(mut self) -> Self {
        self.pace = pace::Pace::asking();
        self
    }

    /// Starts nothing before [`Input::Synced`].
    #[must_use]
    pub fn unsynced(mut self) -> Self {
        self.synced = false;
        self
    }

    /// Takes one input and returns what has to be done, in order.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        match input {
            Input::Offer(offer) => self.offer(now, &offer, &mut out),
            Input::Query(query) => self.query(query, &mut out),
            Input::Withdraw(query) => self.withdraw(query, &mut out),
            Input::Finished(id, outcome) => self.finished(now, id, outcome, &mut out),
            Input::Announced(announcement) => self.targets.announced(now, announcement),
            Input::Departed(life) => self.targets.departed(life),
            Input::Reported(report) => self.pace.reported(now, report),
            Input::Unreported => self.pace.silent(now),
            Input::Synced => self.synced = true,
            Input::Document(document) => self.document = Some(document),
            Input::Drain => self.draining = true,
            Input::Tick => self.expire_answers(now, &mut out),
        }
        self.refuse_waiting(now, &mut out);
        if let Some(speed) = self.speed(now, &mut out) {
            self.refuse_slowed(now, speed, &mut out);
            self.start_waiting(now, speed, &mut out);
        }
        self.trim(&mut out);
        out
    }

    /// The incarnation that this gate answers for.
    #[must_use]
    pub fn incarnation(&self) -> id::Incarnation {
        self.incarnation
    }

    /// Whether nothing waits or runs.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Whether a call waits.
    #[must_use]
    pub fn is_waiting(&self, id: id::CallId) -> bool {
        self.waiting.iter().any(|w| w.id == id)
    }

    /// Number of ids remembered.
    #[must_use]
    pub fn remembered(&self) -> usize {
        self.records.len()
    }

    /// The target's service, while it announces itself and is not leaving.
    #[must_use]
    pub fn serving(&self, now: Duration) -> Option<&id::ServiceName> {
        self.refusal_now(now)
            .is_none()
            .then_some(())
            .and(self.targets.current())
            .map(|target| &target.announcement.service)
    }

    /// Whether it is too early to tell if the gate will serve: earlier departures are not
    /// known yet, or the target may still announce itself for the first time. `now`
    /// counts from the daemon's start.
    #[must_use]
    pub fn is_starting(&self, now: Duration) -> bool {
        let awaits_target = self.targets.current().is_none() && now <= self.announcement_ttl;
        !self.synced || awaits_target
    }

    /// The target's life, while there is one.
    #[must_use]
    pub fn life(&self) -> Option<&target::Life> {
        self.targets
            .current()
            .map(|target| &target.announcement.life)
    }

    /// Whether a life of a target is known to be leaving or gone.
    #[must_use]
    pub fn has_departed(&self, life: &target::Life) -> bool {
        self.targets.has_departed(life)
    }

    /// The load as entries should see it.
    #[must_use]
    pub fn hint(&self, now: Duration) -> hint::Hint {
        let failed = self.outcomes.iter().filter(|failed| **failed).count();
        hint::Hint {
            running: count(self.running.len()),
            waiting: count(self.waiting.len()),
            slots: self.open_slots(now),
            mean_service_time: self.times.overall(),
            slowness: self.pace.slowness(now),
            failing: count(failed) * 2 > OUTCOMES,
            leaving: self.refusal_now(now) == Some(Refusal::Draining),
            closed: self.refusal_now(now).is_some(),
        }
    }

    fn unqueue(&mut self, id: id::CallId) {
        self.waiting.retain(|w| w.id != id);
    }

    fn refuse(
        &mut self,
        id: id::CallId,
        refusal: Refusal,
        fingerprint: Option<u64>,
        out: &mut Vec<Output>,
    ) {
        self.records.set(id, State::Void(refusal), fingerprint);
        out.push(reply_not_run(id, refusal));
    }

    fn finished(&mut self, now: Duration, id: id::CallId, outcome: Outcome, out: &mut Vec<Output>) {
        let Some(running) = self.running.remove(&id) else {
            return;
        };
        match outcome {
            Outcome::Answered { bytes, failed } => {
                let took = now.saturating_sub(running.started);
                self.times
                    .record(&running.route, took * pace::USUAL / running.slowness);
                self.note_outcome(failed);
                let reply = if failed {
                    Reply::Failure
                } else {
                    Reply::Answer
                };
                out.push(Output::Reply(id, reply));
                self.settle(now, id, running.once, bytes, out);
            }
            Outcome::NotStarted(refusal) => {
                self.note_outcome(refusal == Refusal::Unreachable);
                self.refuse(id, refusal, None, out);
            }
            Outcome::Lost => {
                self.note_outcome(true);
                self.records.set(id, State::Lost, None);
                out.push(Output::Reply(id, Reply::Unknown(UnknownReason::TargetLost)));
            }
        }
    }

    fn note_outcome(&mut self, failed: bool) {
        self.outcomes.push_back(failed);
        if self.outcomes.len() > OUTCOMES as usize {
            self.outcomes.pop_front();
        }
    }
}

fn reply_not_run(id: id::CallId, refusal: Refusal) -> Output {
    Output::Reply(id, Reply::NotRun(refusal))
}

fn differs(earlier: Option<u64>, later: u64) -> bool {
    earlier.is_some_and(|earlier| earlier != later)
}

fn count(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
