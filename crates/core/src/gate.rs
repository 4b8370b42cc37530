//! The gate: decides which calls start at one target, and when. No other gate starts
//! calls there.
//!
//! Safety rests on three rules. A start is recorded before the call is handed to the
//! target. A refusal is recorded as void before it is sent. An id that is void, expired
//! or bound to another incarnation of the gate is never started.

mod admission;
mod answer_cache;
mod availability;
mod cold;
mod completion;
mod dispatch;
mod known_calls;
mod pacing;
pub mod quarantine;
mod speed;
pub mod statement;
pub mod target;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::call::{self, Refusal, Reply};
use crate::fingerprint;
use crate::id;
use crate::queue;
use crate::records::{self, State};
use crate::service;
use crate::service_times;
use crate::shedding::fairness::Fairness;
use crate::shedding::rank_load::RankLoad;

/// A target that has not announced itself for this long gets no new calls.
pub const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(3);
/// Cached answers are evicted after this long.
pub const ANSWER_TTL: Duration = Duration::from_mins(10);
/// Maximum total size of the cached answers, bytes; less on a host with little memory.
pub const ANSWERS_MAX_BYTES: u64 = 16 << 20;
/// Number of ids that a gate remembers.
pub const RECORDS_MAX: usize = 1 << 16;
/// Number of latest outcomes from which a gate tells whether its target is failing.
const OUTCOME_WINDOW: u32 = 8;

/// What a target announces about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Announcement {
    /// Incarnation of the target that announces itself.
    pub incarnation: target::TargetIncarnation,
    /// Number that grows with each announcement of an incarnation; 0 if not stated.
    pub sequence: u64,
    /// Service that the target serves.
    pub service: id::ServiceName,
    /// Number of calls that it runs concurrently.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// Time that it takes to warm up after its first announcement.
    pub cold_start: Duration,
}

/// Load that a target reports with an answer or on request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LoadReport {
    /// How long work takes at present, in percent of the usual time.
    pub slowness: u32,
}

/// Outcome of a call at the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The target answered.
    Answered {
        /// Memory that the answer takes if it is cached, bytes.
        bytes: u64,
        /// Whether the answer is a server error.
        failed: bool,
    },
    /// The call did not run: no byte of it was sent, or the target refused to run it.
    NotStarted(Refusal),
    /// The target answered, and there was no memory for the answer.
    NotKept,
    /// The connection broke after the request may have been sent.
    Lost,
    /// The target ended while it may have been running the call.
    Crashed,
}

/// Event that a gate handles.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// An entry offers a call.
    Offer(call::Offer),
    /// An entry asks for the reply to an id; an id that has not started becomes void.
    Query(call::Query),
    /// The caller disconnected.
    Withdraw(call::Query),
    /// A call at the target ended.
    Finished(id::CallId, Outcome),
    /// The target announced itself.
    Announced(Announcement),
    /// An incarnation of a target is leaving or gone, whatever it announces later.
    Departed(target::TargetIncarnation),
    /// The target stated something about itself with an answer.
    Stated(statement::Statement),
    /// The target reported its load.
    LoadReported(LoadReport),
    /// The target did not report its load on request.
    LoadNotReported,
    /// A connection to this target was refused or broke off: the target may have restarted.
    ConnectionFailed(target::TargetIncarnation),
    /// Departures before this daemon's start are known; calls may start from now on.
    DeparturesLoaded,
    /// A service document came into force.
    Document(service::Service),
    /// The requests that must not be sent to the target, or only one at a time.
    Quarantine(quarantine::Trials),
    /// Whether the failure domain of the gate is evacuated.
    Evacuated(bool),
    /// The daemon is about to stop.
    Drain,
    /// Time has passed.
    Tick,
}

/// Action that the embedder performs.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send the call to the target, unless its deadline has passed by then.
    Start {
        /// The call.
        id: id::CallId,
        /// When it must be answered.
        deadline: Duration,
    },
    /// Request a load report from the target.
    RequestLoad,
    /// Tell the target that the answer is no longer needed.
    Cancel(id::CallId),
    /// Reply to every sender that waits for this id.
    Reply(id::CallId, Reply),
    /// Reply [`Refusal::WrongRequest`] to the sender of this input only.
    ReplyWrongRequest(id::CallId),
    /// Cache the answer of this id for resends.
    CacheAnswer(id::CallId),
    /// Evict the cached answer of this id.
    EvictAnswer(id::CallId),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Running {
    route: id::RouteName,
    organisation: id::OrganisationName,
    rank: u8,
    /// Service time that was expected at the start.
    expected: Duration,
    at_most_once: bool,
    is_long: bool,
    started: Duration,
    /// Slowness of the target at the start, percent.
    slowness: u32,
}

/// State of one gate.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Gate {
    incarnation: id::Incarnation,
    document: Option<service::Service>,
    targets: target::Targets,
    speed_tracker: speed::SpeedTracker,
    pacing: pacing::Pacing,
    cold: cold::Cold,
    announcement_ttl: Duration,
    departures_loaded: bool,
    draining: bool,
    evacuated: bool,
    quarantined: quarantine::Trials,
    /// Rank of the most urgent calls that were delayed recently, and when the latest was.
    latest_delay: Option<(u8, Duration)>,
    waiting: Vec<queue::WaitingCall>,
    running: BTreeMap<id::CallId, Running>,
    records: records::Records,
    /// Ids of the cached answers, with size and time of caching, oldest first.
    cached_answers: VecDeque<(id::CallId, u64, Duration)>,
    cached_bytes: u64,
    answers_max_bytes: u64,
    service_times: service_times::ServiceTimes,
    /// Recent use of the target by organisations.
    fairness: Fairness,
    /// Recent use of the target by calls of each rank, with [`Shed::All`].
    rank_load: RankLoad,
    /// Whether each of the latest calls failed.
    outcomes: VecDeque<bool>,
}

