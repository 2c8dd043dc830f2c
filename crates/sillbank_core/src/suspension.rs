//! Detection of machine suspensions by comparing two clocks.
//!
//! The monotonic clock stops during a suspension, so data confirmed before it seems as fresh afterwards as it
//! was before. The boot clock keeps counting; the difference of the two is the time spent suspended.

use std::time::Duration;

/// Shortest suspension that is reported. A shorter one adds no more staleness than a late timer does.
const MIN_SUSPENSION: Duration = Duration::from_millis(50);

/// Both clocks, read one after the other, the boot clock first. A pause between the two reads makes a suspension
/// look shorter, never longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockReading {
    /// Time since boot, including suspensions.
    pub boottime: Duration,
    /// Time since boot, excluding suspensions.
    pub monotonic: Duration,
}

impl ClockReading {
    fn suspended(&self) -> Duration {
        self.boottime.saturating_sub(self.monotonic)
    }
}

/// Reports each suspension of the machine once.
#[derive(Debug)]
pub struct SuspensionDetector {
    /// Total suspended time when a suspension was last reported.
    reported: Duration,
}

impl SuspensionDetector {
    /// Creates a detector that reports suspensions after this reading.
    pub fn new(first: ClockReading) -> Self {
        Self { reported: first.suspended() }
    }

    /// Returns for how long the machine was suspended since the last reported suspension, if it was.
    pub fn on_reading(&mut self, reading: ClockReading) -> Option<Duration> {
        let more = reading.suspended().checked_sub(self.reported)?;
        if more < MIN_SUSPENSION {
            return None;
        }
        self.reported = reading.suspended();
        Some(more)
    }
}
