//! Sums that forget.

use std::time::Duration;

use pollenrouter_core::shedding::rank_load::RankLoad;
use pollenrouter_core::shedding::recent::{self, Recent};
use rstest::rstest;

const HALF_LIFE: Duration = Duration::from_secs(2);

/// Guards against use that is forgotten too late or too soon.
#[rstest]
#[case::at_once(0, 1_000_000)]
#[case::half_a_half_life(1_000, 707_107)]
#[case::one_half_life(2_000, 500_000)]
#[case::three_and_a_half(7_000, 88_388)]
#[case::for_ever(1_000_000_000, 0)]
fn a_value_counts_half_after_each_half_life(#[case] after_ms: u64, #[case] expected: u64) {
    let mut sum = Recent::default();
    sum.add(Duration::from_secs(5), HALF_LIFE, 1_000_000);
    let now = Duration::from_secs(5) + Duration::from_millis(after_ms);
    // Within 1 % of the exponential.
    let difference = sum.sum(now, HALF_LIFE).abs_diff(expected);
    assert!(difference * 100 <= expected, "{sum:?}");
}

/// Guards against a sum that depends on how often it changes.
#[rstest]
#[case::often(Duration::from_micros(100))]
#[case::seldom(Duration::from_millis(50))]
fn steady_values_add_up_to_the_steady_sum(#[case] interval: Duration) {
    let mut sum = Recent::default();
    let mut now = Duration::ZERO;
    while now < HALF_LIFE * 12 {
        now += interval;
        sum.add(now, HALF_LIFE, recent::micros(interval));
    }
    let expected = recent::steady_sum(HALF_LIFE);
    let difference = sum.sum(now, HALF_LIFE).abs_diff(expected);
    // Within 2 %: one value in 57 is the latest of those every 50 ms.
    assert!(difference * 50 <= expected, "{sum:?} {expected}");
}

/// Guards against a wait that leaves out the more urgent calls which are still to come.
#[rstest]
#[case::urgent(0, 0)]
#[case::less_urgent(1, 50)]
#[case::least_urgent(2, 75)]
fn more_urgent_calls_use_a_share_of_the_slots(#[case] rank: u8, #[case] percent: u32) {
    const SLOTS: u32 = 8;
    let mut load = RankLoad::default();
    let mut now = Duration::ZERO;
    // Rank 0 uses four of eight slots, rank 1 two.
    while now < Duration::from_secs(10) {
        now += Duration::from_millis(10);
        load.record_start(now, 0, Duration::from_millis(40));
        load.record_start(now, 1, Duration::from_millis(20));
    }
    let measured = load.more_urgent_percent(now, rank, SLOTS);
    assert!(measured.abs_diff(percent) <= 1, "{measured}");
}
