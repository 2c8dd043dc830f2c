//! How often requests may be sent again, beside those that are sent for the first time.

use std::time::{Duration, Instant};

/// Slices of a window; what is counted leaves one slice at a time.
const SLICES: usize = 10;

/// Bounds on sending again within a sliding window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Length of the window.
    pub window: Duration,
    /// Repeats for each first send.
    pub ratio: f64,
    /// Repeats beyond that, so that a few are possible when there is little traffic.
    pub slack: f64,
}

/// Counts first sends and repeats of one service, and says whether another repeat fits.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    limits: RetryLimits,
    began: Instant,
    slices: [Slice; SLICES],
}

#[derive(Debug, Clone, Copy, Default)]
struct Slice {
    /// Number of the slice since the beginning, to tell an old one.
    number: u128,
    firsts: u32,
    repeats: u32,
}

impl RetryBudget {
    /// A budget that nothing was drawn from.
    pub fn new(limits: RetryLimits, now: Instant) -> Self {
        Self { limits, began: now, slices: [Slice::default(); SLICES] }
    }

    /// Changes the limits; what was counted stays. The window's length is that of the beginning.
    pub fn set_limits(&mut self, limits: RetryLimits) {
        self.limits = RetryLimits { window: self.limits.window, ..limits };
    }

    /// Notes a request that is sent for the first time.
    pub fn on_first(&mut self, now: Instant) {
        self.slice(now).firsts += 1;
    }

    /// Draws one repeat, if the budget has room for it.
    pub fn try_repeat(&mut self, now: Instant) -> bool {
        let number = self.number(now);
        let live = |slice: &&Slice| slice.number + (SLICES as u128) > number;
        let (mut firsts, mut repeats) = (0, 0);
        for slice in self.slices.iter().filter(live) {
            firsts += slice.firsts;
            repeats += slice.repeats;
        }
        let room = self.limits.ratio * f64::from(firsts) + self.limits.slack;
        if f64::from(repeats) + 1.0 > room {
            return false;
        }
        self.slice(now).repeats += 1;
        true
    }

    fn slice(&mut self, now: Instant) -> &mut Slice {
        let number = self.number(now);
        let slice = &mut self.slices[(number % SLICES as u128) as usize];
        if slice.number != number {
            *slice = Slice { number, ..Slice::default() };
        }
        slice
    }

    fn number(&self, now: Instant) -> u128 {
        let slice_ns = (self.limits.window.as_nanos() / SLICES as u128).max(1);
        // Counted from 1: a slice of number 0 was never used.
        now.saturating_duration_since(self.began).as_nanos() / slice_ns + SLICES as u128
    }
}
