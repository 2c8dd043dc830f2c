//! What forecasts are to be multiplied by, learnt from how they came true.

use std::time::Duration;

/// Least and largest factor. What is further off than that is a fault, of figures or of engines, that a factor
/// would hide.
const BOUNDS: (f64, f64) = (0.5, 2.0);
/// Weight of a new stream: a mean over some fifty, a few seconds of one VM's streams.
const GAIN: f64 = 0.02;

/// A factor on forecasts, from 0.5 to 2.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Correction {
    factor: f64,
}

impl Default for Correction {
    /// Nothing was learnt: forecasts stand.
    fn default() -> Self {
        Self { factor: 1.0 }
    }
}

impl Correction {
    /// A forecast, corrected.
    pub fn apply(&self, forecast: Duration) -> Duration {
        forecast.mul_f64(self.factor)
    }

    /// Learns from what was forecast, uncorrected, and seen. Without a forecast nothing is learnt.
    pub fn learn(&mut self, forecast: Duration, seen: Duration) {
        if forecast.is_zero() {
            return;
        }
        let ratio = seen.as_secs_f64() / forecast.as_secs_f64();
        self.factor += GAIN * (ratio.clamp(BOUNDS.0, BOUNDS.1) - self.factor);
    }

    /// The factor.
    pub fn factor(&self) -> f64 {
        self.factor
    }
}
