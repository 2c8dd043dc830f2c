//! Controls the share of requests that is admitted, so that engines stay nearly full but not overloaded.
//!
//! Observations of the engines are half a second old, and a burst fills the engines within a second. A share
//! that followed their fullness alone would oscillate between nothing and everything. The controller therefore uses
//! the error of the fullness from its target, the integral of that error, and the predicted fullness from its
//! current trend.
//!
//! The effect of a change of the share on the engines grows with the offered load: at three times the capacity,
//! 0.1 more of the share is 0.3 more of the capacity. Changes are therefore relative to the share, so that the
//! response is the same for an overload of any size. When the engines have so much free capacity that the error
//! is larger than the share, changes are relative to the error, so that the share recovers soon after an overload.
//!
//! A VM that has just started admits every request. From then on it reduces its share by the same errors as the
//! other VMs. While the others hold the engines at the target, the new VM keeps a larger share than they do, and
//! their shares fall by as much as it admits in addition.

use std::time::{Duration, Instant};

/// Target fullness. The rest is reserved for answers that become longer than predicted: engines that run out
/// of memory preempt running requests and prefill them again.
const TARGET_FULLNESS: f64 = 0.88;
/// Predicted fullness from which requests are shed; below it every request is admitted. A peak slightly above
/// [`TARGET_FULLNESS`] is harmless, as the engines are full only at 1. On a fleet of 6 VMs, 0.008 of a normal
/// day's requests were refused at its peak while this was equal to the target.
const SHEDDING_THRESHOLD: f64 = 0.98;
/// Relative change of the share for a fullness error of 1. Above about 2 the share oscillates, because
/// observations of the engines are half a second old and three times the capacity fills them within a second.
const PROPORTIONAL_GAIN: f64 = 1.5;
/// Relative change of the share per second for a fullness that is too high by 1. A step to three times the
/// capacity is followed within two seconds.
const CLOSING_GAIN_PER_S: f64 = 2.0;
/// Relative change of the share per second for a fullness that is too low by 1. Slower than closing, because
/// admitting too many requests harms those already running, and admitting too few harms only the refused ones.
const OPENING_GAIN_PER_S: f64 = 1.0;
/// Minimum of the integral term, so that relative changes can raise it again.
const MIN_INTEGRAL: f64 = 0.02;
/// Time for which fullness is extrapolated by its trend; equals the age of observations of the engines.
const LOOKAHEAD_S: f64 = 0.5;
/// Time constant of the trend: covers several observations of the engines, each of which has errors.
const TREND_TIME_S: f64 = 0.4;
/// Time without an observation after which the trend is discarded, and the longest time for which one error counts.
/// A VM with few requests closes and opens too, and after an idle time the current error does not count for all of it.
const MAX_STEP: Duration = Duration::from_secs(2);

/// What a fullness was taken from, as a hash; values of different sources are not compared.
pub type SourceTag = u64;

/// Controller of the admitted share.
#[derive(Debug, Clone)]
pub struct ShareController {
    /// Integral term of the share.
    integral: f64,
    share: f64,
    /// Whether requests are shed, or the share has not yet fully recovered.
    is_shedding: bool,
    last: Option<Observation>,
}

#[derive(Debug, Clone, Copy)]
struct Observation {
    source: SourceTag,
    at: Instant,
    fullness: f64,
    /// Change of fullness per second.
    trend: f64,
}

impl Default for ShareController {
    /// Admits every request.
    fn default() -> Self {
        Self { integral: 1.0, share: 1.0, is_shedding: false, last: None }
    }
}

impl ShareController {
    /// Updates the share from the current fullness of the engines, from 0 to 1, of the same source each time. A value that
    /// is not finite is ignored.
    pub fn update(&mut self, now: Instant, fullness: f64) {
        self.update_from(SourceTag::default(), now, fullness);
    }

    /// As [`Self::update`], from a source that may differ from the last one. The difference between two sources is no
    /// trend of the engines.
    pub fn update_from(&mut self, source: SourceTag, now: Instant, fullness: f64) {
        if !fullness.is_finite() {
            return;
        }
        let fullness = fullness.clamp(0.0, 1.0);
        let (trend, elapsed_s) = self.trend(source, now, fullness);
        self.last = Some(Observation { source, at: now, fullness, trend });
        let predicted = fullness + LOOKAHEAD_S * trend;
        self.is_shedding |= predicted >= SHEDDING_THRESHOLD;
        if !self.is_shedding {
            return;
        }
        let error = TARGET_FULLNESS - predicted;
        let gain_per_s = if error < 0.0 { CLOSING_GAIN_PER_S } else { OPENING_GAIN_PER_S };
        let scale = self.integral.max(error);
        self.integral =
            (self.integral + gain_per_s * error * scale * elapsed_s).clamp(MIN_INTEGRAL, 1.0);
        self.share = (self.integral + PROPORTIONAL_GAIN * error * scale).clamp(0.0, 1.0);
        self.is_shedding = self.integral < 1.0 || self.share < 1.0;
    }

    /// Share of requests that is admitted, from 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Change of fullness per second, and the seconds for which the current error counts.
    fn trend(&self, source: SourceTag, now: Instant, fullness: f64) -> (f64, f64) {
        let Some(last) = self.last else {
            return (0.0, 0.0);
        };
        let elapsed = now.saturating_duration_since(last.at);
        if elapsed.is_zero() {
            return (last.trend, 0.0);
        }
        if elapsed > MAX_STEP {
            return (0.0, MAX_STEP.as_secs_f64());
        }
        let elapsed_s = elapsed.as_secs_f64();
        if source != last.source {
            return (0.0, elapsed_s);
        }
        let decay = (-elapsed_s / TREND_TIME_S).exp();
        let newest = (fullness - last.fullness) / elapsed_s;
        (last.trend * decay + newest * (1.0 - decay), elapsed_s)
    }
}
