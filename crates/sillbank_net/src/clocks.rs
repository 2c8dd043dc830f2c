//! System clocks that the standard library does not provide.

use rustix::time::{ClockId, Timespec, clock_gettime};
use sillbank_core::suspension::ClockReading;
use std::time::Duration;

/// Reads the boot clock and the monotonic clock, whose difference shows suspensions of the machine.
pub fn read_clocks() -> ClockReading {
    let boottime = to_duration(clock_gettime(ClockId::Boottime));
    let monotonic = to_duration(clock_gettime(ClockId::Monotonic));
    ClockReading { boottime, monotonic }
}

fn to_duration(time: Timespec) -> Duration {
    // Neither clock is ever negative.
    Duration::try_from(time).unwrap_or(Duration::ZERO)
}
