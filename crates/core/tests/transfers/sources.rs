//! Which hosts a value is requested from, and how often.

use pollenrouter_core::membership::Transfer;
use rstest::rstest;

use crate::network::{Fate, KEY, Network, host};

/// Flush intervals until another host is asked that has the value, 1 s.
const OTHER_HOST_FLUSHES: u64 = 40;

struct Gone {
    /// What happens to messages to and from the host that announced the value first.
    fate: Fate,
    /// Flush intervals until it is gone.
    after: u64,
}

const SILENT: Gone = Gone {
    fate: Fate::Lose,
    after: 0,
};
const OUT_OF_REACH: Gone = Gone {
    fate: Fate::Fail,
    after: 0,
};

/// Guards against a host that waits for ever for one that is gone although another one has the value.
#[rstest]
#[case::silent(SILENT, 1, OTHER_HOST_FLUSHES)]
#[case::out_of_reach(OUT_OF_REACH, 1, 10)]
#[case::silent_in_mid_transfer(SILENT, 3, OTHER_HOST_FLUSHES)]
#[case::out_of_reach_in_mid_transfer(OUT_OF_REACH, 3, 10)]
fn a_value_is_fetched_from_another_host(
    #[case] gone: Gone,
    #[case] fetches_max: usize,
    #[case] flushes: u64,
) {
    let mut network = Network::new(3, 1, 7);
    let object = network.new_version(KEY);
    network.silent.insert(host(2));
    network.read(&host(0), object.clone());
    network.read(&host(1), object);
    network.run(2, |_| Fate::Deliver);
    network.silent.clear();
    network.announce(&host(0), &host(2), 1);
    network.announce(&host(1), &host(2), 1);
    network.run(gone.after, |_| Fate::Deliver);
    let mut fetches = 0;
    network.run(flushes, |envelope| {
        let is_fetch = matches!(envelope.transfer(), Some(Transfer::Fetch(_)));
        if envelope.to == host(0) && is_fetch {
            fetches += 1;
        }
        let is_gone = fetches >= fetches_max;
        if is_gone && (envelope.to == host(0) || envelope.from == host(0)) {
            gone.fate
        } else {
            Fate::Deliver
        }
    });
    assert!(fetches >= fetches_max, "{fetches}");
    assert_eq!(network.held(&host(2), KEY), 1);
}

/// Guards against a host that is asked at once, again and again, although none has the value, is
/// there, or has time.
#[rstest]
#[case::out_of_reach(1, Fate::Fail)]
#[case::all_out_of_reach(4, Fate::Fail)]
#[case::silent(1, Fate::Lose)]
#[case::all_silent(4, Fate::Lose)]
fn hosts_that_are_gone_are_not_asked_all_the_time(#[case] gone: usize, #[case] fate: Fate) {
    let mut network = Network::new(5, 1, 8);
    network.is_reliable = false;
    for n in 0..gone {
        network.announce(&host(n), &host(4), 9);
    }
    network.run(40, |_| fate);
    let fetches = network.sent[&host(4)].fetches;
    // All are asked once in each pause of 100 ms.
    assert!(fetches >= 2, "{fetches}");
    assert!(fetches <= 11 * gone, "{fetches} requests in a second");
}

/// Guards against requests without end to hosts that have announced a value and have lost it.
#[test]
fn hosts_that_no_longer_have_a_value_are_asked_once() {
    let mut network = Network::new(5, 1, 9);
    for n in 0..4 {
        network.announce(&host(n), &host(4), 9);
    }
    network.run(40, |_| Fate::Deliver);
    assert_eq!(network.sent[&host(4)].fetches, 4);
    network.publish(&host(0), KEY);
    network.run(40, |_| Fate::Deliver);
    assert!(network.all_have(KEY, 1));
}

/// Guards against requests without end to hosts that serve too many others.
#[rstest]
#[case::one(1)]
#[case::several(4)]
fn busy_hosts_are_not_asked_all_the_time(#[case] busy: usize) {
    let mut network = Network::new(5, 1, 10);
    for n in 0..busy {
        network.announce(&host(n), &host(4), 9);
    }
    network.run(40, |envelope| {
        if let Some(transfer) = envelope.transfer()
            && let Transfer::Unavailable { is_busy, .. } = transfer
        {
            *is_busy = true;
        }
        Fate::Deliver
    });
    let fetches = network.sent[&host(4)].fetches;
    assert!(fetches >= 2, "{fetches}");
    assert!(fetches <= 11 * busy, "{fetches} requests in a second");
}

/// Guards against requests as fast as a host answers them with empty parts.
#[test]
fn a_host_that_sends_nothing_is_not_asked_all_the_time() {
    let mut network = Network::new(2, 1, 21);
    network.publish(&host(0), KEY);
    network.run(40, |envelope| {
        if let Some(Transfer::Part(part)) = envelope.transfer() {
            part.bytes.clear();
        }
        Fate::Deliver
    });
    let fetches = network.sent[&host(1)].fetches;
    assert!(
        (1..=11).contains(&fetches),
        "{fetches} requests in a second"
    );
}

/// Guards against a value that is sent again and again if it never arrives as it was sent.
#[rstest]
#[case::one(1)]
#[case::several(3)]
fn a_value_that_never_matches_is_not_fetched_all_the_time(#[case] sources: usize) {
    let receiver = host(sources);
    let mut network = Network::new(sources + 1, 1, 11);
    let object = network.new_version(KEY);
    network.silent.insert(receiver.clone());
    for n in 0..sources {
        network.read(&host(n), object.clone());
    }
    network.run(40, |_| Fate::Deliver);
    network.silent.clear();
    network.sent.clear();
    for n in 0..sources {
        network.announce(&host(n), &receiver, 1);
    }
    network.run(40, |envelope| {
        if let Some(Transfer::Part(part)) = envelope.transfer() {
            part.value_hash ^= 1;
        }
        Fate::Deliver
    });
    let fetches = network.sent[&receiver].first_fetches;
    assert!(fetches >= 2, "{fetches}");
    assert!(fetches <= 11 * sources, "{fetches} transfers in a second");
}

/// Guards against a host that fetches each version that it has missed, one after the other.
#[rstest]
#[case::from_one_host(&[9])]
#[case::newest_announced_last(&[2, 3, 9])]
fn a_host_that_missed_many_versions_fetches_the_newest(#[case] versions: &[u64]) {
    let mut network = Network::new(5, 1, 12);
    network.publish(&host(0), KEY);
    network.run(40, |_| Fate::Deliver);
    network.silent.extend((0..5).map(host));
    for version in 2..=9 {
        let object = network.new_version(KEY);
        for (n, has) in versions.iter().enumerate() {
            if *has >= version {
                network.read(&host(n), object.clone());
            }
        }
    }
    network.run(2, |_| Fate::Lose);
    network.silent.clear();
    for (n, version) in versions.iter().enumerate() {
        network.announce(&host(n), &host(4), *version);
    }
    network.run(40, |_| Fate::Deliver);
    let had = &network.versions[&(host(4), KEY.into())];
    assert_eq!(had.last(), Some(&9));
    assert!(had.len() <= 3, "{had:?}");
}
