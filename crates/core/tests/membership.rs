//! Gossip delivers objects to every daemon despite lost messages, versions never decrease,
//! and watching and reporting are done by the daemons responsible for them.

use std::collections::{BTreeMap, VecDeque};

use pollenrouter_core::id::HostName;
use pollenrouter_core::membership::{Input, Member, Membership, Message, Output};
use pollenrouter_core::replica::Object;
use pollenrouter_core::watching::WATCHERS_PER_DOMAIN;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

struct Case {
    daemons: usize,
    /// Lost messages, percent.
    loss_percent: u32,
    /// Maximum number of rounds until all daemons have an object.
    max_rounds: usize,
}

/// Rounds without contact after which a daemon is reported.
const REPORT_AFTER: usize = 30;

const SMALL: Case = Case {
    daemons: 12,
    loss_percent: 0,
    max_rounds: 10,
};

const FULL: Case = Case {
    daemons: 690,
    loss_percent: 0,
    max_rounds: 16,
};

const LOSSY: Case = Case {
    daemons: 690,
    loss_percent: 30,
    max_rounds: 16,
};

struct Fleet {
    daemons: BTreeMap<HostName, Membership>,
    rng: SmallRng,
    loss_percent: u32,
    messages_sent: usize,
}

fn host(number: usize) -> HostName {
    format!("host-{number}").into()
}

fn host_number(host: &HostName) -> usize {
    let number = host.strip_prefix("host-").and_then(|n| n.parse().ok());
    number.expect("host must have a number")
}

fn member(number: usize) -> Member {
    Member {
        host: host(number),
        failure_domain: format!("domain-{}", number % 4).into(),
        incarnation: number as u64,
    }
}

fn fleet(case: &Case) -> Fleet {
    let members: Vec<Member> = (0..case.daemons).map(member).collect();
    let mut daemons = BTreeMap::new();
    for own in &members {
        let mut daemon = Membership::new(own.clone());
        daemon.step(Input::Members(members.clone()));
        daemons.insert(own.host.clone(), daemon);
    }
    Fleet {
        daemons,
        rng: SmallRng::seed_from_u64(1),
        loss_percent: case.loss_percent,
        messages_sent: 0,
    }
}

fn document(version: u64) -> Object {
    Object {
        key: "services/seats".into(),
        version,
        value: format!("document {version}").into(),
    }
}

impl Fleet {
    fn step(&mut self, host: &HostName, input: Input) {
        let mut inputs = VecDeque::from([(host.clone(), input)]);
        while let Some((host, input)) = inputs.pop_front() {
            let daemon = self.daemons.get_mut(&host).expect("daemon must exist");
            let before = daemon.replica().get("services/seats").map(|o| o.version);
            let outputs = daemon.step(input);
            let after = daemon.replica().get("services/seats").map(|o| o.version);
            assert!(
                after >= before,
                "version at {host} decreased from {before:?} to {after:?}"
            );
            for output in outputs {
                if let Output::Send(to, message) = output {
                    self.messages_sent += 1;
                    if self.rng.random_range(0..100) >= self.loss_percent {
                        inputs.push_back((to, received(&host, message, self.rng.random())));
                    }
                }
            }
        }
    }

    fn round(&mut self) {
        let hosts: Vec<HostName> = self.daemons.keys().cloned().collect();
        for host in hosts {
            let draw = self.rng.random();
            self.step(&host, Input::Round(draw));
        }
    }

    fn watchers(&self) -> Vec<HostName> {
        let watchers = self.daemons.iter().filter(|(_, d)| d.is_watcher());
        watchers.map(|(host, _)| host.clone()).collect()
    }

    fn count_with_version(&self, version: u64) -> usize {
        let has_version =
            |d: &&Membership| d.replica().get("services/seats") == Some(&document(version));
        self.daemons.values().filter(has_version).count()
    }
}

fn received(from: &HostName, message: Message, draw: u64) -> Input {
    Input::Received(from.clone(), message, draw)
}

#[rstest]
#[case(SMALL)]
#[case(FULL)]
#[case(LOSSY)]
fn an_object_reaches_every_daemon(#[case] case: Case) {
    let mut fleet = fleet(&case);
    fleet.step(&host(0), Input::Read(vec![document(5)], 77));
    let reached_immediately = fleet.count_with_version(5);
    let mut rounds = 0;
    while fleet.count_with_version(5) < case.daemons {
        rounds += 1;
        assert!(
            rounds <= case.max_rounds,
            "object reached {} of {} daemons",
            fleet.count_with_version(5),
            case.daemons
        );
        fleet.round();
    }
    println!(
        "{reached_immediately} daemons reached immediately, all after {rounds} rounds, {} messages",
        fleet.messages_sent
    );
}

