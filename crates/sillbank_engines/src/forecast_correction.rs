//! Correction factor for forecasts, learnt from observed times.

use std::time::Duration;

/// Minimum and maximum factor. A larger error is a fault of the figures or the engines, which the
/// factor must not hide.
const FACTOR_BOUNDS: (f64, f64) = (0.5, 2.0);
/// Weight of a new observation: an average over about fifty streams, a few seconds of one VM's streams.
const SMOOTHING: f64 = 0.02;

/// A factor on forecasts, from 0.5 to 2.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ForecastCorrection {
    factor: f64,
}

impl Default for ForecastCorrection {
    /// Leaves forecasts as they are.
    fn default() -> Self {
        Self { factor: 1.0 }
    }
}

impl ForecastCorrection {
    /// Corrects a forecast.
    pub fn apply(&self, forecast: Duration) -> Duration {
        forecast.mul_f64(self.factor)
    }

    /// Updates the factor from an uncorrected forecast and the observed time. A forecast of zero is
    /// ignored.
    pub fn observe(&mut self, forecast: Duration, observed: Duration) {
        if forecast.is_zero() {
            return;
        }
        let ratio = observed.as_secs_f64() / forecast.as_secs_f64();
        self.factor += SMOOTHING * (ratio.clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1) - self.factor);
    }

    /// The current factor.
    pub fn factor(&self) -> f64 {
        self.factor
    }
}
