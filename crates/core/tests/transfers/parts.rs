//! What hosts make of parts that are wrong, late, or belong to another version.

use std::collections::BTreeSet;

use pollenrouter_core::delta;
use pollenrouter_core::membership::{Fetch, Input, Output, Part, Transfer};
use rstest::rstest;

use crate::network::{Envelope, FLUSH_STEPS, Fate, KEY, Network, host};

/// Flush intervals within which a value is fetched again after one failure, 1.5 s.
const RECOVERY_FLUSHES: u64 = 60;
/// Flush intervals within which a value is fetched if no request has to be given up, 375 ms.
const PROMPT_FLUSHES: u64 = 15;

struct Case {
    /// Changes the part with this number, or says what happens to it.
    tamper: fn(&mut Part, nth: usize) -> Fate,
    /// Parts of the first change to which it applies.
    applies_to: std::ops::Range<usize>,
}

fn flip(part: &mut Part) -> Fate {
    let middle = part.bytes.len() / 2;
    part.bytes[middle] ^= 0x55;
    Fate::Deliver
}

const CORRUPTED: Case = Case {
    tamper: |part, _| flip(part),
    applies_to: 0..1,
};
const LAST_CORRUPTED: Case = Case {
    tamper: |part, _| flip(part),
    applies_to: 1..2,
};
const CUT_SHORT: Case = Case {
    tamper: |part, _| {
        part.bytes.truncate(100);
        Fate::Deliver
    },
    applies_to: 0..1,
};
const EMPTY: Case = Case {
    tamper: |part, _| {
        part.bytes.clear();
        Fate::Deliver
    },
    applies_to: 0..1,
};
const OTHER_HASH: Case = Case {
    tamper: |part, _| {
        part.value_hash ^= 1;
        Fate::Deliver
    },
    applies_to: 0..9,
};
const SHORTER: Case = Case {
    tamper: |part, _| {
        part.value_bytes -= 1;
        Fate::Deliver
    },
    applies_to: 0..9,
};
/// The receiver never had that version.
const UNKNOWN_BASE: Case = Case {
    tamper: |part, _| {
        part.base = Some(77);
        Fate::Deliver
    },
    applies_to: 0..9,
};
const LOST: Case = Case {
    tamper: |_, _| Fate::Lose,
    applies_to: 0..1,
};
const LAST_LOST: Case = Case {
    tamper: |_, _| Fate::Lose,
    applies_to: 1..2,
};
const REPEATED: Case = Case {
    tamper: |_, nth| Fate::Repeat(nth as u64 % 3),
    applies_to: 0..9,
};
/// Later than the receiver waits.
const LATE: Case = Case {
    tamper: |_, _| Fate::Delay(12 * 25),
    applies_to: 0..1,
};

/// Guards against a value that is not the published one, and against a host that stays without.
#[rstest]
#[case::corrupted(CORRUPTED)]
#[case::last_corrupted(LAST_CORRUPTED)]
#[case::cut_short(CUT_SHORT)]
#[case::empty(EMPTY)]
#[case::other_hash(OTHER_HASH)]
#[case::shorter(SHORTER)]
#[case::unknown_base(UNKNOWN_BASE)]
#[case::lost(LOST)]
#[case::last_lost(LAST_LOST)]
#[case::repeated(REPEATED)]
#[case::late(LATE)]
fn a_wrong_part_delays_the_value_but_does_not_change_it(#[case] case: Case) {
    let mut network = Network::new(2, 1, 1);
    network.publish(&host(0), KEY);
    network.run(20, |_| Fate::Deliver);
    let version = network.publish(&host(0), KEY);
    network.is_reliable = false;
    let mut seen = 0;
    network.run(RECOVERY_FLUSHES, |envelope| {
        let Some(Transfer::Part(part)) = envelope.transfer() else {
            return Fate::Deliver;
        };
        seen += 1;
        if case.applies_to.contains(&(seen - 1)) && part.base.is_some() {
            (case.tamper)(part, seen)
        } else {
            Fate::Deliver
        }
    });
    assert!(seen >= 2, "the change must have several parts, not {seen}");
    assert_eq!(network.held(&host(1), KEY), version);
}

