//! Transfers of large values at their limits: full links, slow paths, unreachable hosts, version 0.

use pollenrouter_core::membership::{Input, Member, Membership, Output, Transfer};
use pollenrouter_core::replica::Object;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const KEY: &str = "tables/main";

fn text(bytes: usize, seed: u64) -> String {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut text = String::new();
    while text.len() < bytes {
        text += &format!("{:016x}\n", rng.random::<u64>());
    }
    text
}

fn object(version: u64, value: &str) -> Object {
    Object {
        key: KEY.into(),
        version,
        value: value.into(),
    }
}

fn daemon(host: &str, hosts: usize) -> Membership {
    let member = |host: String| Member {
        host: host.as_str().into(),
        failure_domain: "a".into(),
        incarnation: 1,
    };
    let mut daemon = Membership::new(member(host.to_owned()));
    let members = (0..hosts).map(|n| member(format!("host-{n}"))).collect();
    daemon.step(Input::Members(members));
    daemon
}

/// Guards against a value that no host can fetch, because a change of version 0, which unreadable
/// configurations have, is taken for the whole value.
#[test]
fn a_change_of_version_0_is_not_taken_for_the_whole_value() {
    let (unreadable, fixed) = (text(100 << 10, 4), text(100 << 10, 4) + "x");
    let mut source = daemon("host-0", 2);
    let mut other = daemon("host-1", 2);
    source.step(Input::Read(vec![object(0, &unreadable)], 0));
    other.step(Input::Read(vec![object(0, &unreadable)], 0));
    let mut to_other = source.step(Input::Read(vec![object(1, &fixed)], 0));
    for _ in 0..400 {
        to_other.extend(source.step(Input::Flush(0)));
        let mut to_source = other.step(Input::Flush(0));
        while !to_other.is_empty() || !to_source.is_empty() {
            for output in std::mem::take(&mut to_other) {
                if let Output::SendTransfer(_, transfer) = output {
                    let input = Input::TransferReceived("host-0".into(), transfer, 0);
                    to_source.extend(other.step(input));
                }
            }
            for output in std::mem::take(&mut to_source) {
                if let Output::SendTransfer(_, transfer) = output {
                    let input = Input::TransferReceived("host-1".into(), transfer, 0);
                    to_other.extend(source.step(input));
                }
            }
        }
    }
    let held = other.replica().get(KEY).map(|object| object.version);
    assert_eq!(held, Some(1), "the fixed value has not arrived within 10 s");
}
