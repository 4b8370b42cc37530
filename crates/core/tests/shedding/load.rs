//! Plays a load at one gate without a network, and counts what its callers get.

use std::collections::BTreeMap;
use std::time::Duration;

use pollenrouter_core::call::{Offer, Refusal, Reply, WhenSlow};
use pollenrouter_core::gate::{Announcement, Gate, Input, LoadReport, Outcome, Output};
use pollenrouter_core::id::CallId;
use pollenrouter_core::service::{Limits, ProbeBudget, Service};
use pollenrouter_core::shedding::Shed;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

pub const SERVICE: &str = "board";
pub const INCARNATION: u64 = 7;
pub const SLOTS: u32 = 8;
/// Time between entry and gate, one way.
pub const ONE_WAY: Duration = Duration::from_millis(3);
const STEP: Duration = Duration::from_micros(500);
const NORMAL_SLOWNESS: u32 = 100;

/// Calls of one kind, which arrive at random times.
#[derive(Clone, Copy, Debug)]
pub struct Source {
    pub route: &'static str,
    pub organisation: &'static str,
    pub rank: u8,
    /// Calls per second.
    pub rate: f64,
    pub from: Duration,
    pub until: Duration,
    /// Mean work; the work of a call is at random between half of it and one and a half times it.
    pub work: Duration,
    pub objective: Duration,
    pub deadline: Duration,
    /// Whether the calls are made by callers, and not by other services.
    pub by_callers: bool,
}

/// Target and gate.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    pub shed: Shed,
    pub queue: u32,
    /// Slow periods: how often they begin, how long they last, and their slowness in percent.
    pub slow: Option<(Duration, Duration, u32)>,
    /// How much longer work takes if all slots are in use, percent.
    pub contention: u32,
    pub seed: u64,
}

impl Site {
    pub fn new(shed: Shed) -> Self {
        Self {
            shed,
            queue: 1000,
            slow: None,
            contention: 0,
            seed: 1,
        }
    }
}

/// Counts of calls by what their callers get.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub arrived: u64,
    pub in_time: u64,
    pub late: u64,
    pub refused: u64,
    pub displaced: u64,
    pub slowest_refusal: Duration,
    /// Time that refused calls have waited, in total.
    pub refusal_time: Duration,
}

struct Arrival {
    at: Duration,
    source: usize,
    work: Duration,
}

