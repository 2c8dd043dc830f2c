//! What a VM sees itself of how full engines are: the part of its sends that they refuse.
//!
//! It counts where nothing is known of the engines' fullness: the leader is gone, cut off or silent.

use std::time::{Duration, Instant};

/// Time over which sends count. As long as news of engines are believed to hold.
const WEIGHT_TIME_S: f64 = 2.0;
/// Sends below which nothing is concluded: one refusal of two sends is no evidence of a crowd.
const LEAST_SENDS: f64 = 3.0;
/// Part of its sends that are refused from which a VM takes the engines for full.
const FULL_FROM: f64 = 0.5;
/// Fullness without a refusal: nobody is held back.
const WITHOUT_REFUSALS: f64 = 0.7;

/// Sends of one VM to the engines of a service, and their refusals.
#[derive(Debug, Clone, Default)]
pub struct RefusalShare {
    sends: f64,
    refusals: f64,
    at: Option<Instant>,
}

impl RefusalShare {
    /// An engine let a request in.
    pub fn on_let_in(&mut self, now: Instant) {
        self.fade(now);
        self.sends += 1.0;
    }

    /// An engine refused a request for want of room.
    pub fn on_refused(&mut self, now: Instant) {
        self.fade(now);
        self.sends += 1.0;
        self.refusals += 1.0;
    }

    /// Fullness of the engines by this evidence alone, from 0 to 1.
    pub fn fullness(&mut self, now: Instant) -> f64 {
        self.fade(now);
        if self.sends < LEAST_SENDS {
            return WITHOUT_REFUSALS;
        }
        let full = (self.refusals / self.sends / FULL_FROM).min(1.0);
        WITHOUT_REFUSALS + (1.0 - WITHOUT_REFUSALS) * full
    }

    fn fade(&mut self, now: Instant) {
        let age = self.at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let kept = (-age.as_secs_f64() / WEIGHT_TIME_S).exp();
        self.sends *= kept;
        self.refusals *= kept;
        self.at = self.at.max(Some(now));
    }
}
