//! Tests of the estimate of how long a caller has already waited, from the time it has left.

use sillbank_admission::elapsed::ElapsedEstimator;
use sillbank_testing::for_fixed_seeds;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// An estimator that has recorded first tries with these times left.
fn estimator_after(times_ms: impl IntoIterator<Item = u64>) -> ElapsedEstimator {
    let mut estimator = ElapsedEstimator::default();
    times_ms.into_iter().for_each(|time_ms| estimator.record_first_try(ms(time_ms)));
    estimator
}

/// A caller with less time than any first try has waited for the difference.
#[test]
fn elapsed_is_the_difference_from_the_shortest_first_try() {
    let estimator = estimator_after([2_000; 10]);

    assert_eq!(estimator.elapsed(ms(700)), ms(1_300));
    assert_eq!(estimator.elapsed(ms(2_000)), Duration::ZERO);
    assert_eq!(estimator.elapsed(ms(5_000)), Duration::ZERO);
}

/// Too few first tries give no estimate.
#[test]
fn elapsed_is_zero_after_few_first_tries() {
    assert_eq!(ElapsedEstimator::default().elapsed(ms(1)), Duration::ZERO);
    assert_eq!(estimator_after([2_000; 3]).elapsed(ms(1)), Duration::ZERO);
}

/// Callers have different deadlines, from 17 to 20 s. A first try is never considered late, whatever came before.
#[test]
fn first_tries_with_different_deadlines_are_not_late() {
    for_fixed_seeds(200, 2048, |u| {
        let mut estimator = ElapsedEstimator::default();
        for _ in 0..300 {
            let left = ms(u.int_in_range(17_000..=20_000)?);
            estimator.record_first_try(left);

            assert_eq!(estimator.elapsed(left), Duration::ZERO);
        }

        // A retry after 4 s has less time left than any first try.
        let late = estimator.elapsed(ms(u.int_in_range(13_000..=16_000)?));
        assert!(late >= ms(1_000) && late <= ms(7_000), "{late:?}");
        Ok(())
    });
}

/// One caller with a much longer deadline does not make others late.
#[test]
fn one_long_deadline_makes_no_other_caller_late() {
    assert_eq!(
        estimator_after([2_000, 60_000, 2_000, 2_000, 2_000, 2_000, 2_000, 2_000])
            .elapsed(ms(2_000)),
        Duration::ZERO
    );
}

/// A caller with hardly any time left hides late callers for some hundred first tries, and no longer.
#[test]
fn one_short_deadline_is_forgotten() {
    let estimator = estimator_after([vec![2_000; 10], vec![1], vec![2_000; 300]].concat());

    assert_eq!(estimator.elapsed(ms(700)), ms(1_300));
}

/// The estimate follows a change of the callers' deadlines in both directions.
#[test]
fn estimate_follows_a_change_of_deadlines() {
    let shorter = estimator_after([vec![2_000; 300], vec![800; 1]].concat());
    let longer = estimator_after([vec![800; 10], vec![2_000; 300]].concat());

    assert_eq!(shorter.elapsed(ms(800)), Duration::ZERO);
    assert_eq!(longer.elapsed(ms(800)), ms(1_200));
}

/// Extreme times neither panic nor give an estimate.
#[test]
fn extreme_times_are_accepted() {
    let estimator = estimator_after([u64::MAX / 4, 0].repeat(200));

    assert_eq!(estimator.elapsed(Duration::ZERO), Duration::ZERO);
    assert_eq!(estimator.elapsed(Duration::MAX), Duration::ZERO);
}
