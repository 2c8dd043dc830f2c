//! How often a VM would send to an endpoint.

use std::time::Instant;

/// Time over which requests are counted: long enough for some to come, short enough to follow callers that come and go.
const COUNTED_OVER_S: f64 = 2.0;

/// Requests a second, the older ones counting less and less.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WantedRate {
    per_s: f64,
    at: Instant,
}

impl WantedRate {
    pub(crate) fn new(now: Instant) -> Self {
        Self { per_s: 0.0, at: now }
    }

    /// A request came that would be sent there.
    pub(crate) fn count(&mut self, now: Instant) {
        self.per_s = self.per_s(now) + 1.0 / COUNTED_OVER_S;
        self.at = now;
    }

    pub(crate) fn per_s(&self, now: Instant) -> f64 {
        let since_s = now.saturating_duration_since(self.at).as_secs_f64();
        self.per_s * (-since_s / COUNTED_OVER_S).exp()
    }
}
