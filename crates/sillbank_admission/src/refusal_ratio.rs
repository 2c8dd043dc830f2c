//! Estimates how full engines are from the ratio of a VM's sends that they refuse.
//!
//! Used when no reports of the engines' fullness arrive: the leader is down, partitioned or silent.

use std::time::{Duration, Instant};

/// Time constant of the decay of counted sends; equals the time for which reports of engines are valid.
const DECAY_TIME_S: f64 = 2.0;
/// Sends below which no conclusion is drawn: one refusal of two sends does not show an overload.
const MIN_SENDS: f64 = 3.0;
/// Ratio of refused sends at which engines are considered full.
const FULL_REFUSAL_RATIO: f64 = 0.5;
/// Fullness that is assumed without refusals; no request is shed at this value.
const FULLNESS_WITHOUT_REFUSALS: f64 = 0.7;

/// Sends of one VM to the engines of a service, and their refusals.
#[derive(Debug, Clone, Default)]
pub struct RefusalRatio {
    sends: f64,
    refusals: f64,
    updated_at: Option<Instant>,
}

impl RefusalRatio {
    /// Records a request that an engine admitted.
    pub fn record_admitted(&mut self, now: Instant) {
        self.decay(now);
        self.sends += 1.0;
    }

    /// Records a request that an engine refused because it was full.
    pub fn record_refused(&mut self, now: Instant) {
        self.decay(now);
        self.sends += 1.0;
        self.refusals += 1.0;
    }

    /// Fullness of the engines estimated from refusals alone, from 0 to 1.
    pub fn fullness(&mut self, now: Instant) -> f64 {
        self.decay(now);
        if self.sends < MIN_SENDS {
            return FULLNESS_WITHOUT_REFUSALS;
        }
        let full = (self.refusals / self.sends / FULL_REFUSAL_RATIO).min(1.0);
        FULLNESS_WITHOUT_REFUSALS + (1.0 - FULLNESS_WITHOUT_REFUSALS) * full
    }

    fn decay(&mut self, now: Instant) {
        let age = self.updated_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let factor = (-age.as_secs_f64() / DECAY_TIME_S).exp();
        self.sends *= factor;
        self.refusals *= factor;
        self.updated_at = self.updated_at.max(Some(now));
    }
}
