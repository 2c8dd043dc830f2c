//! Estimates how long a caller has already waited from the time it has left.
//!
//! Callers send the time that is left to them, not their start time, and each has its own total. While
//! no request is refused, all requests are first tries, so the shortest time among them is the least that a first
//! try has. A caller with less has spent the difference: it was refused before and retries.

use std::time::Duration;

/// Requests after which the shortest time is learnt anew, because callers with little time are few and the callers
/// of a route change.
const RESET_AFTER_REQUESTS: u32 = 128;
/// Requests from which the shortest time is trusted.
const MIN_REQUESTS: u32 = 8;

/// The least time that first tries of one route have at one VM.
#[derive(Debug, Clone, Default)]
pub struct ElapsedEstimator {
    requests: u32,
    shortest: Option<Duration>,
    /// The shortest time of the period before.
    previous_shortest: Option<Duration>,
}

impl ElapsedEstimator {
    /// Records the time left of a first try.
    pub fn record_first_try(&mut self, time_left: Duration) {
        if self.requests == RESET_AFTER_REQUESTS {
            self.previous_shortest = self.shortest.take();
            self.requests = 0;
        }
        self.requests += 1;
        self.shortest = Some(self.shortest.map_or(time_left, |shortest| shortest.min(time_left)));
    }

    /// Least time that a caller with `time_left` has already waited; zero while too few requests were recorded.
    pub fn elapsed(&self, time_left: Duration) -> Duration {
        if self.requests < MIN_REQUESTS && self.previous_shortest.is_none() {
            return Duration::ZERO;
        }
        let known = [self.shortest, self.previous_shortest];
        let shortest = known.into_iter().flatten().min();
        shortest.map_or(Duration::ZERO, |shortest| shortest.saturating_sub(time_left))
    }
}
