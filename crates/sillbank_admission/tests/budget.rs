//! Tests that retries stay within their budget in every window, whichever VMs send them.

use sillbank_admission::budget::{RetryBudget, RetryLimits};
use sillbank_testing::for_fixed_seeds;
use std::time::{Duration, Instant};

const WINDOW: Duration = Duration::from_secs(10);

fn limits(ratio: f64, slack: f64) -> RetryLimits {
    RetryLimits { window: WINDOW, ratio, slack }
}

/// A budget of a process that has run for one window, and the current time.
fn warmed_up_budget(ratio: f64, slack: f64) -> (RetryBudget, Instant) {
    let started_at = Instant::now();
    (RetryBudget::new(limits(ratio, slack), started_at), started_at + WINDOW)
}

/// The budget allows the ratio of the first sends plus the slack; without traffic, only the slack.
#[test]
fn retries_are_limited_by_slack_and_first_sends() {
    // Arrange: 10 first sends per second for three windows.
    let (mut budget, start) = warmed_up_budget(0.2, 2.0);
    let pause = WINDOW / 100;
    (0..300).for_each(|number| budget.record_first_send(start + pause * number));

    // Act: use up the budget twice, one window apart.
    let allowed = [start + WINDOW * 3, start + WINDOW * 4 + pause * 3].map(|at| {
        let granted = (0..100).take_while(|_| budget.try_retry(at)).count();
        granted as u32
    });

    // Assert: a fifth of a window's first sends plus the slack, minus what the slices leave unused; after
    // the traffic has ended, only the slack.
    assert!((20..=22).contains(&allowed[0]), "{allowed:?}");
    assert_eq!(allowed[1], 2);
}

/// A retry counts against the budget for one window, and no longer.
#[test]
fn budget_is_restored_after_one_window() {
    let (mut budget, now) = warmed_up_budget(0.0, 1.0);

    assert!(budget.try_retry(now));
    assert!(!budget.try_retry(now + WINDOW / 2));
    assert!(!budget.try_retry(now + WINDOW - Duration::from_millis(1)));
    assert!(budget.try_retry(now + WINDOW + WINDOW / 25));
}

/// Guards against a restart that doubles the slack: the preceding process may have used its own.
#[test]
fn new_process_has_no_slack_during_its_first_window() {
    let started_at = Instant::now();
    let mut budget = RetryBudget::new(limits(0.0, 1.0), started_at);

    assert!(!budget.try_retry(started_at + WINDOW - Duration::from_millis(1)));
    assert!(budget.try_retry(started_at + WINDOW));
}

/// Without first sends, no window contains more retries than the slack.
#[test]
fn sliding_windows_stay_within_slack_without_traffic() {
    for_fixed_seeds(200, 512, |u| {
        let (mut budget, start) = warmed_up_budget(0.0, 5.0);
        let mut at = start;
        let mut granted: Vec<Instant> = Vec::new();
        for _ in 0..200 {
            at += Duration::from_millis(u.int_in_range(0..=700)?);
            if budget.try_retry(at) {
                granted.push(at);
            }
        }
        for (index, first) in granted.iter().enumerate() {
            let within = granted[index..].iter().filter(|g| **g - *first <= WINDOW).count();
            assert!(within <= 5);
        }
        Ok(())
    });
}

/// Sends for one service over the whole fleet.
#[derive(Default)]
struct History {
    first_sends: Vec<Instant>,
    retries: Vec<Instant>,
}

impl History {
    /// First sends within the window that starts at a moment.
    fn first_sends_from(&self, from: Instant) -> usize {
        self.first_sends.iter().filter(|at| **at >= from && **at <= from + WINDOW).count()
    }

    /// Whether the retries of each window are within the limits for the first sends of the window, of the one
    /// before it, or of the one half a window before it.
    fn is_within(&self, limits: RetryLimits) -> bool {
        self.retries.iter().all(|from| {
            let retries = self.retries.iter().filter(|at| **at >= *from && **at <= *from + WINDOW);
            let first_sends = [*from, *from - WINDOW / 2, *from - WINDOW];
            let first_sends =
                first_sends.map(|from| self.first_sends_from(from)).into_iter().max().unwrap_or(0);
            retries.count() as f64 <= limits.ratio * first_sends as f64 + limits.slack
        })
    }
}

/// The bound holds for the fleet as a whole while callers move between VMs and processes restart.
#[test]
fn fleet_stays_within_budget_while_traffic_moves_and_vms_restart() {
    const VMS: usize = 4;
    for_fixed_seeds(150, 4096, |u| {
        // Arrange: the slack is divided evenly among the VMs.
        let fleet = limits(0.2, 12.0);
        let share = limits(0.2, fleet.slack / VMS as f64);
        let started_at = Instant::now();
        let mut vms: Vec<RetryBudget> =
            (0..VMS).map(|_| RetryBudget::new(share, started_at)).collect();
        let mut history = History::default();
        let mut at = started_at + WINDOW;

        // Act: callers move between VMs, retries come in bursts, processes restart.
        for _ in 0..250 {
            at += Duration::from_millis(u.int_in_range(0..=400)?);
            let vm = u.choose_index(VMS)?;
            match u.int_in_range(0..=19)? {
                0 => vms[vm] = RetryBudget::new(share, at),
                1..=11 => {
                    for _ in 0..u.int_in_range(1..=8)? {
                        vms[vm].record_first_send(at);
                        history.first_sends.push(at);
                    }
                }
                _ => {
                    for _ in 0..u.int_in_range(1..=20)? {
                        if vms[vm].try_retry(at) {
                            history.retries.push(at);
                        }
                    }
                }
            }
        }

        // Assert
        assert!(history.is_within(fleet));
        Ok(())
    });
}