fn arrivals(sources: &[Source], rng: &mut StdRng) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (index, source) in sources.iter().enumerate() {
        let mut at = source.from;
        loop {
            let draw: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
            at += Duration::from_secs_f64(-draw.ln() / source.rate);
            if at >= source.until {
                break;
            }
            arrivals.push(Arrival {
                at,
                source: index,
                work: source.work.mul_f64(rng.random_range(0.5..1.5)),
            });
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

/// Plays the load until all calls have ended; the counts of each source.
pub fn play(site: &Site, sources: &[Source]) -> Vec<Counts> {
    let mut rng = StdRng::seed_from_u64(site.seed);
    let calls = arrivals(sources, &mut rng);
    let mut counts = vec![Counts::default(); sources.len()];
    let mut gate = gate(site);
    let mut next = 0;
    let mut ends: BTreeMap<(Duration, u64), CallId> = BTreeMap::new();
    let mut now = Duration::ZERO;
    while next < calls.len() || !gate.is_idle() {
        let mut inputs = vec![Input::Tick];
        while ends
            .first_key_value()
            .is_some_and(|((at, _), _)| *at <= now)
        {
            let id = ends.pop_first().map(|(_, id)| id);
            inputs.extend(id.map(|id| Input::Finished(id, ANSWERED)));
        }
        while calls.get(next).is_some_and(|call| call.at + ONE_WAY <= now) {
            let source = &sources[calls[next].source];
            counts[calls[next].source].arrived += 1;
            inputs.push(Input::Offer(offer(next as u64, source)));
            next += 1;
        }
        let mut pending: Vec<Output> = Vec::new();
        for input in inputs {
            pending.extend(gate.step(now, input));
        }
        let slowness = slowness(site, now);
        while let Some(output) = pending.pop() {
            match output {
                Output::Start { id, .. } => {
                    let used = u32::try_from(ends.len()).unwrap_or(u32::MAX).min(SLOTS);
                    let contention = NORMAL_SLOWNESS + site.contention * used / SLOTS;
                    let work = calls[usize::try_from(id.seq).unwrap_or_default()].work;
                    let took = work * slowness / NORMAL_SLOWNESS * contention / NORMAL_SLOWNESS;
                    ends.insert((now + took, id.seq), id);
                }
                Output::RequestLoad => {
                    let report = LoadReport { slowness };
                    pending.extend(gate.step(now, Input::LoadReported(report)));
                }
                Output::Reply(id, reply) => {
                    let call = &calls[usize::try_from(id.seq).unwrap_or_default()];
                    let took = (now + ONE_WAY).saturating_sub(call.at);
                    counts[call.source].record(reply, took, &sources[call.source]);
                }
                _ => {}
            }
        }
        now += STEP;
    }
    counts
}

pub const ANSWERED: Outcome = Outcome::Answered {
    bytes: 1,
    failed: false,
};

fn slowness(site: &Site, now: Duration) -> u32 {
    match site.slow {
        Some((every, lasts, slowness))
            if now.as_micros() % every.as_micros() < lasts.as_micros() =>
        {
            slowness
        }
        _ => NORMAL_SLOWNESS,
    }
}

impl Counts {
    fn record(&mut self, reply: Reply, took: Duration, source: &Source) {
        match reply {
            Reply::Answer if took <= source.objective => self.in_time += 1,
            Reply::Answer => self.late += 1,
            _ => {
                self.refused += 1;
                self.displaced += u64::from(reply == Reply::NotRun(Refusal::Displaced));
                self.slowest_refusal = self.slowest_refusal.max(took);
                self.refusal_time += took;
            }
        }
    }

    /// Adds the counts of another source.
    pub fn plus(self, other: &Self) -> Self {
        Self {
            arrived: self.arrived + other.arrived,
            in_time: self.in_time + other.in_time,
            late: self.late + other.late,
            refused: self.refused + other.refused,
            displaced: self.displaced + other.displaced,
            slowest_refusal: self.slowest_refusal.max(other.slowest_refusal),
            refusal_time: self.refusal_time + other.refusal_time,
        }
    }
}

fn gate(site: &Site) -> Gate {
    // The target announces itself only once, so its announcement must outlast the test.
    let mut gate = Gate::new(INCARNATION, 1 << 16)
        .with_announcement_ttl(Duration::from_hours(1))
        .with_load_requests();
    let announcement = Announcement {
        service: SERVICE.into(),
        slots: SLOTS,
        ..Announcement::default()
    };
    gate.step(Duration::ZERO, Input::Announced(announcement));
    let document = Service {
        name: SERVICE.into(),
        internal_callers: Vec::new(),
        routes: Vec::new(),
        limits: Limits {
            depth_levels: 0,
            queue: site.queue,
            shed: site.shed,
            ..Limits::default()
        },
        probe_budget: ProbeBudget::default(),
        cold_start: None,
    };
    gate.step(Duration::ZERO, Input::Document(document));
    gate
}

fn offer(seq: u64, source: &Source) -> Offer {
    Offer {
        incarnation: INCARNATION,
        id: CallId {
            entry: 1,
            seq,
            nonce: seq,
        },
        service: SERVICE.into(),
        route: source.route.into(),
        depth: 0,
        organisation: source.organisation.into(),
        rank: source.rank,
        remaining: source.deadline,
        objective: source.objective,
        sheddable: source.by_callers,
        when_slow: WhenSlow::Start,
        at_most_once: false,
        fingerprint: seq,
        issued_by_sender: true,
        target_notice: None,
    }
}