/// Guards against a transfer that combines parts of two versions, or starts anew for each of them.
#[rstest]
#[case::sender_keeps_running(false)]
#[case::sender_restarts(true)]
fn a_version_that_changes_meanwhile_is_fetched_whole(#[case] restarts: bool) {
    let mut network = Network::new(2, 1, 2);
    network.publish(&host(0), KEY);
    let mut parts = 0;
    while parts < 2 {
        network.run(1, |envelope| {
            parts += usize::from(matches!(envelope.transfer(), Some(Transfer::Part(_))));
            if parts > 2 {
                Fate::Delay(FLUSH_STEPS)
            } else {
                Fate::Deliver
            }
        });
    }
    assert_eq!(network.held(&host(1), KEY), 0);
    if restarts {
        network.restart(&host(0));
    }
    let version = network.publish(&host(0), KEY);
    network.run(PROMPT_FLUSHES, |_| Fate::Deliver);
    assert_eq!(network.held(&host(1), KEY), version);
}

/// Guards against a change that is decoded with another text than it was encoded with: the two
/// hosts have the same version with different texts.
#[test]
fn a_change_of_another_text_of_the_same_version_is_not_sent() {
    let mut network = Network::new(2, 1, 3);
    network.publish(&host(0), KEY);
    network.publish(&host(0), KEY);
    let held = |held_hash| Fetch {
        key: KEY.into(),
        held: Some(1),
        held_hash,
        encoding: 0,
        offset: 0,
    };
    let bases = [None, Some(1)].map(|hash| first_part(&mut network, held(hash)).base);
    assert_eq!(bases, [None, None]);
}

fn first_part(network: &mut Network, fetch: Fetch) -> Part {
    let daemon = network.daemons.get_mut(&host(0)).expect("host must exist");
    let input = Input::TransferReceived("host-1".into(), Transfer::Fetch(fetch), 0);
    let outputs = daemon.step(input);
    let part = outputs.into_iter().find_map(|output| match output {
        Output::SendTransfer(_, Transfer::Part(part)) => Some(part),
        _ => None,
    });
    part.expect("a part must be sent")
}

/// Guards against a host that, if a change does not lead to the value, requests the change for ever.
#[test]
fn the_whole_value_is_fetched_if_a_change_does_not_lead_to_it() {
    let mut network = Network::new(2, 1, 4);
    network.publish(&host(0), KEY);
    network.run(20, |_| Fate::Deliver);
    let version = network.publish(&host(0), KEY);
    let mut wholes = 0;
    network.run(RECOVERY_FLUSHES, |envelope: &mut Envelope| {
        if let Some(Transfer::Part(part)) = envelope.transfer() {
            if part.base.is_none() {
                wholes += 1;
            } else {
                part.value_hash ^= 1;
            }
        }
        Fate::Deliver
    });
    assert!(wholes > 0);
    assert_eq!(network.held(&host(1), KEY), version);
}

/// Guards against memory that is filled by a sender that states a size beyond the maximum.
#[test]
fn parts_of_a_value_that_is_too_large_are_not_kept() {
    let mut network = Network::new(2, 1, 20);
    network.publish(&host(0), KEY);
    network.run(PROMPT_FLUSHES, |envelope| {
        if let Some(Transfer::Part(part)) = envelope.transfer() {
            part.encoded_bytes = delta::VALUE_MAX_BYTES + 1;
        }
        Fate::Deliver
    });
    assert_eq!(network.sent[&host(1)].fetches, 1);
}

/// Guards against a table that is sent twice because a repeated part is taken for the next one.
#[rstest]
#[case::at_once(0)]
#[case::after_the_next_one(3)]
fn a_repeated_part_does_not_begin_another_transfer(#[case] delay: u64) {
    let mut network = Network::new(2, 1, 17);
    network.is_reliable = false;
    network.publish(&host(0), KEY);
    let mut repeated = BTreeSet::new();
    network.run(RECOVERY_FLUSHES, |envelope| match envelope.transfer() {
        Some(Transfer::Part(part)) if repeated.insert(part.offset) => Fate::Repeat(delay),
        _ => Fate::Deliver,
    });
    assert!(repeated.len() >= 3, "{repeated:?}");
    assert_eq!(network.held(&host(1), KEY), 1);
    assert_eq!(network.sent[&host(1)].first_fetches, 1);
}

