//! When refused callers are told to come back.

use sillbank_admission::returns::ReturnTimes;
use std::time::{Duration, Instant};

/// Times after 10 requests a second were let in for 10 s, and the moment after that.
fn busy_times() -> (ReturnTimes, Instant) {
    let start = Instant::now();
    let mut times = ReturnTimes::new(start);
    let pause = Duration::from_millis(100);
    (1..=100).for_each(|number| times.on_let_in(start + pause * number));
    (times, start + pause * 100)
}

#[test]
fn callers_refused_at_once_come_back_one_after_the_other() {
    let (mut times, now) = busy_times();

    let told: Vec<Duration> = (0..4).map(|_| times.on_refused(now)).collect();

    // A quarter of 10 a second comes back: 0.4 s apart.
    let pauses: Vec<f64> = told.windows(2).map(|pair| (pair[1] - pair[0]).as_secs_f64()).collect();
    assert!(pauses.iter().all(|pause| (0.3..0.5).contains(pause)), "{pauses:?}");
    assert!(told[0] >= Duration::from_millis(500), "{told:?}");
}

#[test]
fn the_longer_a_shortage_has_lasted_the_later_callers_come_back() {
    let (mut times, now) = busy_times();
    let half_second = Duration::from_millis(500);
    let let_in_until = |times: &mut ReturnTimes, at: Instant| {
        (0..5).for_each(|_| times.on_let_in(at));
        times.on_refused(at)
    };

    let first = let_in_until(&mut times, now);
    let told: Vec<Duration> =
        (1..=8).map(|number| let_in_until(&mut times, now + half_second * number)).collect();

    assert!(first < Duration::from_secs(1), "{first:?}");
    assert!(told[7] >= Duration::from_secs(4), "{told:?}");
}

#[test]
fn a_shortage_after_a_quiet_second_is_a_new_one() {
    let (mut times, now) = busy_times();
    (0..10).for_each(|number| {
        times.on_let_in(now + Duration::from_millis(500) * number);
        times.on_refused(now + Duration::from_millis(500) * number);
    });
    let later = now + Duration::from_secs(30);
    (0..20).for_each(|_| times.on_let_in(later));

    let told = times.on_refused(later);

    assert!(told < Duration::from_secs(1), "{told:?}");
}

#[test]
fn nobody_is_told_more_than_is_known() {
    let mut times = ReturnTimes::new(Instant::now());
    let now = Instant::now();

    let told: Vec<Duration> = (0..100).map(|_| times.on_refused(now)).collect();

    assert!(told.iter().all(|told| *told <= Duration::from_secs(30)), "{told:?}");
}

/// A VM of a large fleet sees a request a second, or none for a while: one refusal is no crowd.
#[test]
fn a_single_caller_at_a_vm_that_let_nobody_in_comes_back_soon() {
    let now = Instant::now();
    let mut times = ReturnTimes::new(now);

    let told = times.on_refused(now + Duration::from_secs(8));

    assert_eq!(told, Duration::from_millis(500));
}

#[test]
fn callers_at_a_vm_that_lets_nobody_in_come_back_two_seconds_apart() {
    let now = Instant::now();
    let mut times = ReturnTimes::new(now);

    let told: Vec<Duration> = (0..3).map(|_| times.on_refused(now)).collect();

    let pauses: Vec<Duration> = told.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert_eq!(pauses, vec![Duration::from_secs(2); 2]);
}