/// A configuration must be active within a few seconds, and a round takes one second: if no
/// message is lost, an update must not wait for the rounds that repair losses.
#[rstest]
#[case(SMALL)]
#[case(FULL)]
fn an_update_reaches_every_daemon_before_the_next_round(#[case] case: Case) {
    let mut fleet = fleet(&case);
    for host in fleet.watchers() {
        fleet.step(&host, Input::Read(vec![document(5)], 77));
    }
    assert_eq!(fleet.count_with_version(5), case.daemons);
}

#[test]
fn an_older_version_is_ignored() {
    let mut fleet = fleet(&SMALL);
    fleet.step(&host(0), Input::Read(vec![document(5)], 77));
    fleet.step(&host(7), Input::Read(vec![document(4)], 78));
    for _ in 0..SMALL.max_rounds {
        fleet.round();
    }
    assert_eq!(fleet.count_with_version(5), SMALL.daemons);
}

#[test]
fn every_domain_has_watchers() {
    let fleet = fleet(&FULL);
    let watchers = fleet.daemons.values().filter(|d| d.is_watcher()).count();
    assert_eq!(watchers, 4 * WATCHERS_PER_DOMAIN);
}

/// Traffic between failure domains is billed, and opening a connection costs more than
/// sending most messages.
#[test]
fn messages_cross_domains_only_between_watchers() {
    let mut fleet = fleet(&FULL);
    let watchers: Vec<HostName> = fleet.watchers();
    let domain = |host: &HostName| host_number(host) % 4;
    let document = vec![document(5)];
    let hosts: Vec<HostName> = fleet.daemons.keys().cloned().collect();
    for from in hosts {
        let daemon = fleet.daemons.get_mut(&from).expect("daemon must exist");
        let mut out = daemon.step(Input::Read(document.clone(), 77));
        out.extend(daemon.step(Input::Round(78)));
        out.extend((0..2).flat_map(|_| daemon.step(Input::Beat(true))));
        for output in out {
            if let Output::Send(to, _) | Output::SendHeartbeat(to, _) = output
                && domain(&from) != domain(&to)
            {
                assert!(watchers.contains(&from), "sender {from} is not a watcher");
                assert!(watchers.contains(&to), "recipient {to} is not a watcher");
            }
        }
    }
}

/// Guards against a daemon whose peers are all out of reach and that hears of a change in none of
/// the rounds, though a watcher still reaches it.
#[test]
fn a_daemon_that_cannot_reach_a_peer_asks_a_watcher() {
    let mut fleet = fleet(&FULL);
    let watcher = fleet.watchers().swap_remove(0);
    let domain = host_number(&watcher) % 4;
    let hosts = fleet.daemons.keys().cloned();
    let mut others = hosts.filter(|h| host_number(h) % 4 == domain && *h != watcher);
    let (own, lost) = (others.next(), others.next());
    let (own, lost) = own.zip(lost).expect("domain must have more hosts");
    let daemon = fleet.daemons.get_mut(&own).expect("daemon must exist");
    let heartbeat = Message::heartbeat(true);
    daemon.step(received(&watcher, heartbeat, 1));
    let asked = |out: &[Output]| {
        let is_asked = |output: &&Output| matches!(output, Output::Send(to, _) if *to == watcher);
        out.iter().filter(is_asked).count()
    };
    (0..2).for_each(|_| drop(daemon.step(Input::Beat(false))));
    let unreachable = || Input::Unreachable(lost.clone());
    assert_eq!(asked(&daemon.step(unreachable())), 1);
    // Several messages fail together.
    assert_eq!(asked(&daemon.step(unreachable())), 0);
    (0..2).for_each(|_| drop(daemon.step(Input::Beat(false))));
    assert_eq!(asked(&daemon.step(unreachable())), 1);
    (0..5).for_each(|_| drop(daemon.step(Input::Beat(false))));
    assert_eq!(
        asked(&daemon.step(unreachable())),
        0,
        "the watcher is not heard"
    );
}

#[test]
fn only_the_predecessor_reports_an_unreachable_daemon() {
    let fleet = fleet(&FULL);
    let mut reports = 0;
    for mut daemon in fleet.daemons.into_values() {
        for _ in 0..REPORT_AFTER {
            let out = daemon.step(Input::Unreachable(host(9)));
            reports += out
                .iter()
                .filter(|o| matches!(o, Output::Report(_)))
                .count();
        }
    }
    assert_eq!(reports, 1);
}

/// Guards against a starting daemon that sends a request for each message it receives, each of
/// which brings further messages.
#[test]
fn a_starting_daemon_requests_missing_objects_from_each_host_once_a_round() {
    let mut fleet = fleet(&SMALL);
    let starting = fleet.daemons.get_mut(&host(0)).expect("daemon must exist");
    let requests = |outputs: Vec<Output>| outputs.len();
    let first = requests(starting.step(Input::Sync));
    assert!(first > 0, "the first request must be sent");
    let repeated: usize = (0..100).map(|_| requests(starting.step(Input::Sync))).sum();
    assert_eq!(repeated, 0, "requests in the same round");
    starting.step(Input::Round(0));
    assert_eq!(requests(starting.step(Input::Sync)), first, "next round");
}
