//! How long a stream may be silent before it is checked.

use sillbank_gateway::streams::{Silence, SilenceTimer};
use std::time::Duration;

const GAP: Duration = Duration::from_millis(300);

/// Time until a stream that receives no data has been silent for long.
fn until_long(timer: &mut SilenceTimer) -> Duration {
    let mut waited = Duration::ZERO;
    loop {
        waited += timer.wait();
        if timer.on_silence() == Silence::Long {
            return waited;
        }
    }
}

#[test]
fn the_first_silence_leaves_time_to_move_within_the_longest_pause_in_time() {
    let mut timer = SilenceTimer::new(Some(GAP));

    let first = timer.wait();

    assert_eq!(timer.on_silence(), Silence::Short(first));
    assert!(first <= GAP / 2, "{first:?}");
}

#[test]
fn a_stream_without_such_a_pause_is_looked_at_when_it_has_stood_still_for_long() {
    let mut timer = SilenceTimer::new(None);

    assert_eq!(timer.on_silence(), Silence::Long);
}

#[test]
fn a_long_silence_comes_no_later_because_of_a_short_one() {
    let mut with_short = SilenceTimer::new(Some(GAP));
    let mut without = SilenceTimer::new(None);

    assert_eq!(until_long(&mut with_short), until_long(&mut without));
}

#[test]
fn a_stream_whose_pauses_are_long_is_asked_about_less_and_less() {
    let mut timer = SilenceTimer::new(Some(GAP));
    let mut short_silences = 0;

    for _ in 0..100 {
        timer.on_heard(GAP);
        if timer.on_silence() != Silence::Long {
            short_silences += 1;
            timer.on_false_alarm();
        }
    }

    assert!((1..=2).contains(&short_silences), "{short_silences}");
}

#[test]
fn a_stream_whose_events_come_quickly_is_asked_about_sooner() {
    let (mut quick, mut slow) = (SilenceTimer::new(Some(GAP)), SilenceTimer::new(Some(GAP)));

    for _ in 0..20 {
        quick.on_heard(Duration::from_millis(35));
        slow.on_heard(Duration::from_millis(120));
    }

    assert!(quick.wait() <= Duration::from_millis(100), "{:?}", quick.wait());
    assert_eq!(slow.wait(), GAP / 2);
}

#[test]
fn parts_of_one_event_are_no_pauses() {
    let mut timer = SilenceTimer::new(Some(GAP));

    for _ in 0..20 {
        timer.on_heard(Duration::from_millis(60));
        timer.on_heard(Duration::from_millis(1));
    }

    assert!(timer.wait() >= Duration::from_millis(120), "{:?}", timer.wait());
}
