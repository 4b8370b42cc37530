//! When refused callers are told to return.

use std::time::Duration;

use pollenrouter_core::shedding::returns::{Pace, Refused, Returns};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

const PACE: Pace = Pace {
    wait: Duration::from_millis(20),
    spacing: Duration::from_millis(10),
    min: Duration::from_millis(50),
};
const REFUSED: Refused = Refused {
    rank: 1,
    objective: Duration::from_millis(800),
    remaining: Duration::from_secs(3),
    draw: 0,
};

/// Callers that are refused at once, by rank, and the delays that they are told, milliseconds.
struct Case {
    ranks: &'static [u8],
    objective_ms: u64,
    delays_ms: &'static [u64],
}

/// Guards against callers that return all at once, and against urgent ones that return after
/// others.
#[rstest]
#[case::one_after_the_other(Case { ranks: &[1, 1, 1], objective_ms: 800, delays_ms: &[50, 60, 70] })]
#[case::urgent_ones_first(Case { ranks: &[1, 1, 0, 0, 1, 2], objective_ms: 800, delays_ms: &[50, 60, 50, 60, 70, 80] })]
#[case::urgent_ones_delay_others(Case { ranks: &[0, 0, 0, 2], objective_ms: 800, delays_ms: &[50, 60, 70, 80] })]
#[case::overdue(Case { ranks: &[1, 0], objective_ms: 40, delays_ms: &[50, 60] })]
fn callers_return_in_turn(#[case] case: Case) {
    let mut returns = Returns::default();
    let delays: Vec<u128> = case
        .ranks
        .iter()
        .map(|rank| {
            let refused = Refused {
                rank: *rank,
                objective: Duration::from_millis(case.objective_ms),
                ..REFUSED
            };
            returns.next(Duration::ZERO, refused, PACE).as_millis()
        })
        .collect();
    let expected: Vec<u128> = case.delays_ms.iter().map(|ms| u128::from(*ms)).collect();
    assert_eq!(delays, expected);
}

/// Guards against calls that have missed their objective and return before those that have not.
#[test]
fn overdue_calls_return_last() {
    let mut returns = Returns::default();
    let now = Duration::ZERO;
    let last = (0..10).map(|_| returns.next(now, REFUSED, PACE)).max();
    let overdue = Refused {
        rank: 0,
        objective: Duration::ZERO,
        ..REFUSED
    };
    assert!(Some(returns.next(now, overdue, PACE)) > last);
}

/// Guards against a delay that callers do not follow, and against a crowd that returns at the
/// end of the longest delay. A hundred times as many callers are refused as the targets take.
#[test]
fn a_crowd_is_spread_over_the_time_that_callers_follow() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut returns = Returns::default();
    let mut by_tenth = [0_u32; 10];
    for index in 0..10_000_u32 {
        let refused = Refused {
            draw: rng.random(),
            ..REFUSED
        };
        let now = PACE.spacing * index / 100;
        let delay = returns.next(now, refused, PACE);
        assert!(delay <= REFUSED.remaining / 3 && delay <= REFUSED.objective);
        assert!(delay >= PACE.min);
        let tenth = delay.as_micros() * 10 / (REFUSED.objective.as_micros() + 1);
        by_tenth[usize::try_from(tenth).unwrap_or_default()] += 1;
    }
    // Almost all come in the second half of the delay, a fifth of them in each tenth.
    assert!(
        by_tenth.iter().all(|count| *count <= 10_000 / 4),
        "{by_tenth:?}"
    );
}
