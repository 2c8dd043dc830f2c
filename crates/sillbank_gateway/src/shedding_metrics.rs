//! Metrics of priority admission: what became of requests by rank, and what this VM decided by.

use crate::load::{LoadEstimate, NotAdmitted};
use crate::metrics::FractionGauge;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use sillbank_admission::shedding::Priority;
use sillbank_demand::clamp_rank;

/// Labels of requests that asked for admission.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AdmissionLabel {
    /// Service.
    pub service: String,
    /// Rank of the organisation, or the default; 15 holds all that are less urgent.
    pub rank: u8,
    /// Result: `let_in`, `refused_rank` or `refused_late`.
    pub end: &'static str,
}

/// Label of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabel {
    /// Service.
    pub service: String,
}

/// Metrics of priority admission.
#[derive(Debug, Default)]
pub struct SheddingMetrics {
    /// Requests that asked for admission.
    pub asked: Family<AdmissionLabel, Counter>,
    /// Estimated utilisation of the engines, from 0 to 1.
    pub fullness: Family<ServiceLabel, FractionGauge>,
    /// Share of all requests that this VM admits, from 0 to 1.
    pub share: Family<ServiceLabel, FractionGauge>,
}

impl SheddingMetrics {
    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register("ladder_asked", "Requests that asked to be let in", self.asked.clone());
        registry.register("ladder_fullness", "Taken part of the engines", self.fullness.clone());
        registry.register("ladder_share", "Share of requests let in", self.share.clone());
    }

    /// Counts the result of a request for admission.
    pub fn record_admission(
        &self,
        service: &str,
        priority: Priority,
        result: Result<(), NotAdmitted>,
    ) {
        let end = match result {
            Ok(()) => "let_in",
            Err(NotAdmitted { is_late: false, .. }) => "refused_rank",
            Err(NotAdmitted { is_late: true, .. }) => "refused_late",
        };
        let rank = clamp_rank(priority.organisation);
        self.asked.get_or_create(&AdmissionLabel { service: service.to_owned(), rank, end }).inc();
    }

    /// Publishes the estimate that this VM decides by.
    pub fn set_estimate(&self, service: &str, estimate: LoadEstimate) {
        let label = ServiceLabel { service: service.to_owned() };
        self.fullness.get_or_create(&label).set(estimate.fullness);
        self.share.get_or_create(&label).set(estimate.share);
    }
}
