//! Subsetting: each VM uses only a subset of the endpoints, so that the number of connections does not grow with
//! VMs times endpoints.
//!
//! Each VM ranks the endpoints by a hash of its name and theirs and uses the first ones. The subsets of the VMs
//! differ and spread about evenly over the endpoints. A removed endpoint is replaced by one other in each subset
//! that contained it; an added one replaces one other in few subsets. Under pressure, or after losses, a VM doubles
//! its subset, and halves it again after a time without pressure.

use sillbank_core::hash::rendezvous;
use std::time::{Duration, Instant};

/// Shortest time between two widenings, within which it shows whether the first one was enough.
const MIN_WIDEN_INTERVAL: Duration = Duration::from_millis(200);
/// Time without pressure after which the subset is halved. It is longer than recovery from a loss through the
/// reports of other engines takes, so that connections are not closed and opened again.
const NARROW_AFTER: Duration = Duration::from_secs(10);
/// Largest number of widenings: 16 times the base size.
const MAX_WIDENINGS: u32 = 4;

/// Subset of the endpoints that a VM uses.
#[derive(Debug, Clone, Copy)]
pub struct EndpointSubset {
    base_size: usize,
    widenings: u32,
    /// Time of the last widening, narrowing or pressure.
    changed: Option<Instant>,
    widened: Option<Instant>,
}

impl EndpointSubset {
    /// Creates a subset of `base_size` endpoints, at least one.
    pub fn new(base_size: usize) -> Self {
        Self { base_size: base_size.max(1), widenings: 0, changed: None, widened: None }
    }

    /// Called when no member has capacity for a request, or a member was lost.
    pub fn on_pressure(&mut self, now: Instant) {
        self.narrow(now);
        self.changed = Some(now);
        let is_early = |at: Instant| now.saturating_duration_since(at) < MIN_WIDEN_INTERVAL;
        if !self.widened.is_some_and(is_early) {
            self.widened = Some(now);
            self.widenings = (self.widenings + 1).min(MAX_WIDENINGS);
        }
    }

    /// Returns the current size of the subset.
    pub fn size(&mut self, now: Instant) -> usize {
        self.narrow(now);
        self.base_size.saturating_mul(1 << self.widenings)
    }

    /// Returns the current members of the subset, chosen from the usable endpoints.
    pub fn members<'a>(
        &mut self,
        vm: &str,
        usable: impl Iterator<Item = &'a str>,
        now: Instant,
    ) -> Vec<&'a str> {
        rendezvous(vm, usable, self.size(now))
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
