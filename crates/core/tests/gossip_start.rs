//! A start of all daemons at the same moment, in which the object of each reaches all others.

use std::collections::{BTreeMap, VecDeque};

use pollenrouter_core::id::HostName;
use pollenrouter_core::membership::{Input, Member, Membership, Output};
use pollenrouter_core::replica::Object;
use rstest::rstest;

struct Case {
    daemons: usize,
    /// Messages that a daemon sends on average until all have all objects.
    messages_max: usize,
    /// Flush intervals until then.
    flushes_max: usize,
}

/// A link of 10 Mbit/s carries this many messages in the first half second.
const SMALL: Case = Case {
    daemons: 78,
    messages_max: 100,
    flushes_max: 8,
};
const LARGE: Case = Case {
    daemons: 300,
    messages_max: 150,
    flushes_max: 12,
};

fn host(number: usize) -> HostName {
    format!("host-{number:03}").into()
}

fn member(number: usize) -> Member {
    Member {
        host: host(number),
        failure_domain: format!("domain-{}", number % 3).into(),
        incarnation: 1,
    }
}

/// Guards against links that are full after a start of all hosts, so that no connection between
/// daemons could be opened for seconds: each of the updates was forwarded in messages of its own.
#[rstest]
#[case::small(SMALL)]
#[case::large(LARGE)]
fn a_start_of_all_daemons_takes_few_messages(#[case] case: Case) {
    let members: Vec<Member> = (0..case.daemons).map(member).collect();
    let mut daemons = BTreeMap::new();
    let mut inputs = VecDeque::new();
    for (number, own) in members.iter().enumerate() {
        let mut daemon = Membership::new(own.clone());
        daemon.step(Input::Members(members.clone()));
        daemons.insert(own.host.clone(), daemon);
        let object = Object {
            key: format!("members/{}", own.host).into(),
            version: 1 + number as u64,
            value: "serving".into(),
        };
        inputs.push_back((own.host.clone(), Input::Read(vec![object], number as u64)));
    }
    let (mut sent, mut flushes) = (0, 0);
    loop {
        while let Some((at, input)) = inputs.pop_front() {
            let daemon = daemons.get_mut(&at).expect("daemon must exist");
            for output in daemon.step(input) {
                if let Output::Send(to, message) = output {
                    sent += 1;
                    let draw = sent as u64;
                    inputs.push_back((to, Input::Received(at.clone(), message, draw)));
                }
            }
        }
        let has_all = |daemon: &Membership| daemon.replica().versions().len() == case.daemons;
        if daemons.values().all(has_all) {
            break;
        }
        flushes += 1;
        assert!(
            flushes <= case.flushes_max,
            "objects must reach all daemons"
        );
        let hosts = daemons.keys().cloned();
        inputs.extend(hosts.map(|host| (host, Input::Flush(flushes as u64))));
    }
    let each = sent / case.daemons;
    println!("{each} messages a daemon, {flushes} flushes");
    assert!(each <= case.messages_max, "{each} messages a daemon");
}
