//! The machine's clocks beyond those of the standard library.

use rustix::time::{ClockId, Timespec, clock_gettime};
use sillbank_core::suspension::ClockReading;
use std::time::Duration;

/// Reads the clocks that tell whether the machine was suspended.
pub fn read_clocks() -> ClockReading {
    let boottime = to_duration(clock_gettime(ClockId::Boottime));
    let monotonic = to_duration(clock_gettime(ClockId::Monotonic));
    ClockReading { boottime, monotonic }
}

fn to_duration(time: Timespec) -> Duration {
    // Neither clock is ever below zero.
    Duration::try_from(time).unwrap_or(Duration::ZERO)
}
