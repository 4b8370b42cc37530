//! What a transfer costs the hosts that have a value, and what a host keeps for it.

use std::collections::BTreeMap;

use pollenrouter_core::delta;
use pollenrouter_core::membership::{Fetch, Input, Membership, Output, PART_BYTES, Transfer};

use crate::network::{Fate, KEY, Network, host};

/// Hosts that may fetch a value from one at the same time.
const UPLOADS_MAX: usize = 8;
/// Versions before the newest one that later ones are sent as changes of.
const EARLIER_MAX: u64 = 3;

fn fetch(network: &mut Network, from: &str, held: u64, held_hash: u64) -> Transfer {
    let fetch = Fetch {
        key: KEY.into(),
        held: Some(held),
        held_hash: Some(held_hash),
        encoding: 0,
        offset: 0,
    };
    let input = Input::TransferReceived(from.into(), Transfer::Fetch(fetch), 0);
    let daemon = network.daemons.get_mut(&host(0)).expect("host must exist");
    let transfer = daemon
        .step(input)
        .into_iter()
        .find_map(|output| match output {
            Output::SendTransfer(_, transfer) => Some(transfer),
            _ => None,
        });
    transfer.expect("a request must be answered")
}

/// Guards against links that are full for longer than the check of silence, because all hosts
/// fetch a value from the first one that has it.
#[test]
fn a_host_serves_few_others_at_the_same_time() {
    let mut network = Network::new(20, 1, 13);
    network.publish(&host(0), KEY);
    let mut counts = (0, 0);
    for n in 1..20 {
        match fetch(&mut network, &host(n), 0, 0) {
            Transfer::Part(_) => counts.0 += 1,
            Transfer::Unavailable { is_busy: true, .. } => counts.1 += 1,
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(counts, (UPLOADS_MAX, 19 - UPLOADS_MAX));
    // Those that stop asking do not keep the others out for ever.
    network.silent.extend((1..20).map(host));
    network.run(40, |_| Fate::Deliver);
    let next = fetch(&mut network, "host-19", 0, 0);
    assert!(matches!(next, Transfer::Part(_)), "{next:?}");
}

/// Guards against hosts that never get their turn at the only one that has a value.
#[test]
fn all_hosts_get_a_value_that_one_host_has() {
    let mut network = Network::new(60, 1, 14);
    network.publish(&host(0), KEY);
    for n in 1..60 {
        network.announce(&host(0), &host(n), 1);
    }
    // Nobody else announces the value, so that all of them need the first host.
    network.run(640, |envelope| match envelope.transfer() {
        Some(Transfer::Announce(_)) | None => Fate::Lose,
        Some(_) => Fate::Deliver,
    });
    assert!(network.all_have(KEY, 1));
}

/// Guards against memory that grows with each version of a large value, and with hosts that begin
/// transfers and go away.
#[test]
fn memory_does_not_grow_with_versions() {
    let mut network = Network::new(2, 1, 15);
    let mut hashes = BTreeMap::from([(0, 0)]);
    let mut kept = Vec::new();
    for version in 1..=24 {
        let object = network.new_version(KEY);
        hashes.insert(version, delta::hash(object.value.as_bytes()));
        network.read(&host(0), object);
        for back in 1..=6.min(version) {
            let held = version - back;
            let from = format!("gone-{}", version % 8);
            fetch(&mut network, &from, held, hashes[&held]);
        }
        network.run(21, |envelope| match envelope.transfer() {
            Some(Transfer::Part(part)) if part.offset > 0 => Fate::Lose,
            _ => Fate::Deliver,
        });
        kept.push(network.daemons.values().map(size).collect::<Vec<usize>>());
    }
    for (host, size) in kept[23].iter().enumerate() {
        let earlier = kept[7][host];
        assert!(
            *size <= earlier + earlier / 4,
            "host {host}: {earlier}, then {size}"
        );
    }
    let base = |network: &mut Network, back: u64| {
        let held = 24 - back;
        match fetch(network, "host-1", held, hashes[&held]) {
            Transfer::Part(part) => part.base,
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(base(&mut network, EARLIER_MAX), Some(24 - EARLIER_MAX));
    assert_eq!(base(&mut network, EARLIER_MAX + 1), None);
}

/// Size of what a daemon holds, as it is printed; shared parts count each time.
fn size(daemon: &Membership) -> usize {
    format!("{daemon:?}").len()
}

/// Guards against parts that occupy a slow link for longer than the check of silence.
#[test]
fn parts_are_not_larger_than_the_maximum() {
    let mut network = Network::new(2, 1, 16);
    network.publish(&host(0), KEY);
    network.run(20, |envelope| {
        if let Some(Transfer::Part(part)) = envelope.transfer() {
            assert!(part.bytes.len() <= PART_BYTES);
            assert!(part.offset + part.bytes.len() as u64 <= part.encoded_bytes);
        }
        Fate::Deliver
    });
    assert_eq!(network.held(&host(1), KEY), 1);
}
