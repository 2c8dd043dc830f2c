//! The few endpoints that one VM keeps to, so that connections do not grow with VMs times endpoints.
//!
//! Each VM ranks the endpoints by a hash of its name and theirs and keeps to the first few. So VMs keep to
//! different ones, about evenly; an endpoint that goes is replaced by one other at the VMs that kept to it, and
//! one that comes replaces one at few VMs. Under pressure, or after losses, a VM widens its few twofold, and
//! narrows them again when it is quiet.

use sillbank_core::hash::rendezvous;
use std::time::{Duration, Instant};

/// Shortest time between two widenings: by then it shows whether the first was enough.
const WIDEN_EVERY: Duration = Duration::from_millis(200);
/// Time without pressure after which the few are halved: longer than a loss takes to be mended by other engines'
/// reports, so that connections are not given up and opened again.
const NARROW_AFTER: Duration = Duration::from_secs(10);
/// Most widenings: 16 times as many endpoints as at rest.
const MOST_WIDENINGS: u32 = 4;

/// How many endpoints a VM keeps to.
#[derive(Debug, Clone, Copy)]
pub struct Few {
    at_rest: usize,
    widenings: u32,
    /// When it was widened or narrowed last, or was under pressure.
    changed: Option<Instant>,
    widened: Option<Instant>,
}

impl Few {
    /// Keeps to so many endpoints at rest; at least one.
    pub fn new(at_rest: usize) -> Self {
        Self { at_rest: at_rest.max(1), widenings: 0, changed: None, widened: None }
    }

    /// A request found no room at the few, or one of them was lost.
    pub fn on_pressure(&mut self, now: Instant) {
        self.narrow(now);
        self.changed = Some(now);
        let is_early = |at: Instant| now.saturating_duration_since(at) < WIDEN_EVERY;
        if !self.widened.is_some_and(is_early) {
            self.widened = Some(now);
            self.widenings = (self.widenings + 1).min(MOST_WIDENINGS);
        }
    }

    /// How many endpoints it keeps to now.
    pub fn count(&mut self, now: Instant) -> usize {
        self.narrow(now);
        self.at_rest.saturating_mul(1 << self.widenings)
    }

    /// The endpoints that a VM keeps to now, of those that can be used.
    pub fn members<'a>(
        &mut self,
        vm: &str,
        usable: impl Iterator<Item = &'a str>,
        now: Instant,
    ) -> Vec<&'a str> {
        rendezvous(vm, usable, self.count(now))
    }

    fn narrow(&mut self, now: Instant) {
        while let Some(changed) = self.changed.filter(|_| self.widenings > 0)
            && now.saturating_duration_since(changed) >= NARROW_AFTER
        {
            self.widenings -= 1;
            self.changed = Some(changed + NARROW_AFTER);
        }
    }
}
