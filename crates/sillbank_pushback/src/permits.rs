//! Permits to send, which open one after the other at a rate.

use std::time::Instant;

/// How long an open permit may be used, in seconds. With a longer time, VMs that were idle could all send at the
/// same moment; a request that comes slightly later than its permit may still use it.
const PERMIT_TTL_S: f64 = 1.0;

/// Permits of one VM to send to one endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Permits {
    rate_per_s: f64,
    /// One permit is open from 0 on, two from 1 on. A value below 0 is the negative fraction of the interval that is
    /// left until the next permit.
    level: f64,
    updated_at: Instant,
}

impl Permits {
    /// Creates permits of which none is open. `draw`, from 0 to 1, is the elapsed fraction of the first interval: VMs
    /// that start together do not send together.
    pub(crate) fn new(draw: f64, now: Instant) -> Self {
        Self { rate_per_s: 0.0, level: draw.clamp(0.0, 1.0 - f64::EPSILON) - 1.0, updated_at: now }
    }

    /// Changes the rate. The elapsed fraction of the current interval is kept.
    pub(crate) fn set_rate(&mut self, per_s: f64, now: Instant) {
        self.advance(now);
        self.rate_per_s = per_s.max(0.0);
        self.expire_old();
    }

    /// Whether a permit is open.
    pub(crate) fn is_open(&mut self, now: Instant) -> bool {
        self.advance(now);
        self.rate_per_s > 0.0 && self.level >= 0.0
    }

    /// Uses the oldest permit. A send without a permit delays the next one.
    pub(crate) fn take(&mut self, now: Instant) {
        self.advance(now);
        self.level -= 1.0;
    }

    fn advance(&mut self, now: Instant) {
        self.level +=
            self.rate_per_s * now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        self.expire_old();
    }

    /// Expires permits that were open for too long.
    fn expire_old(&mut self) {
        let expired = (self.level - self.rate_per_s * PERMIT_TTL_S).max(0.0);
        self.level -= expired.ceil();
    }
}