/// Guards against a transfer that begins again and again over a slow link, although parts arrive.
#[test]
fn a_transfer_that_is_slow_is_not_given_up() {
    let mut network = Network::new(2, 1, 22);
    network.publish(&host(0), KEY);
    let mut delayed = BTreeSet::new();
    network.run(RECOVERY_FLUSHES, |envelope| match envelope.transfer() {
        Some(Transfer::Part(part)) if delayed.insert(part.offset) => Fate::Delay(8 * FLUSH_STEPS),
        _ => Fate::Deliver,
    });
    assert_eq!(network.held(&host(1), KEY), 1);
    assert_eq!(network.sent[&host(1)].first_fetches, 1);
}

/// Guards against changes that are sent whole for good once one of them did not lead to the value.
#[test]
fn the_next_version_is_sent_as_a_change_again() {
    let mut network = Network::new(2, 1, 18);
    network.publish(&host(0), KEY);
    network.run(20, |_| Fate::Deliver);
    network.publish(&host(0), KEY);
    let mut wholes = 0;
    while wholes < 2 {
        network.run(1, |envelope| match envelope.transfer() {
            Some(Transfer::Part(part)) if part.base.is_some() => {
                part.value_hash ^= 1;
                Fate::Deliver
            }
            Some(Transfer::Part(_)) if wholes >= 2 => Fate::Delay(FLUSH_STEPS),
            Some(Transfer::Part(_)) => {
                wholes += 1;
                Fate::Deliver
            }
            _ => Fate::Deliver,
        });
    }
    network.publish(&host(0), KEY);
    let mut bases = Vec::new();
    network.run(RECOVERY_FLUSHES, |envelope| {
        if let Some(Transfer::Part(part)) = envelope.transfer()
            && part.version == 3
        {
            bases.push(part.base);
        }
        Fate::Deliver
    });
    let had = &network.versions[&(host(1), KEY.into())];
    assert_eq!(*had, [1, 2, 3]);
    assert!(bases.iter().all(|base| *base == Some(2)), "{bases:?}");
}

/// Guards against a change of a version that the receiver never had, with the same text.
#[test]
fn a_change_is_one_of_the_version_that_the_receiver_has() {
    let mut network = Network::new(2, 1, 19);
    let first = network.new_version(KEY);
    network.read(&host(0), first.clone());
    network.publish(&host(0), KEY);
    let again = network.publish_again(&host(0), &first);
    network.publish(&host(0), KEY);
    let fetch = Fetch {
        key: KEY.into(),
        held: Some(again),
        held_hash: Some(delta::hash(first.value.as_bytes())),
        encoding: 0,
        offset: 0,
    };
    assert_eq!(first_part(&mut network, fetch).base, Some(again));
}

/// Guards against two large values that a host fetches from the same one at the same time, and of
/// which each interrupts the other.
#[test]
fn two_values_are_fetched_from_one_host_at_the_same_time() {
    let mut network = Network::new(2, 1, 5);
    let other = "tables/other";
    let objects = vec![network.new_version(KEY), network.new_version(other)];
    network.step(&host(0), Input::Read(objects, 0));
    network.run(PROMPT_FLUSHES, |_| Fate::Deliver);
    assert_eq!(network.held(&host(1), KEY), 1);
    assert_eq!(network.held(&host(1), other), 1);
}

/// Guards against an old value that is requested and sent without end, because a host that has
/// restarted has an older one than it had announced.
#[test]
fn an_older_value_is_not_fetched_whole_again_and_again() {
    let mut network = Network::new(2, 1, 6);
    let first = network.new_version(KEY);
    network.read(&host(0), first.clone());
    network.run(20, |_| Fate::Deliver);
    network.publish(&host(1), KEY);
    network.run(20, |_| Fate::Lose);
    let third = network.new_version(KEY);
    network.announce(&host(0), &host(1), third.version);
    // The change fails, and the sender restarts with the first version.
    network.run(1, |_| Fate::Lose);
    network.restart(&host(0));
    network.read(&host(0), third);
    network.is_reliable = false;
    network.run(30, |envelope| {
        if let Some(Transfer::Part(part)) = envelope.transfer() {
            part.value_hash ^= 1;
        }
        Fate::Deliver
    });
    network.restart(&host(0));
    network.read(&host(0), first);
    network.sent.clear();
    network.run(20, |envelope| match envelope.transfer() {
        Some(_) => Fate::Deliver,
        None => Fate::Lose,
    });
    let sent = network.sent.get(&host(0)).copied().unwrap_or_default();
    assert!(sent.part_bytes < 200_000, "{sent:?}");
    assert_eq!(network.held(&host(1), KEY), 2);
}
