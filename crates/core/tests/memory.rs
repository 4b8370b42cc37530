//! The byte budget: bounded, given back on every path, and nothing waits for ever.

use std::collections::BTreeMap;
use std::time::Duration;

use pollenrouter_core::memory::{Budget, Class, Id, SLOW_BYTES_PER_S, STANDSTILL_MAX, WAIT_MAX};
use proptest::collection::vec;
use proptest::prelude::{Strategy, any, prop_oneof, proptest};
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

const LIMIT: u64 = 1000;
/// Buffers between the process and a party.
const BUFFERED: u64 = 400_000;
/// Maximum size of one share.
const SHARE_MAX: u64 = 300;

/// What somebody does with a share, chosen by its place among the open ones.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// With the class, and whether there is a party.
    Open(bool, bool),
    Grow(usize, u64),
    Shrink(usize, u64),
    /// A share that waits comes to want no more than it holds.
    WantLess(usize),
    Close(usize),
    Move(usize, u64),
    Wait(u64),
}

struct Share {
    class: Class,
    bytes: u64,
    wanted: u64,
    has_party: bool,
}

/// The budget, and what its users hold and wait for.
struct Model {
    budget: Budget,
    now: Duration,
    shares: BTreeMap<Id, Share>,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (any::<bool>(), any::<bool>()).prop_map(|(class, party)| Step::Open(class, party)),
        (any::<usize>(), 1..SHARE_MAX).prop_map(|(at, to)| Step::Grow(at, to)),
        (any::<usize>(), 1..SHARE_MAX).prop_map(|(at, by)| Step::Shrink(at, by)),
        any::<usize>().prop_map(Step::WantLess),
        any::<usize>().prop_map(Step::Close),
        (any::<usize>(), 1..100_000_u64).prop_map(|(at, bytes)| Step::Move(at, bytes)),
        (1..4000_u64).prop_map(Step::Wait),
    ]
}

impl Model {
    fn new() -> Self {
        Self {
            budget: Budget::new(LIMIT),
            now: Duration::ZERO,
            shares: BTreeMap::new(),
        }
    }

    fn pick(&self, at: usize) -> Option<Id> {
        let len = self.shares.len().max(1);
        self.shares.keys().nth(at % len).copied()
    }

    fn play(&mut self, step: Step) {
        match step {
            Step::Open(is_request, has_party) => {
                let class = Class::ALL[usize::from(!is_request)];
                let id = self.budget.open();
                if has_party {
                    self.budget.add_party(self.now, class, id);
                }
                let share = Share {
                    class,
                    bytes: 0,
                    wanted: 0,
                    has_party,
                };
                self.shares.insert(id, share);
            }
            Step::Grow(at, to) => {
                let id = self.pick(at);
                if let Some(share) = id.and_then(|id| self.shares.get_mut(&id)) {
                    share.wanted = share.wanted.max(to);
                }
            }
            Step::Shrink(at, by) => {
                let id = self.pick(at);
                if let Some(share) = id.and_then(|id| self.shares.get_mut(&id)) {
                    let by = by.min(share.bytes);
                    // What waits for more does not shrink.
                    if share.wanted <= share.bytes {
                        share.bytes -= by;
                        share.wanted = share.bytes;
                        self.budget.give(share.class, by);
                    }
                }
            }
            Step::WantLess(at) => {
                let id = self.pick(at);
                if let Some((id, share)) = id.and_then(|id| Some((id, self.shares.get_mut(&id)?))) {
                    share.wanted = share.bytes;
                    assert!(self.budget.take(self.now, share.class, id, 0));
                }
            }
            Step::Close(at) => {
                if let Some(id) = self.pick(at) {
                    self.close(id);
                }
            }
            Step::Move(at, bytes) => {
                if let Some(id) = self.pick(at) {
                    self.budget.record_progress(self.now, id, bytes);
                }
            }
            Step::Wait(ms) => self.now += Duration::from_millis(ms),
        }
        self.retry();
    }

    fn close(&mut self, id: Id) {
        if let Some(share) = self.shares.remove(&id) {
            self.budget.close(self.now, share.class, id, share.bytes);
            self.budget.remove_party(id);
        }
    }

