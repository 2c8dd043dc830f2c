//! Permits to send, which open one after the other at some pace.

use std::time::Instant;

/// How long an open permit may be used. Permits that were kept for long would let VMs that were idle all send at
/// one moment; a request that comes somewhat later than its permit may still use it.
const OPEN_FOR_S: f64 = 1.0;

/// Permits of one VM to send to one endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Permits {
    pace_per_s: f64,
    /// From 0 on a permit is open, from 1 on two. Below 0, the part of the pause that is left until the next one.
    level: f64,
    at: Instant,
}

impl Permits {
    /// None is open. `draw`, from 0 to 1, is the part of the first pause that has passed: VMs that begin
    /// together do not send together.
    pub(crate) fn new(draw: f64, now: Instant) -> Self {
        Self { pace_per_s: 0.0, level: draw.clamp(0.0, 1.0 - f64::EPSILON) - 1.0, at: now }
    }

    /// Changes the pace. What has passed of a pause stays passed.
    pub(crate) fn set_pace(&mut self, per_s: f64, now: Instant) {
        self.pass_time(now);
        self.pace_per_s = per_s.max(0.0);
        self.end_old();
    }

    /// Whether a permit is open.
    pub(crate) fn is_open(&mut self, now: Instant) -> bool {
        self.pass_time(now);
        self.pace_per_s > 0.0 && self.level >= 0.0
    }

    /// Uses the oldest permit. A send without one is made up for before the next.
    pub(crate) fn take(&mut self, now: Instant) {
        self.pass_time(now);
        self.level -= 1.0;
    }

    fn pass_time(&mut self, now: Instant) {
        self.level += self.pace_per_s * now.saturating_duration_since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.end_old();
    }

    /// Ends permits that were open for too long.
    fn end_old(&mut self) {
        let old = (self.level - self.pace_per_s * OPEN_FOR_S).max(0.0);
        self.level -= old.ceil();
    }
}
