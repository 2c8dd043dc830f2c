//! How long a machine was suspended, by two of its clocks.
//!
//! The steady clock does not count a suspension, so what was confirmed before it looks as fresh afterwards as it
//! was. The clock that counts from the machine's start does.

use std::time::Duration;

/// Shortest suspension that is told. Shorter ones make knowledge no older than a late timer does.
const SHORTEST: Duration = Duration::from_millis(50);

/// Both clocks, read one after the other: first the one that counts suspensions. A pause between the two makes a
/// suspension look shorter, never longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockReading {
    /// Time since the machine's start, with suspensions.
    pub since_start: Duration,
    /// The steady clock.
    pub steady: Duration,
}

impl ClockReading {
    fn suspended(&self) -> Duration {
        self.since_start.saturating_sub(self.steady)
    }
}

/// Tells of suspensions, each once.
#[derive(Debug)]
pub struct SuspensionWatch {
    /// Time that the machine had been suspended when that was last told.
    told: Duration,
}

impl SuspensionWatch {
    /// Tells of suspensions after a reading.
    pub fn new(first: ClockReading) -> Self {
        Self { told: first.suspended() }
    }

    /// For how long the machine was suspended since the last reading, if it was.
    pub fn on_reading(&mut self, reading: ClockReading) -> Option<Duration> {
        let more = reading.suspended().checked_sub(self.told)?;
        if more < SHORTEST {
            return None;
        }
        self.told = reading.suspended();
        Some(more)
    }
}