    /// Everybody who waits asks again, as after a notification.
    fn retry(&mut self) {
        for (id, share) in &mut self.shares {
            let more = share.wanted.saturating_sub(share.bytes);
            if more > 0 && self.budget.take(self.now, share.class, *id, more) {
                share.bytes = share.wanted;
            }
        }
    }

    fn check(&self) {
        let held: u64 = self.shares.values().map(|share| share.bytes).sum();
        assert_eq!(self.budget.used(), held);
        // One share of each class may exceed the budget.
        assert!(held <= LIMIT + 2 * SHARE_MAX, "{held} bytes in use");
        for class in Class::ALL {
            let of_class = || self.shares.values().filter(|share| share.class == class);
            let waits = of_class().any(|share| share.wanted > share.bytes);
            assert_eq!(self.budget.is_short(class), waits, "{class:?}");
            let holds = of_class().any(|share| share.bytes > 0);
            assert!(holds || !waits, "{class:?} waits although nothing is held");
        }
    }
}

fn config(cases: u32) -> Config {
    Config {
        cases,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20_261_206),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config(2000))]

    /// Guards against bytes that are lost or counted twice, and a budget that grows.
    #[test]
    fn is_bounded_and_given_back(steps in vec(step(), 1..80)) {
        let mut model = Model::new();
        for step in steps {
            model.play(step);
            model.check();
        }
        while let Some(id) = model.pick(0) {
            model.close(id);
            model.retry();
            model.check();
        }
        assert_eq!(model.budget.used(), 0);
    }

    /// Guards against shares that wait for ever: if nothing moves, parties give way until nobody
    /// waits who has one. Shares without a party end at a deadline of their own.
    #[test]
    fn nothing_waits_for_ever(steps in vec(step(), 1..80)) {
        let mut model = Model::new();
        for step in steps {
            model.play(step);
        }
        // Longer than it takes all of them to give way one after the other.
        for _ in 0..2000 {
            model.now += Duration::from_millis(100);
            let ids: Vec<_> = model.shares.keys().copied().collect();
            for id in ids {
                if model.budget.must_give_way(model.now, id) {
                    model.close(id);
                    model.retry();
                }
            }
        }
        let waits = |share: &&Share| share.has_party && share.wanted > share.bytes;
        assert_eq!(model.shares.values().filter(waits).count(), 0);
        let ids: Vec<_> = model.shares.keys().copied().collect();
        for id in ids {
            model.close(id);
            model.retry();
        }
        for class in Class::ALL {
            assert!(!model.budget.is_short(class), "{class:?}");
        }
    }
}

/// Opens a share with a party that takes all of the class.
fn fill(budget: &mut Budget, class: Class) -> Id {
    let id = budget.open();
    budget.add_party(Duration::ZERO, class, id);
    assert!(budget.take(Duration::ZERO, class, id, LIMIT));
    id
}

/// Guards against a budget that is too small for a single request or answer.
#[test]
fn one_share_of_each_class_always_has_room() {
    let mut budget = Budget::new(1);
    for class in Class::ALL {
        fill(&mut budget, class);
        let id = budget.open();
        assert!(!budget.take(Duration::ZERO, class, id, 1), "{class:?}");
    }
}

/// Guards against a caller at an ordinary speed that is cut off because others wait.
#[test]
fn a_party_at_an_ordinary_speed_does_not_give_way() {
    let mut budget = Budget::new(LIMIT);
    let sender = fill(&mut budget, Class::Request);
    let waiting = budget.open();
    let mut now = Duration::ZERO;
    assert!(!budget.take(now, Class::Request, waiting, 10));
    for _ in 0..100 {
        now += Duration::from_millis(500);
        budget.record_progress(now, sender, SLOW_BYTES_PER_S);
        assert!(!budget.must_give_way(now, sender));
    }
}

