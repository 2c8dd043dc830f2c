//! Backoff between calls to a store that does not answer.

use crate::freshness::Freshness;
use crate::hall::Hall;
use std::time::{Duration, Instant};

/// Pause after the first failed call; doubled up to [`Hall::max_retry_pause`] and multiplied by a
/// random share, so that VMs do not all retry at once. The share is larger than 1 for some VMs of a
/// large hall, by [`Hall::retry_spread`]. A hall's acting leader takes the maximum pause without a
/// random share.
const INITIAL_PAUSE: Duration = Duration::from_millis(100);
/// Minimum random share of a pause. With 0.5, the VMs of a hall whose calls had all failed retried
/// only after half of the longest pause, and none of them sooner.
const MIN_RANDOM_SHARE: f64 = 0.1;
/// Maximum number of doublings of the first pause.
const MAX_DOUBLINGS: u32 = 8;

/// Counts consecutive failed calls.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Starts the pause after another failed call. `random` is a random number from 0 to 1.
    pub fn next_pause(&mut self, now: Instant, random: f64) -> Pause {
        let exponential = INITIAL_PAUSE.saturating_mul(1 << self.failures.min(MAX_DOUBLINGS));
        self.failures += 1;
        Pause { started_at: now, exponential, random: random.clamp(0.0, 1.0) }
    }
}

/// A pause that has started.
#[derive(Debug, Clone, Copy)]
pub struct Pause {
    started_at: Instant,
    exponential: Duration,
    random: f64,
}

impl Pause {
    /// Time left of the pause. It is to be computed again and again: a pause that is short enough
    /// while the leader is live is too long once the leader is lost.
    pub fn remaining(&self, now: Instant, hall: &Hall, freshness: Freshness) -> Duration {
        let max_pause = hall.max_retry_pause(now, freshness);
        // A single failed call shows that the store is unreachable for both; the leader keeps
        // trying.
        let full =
            if hall.leader_is_live(now) { max_pause } else { self.exponential.min(max_pause) };
        // No other VM of the hall retries along with its acting leader, whose first pauses were
        // random. With a random share of the maximum pause as well, it called 3.4 times a second
        // where two calls a second serve the hall as well.
        let is_randomised = hall.acting_fence.get().is_none() || full < max_pause;
        let random_range = (1.0 - MIN_RANDOM_SHARE) * hall.retry_spread(now);
        let random_share =
            if is_randomised { MIN_RANDOM_SHARE + random_range * self.random } else { 1.0 };
        (self.started_at + full.mul_f64(random_share)).saturating_duration_since(now)
    }
}
