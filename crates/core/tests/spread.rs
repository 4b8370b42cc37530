//! Objects reach every daemon, through loss and views that differ, and no
//! daemon ever goes back to an older version.

use std::collections::{BTreeMap, VecDeque};

use pollenrouter_core::id::HostName;
use pollenrouter_core::membership::{Input, Member, Membership, Message, Output, WATCHERS};
use pollenrouter_core::replica::Object;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

struct Case {
    daemons: usize,
    /// Messages lost in a hundred.
    lost: u32,
    /// Rounds within which all daemons must have an object.
    rounds: usize,
}

/// Rounds without contact after which a daemon watches in the place of another.
const STAND_IN_AFTER: usize = 2;
/// Rounds without contact after which a daemon is reported.
const REPORT_AFTER: usize = 30;

const SMALL: Case = Case {
    daemons: 12,
    lost: 0,
    rounds: 10,
};

const FULL: Case = Case {
    daemons: 690,
    lost: 0,
    rounds: 16,
};

const LOSSY: Case = Case {
    daemons: 690,
    lost: 30,
    rounds: 16,
};

struct Fleet {
    daemons: BTreeMap<HostName, Membership>,
    rng: SmallRng,
    lost: u32,
    messages: usize,
}

fn host(at: usize) -> HostName {
    format!("host-{at}").into()
}

fn host_number(host: &HostName) -> usize {
    let number = host.strip_prefix("host-").and_then(|n| n.parse().ok());
    number.expect("host must have a number")
}

fn member(at: usize) -> Member {
    Member {
        host: host(at),
        failure_domain: format!("domain-{}", at % 4).into(),
        incarnation: at as u64,
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
        lost: case.lost,
        messages: 0,
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
        let mut work = VecDeque::from([(host.clone(), input)]);
        while let Some((at, input)) = work.pop_front() {
            let daemon = self.daemons.get_mut(&at).expect("daemon must exist");
            let before = daemon.replica().get("services/seats").map(|o| o.version);
            let outputs = daemon.step(input);
            let after = daemon.replica().get("services/seats").map(|o| o.version);
            assert!(
                after >= before,
                "{at} went back from {before:?} to {after:?}"
            );
            for output in outputs {
                if let Output::Send(to, message) = output {
                    self.messages += 1;
                    if self.rng.random_range(0..100) >= self.lost {
                        work.push_back((to, heard(&at, message, self.rng.random())));
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

    fn with_version(&self, version: u64) -> usize {
        let has = |d: &&Membership| d.replica().get("services/seats") == Some(&document(version));
        self.daemons.values().filter(has).count()
    }
}

fn heard(from: &HostName, message: Message, draw: u64) -> Input {
    Input::Heard(from.clone(), message, draw)
}

#[rstest]
#[case(SMALL)]
#[case(FULL)]
#[case(LOSSY)]
fn an_object_reaches_every_daemon(#[case] case: Case) {
    let mut fleet = fleet(&case);
    fleet.step(&host(0), Input::Read(vec![document(5)], 77));
    let at_once = fleet.with_version(5);
    let mut rounds = 0;
    while fleet.with_version(5) < case.daemons {
        rounds += 1;
        assert!(
            rounds <= case.rounds,
            "{} of {}",
            fleet.with_version(5),
            case.daemons
        );
        fleet.round();
    }
    println!(
        "{at_once} at once, all after {rounds} rounds, {} messages",
        fleet.messages
    );
}

/// A round is a second, and a configuration has to be in force within a few: what no
/// message lost must not wait for the rounds that repair losses.
#[rstest]
#[case(SMALL)]
#[case(FULL)]
fn news_reaches_every_daemon_before_the_next_round(#[case] case: Case) {
    let mut fleet = fleet(&case);
    for host in fleet.watchers() {
        fleet.step(&host, Input::Read(vec![document(5)], 77));
    }
    assert_eq!(fleet.with_version(5), case.daemons);
}

#[test]
fn an_older_version_changes_nothing() {
    let mut fleet = fleet(&SMALL);
    fleet.step(&host(0), Input::Read(vec![document(5)], 77));
    fleet.step(&host(7), Input::Read(vec![document(4)], 78));
    for _ in 0..SMALL.rounds {
        fleet.round();
    }
    assert_eq!(fleet.with_version(5), SMALL.daemons);
}

#[test]
fn a_few_daemons_of_each_domain_watch() {
    let fleet = fleet(&FULL);
    let watchers = fleet.daemons.values().filter(|d| d.is_watcher()).count();
    assert_eq!(watchers, 4 * WATCHERS);
}

/// Traffic between failure domains is paid for, and opening a connection costs more
/// than most messages.
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
        for output in out {
            if let Output::Send(to, _) = output
                && domain(&from) != domain(&to)
            {
                assert!(watchers.contains(&from), "{from} is no watcher");
                assert!(watchers.contains(&to), "{to} is no watcher");
            }
        }
    }
}

/// Both watchers of a domain are gone and not reported yet.
#[test]
fn others_stand_in_for_watchers_that_can_not_be_reached() {
    let mut fleet = fleet(&FULL);
    let gone: Vec<HostName> = fleet.watchers();
    for (host, daemon) in &mut fleet.daemons {
        if gone.contains(host) {
            continue;
        }
        for _ in 0..STAND_IN_AFTER {
            for lost in &gone {
                daemon.step(Input::Unreachable(lost.clone()));
            }
        }
    }
    for domain in 0..4 {
        let standing_in = fleet
            .watchers()
            .into_iter()
            .filter(|host| !gone.contains(host) && host_number(host) % 4 == domain);
        assert!(standing_in.count() > 0, "nobody watches in domain {domain}");
    }
    let host = fleet.watchers().into_iter().find(|h| !gone.contains(h));
    let back = host.and_then(|host| fleet.daemons.get_mut(&host));
    let back = back.expect("a daemon must stand in");
    for host in gone {
        back.step(Input::Heard(host, Message::default(), 79));
    }
    assert!(!back.is_watcher(), "the duty must end with its cause");
}

#[test]
fn only_the_daemon_before_reports_one_that_stays_unreachable() {
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
