//! Repeats stay within their budget in every window.

use sillbank_admission::budget::{RetryBudget, RetryLimits};
use sillbank_testing::for_fixed_seeds;
use std::time::{Duration, Instant};

const WINDOW: Duration = Duration::from_secs(10);

fn limits(ratio: f64, slack: f64) -> RetryLimits {
    RetryLimits { window: WINDOW, ratio, slack }
}

#[test]
fn repeats_are_drawn_from_slack_and_traffic() {
    let now = Instant::now();
    let mut budget = RetryBudget::new(limits(0.2, 2.0), now);

    let without_traffic: Vec<bool> = (0..3).map(|_| budget.try_repeat(now)).collect();
    (0..10).for_each(|_| budget.on_first(now));
    let with_traffic: Vec<bool> = (0..3).map(|_| budget.try_repeat(now)).collect();

    assert_eq!(without_traffic, [true, true, false]);
    assert_eq!(with_traffic, [true, true, false]);
}

#[test]
fn the_budget_is_whole_again_after_a_window() {
    let now = Instant::now();
    let mut budget = RetryBudget::new(limits(0.0, 1.0), now);

    assert!(budget.try_repeat(now));
    assert!(!budget.try_repeat(now + WINDOW / 2));
    assert!(budget.try_repeat(now + WINDOW));
}

#[test]
fn no_sliding_window_holds_more_repeats_than_slack_without_traffic() {
    for_fixed_seeds(200, 512, |u| {
        let start = Instant::now();
        let mut budget = RetryBudget::new(limits(0.0, 5.0), start);
        let mut at = start;
        let mut granted: Vec<Instant> = Vec::new();
        for _ in 0..200 {
            at += Duration::from_millis(u.int_in_range(0..=700)?);
            if budget.try_repeat(at) {
                granted.push(at);
            }
        }
        // Slices make a window up to a tenth shorter than it is.
        let strict = WINDOW - WINDOW / 10;
        for (index, first) in granted.iter().enumerate() {
            let within = granted[index..].iter().filter(|g| **g - *first < strict).count();
            assert!(within <= 5);
        }
        Ok(())
    });
}
