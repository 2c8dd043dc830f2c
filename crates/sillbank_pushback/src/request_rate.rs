//! Rate at which a VM would send to an endpoint.

use std::time::Instant;

/// Time constant of the rate: long enough to cover several requests, short enough to follow callers that come and go.
const RATE_TIME_S: f64 = 2.0;

/// Exponentially weighted rate of requests per second.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestRate {
    per_s: f64,
    updated_at: Instant,
}

impl RequestRate {
    pub(crate) fn new(now: Instant) -> Self {
        Self { per_s: 0.0, updated_at: now }
    }

    /// Counts a request that is or would be sent to the endpoint.
    pub(crate) fn count(&mut self, now: Instant) {
        self.per_s = self.per_s(now) + 1.0 / RATE_TIME_S;
        self.updated_at = now;
    }

    pub(crate) fn per_s(&self, now: Instant) -> f64 {
        let age_s = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.per_s * (-age_s / RATE_TIME_S).exp()
    }
}