/// Guards against slow parties that keep memory for which others wait.
#[test]
fn the_slowest_gives_way_first() {
    let mut budget = Budget::new(LIMIT);
    let slower = fill(&mut budget, Class::Request);
    let slow = budget.open();
    budget.add_party(Duration::ZERO, Class::Request, slow);
    let waiting = budget.open();
    assert!(!budget.take(Duration::ZERO, Class::Request, waiting, 10));
    // Both move all the time.
    for second in 1..=10 {
        let now = Duration::from_secs(second);
        budget.record_progress(now, slow, 10_000);
        budget.record_progress(now, slower, 1000);
    }
    let now = Duration::from_secs(10);
    assert!(!budget.must_give_way(now, slow));
    assert!(budget.must_give_way(now, slower));
}

/// Guards against answers that wait for ever, and keep the slots of the target, behind answers that
/// nobody takes.
#[test]
fn the_newest_answer_gives_way_while_nobody_takes_answers() {
    let mut budget = Budget::new(LIMIT);
    let held = fill(&mut budget, Class::Answer);
    budget.remove_party(held);
    // Exceeds the budget, so that no other one may.
    assert!(budget.take(Duration::ZERO, Class::Answer, held, 1));
    let taker = budget.open();
    budget.add_buffered_party(Duration::ZERO, Class::Answer, taker, BUFFERED);
    budget.record_progress(Duration::ZERO, taker, BUFFERED);
    let ids = [budget.open(), budget.open(), budget.open()];
    for id in ids {
        budget.add_party(Duration::ZERO, Class::Answer, id);
    }
    for step in 0..=4 {
        let now = Duration::from_millis(500) * step;
        assert!(ids.map(|id| budget.take(now, Class::Answer, id, 10)) == [false; 3]);
    }
    let early = Duration::from_millis(1900);
    assert!(!budget.must_give_way(early, ids[2]));
    assert!(budget.must_give_way(STANDSTILL_MAX, ids[2]));
    budget.close(STANDSTILL_MAX, Class::Answer, ids[2], 0);
    budget.remove_party(ids[2]);
    // Room that goes from one to the next frees no slot.
    let now = STANDSTILL_MAX + Duration::from_millis(100);
    budget.close(now, Class::Answer, held, LIMIT + 1);
    assert!(budget.take(now, Class::Answer, ids[0], LIMIT + 1));
    let now = now + Duration::from_millis(100);
    assert!(!budget.take(now, Class::Answer, ids[1], 10));
    assert!(budget.must_give_way(now, ids[1]));
}

/// Guards against answers that are refused although they would find room behind those that are
/// taken at an ordinary speed.
#[test]
fn an_answer_waits_while_another_is_taken_at_an_ordinary_speed() {
    let mut budget = Budget::new(LIMIT);
    let held = fill(&mut budget, Class::Answer);
    budget.remove_party(held);
    // Exceeds the budget, so that no other one may.
    assert!(budget.take(Duration::ZERO, Class::Answer, held, 1));
    let taker = budget.open();
    budget.add_buffered_party(Duration::ZERO, Class::Answer, taker, BUFFERED);
    budget.record_progress(Duration::ZERO, taker, BUFFERED);
    let waiting = budget.open();
    budget.add_party(Duration::ZERO, Class::Answer, waiting);
    for step in 1..100 {
        let now = Duration::from_millis(500) * step;
        budget.record_progress(now, taker, SLOW_BYTES_PER_S);
        assert!(!budget.take(now, Class::Answer, waiting, 10));
        assert!(!budget.must_give_way(now, waiting), "{now:?}");
        assert!(!budget.must_give_way(now, taker), "{now:?}");
    }
}

/// Guards against newcomers that wait for ever behind requests that have arrived and wait for
/// their target.
#[test]
fn the_newest_gives_way_when_nothing_moves() {
    let mut budget = Budget::new(LIMIT);
    let complete = fill(&mut budget, Class::Request);
    budget.remove_party(complete);
    let ids = [budget.open(), budget.open()];
    for id in ids {
        budget.add_party(Duration::ZERO, Class::Request, id);
        assert!(!budget.take(Duration::ZERO, Class::Request, id, 10));
    }
    let early = WAIT_MAX + Duration::from_millis(100);
    assert!(!budget.must_give_way(early, ids[1]));
    assert!(!budget.must_give_way(STANDSTILL_MAX, ids[0]));
    assert!(budget.must_give_way(STANDSTILL_MAX, ids[1]));
}
