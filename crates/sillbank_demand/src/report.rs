//! Demand reports of VMs and demand rates of leaders, as sent between VMs.

use crate::{Rank, WINDOW};
use serde::{Deserialize, Serialize};
use sillbank_core::prelude::ServiceId;

/// Random number that a process draws at its start; distinguishes it from others with the same name.
pub type Incarnation = u64;

/// Numbers of requests by outcome.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that arrived.
    pub offered: u32,
    /// Requests that an endpoint accepted.
    pub admitted: u32,
    /// Requests that were refused and have not run.
    pub refused: u32,
    /// Requests of callers that had been refused before; included in `offered`.
    pub retries: u32,
}

impl Counts {
    pub(crate) fn add(&mut self, other: Self) {
        self.offered = self.offered.saturating_add(other.offered);
        self.admitted = self.admitted.saturating_add(other.admitted);
        self.refused = self.refused.saturating_add(other.refused);
        self.retries = self.retries.saturating_add(other.retries);
    }

    pub(crate) fn is_zero(self) -> bool {
        self == Self::default()
    }
}

/// A VM's counts for one service and rank.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandEntry {
    /// Service.
    pub service: ServiceId,
    /// Rank.
    pub rank: Rank,
    /// Requests in the time that the report covers.
    pub counts: Counts,
}

/// A VM's counts over about the last second, as sent to its leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Incarnation of the VM's process.
    pub incarnation: Incarnation,
    /// Time of the report since the start of the process, in milliseconds. Of two reports of an
    /// incarnation the one with the higher value is newer.
    pub at_ms: u64,
    /// Length of the time before `at_ms` in which the requests were counted, in milliseconds.
    pub covers_ms: u32,
    /// Counts that are not zero.
    pub entries: Vec<DemandEntry>,
}

impl DemandReport {
    /// Rates over the time that the report covers, but at least over a second, so that the first request
    /// of a process does not appear as a burst.
    pub fn rates(&self) -> Vec<DemandRate> {
        let covers_s = (f64::from(self.covers_ms) / 1000.0).max(WINDOW.as_secs_f64());
        self.entries.iter().map(|entry| DemandRate::of(entry, covers_s)).collect()
    }
}

/// Requests per second of one service and rank. Serialized in tenths.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DemandRate {
    /// Service.
    pub service: ServiceId,
    /// Rank.
    pub rank: Rank,
    /// Requests that arrive per second.
    #[serde(with = "tenths")]
    pub offered_per_s: f64,
    /// Requests that endpoints accept per second.
    #[serde(with = "tenths")]
    pub admitted_per_s: f64,
    /// Requests that are refused per second.
    #[serde(with = "tenths")]
    pub refused_per_s: f64,
    /// Requests per second of callers that were refused before; included in `offered_per_s`.
    #[serde(with = "tenths")]
    pub retries_per_s: f64,
}

impl DemandRate {
    /// Rates of zero for a service and rank.
    pub fn zero(service: &str, rank: Rank) -> Self {
        Self {
            service: service.to_owned(),
            rank,
            offered_per_s: 0.0,
            admitted_per_s: 0.0,
            refused_per_s: 0.0,
            retries_per_s: 0.0,
        }
    }

    /// Requests per second of callers that were not refused before.
    pub fn new_per_s(&self) -> f64 {
        (self.offered_per_s - self.retries_per_s).max(0.0)
    }

    /// These rates multiplied by a factor.
    pub fn scaled(mut self, factor: f64) -> Self {
        for rate in self.all_mut() {
            *rate *= factor;
        }
        self
    }

    fn of(entry: &DemandEntry, covers_s: f64) -> Self {
        let per_s = |count: u32| f64::from(count) / covers_s;
        Self {
            service: entry.service.clone(),
            rank: entry.rank,
            offered_per_s: per_s(entry.counts.offered),
            admitted_per_s: per_s(entry.counts.admitted),
            refused_per_s: per_s(entry.counts.refused),
            retries_per_s: per_s(entry.counts.retries),
        }
    }

    fn add(&mut self, other: &Self) {
        self.offered_per_s += other.offered_per_s;
        self.admitted_per_s += other.admitted_per_s;
        self.refused_per_s += other.refused_per_s;
        self.retries_per_s += other.retries_per_s;
    }

    fn all_mut(&mut self) -> [&mut f64; 4] {
        [
            &mut self.offered_per_s,
            &mut self.admitted_per_s,
            &mut self.refused_per_s,
            &mut self.retries_per_s,
        ]
    }
}

/// Adds rates to those of the same service and rank. `sum` is, and stays, sorted by service and rank.
pub fn add_rates(sum: &mut Vec<DemandRate>, rates: &[DemandRate]) {
    for rate in rates {
        let position = sum.binary_search_by(|known| {
            (known.service.as_str(), known.rank).cmp(&(rate.service.as_str(), rate.rank))
        });
        match position {
            Ok(index) => sum[index].add(rate),
            Err(index) => sum.insert(index, rate.clone()),
        }
    }
}

/// Serializes rates as integer tenths, which take one to three bytes.
mod tenths {
    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(per_s: &f64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u32((per_s * 10.0).round() as u32)
    }

    pub(super) fn deserialize<'a, D: Deserializer<'a>>(deserializer: D) -> Result<f64, D::Error> {
        Ok(f64::from(u32::deserialize(deserializer)?) / 10.0)
    }
}
