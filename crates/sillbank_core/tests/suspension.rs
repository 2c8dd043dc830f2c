//! Suspensions are detected from two clocks, reported once, and never reported without cause.

use sillbank_core::suspension::{ClockReading, SuspensionDetector};
use std::time::Duration;

fn reading(boottime_ms: u64, monotonic_ms: u64) -> ClockReading {
    ClockReading {
        boottime: Duration::from_millis(boottime_ms),
        monotonic: Duration::from_millis(monotonic_ms),
    }
}

/// A suspension is reported by the first reading after it and not again.
#[test]
fn suspension_is_reported_once() {
    let mut detector = SuspensionDetector::new(reading(50_000, 40_000));

    let before = detector.on_reading(reading(60_000, 50_000));
    let after = detector.on_reading(reading(68_000, 51_000));
    let again = detector.on_reading(reading(69_000, 52_000));

    assert_eq!((before, after, again), (None, Some(Duration::from_secs(7)), None));
}

/// A pause between the reads of the two clocks is not taken for a suspension.
#[test]
fn pause_between_clock_reads_is_not_reported() {
    let mut detector = SuspensionDetector::new(reading(50_000, 40_000));

    let paused = detector.on_reading(reading(60_000, 50_400));
    let after = detector.on_reading(reading(61_000, 51_000));

    assert_eq!((paused, after), (None, None));
}
