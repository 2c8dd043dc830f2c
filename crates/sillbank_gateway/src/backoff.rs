//! Pauses between calls to a store that does not answer.

use crate::freshness::Freshness;
use crate::hall::Hall;
use std::time::{Duration, Instant};

/// First pause after a call that failed; doubled up to [`Hall::max_retry_pause`], and drawn from a part to the
/// whole of that, so that VMs do not come back all at once. The one that tells its hall takes the longest whole.
const PAUSE_MIN: Duration = Duration::from_millis(100);
/// Shortest part of a pause that is drawn. At a half, the VMs of a hall that had all called in vain
/// looked again only after half of the longest pause, and nobody in between.
const LEAST_SHARE: f64 = 0.1;
/// Doublings of the first pause that are counted.
const MOST_DOUBLINGS: u32 = 8;

/// Calls that failed one after the other.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// The pause after one more call that failed; `draw` is chance, from 0 to 1.
    pub fn next_pause(&mut self, now: Instant, draw: f64) -> Pause {
        let by_failures = PAUSE_MIN.saturating_mul(1 << self.failures.min(MOST_DOUBLINGS));
        self.failures += 1;
        let share = LEAST_SHARE + (1.0 - LEAST_SHARE) * draw.clamp(0.0, 1.0);
        Pause { began: now, by_failures, share }
    }
}

/// A pause that has begun.
#[derive(Debug, Clone, Copy)]
pub struct Pause {
    began: Instant,
    by_failures: Duration,
    share: f64,
}

impl Pause {
    /// What is left of it. What is sufficient while the leader is there is too long when it is lost, so that
    /// is to be looked at again and again.
    pub fn left(&self, now: Instant, hall: &Hall, freshness: Freshness) -> Duration {
        let longest = hall.max_retry_pause(now, freshness);
        // One call in vain shows that the store is away for both; the leader goes on looking.
        let whole = if hall.leader_is_live(now) { longest } else { self.by_failures.min(longest) };
        // A VM that tells its hall has no crowd beside it, and its first pauses were drawn. With part of the
        // longest one each time, it looked 3.4 times a second where its hall is served as well by two.
        let is_drawn = hall.acting_fence.get().is_none() || whole < longest;
        let share = if is_drawn { self.share } else { 1.0 };
        (self.began + whole.mul_f64(share)).saturating_duration_since(now)
    }
}
