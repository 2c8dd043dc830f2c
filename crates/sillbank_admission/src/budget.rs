//! Retry budget: limits how often requests are sent again, relative to first sends.
//!
//! Many VMs share one budget without communicating. For every window that its next retry would fall
//! into, each VM keeps `retries <= slack + ratio * first sends`, where the first sends are those of
//! the window *before* that one. Both sides are sums over VMs, so a bound that holds on each VM holds
//! for the fleet, however requests are split over VMs. First sends of the window itself are not
//! counted: their requests may still move to another VM, which would count them a second time.

use std::time::{Duration, Instant};

/// Slices of a window. Counts enter and leave the window a whole slice at a time, rounded to the safe
/// side, which leaves one part in 50 of the budget unused.
const SLICES_PER_WINDOW: u64 = 50;
/// Slices that are stored: those of a window, of the one before it, and one shared slice for each.
const STORED_SLICES: usize = 2 * SLICES_PER_WINDOW as usize + 2;

/// Limits on retries within a sliding window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Length of the window.
    pub window: Duration,
    /// Retries for each first send.
    pub ratio: f64,
    /// Additional retries, so that a few are possible under little traffic.
    pub slack: f64,
}

/// Counts first sends and retries of one service and decides whether another retry is allowed.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    limits: RetryLimits,
    started_at: Instant,
    slices: [Slice; STORED_SLICES],
}

#[derive(Debug, Clone, Copy, Default)]
struct Slice {
    /// Number of the slice since the start of the process, to detect an outdated slice.
    number: u64,
    first_sends: u32,
    retries: u32,
}

impl RetryBudget {
    /// Creates an unused budget. `started_at` is the start of the process. The slack becomes available
    /// one window later, because the preceding process may have used its slack until then.
    pub fn new(limits: RetryLimits, started_at: Instant) -> Self {
        Self { limits, started_at, slices: [Slice::default(); STORED_SLICES] }
    }

    /// Changes the limits and keeps the counts. The length of the window stays as first set.
    pub fn set_limits(&mut self, limits: RetryLimits) {
        self.limits = RetryLimits { window: self.limits.window, ..limits };
    }

    /// Records the first send of a request.
    pub fn record_first_send(&mut self, now: Instant) {
        self.current_slice(now).first_sends += 1;
    }

    /// Takes one retry from the budget, if it allows one.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        let is_allowed = self.allows_retry(now);
        if is_allowed {
            self.current_slice(now).retries += 1;
        }
        is_allowed
    }

    /// Whether one more retry is allowed: it stays within the limits of every window that contains it. These windows
    /// begin in any slice of the last window, so their known retries are those since that slice.
    pub fn allows_retry(&self, now: Instant) -> bool {
        let slack =
            if now >= self.started_at + self.limits.window { self.limits.slack } else { 0.0 };
        let newest = self.slice_number(now);
        let mut retries = 1.0;
        let mut first_sends: f64 = (1..SLICES_PER_WINDOW)
            .map(|back| f64::from(self.slice_before(newest, back).first_sends))
            .sum();
        for back in 0..=SLICES_PER_WINDOW {
            retries += f64::from(self.slice_before(newest, back).retries);
            if retries > slack + self.limits.ratio * first_sends {
                return false;
            }
            first_sends +=
                f64::from(self.slice_before(newest, back + SLICES_PER_WINDOW).first_sends);
            first_sends -= f64::from(self.slice_before(newest, back + 1).first_sends);
        }
        true
    }

    /// The slice `back` slices before the newest; empty if it holds no counts.
    fn slice_before(&self, newest: u64, back: u64) -> Slice {
        let Some(number) = newest.checked_sub(back) else {
            return Slice::default();
        };
        let slice = self.slices[number as usize % STORED_SLICES];
        if slice.number == number { slice } else { Slice::default() }
    }

    fn current_slice(&mut self, now: Instant) -> &mut Slice {
        let number = self.slice_number(now);
        let slice = &mut self.slices[number as usize % STORED_SLICES];
        if slice.number != number {
            *slice = Slice { number, ..Slice::default() };
        }
        slice
    }

    /// Number of the slice at a moment, starting at 1; number 0 marks an unused slice.
    fn slice_number(&self, now: Instant) -> u64 {
        let slice_ns = (self.limits.window.as_nanos() / u128::from(SLICES_PER_WINDOW)).max(1);
        let elapsed = now.saturating_duration_since(self.started_at).as_nanos() / slice_ns;
        u64::try_from(elapsed).unwrap_or(u64::MAX - 1) + 1
    }
}
