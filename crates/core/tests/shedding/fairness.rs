//! Organisations that share a target, of which one sends many times its usual load.

use std::time::Duration;

use pollenrouter_core::shedding::Shed;
use pollenrouter_core::shedding::fairness::Fairness;
use rstest::rstest;

use crate::load::{self, Counts, SLOTS, Site, Source};

const WORK: Duration = Duration::from_millis(60);
const LASTS: Duration = Duration::from_secs(40);
/// Calls per second that the slots take.
fn capacity_per_s() -> f64 {
    f64::from(SLOTS) / WORK.as_secs_f64()
}

const ORGANISATION: Source = Source {
    route: "refresh",
    organisation: "o-0",
    rank: 1,
    rate: 0.0,
    from: Duration::ZERO,
    until: LASTS,
    work: WORK,
    objective: Duration::from_millis(500),
    deadline: Duration::from_secs(4),
    by_callers: true,
};

const USUAL: [&str; 8] = ["o-0", "o-1", "o-2", "o-3", "o-4", "o-5", "o-6", "o-7"];

/// Load in percent of the capacity: of the usual organisations together, and of the one that
/// sends more than it does usually.
struct Case {
    shed: Shed,
    usual: u32,
    heavy: u32,
    queue: u32,
    /// Whether calls may be refused for their objective.
    by_callers: bool,
}

const ROOM_FOR_THE_OTHERS: Case = Case {
    shed: Shed::All,
    usual: 60,
    heavy: 400,
    queue: 64,
    by_callers: true,
};
const NO_ROOM_FOR_ALL_OTHERS: Case = Case {
    usual: 150,
    heavy: 600,
    ..ROOM_FOR_THE_OTHERS
};
/// Twenty times as heavy as all others together, which do not even fill the target.
const VERY_HEAVY: Case = Case {
    usual: 80,
    heavy: 1600,
    ..ROOM_FOR_THE_OTHERS
};
const LOWEST: Case = Case {
    shed: Shed::Lowest,
    ..ROOM_FOR_THE_OTHERS
};
/// The heavy organisation fills the queue, and its calls wait until their deadline.
const LOWEST_UNTIL_THE_DEADLINE: Case = Case {
    by_callers: false,
    ..LOWEST
};

fn share(part: u64, whole: u64) -> f64 {
    Duration::from_secs(part).as_secs_f64() / Duration::from_secs(whole).as_secs_f64()
}

/// Guards against an organisation that takes the room of the others, and against one that gets
/// nothing because it asks for much. No organisation is served less than a quarter as often as
/// all.
#[rstest]
#[case::room_for_the_others(ROOM_FOR_THE_OTHERS)]
#[case::no_room_for_all_others(NO_ROOM_FOR_ALL_OTHERS)]
#[case::very_heavy(VERY_HEAVY)]
#[case::lowest(LOWEST)]
#[case::lowest_until_the_deadline(LOWEST_UNTIL_THE_DEADLINE)]
fn no_organisation_starves(#[case] case: Case) {
    let share_of_capacity = |percent: u32| capacity_per_s() * f64::from(percent) / 100.0;
    let usual = USUAL.map(|organisation| Source {
        organisation,
        by_callers: case.by_callers,
        rate: share_of_capacity(case.usual) / 8.0,
        ..ORGANISATION
    });
    let heavy = Source {
        organisation: "heavy",
        by_callers: case.by_callers,
        rate: share_of_capacity(case.heavy),
        ..ORGANISATION
    };
    let site = Site {
        queue: case.queue,
        ..Site::new(case.shed)
    };
    let counts = load::play(&site, &[usual.as_slice(), &[heavy]].concat());
    let all = counts.iter().fold(Counts::default(), Counts::plus);
    let served = |c: &Counts| share(c.in_time + c.late, c.arrived);
    for count in &counts {
        assert!(served(count) * 4.0 >= served(&all), "{counts:?}");
    }
    // Room that the others do not use is not left unused.
    let room = capacity_per_s() * LASTS.as_secs_f64();
    assert!(
        served(&all) * share(all.arrived, 1) >= room * 0.9,
        "{counts:?}"
    );
    // If there is room for the others, the heavy one does not delay them: there is nothing to
    // refuse to them, except what it is owed itself.
    let usual = counts[..USUAL.len()]
        .iter()
        .fold(Counts::default(), Counts::plus);
    if case.usual < 70 {
        assert!(share(usual.in_time, usual.arrived) >= 0.9, "{counts:?}");
    }
}

/// Guards against room that is kept free for organisations that do not call.
#[test]
fn unused_room_goes_to_whoever_wants_it() {
    let heavy = Source {
        organisation: "heavy",
        rate: capacity_per_s() * 2.0,
        ..ORGANISATION
    };
    let counts = load::play(&Site::new(Shed::All), &[heavy]);
    let room = capacity_per_s() * LASTS.as_secs_f64();
    assert!(share(counts[0].in_time, 1) >= room * 0.9, "{counts:?}");
}

/// Guards against memory that grows with the organisations that have ever called.
#[test]
fn organisations_without_recent_use_are_forgotten() {
    let mut fairness = Fairness::default();
    for index in 0..10_000_u64 {
        let now = Duration::from_millis(index * 100);
        fairness.record_offer(now, 1, &format!("o-{index}").into());
    }
    // A call counts until it is halved to a part in 1024, which takes ten half-lives of 2 s.
    // Meanwhile 200 other organisations call. They are dropped within 10 s, when 100 more have called.
    assert!(fairness.len() <= 200 + 100, "{}", fairness.len());
}