impl Gate {
    /// Creates a gate that remembers up to `records_max` ids.
    #[must_use]
    pub fn new(incarnation: id::Incarnation, records_max: usize) -> Self {
        Self {
            incarnation,
            document: None,
            targets: target::Targets::default(),
            speed_tracker: speed::SpeedTracker::default(),
            pacing: pacing::Pacing::default(),
            cold: cold::Cold::default(),
            announcement_ttl: ANNOUNCEMENT_TTL,
            departures_loaded: true,
            draining: false,
            evacuated: false,
            quarantined: quarantine::Trials::new(),
            latest_delay: None,
            waiting: Vec::new(),
            running: BTreeMap::new(),
            records: records::Records::new(records_max),
            cached_answers: VecDeque::new(),
            cached_bytes: 0,
            answers_max_bytes: ANSWERS_MAX_BYTES,
            service_times: service_times::ServiceTimes::default(),
            fairness: Fairness::default(),
            rank_load: RankLoad::default(),
            outcomes: VecDeque::new(),
        }
    }

    /// Sets how long an announcement of the target stays valid.
    #[must_use]
    pub fn with_announcement_ttl(mut self, ttl: Duration) -> Self {
        self.announcement_ttl = ttl;
        self
    }

    /// Requests a load report from the target before a start if the latest one is stale.
    #[must_use]
    pub fn with_load_requests(mut self) -> Self {
        self.speed_tracker = speed::SpeedTracker::with_load_requests();
        self
    }

    /// Starts nothing before [`Input::DeparturesLoaded`].
    #[must_use]
    pub fn awaiting_departures(mut self) -> Self {
        self.departures_loaded = false;
        self
    }

    /// Handles one input and returns the actions to perform, in order.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        match input {
            Input::Offer(offer) => self.handle_offer(now, &offer, &mut out),
            Input::Query(query) => self.handle_query(query, &mut out),
            Input::Withdraw(query) => self.handle_withdrawal(query, &mut out),
            Input::Finished(id, outcome) => self.handle_finished(now, id, outcome, &mut out),
            Input::Announced(announcement) => self.apply_announcement(now, announcement),
            Input::Departed(incarnation) => self.targets.apply_departure(incarnation),
            Input::Stated(statement) => self.apply_statement(now, &statement),
            Input::LoadReported(report) => {
                let is_cold = self.states_cold(now);
                self.speed_tracker.record_report(now, report, is_cold);
            }
            Input::LoadNotReported => self.speed_tracker.record_missing_report(now),
            Input::DeparturesLoaded => self.departures_loaded = true,
            Input::Document(document) => self.document = Some(document),
            Input::Quarantine(trials) => self.set_quarantined(trials, &mut out),
            Input::ConnectionFailed(target) => self.apply_connection_failure(now, &target),
            Input::Evacuated(evacuated) => self.set_evacuated(now, evacuated),
            Input::Drain => self.draining = true,
            Input::Tick => self.expire_answers(now, &mut out),
        }
        self.refuse_expired(now, &mut out);
        if let Some(speed) = self.target_speed(now, &mut out) {
            self.refuse_slow(now, speed, &mut out);
            self.start_calls(now, speed, &mut out);
        }
        self.evict_records(&mut out);
        out
    }

    /// The incarnation of the daemon that runs this gate.
    #[must_use]
    pub fn incarnation(&self) -> id::Incarnation {
        self.incarnation
    }

    /// Whether no call waits or runs.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Whether a call waits for a slot.
    #[must_use]
    pub fn is_waiting(&self, id: id::CallId) -> bool {
        self.waiting.iter().any(|w| w.id == id)
    }

    /// Number of ids remembered.
    #[must_use]
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    /// Digest of the request with this id.
    #[must_use]
    pub fn fingerprint(&self, id: id::CallId) -> Option<id::Fingerprint> {
        match self.records.lookup(id) {
            records::Lookup::Record(record) => record.fingerprint,
            records::Lookup::New | records::Lookup::Expired => None,
        }
    }

    /// Incarnation of the target that announced itself last.
    #[must_use]
    pub fn target_incarnation(&self) -> Option<&target::TargetIncarnation> {
        self.targets
            .current()
            .map(|target| &target.announcement.incarnation)
    }

    /// Whether an incarnation of a target is known to be leaving or gone.
    #[must_use]
    pub fn has_departed(&self, incarnation: &target::TargetIncarnation) -> bool {
        self.targets.has_departed(incarnation)
    }

    fn remove_waiting(&mut self, id: id::CallId) {
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
}

fn reply_not_run(id: id::CallId, refusal: Refusal) -> Output {
    Output::Reply(id, Reply::NotRun(refusal))
}

/// Whether an id was recorded for another request. Who calls does not matter: the same caller may
/// come through a daemon that does not know its service.
fn is_mismatch(recorded: Option<id::Fingerprint>, received: id::Fingerprint) -> bool {
    recorded.is_some_and(|recorded| !fingerprint::is_same_request(recorded, received))
}

fn saturating_u32(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
