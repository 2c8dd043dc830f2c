//! Limits log lines that callers can cause with every request.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Allows one line in each interval.
#[derive(Debug)]
pub struct LogInterval {
    interval: Duration,
    last_line_at: Cell<Option<Instant>>,
}

impl LogInterval {
    /// A limit of one line in `interval`.
    pub const fn new(interval: Duration) -> Self {
        Self { interval, last_line_at: Cell::new(None) }
    }

    /// Whether a line may be written at `now`; if so, it is counted.
    pub fn allows(&self, now: Instant) -> bool {
        let is_due = |last: Instant| now.saturating_duration_since(last) >= self.interval;
        let is_allowed = self.last_line_at.get().is_none_or(is_due);
        if is_allowed {
            self.last_line_at.set(Some(now));
        }
        is_allowed
    }
}
