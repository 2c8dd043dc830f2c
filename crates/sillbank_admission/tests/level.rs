//! Tests of the admitted share as a function of the engines' fullness, and of fullness estimated from refusals.

use sillbank_admission::refusal_ratio::RefusalRatio;
use sillbank_admission::share_controller::{ShareController, SourceTag};
use sillbank_testing::for_fixed_seeds;
use std::time::{Duration, Instant};

const REPORT_INTERVAL: Duration = Duration::from_millis(250);
const REPORTED: SourceTag = 1;
const ASSUMED: SourceTag = 2;

/// The share after a number of equal reports at an interval.
fn share_after(reports: u32, interval: Duration, fullness: f64) -> f64 {
    let start = Instant::now();
    let mut controller = ShareController::default();
    (0..reports).for_each(|number| controller.update(start + interval * number, fullness));
    controller.share()
}

/// A VM without any observation admits every request.
#[test]
fn new_controller_admits_every_request() {
    assert_eq!(ShareController::default().share(), 1.0);
}

/// Full engines reduce the share, and free capacity restores it.
#[test]
fn share_falls_when_engines_are_full_and_recovers_with_free_capacity() {
    let start = Instant::now();
    let mut controller = ShareController::default();
    let mut share_after = |seconds: std::ops::Range<u32>, fullness| {
        (seconds.start * 4..seconds.end * 4)
            .for_each(|number| controller.update(start + REPORT_INTERVAL * number, fullness));
        controller.share()
    };

    let closed = share_after(0..10, 1.0);
    let opened = share_after(10..15, 0.5);

    assert!(closed < 0.3, "{closed}");
    assert_eq!(opened, 1.0);
}

/// A VM that gets one request every three seconds sheds load like the others.
#[test]
fn vm_with_few_requests_reduces_its_share_too() {
    let share = share_after(10, Duration::from_secs(3), 1.0);

    assert!(share < 0.3, "{share}");
}

/// An hour without a request counts for no more than some seconds of an overload.
#[test]
fn share_does_not_collapse_after_a_long_idle_time() {
    let share = share_after(2, Duration::from_secs(3_600), 1.0);

    assert!(share > 0.3, "{share}");
}

/// Several reports of the same moment change the share only once.
#[test]
fn reports_of_the_same_moment_count_once() {
    let (once, often) =
        (share_after(1, REPORT_INTERVAL, 1.0), share_after(100, Duration::ZERO, 1.0));

    assert_eq!(once, often);
}

/// Values that are not finite are ignored.
#[test]
fn non_finite_fullness_is_ignored() {
    for invalid in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        assert_eq!(share_after(40, REPORT_INTERVAL, invalid), 1.0, "{invalid}");
    }
}

/// The share stays between 0 and 1 for any input.
#[test]
fn share_stays_within_bounds_for_any_input() {
    let invalid = [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1e300, 1e300, f64::MIN_POSITIVE];
    for_fixed_seeds(200, 512, |u| {
        let (mut at, mut controller) = (Instant::now(), ShareController::default());
        for _ in 0..40 {
            let fullness = match u.ratio(1, 4)? {
                true => *u.choose(&invalid)?,
                false => f64::from(u.int_in_range(0..=1_100_u32)?) / 1_000.0,
            };
            at += Duration::from_millis(u.int_in_range(0..=5_000)?);

            controller.update(at, fullness);

            assert!((0.0..=1.0).contains(&controller.share()), "{}", controller.share());
        }
        Ok(())
    });
}

/// Ten refusals show that engines are full; two are too few for a conclusion.
#[test]
fn fullness_is_concluded_from_enough_refusals_only() {
    let now = Instant::now();
    let (mut few, mut many) = (RefusalRatio::default(), RefusalRatio::default());

    (0..2).for_each(|_| few.record_refused(now));
    (0..10).for_each(|_| many.record_refused(now));

    assert!(few.fullness(now) < 0.8);
    assert_eq!(many.fullness(now), 1.0);
}

/// Old refusals lose their weight.
#[test]
fn refusals_are_forgotten_after_some_seconds() {
    let now = Instant::now();
    let mut ratio = RefusalRatio::default();
    (0..10).for_each(|_| ratio.record_refused(now));

    assert!(ratio.fullness(now + Duration::from_secs(6)) < 0.8);
}

/// A call with an earlier time than the last one must not apply the decay twice.
#[test]
fn out_of_order_times_do_not_decay_twice() {
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    let mut ratio = RefusalRatio::default();
    (0..4).for_each(|_| ratio.record_refused(later));

    ratio.fullness(now);

    assert_eq!(ratio.fullness(later), 1.0);
}

/// Guards against refusals at the daily peak of a small fleet that its engines can just hold: the refused callers
/// would have been served in time.
#[test]
fn peak_slightly_above_the_target_sheds_nothing() {
    let start = Instant::now();
    let mut controller = ShareController::default();
    let peak = [0.85, 0.87, 0.89, 0.91, 0.93, 0.94, 0.93, 0.92, 0.90, 0.88];

    for (number, fullness) in peak.into_iter().enumerate() {
        controller.update(start + REPORT_INTERVAL * number as u32, fullness);

        assert_eq!(controller.share(), 1.0, "{fullness}");
    }
}

/// Guards against refusals by an idle fleet: when reports stop, the value that is assumed instead is higher than the last
/// reported one, and the difference was taken for a trend that fills the engines within half a second.
#[test]
fn change_of_the_source_of_fullness_is_no_trend() {
    let start = Instant::now();
    let mut controller = ShareController::default();

    for number in 0..40 {
        let is_reported = number % 4 < 2;
        let (source, fullness) = if is_reported { (REPORTED, 0.0) } else { (ASSUMED, 0.7) };
        controller.update_from(source, start + REPORT_INTERVAL * number, fullness);

        assert_eq!(controller.share(), 1.0, "observation {number}");
    }
}

/// Engines that stay full shed as much load while the source of their fullness changes with each observation.
#[test]
fn full_engines_reduce_the_share_as_much_whatever_the_source() {
    let start = Instant::now();
    let mut controller = ShareController::default();

    for number in 0..10 {
        let source = if number % 2 == 0 { REPORTED } else { ASSUMED };
        controller.update_from(source, start + REPORT_INTERVAL * number, 1.0);
    }

    assert_eq!(controller.share(), share_after(10, REPORT_INTERVAL, 1.0));
}
