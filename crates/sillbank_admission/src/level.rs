//! Which share of what is asked for fits: held so that the engines stay nearly full and no more.
//!
//! What is seen of the engines is half a second old, and they fill within a second of a burst, so a share
//! that followed their fullness alone would swing between all and nothing. The share is controlled by how far
//! fullness is from where it should be, by the sum of that over time, and by where fullness will be soon
//! as it rises or falls now.
//!
//! What a change of the share sends to the engines grows with how much is asked for: at three times the load that
//! fits, 0.1 more of the share is 0.3 more of what fits. So the share changes by parts of itself, and an overload
//! of any size is followed alike. Where the engines have so much room that the error is larger
//! than the share, it changes by parts of the error, and opens soon after an overload.
//!
//! A VM that has just begun lets everybody in. From then on it closes by the same errors as the others, so while they
//! hold the engines where they should be it stays more open than they are, and they close by as much more.

use std::time::{Duration, Instant};

/// Fullness that is aimed at. The rest is for answers that become longer than was likely: engines that run out
/// of memory put requests back that they have begun, and read them again.
const AIM: f64 = 0.88;
/// Fullness, foreseen, from which somebody is held back; until then everybody is let in. A crest that passes a
/// little above [`AIM`] harms nobody, and the engines are full only at 1. On a fleet of 6 VMs, 0.008 of a calm day's
/// requests were refused at its crest while this was the same as the aim.
const HOLD_BACK_FROM: f64 = 0.98;
/// Change of the share for a fullness that is off by 1, as a part of the share. Above some 2 the share swings, as
/// news of the engines are half a second old and three times the load that fits fills them within a second.
const PROPORTIONAL: f64 = 1.5;
/// Change of the share a second for a fullness that is too high by 1, as a part of the share. A step to three times
/// the load is followed within two seconds.
const CLOSING_PER_S: f64 = 2.0;
/// The same for a fullness that is too low. Slower, as too many that are let in harm those that run already, and
/// too few only themselves.
const OPENING_PER_S: f64 = 1.0;
/// Least share that the sum of errors may leave, so that it can rise by parts of itself again.
const LEAST_BASE: f64 = 0.02;
/// How far ahead fullness is foreseen by its trend: as old as news of the engines are.
const AHEAD_S: f64 = 0.5;
/// Time over which the trend is taken: some news of the engines, each of which has errors.
const TREND_TIME_S: f64 = 0.4;
/// Time without a new fullness after which the trend counts no more, and the longest that one error counts for: a VM
/// that is asked seldom closes and opens too, and after a quiet time the error of now does not count for all of it.
const LONGEST_STEP: Duration = Duration::from_secs(2);

/// Control of the share that is let in.
#[derive(Debug, Clone)]
pub struct Level {
    /// What the error summed over time has made of the share.
    base: f64,
    share: f64,
    /// Whether somebody is held back, or was until lately.
    holds_back: bool,
    seen: Option<Seen>,
}

#[derive(Debug, Clone, Copy)]
struct Seen {
    at: Instant,
    fullness: f64,
    /// Change of fullness a second.
    trend: f64,
}

impl Default for Level {
    /// Everybody is let in.
    fn default() -> Self {
        Self { base: 1.0, share: 1.0, holds_back: false, seen: None }
    }
}

impl Level {
    /// Takes how full the engines are now, from 0 to 1. A figure that is no number tells nothing and is left out.
    pub fn on_fullness(&mut self, now: Instant, fullness: f64) {
        if !fullness.is_finite() {
            return;
        }
        let fullness = fullness.clamp(0.0, 1.0);
        let (trend, passed_s) = self.trend(now, fullness);
        self.seen = Some(Seen { at: now, fullness, trend });
        let foreseen = fullness + AHEAD_S * trend;
        self.holds_back |= foreseen >= HOLD_BACK_FROM;
        if !self.holds_back {
            return;
        }
        let error = AIM - foreseen;
        let per_s = if error < 0.0 { CLOSING_PER_S } else { OPENING_PER_S };
        let part = self.base.max(error);
        self.base = (self.base + per_s * error * part * passed_s).clamp(LEAST_BASE, 1.0);
        self.share = (self.base + PROPORTIONAL * error * part).clamp(0.0, 1.0);
        self.holds_back = self.base < 1.0 || self.share < 1.0;
    }

    /// Share of what is asked for that is let in, from 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Change of fullness a second, and the seconds that its error counts for.
    fn trend(&self, now: Instant, fullness: f64) -> (f64, f64) {
        let Some(seen) = self.seen else {
            return (0.0, 0.0);
        };
        let passed = now.saturating_duration_since(seen.at);
        if passed.is_zero() {
            return (seen.trend, 0.0);
        }
        if passed > LONGEST_STEP {
            return (0.0, LONGEST_STEP.as_secs_f64());
        }
        let passed_s = passed.as_secs_f64();
        let kept = (-passed_s / TREND_TIME_S).exp();
        let newest = (fullness - seen.fullness) / passed_s;
        (seen.trend * kept + newest * (1.0 - kept), passed_s)
    }
}
