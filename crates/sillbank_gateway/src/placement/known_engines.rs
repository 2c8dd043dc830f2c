//! Decides whether a leader knows enough engines of its hall to plan their layers.
//!
//! Entries of engines that never reported may be those of another writer, behind which there is no engine.

use sillbank_core::prelude::*;
use std::time::{Duration, Instant};

/// How long the set of engines that have reported must stay unchanged before layers are assigned for the first time.
const SETTLE_TIME: Duration = Duration::from_millis(700);
/// Time after a VM starts to lead in which engines that have not reported yet count as lost. A sound engine is silent for a
/// second or so at most.
const FIRST_REPORT_TIME: Duration = Duration::from_secs(5);

/// Number of listed engines of a hall by what their reports show.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EngineCounts {
    /// Engines that report.
    pub alive: usize,
    /// Engines that have reported and do so no more.
    pub lost: usize,
    /// Engines that have not reported since this VM leads.
    pub unknown: usize,
}

/// The engines of a hall that have reported to its leader.
#[derive(Debug)]
pub struct KnownEngines {
    leads_since: Instant,
    known: Vec<EndpointId>,
    known_since: Instant,
}

impl KnownEngines {
    /// Creates the state of a VM that starts to lead at `now`.
    pub fn new(now: Instant) -> Self {
        Self { leads_since: now, known: Vec::new(), known_since: now }
    }

    /// Records the listed engines that have reported, in order.
    pub fn on_round(&mut self, now: Instant, known: Vec<EndpointId>) {
        if self.known != known {
            (self.known, self.known_since) = (known, now);
        }
    }

    /// Whether layers may be planned. `is_first` says whether no engine holds any.
    pub fn may_plan(&self, now: Instant, counts: EngineCounts, is_first: bool) -> bool {
        let may_still_report = now.saturating_duration_since(self.leads_since) < FIRST_REPORT_TIME;
        let missing = counts.lost + if may_still_report { counts.unknown } else { 0 };
        if counts.alive <= missing {
            // If most engines seem lost, it is more likely that this VM is partitioned.
            return false;
        }
        !is_first || now.saturating_duration_since(self.known_since) >= SETTLE_TIME
    }
}
