//! Random faults of messages and hosts, and of what hosts announce.

use pollenrouter_core::membership::{Membership, Transfer};
use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, any, prop_oneof, proptest};
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::network::{Envelope, FLUSH_STEPS, Fate, KEY, Network, host};

const HOSTS: usize = 6;
const KEYS: [&str; 2] = [KEY, "tables/other"];
/// Time after which a change has to be in force everywhere, 16 s.
const SETTLED_FLUSHES: u64 = 640;
/// Flush intervals in which nothing may be requested any more, 2 s.
const QUIET_FLUSHES: u64 = 80;

#[derive(Clone, Copy, Debug)]
enum Action {
    /// A host reads a new version of a value.
    Publish(usize, usize),
    Restart(usize),
    /// Messages to and from a host are lost.
    Silence(usize),
    /// Messages to a host cannot be delivered.
    Cut(usize),
    Return(usize),
    /// A host announces the newest version to another, whether it has it or not.
    Announce(usize, usize),
    Run(u64),
}

/// How often something happens to a message, percent.
#[derive(Clone, Copy, Debug, Default)]
struct Rates {
    lost: u32,
    failed: u32,
    late: u32,
    repeated: u32,
    corrupted: u32,
    cut_short: u32,
}

fn action() -> impl Strategy<Value = Action> {
    let any_host = || 0..HOSTS;
    prop_oneof![
        3 => (any_host(), 0..KEYS.len()).prop_map(|(h, key)| Action::Publish(h, key)),
        1 => any_host().prop_map(Action::Restart),
        1 => any_host().prop_map(Action::Silence),
        1 => any_host().prop_map(Action::Cut),
        2 => any_host().prop_map(Action::Return),
        1 => (any_host(), any_host()).prop_map(|(from, to)| Action::Announce(from, to)),
        4 => (1..30_u64).prop_map(Action::Run),
    ]
}

fn rates() -> impl Strategy<Value = Rates> {
    let rate = || prop_oneof![Just(0), 0..10_u32];
    let rates = (rate(), rate(), rate(), rate(), rate(), rate());
    rates.prop_map(
        |(lost, failed, late, repeated, corrupted, cut_short)| Rates {
            lost,
            failed,
            late,
            repeated,
            corrupted,
            cut_short,
        },
    )
}

impl Rates {
    fn apply(&self, envelope: &mut Envelope, rng: &mut SmallRng) -> Fate {
        let mut happens = |percent| rng.random_range(0..100) < percent;
        if happens(self.lost) {
            return Fate::Lose;
        }
        if happens(self.failed) {
            return Fate::Fail;
        }
        let (is_corrupted, is_short) = (happens(self.corrupted), happens(self.cut_short));
        let (is_late, is_repeated) = (happens(self.late), happens(self.repeated));
        if let Some(Transfer::Part(part)) = envelope.transfer() {
            let at = rng.random_range(0..part.bytes.len());
            if is_corrupted {
                part.bytes[at] ^= 1;
            }
            if is_short {
                part.bytes.truncate(at);
            }
        }
        let delay = rng.random_range(0..40 * FLUSH_STEPS);
        match (is_late, is_repeated) {
            (true, _) => Fate::Delay(delay),
            (_, true) => Fate::Repeat(delay),
            _ => Fate::Deliver,
        }
    }
}

struct World {
    network: Network,
    rates: Rates,
    cut: Vec<usize>,
    rng: SmallRng,
}

impl World {
    fn play(&mut self, action: Action) {
        let network = &mut self.network;
        match action {
            Action::Publish(n, key) => {
                network.publish(&host(n), KEYS[key]);
            }
            Action::Restart(n) => network.restart(&host(n)),
            Action::Silence(n) => {
                network.silent.insert(host(n));
            }
            Action::Cut(n) => self.cut.push(n),
            Action::Return(n) => {
                network.silent.remove(&host(n));
                self.cut.retain(|other| *other != n);
            }
            Action::Announce(from, to) => {
                let newest = network.newest(KEY);
                if newest > 0 {
                    network.announce(&host(from), &host(to), newest);
                }
            }
            Action::Run(flushes) => {
                let (rates, cut, rng) = (self.rates, &self.cut, &mut self.rng);
                for _ in 0..flushes {
                    network.sent.clear();
                    network.run(1, |envelope| {
                        if cut.iter().any(|n| envelope.to == host(*n)) {
                            return Fate::Fail;
                        }
                        rates.apply(envelope, rng)
                    });
                    check_sent(network);
                }
            }
        }
    }
}

/// Guards against a busy loop: in each interval a host begins few transfers.
fn check_sent(network: &Network) {
    for (host, sent) in &network.sent {
        // From each other host once, and again after a repeated or late answer.
        let max = 2 * KEYS.len() * (HOSTS - 1);
        assert!(sent.first_fetches <= max, "{host}: {sent:?}");
    }
}

fn config(cases: u32) -> Config {
    Config {
        cases,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20_261_207),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config(128))]

    /// Guards against values that are not the published ones, older ones that return, hosts that
    /// wait for ever or never stop to ask, after any faults.
    #[test]
    fn all_hosts_have_the_newest_values_after_faults(
        rates in rates(),
        actions in vec(action(), 1..60),
        domains in 1..3_usize,
        seed in any::<u64>(),
    ) {
        let mut network = Network::new(HOSTS, domains, seed);
        network.is_reliable = false;
        let rng = SmallRng::seed_from_u64(seed);
        let mut world = World { network, rates, cut: Vec::new(), rng };
        for action in actions {
            world.play(action);
        }
        let mut network = world.network;
        network.silent.clear();
        network.read_by_watchers();
        network.run(SETTLED_FLUSHES, |_| Fate::Deliver);
        for key in KEYS {
            let newest = network.newest(key);
            let held: Vec<u64> = (0..HOSTS).map(|n| network.held(&host(n), key)).collect();
            assert!(network.all_have(key, newest), "{key} {newest}: {held:?}");
            let is_announced = |daemon: &Membership| daemon.announced(key).is_some();
            assert!(!network.daemons.values().any(is_announced), "{key} {newest}");
        }
        network.sent.clear();
        network.run(QUIET_FLUSHES, |_| Fate::Deliver);
        assert!(network.sent.is_empty(), "{:?}", network.sent);
    }

    /// Guards against two requests for a value at the same time, which hold a link up.
    #[test]
    fn a_host_requests_one_part_at_a_time(
        actions in vec(action(), 1..40),
        seed in any::<u64>(),
    ) {
        let mut network = Network::new(HOSTS, 2, seed);
        for action in actions {
            match action {
                Action::Publish(n, key) => {
                    network.publish(&host(n), KEYS[key]);
                }
                Action::Announce(from, to) => {
                    let newest = network.newest(KEY);
                    network.announce(&host(from), &host(to), newest);
                }
                Action::Run(flushes) => network.run(flushes, |_| Fate::Deliver),
                Action::Restart(_) | Action::Silence(_) | Action::Cut(_) | Action::Return(_) => {}
            }
        }
    }
}
