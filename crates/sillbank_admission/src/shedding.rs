//! Load shedding by priority: when not all requests fit, the more urgent are admitted first.
//!
//! Applies when callers of several ranks offer more load than the engines hold, for seconds (a burst) or for
//! long (an overload). Without it requests compete for capacity by chance: at twice the capacity, the most
//! urgent were served worst, because their requests were larger, and a third of the engines' work went into
//! answers that came too late.
//!
//! Requests are ordered by class: first those that can still be answered in time, by priority, then in the same
//! order those that are already too late. The part of this order that fits is admitted from the
//! top ([`crate::share_controller`]). The least urgent are therefore refused first and admitted last, and an
//! answer in time is never given up for one that is already late.
//!
//! Each VM keeps only a small state: the recent requests by class. The share that fits follows from figures that
//! are the same on all VMs of a fleet, so they refuse the same callers without exchanging messages.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Rank of an organisation or a route; 0 is the most urgent.
pub type Rank = u8;

/// Priority of a request; the smallest value goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Priority {
    /// Rank of the organisation, which is compared before that of the route. An organisation without a rank has that
    /// of the route, but at most the middle of 0 to 9.
    pub organisation: Rank,
    /// Rank of the route.
    pub route: Rank,
}

/// Class of requests in the order of admission; the smallest value goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PriorityClass {
    /// Whether the request comes too late to be answered in time.
    pub is_late: bool,
    /// Priority of the request.
    pub priority: Priority,
}

/// Maximum number of distinct classes; bounds the work for any number of ranks. Requests less urgent than all
/// of these classes count towards the last one.
const MAX_CLASSES: usize = 32;
/// Time constant of the decay of counted requests. A VM sees some requests a second, so it takes some seconds to
/// know the shares of the classes, which change more slowly than the total load.
const DECAY_TIME_S: f64 = 4.0;
/// Weight below which a class is forgotten; that of one request after some 30 s.
const MIN_WEIGHT: f64 = 5e-4;
/// Share of a shed class that is admitted nevertheless, so that no kind of request, and with it no organisation or
/// route, is shut out for as long as an overload lasts.
const MIN_SHARE: f64 = 0.03;

/// Recent requests for one service at one VM, by class.
#[derive(Debug, Clone, Default)]
pub struct PriorityShedder {
    /// Requests of each class, each with a weight that decays with its age.
    requests: BTreeMap<PriorityClass, f64>,
    updated_at: Option<Instant>,
}

impl PriorityShedder {
    /// Records a request of a class.
    pub fn record_request(&mut self, now: Instant, class: PriorityClass) {
        self.decay(now);
        *self.requests.entry(class).or_default() += 1.0;
        while self.requests.len() > MAX_CLASSES {
            let last = self.requests.pop_last().map_or(0.0, |(_, weight)| weight);
            if let Some(mut remaining) = self.requests.last_entry() {
                *remaining.get_mut() += last;
            }
        }
    }

    /// Share of the requests of a class that is admitted if `total_share` of all requests is; 1 if `total_share` is
    /// NaN.
    pub fn admitted_share(&self, class: PriorityClass, total_share: f64) -> f64 {
        let class = self.counted_as(class);
        let total: f64 = self.requests.values().sum();
        let before: f64 = self.requests.range(..class).map(|(_, weight)| weight).sum();
        let own = self.requests.get(&class).copied().unwrap_or(0.0);
        if total_share.is_nan() || total_share >= 1.0 || total <= 0.0 {
            return 1.0;
        }
        let remaining = total_share * total - before;
        (remaining / own.max(f64::MIN_POSITIVE)).clamp(MIN_SHARE, 1.0)
    }

    /// The most urgent class of which not all requests are admitted; `None` if all requests are.
    pub fn first_shed_class(&self, total_share: f64) -> Option<PriorityClass> {
        let is_shed = |class: &&PriorityClass| self.admitted_share(**class, total_share) < 1.0;
        self.requests.keys().find(is_shed).copied()
    }

    /// The class under which a request is counted: the last one if the request is less urgent than all classes.
    fn counted_as(&self, class: PriorityClass) -> PriorityClass {
        let last = self.requests.last_key_value().map(|(last, _)| *last);
        last.filter(|last| self.requests.len() >= MAX_CLASSES && *last < class).unwrap_or(class)
    }

    fn decay(&mut self, now: Instant) {
        let age = self.updated_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let factor = (-age.as_secs_f64() / DECAY_TIME_S).exp();
        self.requests.retain(|_, weight| {
            *weight *= factor;
            *weight > MIN_WEIGHT
        });
        self.updated_at = self.updated_at.max(Some(now));
    }
}
