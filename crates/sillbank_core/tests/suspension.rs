//! A suspension is told from two clocks, once, and never where there was none.

use sillbank_core::suspension::{ClockReading, SuspensionWatch};
use std::time::Duration;

fn reading(since_start_ms: u64, steady_ms: u64) -> ClockReading {
    ClockReading {
        since_start: Duration::from_millis(since_start_ms),
        steady: Duration::from_millis(steady_ms),
    }
}

#[test]
fn a_suspension_is_told_once() {
    // Arrange
    let mut watch = SuspensionWatch::new(reading(50_000, 40_000));

    // Act
    let before = watch.on_reading(reading(60_000, 50_000));
    let after = watch.on_reading(reading(68_000, 51_000));
    let again = watch.on_reading(reading(69_000, 52_000));

    // Assert
    assert_eq!((before, after, again), (None, Some(Duration::from_secs(7)), None));
}

#[test]
fn a_pause_between_the_two_readings_is_no_suspension() {
    // Arrange
    let mut watch = SuspensionWatch::new(reading(50_000, 40_000));

    // Act
    let paused = watch.on_reading(reading(60_000, 50_400));
    let after = watch.on_reading(reading(61_000, 51_000));

    // Assert
    assert_eq!((paused, after), (None, None));
}
