//! How often requests may be sent again, beside those that are sent for the first time.
//!
//! Many VMs share one budget and do not ask one another. Each keeps, for every window that its next
//! repeat would fall into, `repeats <= slack + ratio * first sends`, with the first sends of the
//! window *before* that one. Both sides are sums over VMs, so what holds at each VM holds for the
//! fleet, however requests are split over VMs. First sends of the window itself are not counted:
//! they may still move to another VM, which would count them a second time.

use std::time::{Duration, Instant};

/// Slices of a window. What is counted enters and leaves a slice at a time, always to the safe side,
/// so one part in 50 of the budget is not used.
const SLICES: u64 = 50;
/// Slices that are kept: of a window, of the one before it, and one that each of them shares.
const KEPT_SLICES: usize = 2 * SLICES as usize + 2;

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
    slices: [Slice; KEPT_SLICES],
}

#[derive(Debug, Clone, Copy, Default)]
struct Slice {
    /// Number of the slice since the beginning, to tell an old one.
    number: u64,
    firsts: u32,
    repeats: u32,
}

impl RetryBudget {
    /// A budget that nothing was drawn from. `began` is when the process began: the process before
    /// it may have drawn its slack until then, so slack is given a window later.
    pub fn new(limits: RetryLimits, began: Instant) -> Self {
        Self { limits, began, slices: [Slice::default(); KEPT_SLICES] }
    }

    /// Changes the limits; what was counted stays. The window's length is that of the beginning.
    pub fn set_limits(&mut self, limits: RetryLimits) {
        self.limits = RetryLimits { window: self.limits.window, ..limits };
    }

    /// Notes a request that is sent for the first time.
    pub fn on_first(&mut self, now: Instant) {
        self.slice_now(now).firsts += 1;
    }

    /// Draws one repeat, if the budget has room for it.
    pub fn try_repeat(&mut self, now: Instant) -> bool {
        let fits = self.fits_one_more(now);
        if fits {
            self.slice_now(now).repeats += 1;
        }
        fits
    }

    /// Whether one more repeat keeps every window that it falls into. They begin in any of the slices
    /// of the last window, so that all of their repeats that are known are those since then.
    fn fits_one_more(&self, now: Instant) -> bool {
        let slack = if now >= self.began + self.limits.window { self.limits.slack } else { 0.0 };
        let newest = self.number(now);
        let mut repeats = 1.0;
        let mut firsts: f64 = (1..SLICES).map(|back| f64::from(self.at(newest, back).firsts)).sum();
        for back in 0..=SLICES {
            repeats += f64::from(self.at(newest, back).repeats);
            if repeats > slack + self.limits.ratio * firsts {
                return false;
            }
            firsts += f64::from(self.at(newest, back + SLICES).firsts);
            firsts -= f64::from(self.at(newest, back + 1).firsts);
        }
        true
    }

    /// The slice so many before another; empty if nothing was counted in it.
    fn at(&self, newest: u64, back: u64) -> Slice {
        let Some(number) = newest.checked_sub(back) else {
            return Slice::default();
        };
        let slice = self.slices[number as usize % KEPT_SLICES];
        if slice.number == number { slice } else { Slice::default() }
    }

    fn slice_now(&mut self, now: Instant) -> &mut Slice {
        let number = self.number(now);
        let slice = &mut self.slices[number as usize % KEPT_SLICES];
        if slice.number != number {
            *slice = Slice { number, ..Slice::default() };
        }
        slice
    }

    /// Counted from 1: a slice of number 0 was never used.
    fn number(&self, now: Instant) -> u64 {
        let slice_ns = (self.limits.window.as_nanos() / u128::from(SLICES)).max(1);
        let passed = now.saturating_duration_since(self.began).as_nanos() / slice_ns;
        u64::try_from(passed).unwrap_or(u64::MAX - 1) + 1
    }
}
