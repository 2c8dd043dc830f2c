//! Which share is let in by how full the engines are, and what a VM concludes from refusals alone.

use sillbank_admission::evidence::RefusalShare;
use sillbank_admission::level::Level;
use sillbank_testing::for_fixed_seeds;
use std::time::{Duration, Instant};

const NEWS: Duration = Duration::from_millis(250);

/// The share after so many equal news.
fn share_after(news: u32, each: Duration, fullness: f64) -> f64 {
    let start = Instant::now();
    let mut level = Level::default();
    (0..news).for_each(|number| level.on_fullness(start + each * number, fullness));
    level.share()
}

#[test]
fn a_vm_that_knows_nothing_lets_everybody_in() {
    assert_eq!(Level::default().share(), 1.0);
}

#[test]
fn full_engines_close_and_engines_with_room_open() {
    let start = Instant::now();
    let mut level = Level::default();
    let mut share_after = |seconds: std::ops::Range<u32>, fullness| {
        (seconds.start * 4..seconds.end * 4)
            .for_each(|number| level.on_fullness(start + NEWS * number, fullness));
        level.share()
    };

    let closed = share_after(0..10, 1.0);
    let opened = share_after(10..15, 0.5);

    assert!(closed < 0.3, "{closed}");
    assert_eq!(opened, 1.0);
}

/// A VM that gets a request each three seconds takes part in holding back like the others.
#[test]
fn a_vm_that_is_asked_seldom_closes_too() {
    let share = share_after(10, Duration::from_secs(3), 1.0);

    assert!(share < 0.3, "{share}");
}

/// An hour without a request counts for no more than some seconds of an overload.
#[test]
fn a_long_quiet_time_does_not_close_at_once() {
    let share = share_after(2, Duration::from_secs(3_600), 1.0);

    assert!(share > 0.3, "{share}");
}

#[test]
fn news_of_the_same_moment_count_once() {
    let (once, often) = (share_after(1, NEWS, 1.0), share_after(100, Duration::ZERO, 1.0));

    assert_eq!(once, often);
}

#[test]
fn figures_that_are_no_numbers_close_nothing() {
    for absurd in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        assert_eq!(share_after(40, NEWS, absurd), 1.0, "{absurd}");
    }
}

#[test]
fn the_share_stays_between_nothing_and_all_whatever_is_told() {
    let absurd = [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1e300, 1e300, f64::MIN_POSITIVE];
    for_fixed_seeds(200, 512, |u| {
        let (mut at, mut level) = (Instant::now(), Level::default());
        for _ in 0..40 {
            let fullness = match u.ratio(1, 4)? {
                true => *u.choose(&absurd)?,
                false => f64::from(u.int_in_range(0..=1_100_u32)?) / 1_000.0,
            };
            at += Duration::from_millis(u.int_in_range(0..=5_000)?);

            level.on_fullness(at, fullness);

            assert!((0.0..=1.0).contains(&level.share()), "{}", level.share());
        }
        Ok(())
    });
}

#[test]
fn refusals_tell_that_engines_are_full_and_two_of_them_do_not() {
    let now = Instant::now();
    let (mut few, mut many) = (RefusalShare::default(), RefusalShare::default());

    (0..2).for_each(|_| few.on_refused(now));
    (0..10).for_each(|_| many.on_refused(now));

    assert!(few.fullness(now) < 0.8);
    assert_eq!(many.fullness(now), 1.0);
}

#[test]
fn refusals_are_forgotten_after_some_seconds() {
    let now = Instant::now();
    let mut evidence = RefusalShare::default();
    (0..10).for_each(|_| evidence.on_refused(now));

    assert!(evidence.fullness(now + Duration::from_secs(6)) < 0.8);
}

#[test]
fn a_clock_that_is_read_late_does_not_forget_twice() {
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    let mut evidence = RefusalShare::default();
    (0..4).for_each(|_| evidence.on_refused(later));

    evidence.fullness(now);

    assert_eq!(evidence.fullness(later), 1.0);
}

/// The load: a small fleet whose calm day has a crest that its engines just hold. Callers who were held back there
/// would have been served in time.
#[test]
fn a_crest_a_little_above_the_aim_holds_nobody_back() {
    let start = Instant::now();
    let mut level = Level::default();
    let crest = [0.85, 0.87, 0.89, 0.91, 0.93, 0.94, 0.93, 0.92, 0.90, 0.88];

    for (number, fullness) in crest.into_iter().enumerate() {
        level.on_fullness(start + NEWS * number as u32, fullness);

        assert_eq!(level.share(), 1.0, "{fullness}");
    }
}
