//! Transfers of large values at their limits: full links, slow paths, unreachable hosts, version 0.

use std::collections::BTreeMap;
use std::time::Duration;

use pollenrouter_core::delta;
use pollenrouter_core::membership::{
    FLUSH_INTERVAL, Fetch, Input, Member, Membership, Output, ROUND_INTERVAL, Transfer,
};
use pollenrouter_core::replica::Object;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const KEY: &str = "tables/main";
const LINE_BYTES: usize = 17;
/// Rate of a slow link, bytes a second.
const LINK_RATE: u32 = 10_000_000 / 8;
/// Time after which a connection counts as silent.
const SILENT_AFTER: Duration = Duration::from_millis(400);
/// Rounds after which an unreachable successor may be reported.
const REPORT_AFTER: u32 = 30;

fn text(bytes: usize, seed: u64) -> String {
    let mut rng = SmallRng::seed_from_u64(seed);
    let lines = (0..bytes / LINE_BYTES).map(|_| format!("{:016x}\n", rng.random::<u64>()));
    lines.collect()
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

/// Guards against links that are full for longer than the check of silence, because transfers of
/// one part do not count as uploads.
#[test]
fn changes_of_one_part_do_not_fill_a_link() {
    let (base, added) = (text(200 << 10, 1), text(24 << 10, 2));
    let mut source = daemon("host-0", 80);
    source.step(Input::Read(vec![object(1, &base)], 0));
    source.step(Input::Read(vec![object(2, &format!("{base}{added}"))], 0));
    let fetch = Fetch {
        key: KEY.into(),
        held: Some(1),
        held_hash: Some(delta::hash(base.as_bytes())),
        encoding: 0,
        offset: 0,
    };
    let mut sent = 0;
    for n in 1..80 {
        let host = format!("host-{n}").as_str().into();
        let input = Input::TransferReceived(host, Transfer::Fetch(fetch.clone()), 0);
        for output in source.step(input) {
            if let Output::SendTransfer(_, Transfer::Part(part)) = output {
                assert_eq!(part.bytes.len() as u64, part.encoded_bytes, "one part");
                sent += part.bytes.len();
            }
        }
    }
    let sent = u32::try_from(sent).expect("few bytes must be sent");
    let occupied = Duration::from_secs(1) * sent / LINK_RATE;
    assert!(occupied < SILENT_AFTER, "{sent} bytes for {occupied:?}");
}

/// Guards against transfers that never end where a request takes longer than the patience, though
/// no message is lost.
#[test]
fn a_slow_path_does_not_keep_a_value_away() {
    const DELAY_FLUSHES: u64 = 10;
    let mut daemons = BTreeMap::from([
        ("host-0".to_owned(), daemon("host-0", 2)),
        ("host-1".to_owned(), daemon("host-1", 2)),
    ]);
    let mut in_flight: Vec<(u64, String, Input)> = Vec::new();
    let value = text(100 << 10, 3);
    let mut parts = 0;
    for now in 0..1200_u64 {
        let (due, later): (Vec<_>, Vec<_>) = in_flight.into_iter().partition(|(at, ..)| *at <= now);
        in_flight = later;
        let mut inputs: Vec<(String, Input)> = due.into_iter().map(|(_, h, i)| (h, i)).collect();
        inputs.extend(daemons.keys().map(|host| (host.clone(), Input::Flush(now))));
        if now % 40 == 0 {
            inputs.extend(daemons.keys().map(|host| (host.clone(), Input::Round(now))));
        }
        if now == 1 {
            inputs.push(("host-0".to_owned(), Input::Read(vec![object(1, &value)], 0)));
        }
        for (host, input) in inputs {
            for output in daemons.get_mut(&host).expect("known").step(input) {
                let from = host.as_str().into();
                let (to, input) = match output {
                    Output::Send(to, message) => (to, Input::Received(from, message, 0)),
                    Output::SendTransfer(to, transfer) => {
                        parts += usize::from(matches!(transfer, Transfer::Part(_)));
                        (to, Input::TransferReceived(from, transfer, 0))
                    }
                    _ => continue,
                };
                in_flight.push((now + DELAY_FLUSHES, to.to_string(), input));
            }
        }
        if daemons["host-1"].replica().get(KEY).is_some() {
            return;
        }
    }
    panic!("no value within 30 s; {parts} parts were sent");
}

/// Guards against a host that is reported as gone long before it has missed the rounds, because
/// each failed request of a transfer counts as one.
#[test]
fn requests_for_a_value_do_not_count_as_missed_rounds() {
    const CONNECT_TIMEOUT_FLUSHES: u32 = 10;
    let mut own = daemon("host-0", 9);
    let round = own.step(Input::Round(0));
    let Some(Output::Send(successor, _)) = round.first().cloned() else {
        panic!("{round:?}");
    };
    let announce = Transfer::Announce(BTreeMap::from([(KEY.into(), 1)]));
    let mut failing = Vec::new();
    let record = |out: Vec<Output>, now: u32, failing: &mut Vec<(u32, Input)>| {
        for output in out {
            let input = match output {
                Output::SendTransfer(to, _) => Input::TransferUndelivered(to),
                Output::Send(to, _) => Input::Unreachable(to),
                Output::Report(member) => {
                    let after = FLUSH_INTERVAL * now;
                    assert!(
                        after >= ROUND_INTERVAL * (REPORT_AFTER - 1),
                        "{} reported as gone after {after:?}",
                        member.host
                    );
                    continue;
                }
                _ => continue,
            };
            if matches!(&input, Input::TransferUndelivered(to) | Input::Unreachable(to) if *to == successor)
            {
                failing.push((now + CONNECT_TIMEOUT_FLUSHES, input));
            }
        }
    };
    let out = own.step(Input::TransferReceived(successor.clone(), announce, 0));
    record(out, 0, &mut failing);
    for now in 1..2000 {
        if now % 40 == 0 {
            record(own.step(Input::Round(0)), now, &mut failing);
        }
        let (due, later) = failing.into_iter().partition(|(at, _)| *at <= now);
        failing = later;
        let due: Vec<(u32, Input)> = due;
        for (_, input) in due {
            record(own.step(input), now, &mut failing);
        }
        record(own.step(Input::Flush(0)), now, &mut failing);
    }
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
