//! What VMs and leaders tell of demand.

use crate::{Rank, WINDOW};
use serde::{Deserialize, Serialize};
use sillbank_core::prelude::ServiceId;

/// Number that a process draws at its start, to be told from others under the same name.
pub type Incarnation = u64;

/// Requests by what became of them.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that came.
    pub offered: u32,
    /// Requests that an endpoint took.
    pub let_in: u32,
    /// Requests that were refused and have not run.
    pub refused: u32,
    /// Requests that came, of callers who had been refused before. They are among `offered`.
    pub returning: u32,
}

impl Counts {
    pub(crate) fn add(&mut self, other: Self) {
        self.offered = self.offered.saturating_add(other.offered);
        self.let_in = self.let_in.saturating_add(other.let_in);
        self.refused = self.refused.saturating_add(other.refused);
        self.returning = self.returning.saturating_add(other.returning);
    }

    pub(crate) fn is_zero(self) -> bool {
        self == Self::default()
    }
}

/// What a VM counted of one service and rank.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandNews {
    /// Service.
    pub service: ServiceId,
    /// Rank.
    pub rank: Rank,
    /// Requests in the time that the report covers.
    pub counts: Counts,
}

/// What a VM counted in about the last second, as it tells its leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Incarnation of the VM's process.
    pub incarnation: Incarnation,
    /// Time from the start of the process to the report, in milliseconds: of two reports of an incarnation
    /// the one with more is newer.
    pub at_ms: u64,
    /// Time up to `at_ms` in which these requests were counted, in milliseconds.
    pub covers_ms: u32,
    /// What is not zero.
    pub news: Vec<DemandNews>,
}

impl DemandReport {
    /// Rates over the time that the report covers, or over a second if that is longer: a process that has
    /// just begun does not take its first request for a flood.
    pub fn rates(&self) -> Vec<DemandRate> {
        let covers_s = (f64::from(self.covers_ms) / 1000.0).max(WINDOW.as_secs_f64());
        self.news.iter().map(|news| DemandRate::of(news, covers_s)).collect()
    }
}

/// Requests a second of one service and rank. Told in tenths.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DemandRate {
    /// Service.
    pub service: ServiceId,
    /// Rank.
    pub rank: Rank,
    /// Requests that come, a second.
    #[serde(with = "tenths")]
    pub offered_per_s: f64,
    /// Requests that endpoints take, a second.
    #[serde(with = "tenths")]
    pub let_in_per_s: f64,
    /// Requests that are refused, a second.
    #[serde(with = "tenths")]
    pub refused_per_s: f64,
    /// Requests of callers who come back after a refusal, a second; part of `offered_per_s`.
    #[serde(with = "tenths")]
    pub returning_per_s: f64,
}

impl DemandRate {
    /// Nothing of a service and rank.
    pub fn none(service: &str, rank: Rank) -> Self {
        Self {
            service: service.to_owned(),
            rank,
            offered_per_s: 0.0,
            let_in_per_s: 0.0,
            refused_per_s: 0.0,
            returning_per_s: 0.0,
        }
    }

    /// Requests a second of callers who come for the first time.
    pub fn new_per_s(&self) -> f64 {
        (self.offered_per_s - self.returning_per_s).max(0.0)
    }

    /// These rates, a number of times.
    pub fn times(mut self, factor: f64) -> Self {
        for rate in self.all_mut() {
            *rate *= factor;
        }
        self
    }

    fn of(news: &DemandNews, covers_s: f64) -> Self {
        let per_s = |count: u32| f64::from(count) / covers_s;
        Self {
            service: news.service.clone(),
            rank: news.rank,
            offered_per_s: per_s(news.counts.offered),
            let_in_per_s: per_s(news.counts.let_in),
            refused_per_s: per_s(news.counts.refused),
            returning_per_s: per_s(news.counts.returning),
        }
    }

    fn add(&mut self, other: &Self) {
        self.offered_per_s += other.offered_per_s;
        self.let_in_per_s += other.let_in_per_s;
        self.refused_per_s += other.refused_per_s;
        self.returning_per_s += other.returning_per_s;
    }

    fn all_mut(&mut self) -> [&mut f64; 4] {
        [
            &mut self.offered_per_s,
            &mut self.let_in_per_s,
            &mut self.refused_per_s,
            &mut self.returning_per_s,
        ]
    }
}

/// Adds rates to those of the same service and rank; the result stays in order of both.
pub fn add_rates(sum: &mut Vec<DemandRate>, rates: &[DemandRate]) {
    for rate in rates {
        let place = sum.binary_search_by(|known| {
            (known.service.as_str(), known.rank).cmp(&(rate.service.as_str(), rate.rank))
        });
        match place {
            Ok(at) => sum[at].add(rate),
            Err(at) => sum.insert(at, rate.clone()),
        }
    }
}

/// Rates on the wire: whole tenths, which take one to three bytes.
mod tenths {
    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(per_s: &f64, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_u32((per_s * 10.0).round() as u32)
    }

    pub(super) fn deserialize<'a, D: Deserializer<'a>>(from: D) -> Result<f64, D::Error> {
        Ok(f64::from(u32::deserialize(from)?) / 10.0)
    }
}
