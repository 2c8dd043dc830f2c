//! How long a stream may be silent before it is checked.

use sillbank_gateway::streams::{Silence, SilenceTimer};
use std::time::Duration;

const GAP_OBJECTIVE: Duration = Duration::from_millis(300);

/// Time until a stream that receives no data has been silent for long.
fn time_until_long(timer: &mut SilenceTimer) -> Duration {
    let mut waited = Duration::ZERO;
    loop {
        waited += timer.wait();
        if timer.on_silence() == Silence::Long {
            return waited;
        }
    }
}

/// The first check leaves at least half of the gap objective for moving the stream.
#[test]
fn first_check_comes_within_half_of_the_gap_objective() {
    let mut timer = SilenceTimer::new(Some(GAP_OBJECTIVE));

    let first = timer.wait();

    assert_eq!(timer.on_silence(), Silence::Short(first));
    assert!(first <= GAP_OBJECTIVE / 2, "{first:?}");
}

/// A stream without a gap objective is checked only after a long silence.
#[test]
fn without_gap_objective_only_long_silences_are_checked() {
    let mut timer = SilenceTimer::new(None);

    assert_eq!(timer.on_silence(), Silence::Long);
}

/// A short silence before it does not delay the long one.
#[test]
fn short_check_does_not_delay_the_long_one() {
    let mut with_short = SilenceTimer::new(Some(GAP_OBJECTIVE));
    let mut without = SilenceTimer::new(None);

    assert_eq!(time_until_long(&mut with_short), time_until_long(&mut without));
}

/// A stream whose pauses are long causes only one or two false alarms.
#[test]
fn false_alarms_back_off() {
    let mut timer = SilenceTimer::new(Some(GAP_OBJECTIVE));
    let mut short_silences = 0;

    for _ in 0..100 {
        timer.on_data(GAP_OBJECTIVE);
        if timer.on_silence() != Silence::Long {
            short_silences += 1;
            timer.on_false_alarm();
        }
    }

    assert!((1..=2).contains(&short_silences), "{short_silences}");
}

/// A stream with frequent events is checked sooner than one with long pauses.
#[test]
fn fast_stream_is_checked_sooner() {
    let (mut quick, mut slow) =
        (SilenceTimer::new(Some(GAP_OBJECTIVE)), SilenceTimer::new(Some(GAP_OBJECTIVE)));

    for _ in 0..20 {
        quick.on_data(Duration::from_millis(35));
        slow.on_data(Duration::from_millis(120));
    }

    assert!(quick.wait() <= Duration::from_millis(100), "{:?}", quick.wait());
    assert_eq!(slow.wait(), GAP_OBJECTIVE / 2);
}

/// Data that arrives within the same event does not shorten the usual pause.
#[test]
fn fragments_of_an_event_are_not_pauses() {
    let mut timer = SilenceTimer::new(Some(GAP_OBJECTIVE));

    for _ in 0..20 {
        timer.on_data(Duration::from_millis(60));
        timer.on_data(Duration::from_millis(1));
    }

    assert!(timer.wait() >= Duration::from_millis(120), "{:?}", timer.wait());
}
