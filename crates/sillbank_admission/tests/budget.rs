//! Repeats stay within their budget in every window, whichever VMs draw them.

use sillbank_admission::budget::{RetryBudget, RetryLimits};
use sillbank_testing::for_fixed_seeds;
use std::time::{Duration, Instant};

const WINDOW: Duration = Duration::from_secs(10);

fn limits(ratio: f64, slack: f64) -> RetryLimits {
    RetryLimits { window: WINDOW, ratio, slack }
}

/// A budget of a process that has run for a window, and that moment.
fn grown_budget(ratio: f64, slack: f64) -> (RetryBudget, Instant) {
    let began = Instant::now();
    (RetryBudget::new(limits(ratio, slack), began), began + WINDOW)
}

#[test]
fn repeats_are_drawn_from_slack_and_traffic() {
    // Arrange: 10 first sends a second for three windows.
    let (mut budget, start) = grown_budget(0.2, 2.0);
    let pause = WINDOW / 100;
    (0..300).for_each(|number| budget.on_first(start + pause * number));

    // Act: as many repeats as there is room for, twice a window apart.
    let drawn = [start + WINDOW * 3, start + WINDOW * 4 + pause * 3].map(|at| {
        let granted = (0..100).take_while(|_| budget.try_repeat(at)).count();
        granted as u32
    });

    // Assert: a fifth of a window's first sends and the slack, less what slices leave unused; and
    // when traffic has ended, the slack.
    assert!((20..=22).contains(&drawn[0]), "{drawn:?}");
    assert_eq!(drawn[1], 2);
}

#[test]
fn the_budget_is_whole_again_after_a_window() {
    let (mut budget, now) = grown_budget(0.0, 1.0);

    assert!(budget.try_repeat(now));
    assert!(!budget.try_repeat(now + WINDOW / 2));
    assert!(!budget.try_repeat(now + WINDOW - Duration::from_millis(1)));
    assert!(budget.try_repeat(now + WINDOW + WINDOW / 25));
}

#[test]
fn a_new_process_has_no_slack_while_the_one_before_it_may_have_used_its_own() {
    let began = Instant::now();
    let mut budget = RetryBudget::new(limits(0.0, 1.0), began);

    assert!(!budget.try_repeat(began + WINDOW - Duration::from_millis(1)));
    assert!(budget.try_repeat(began + WINDOW));
}

#[test]
fn no_sliding_window_holds_more_repeats_than_slack_without_traffic() {
    for_fixed_seeds(200, 512, |u| {
        let (mut budget, start) = grown_budget(0.0, 5.0);
        let mut at = start;
        let mut granted: Vec<Instant> = Vec::new();
        for _ in 0..200 {
            at += Duration::from_millis(u.int_in_range(0..=700)?);
            if budget.try_repeat(at) {
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

/// What happened to a service in the whole fleet.
#[derive(Default)]
struct History {
    firsts: Vec<Instant>,
    repeats: Vec<Instant>,
}

impl History {
    /// First sends from a moment on, for a window.
    fn firsts_from(&self, from: Instant) -> usize {
        self.firsts.iter().filter(|at| **at >= from && **at <= from + WINDOW).count()
    }

    /// Whether each window's repeats fit the first sends of the window, of the one before it or of the
    /// one half a window before it.
    fn is_within(&self, limits: RetryLimits) -> bool {
        self.repeats.iter().all(|from| {
            let repeats = self.repeats.iter().filter(|at| **at >= *from && **at <= *from + WINDOW);
            let firsts = [*from, *from - WINDOW / 2, *from - WINDOW];
            let firsts = firsts.map(|from| self.firsts_from(from)).into_iter().max().unwrap_or(0);
            repeats.count() as f64 <= limits.ratio * firsts as f64 + limits.slack
        })
    }
}

#[test]
fn no_window_of_the_fleet_exceeds_the_budget_while_traffic_moves_and_vms_restart() {
    const VMS: usize = 4;
    for_fixed_seeds(150, 4096, |u| {
        // Arrange: as many shares of the slack as VMs.
        let fleet = limits(0.2, 12.0);
        let share = limits(0.2, fleet.slack / VMS as f64);
        let began = Instant::now();
        let mut vms: Vec<RetryBudget> = (0..VMS).map(|_| RetryBudget::new(share, began)).collect();
        let mut history = History::default();
        let mut at = began + WINDOW;

        // Act: callers move between VMs, repeats come in bursts, processes end and begin anew.
        for _ in 0..250 {
            at += Duration::from_millis(u.int_in_range(0..=400)?);
            let vm = u.choose_index(VMS)?;
            match u.int_in_range(0..=19)? {
                0 => vms[vm] = RetryBudget::new(share, at),
                1..=11 => {
                    for _ in 0..u.int_in_range(1..=8)? {
                        vms[vm].on_first(at);
                        history.firsts.push(at);
                    }
                }
                _ => {
                    for _ in 0..u.int_in_range(1..=20)? {
                        if vms[vm].try_repeat(at) {
                            history.repeats.push(at);
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
