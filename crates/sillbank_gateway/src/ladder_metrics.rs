//! Metrics of who is let in: what became of requests by rank, and what this VM decided by.

use crate::load::{LoadEstimate, NotAdmitted};
use crate::metrics::FractionGauge;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use sillbank_admission::shedding::Priority;
use sillbank_demand::clamp_rank;

/// Label of a request's way up the ladder.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AskedLabel {
    /// Service.
    pub service: String,
    /// Rank of the organisation, or what stands for it; 15 holds all that are less urgent.
    pub rank: u8,
    /// What became of it: `let_in`, `refused_rank`, `refused_late`.
    pub end: &'static str,
}

/// Label of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabel {
    /// Service.
    pub service: String,
}

/// Metrics of the ladder.
#[derive(Debug, Default)]
pub struct LadderMetrics {
    /// Requests that asked to be let in.
    pub asked: Family<AskedLabel, Counter>,
    /// Taken part of the engines as this VM believes it, from 0 to 1.
    pub fullness: Family<ServiceLabel, FractionGauge>,
    /// Share of all requests that this VM lets in, from 0 to 1.
    pub share: Family<ServiceLabel, FractionGauge>,
}

impl LadderMetrics {
    /// Adds the metrics to those that are served.
    pub fn register(&self, registry: &mut Registry) {
        registry.register("ladder_asked", "Requests that asked to be let in", self.asked.clone());
        registry.register("ladder_fullness", "Taken part of the engines", self.fullness.clone());
        registry.register("ladder_share", "Share of requests let in", self.share.clone());
    }

    /// Counts what became of a request.
    pub fn on_asked(&self, service: &str, urgency: Priority, answer: Result<(), NotAdmitted>) {
        let end = match answer {
            Ok(()) => "let_in",
            Err(NotAdmitted { is_late: false, .. }) => "refused_rank",
            Err(NotAdmitted { is_late: true, .. }) => "refused_late",
        };
        let rank = clamp_rank(urgency.organisation);
        self.asked.get_or_create(&AskedLabel { service: service.to_owned(), rank, end }).inc();
    }

    /// Shows what this VM decides by.
    pub fn show(&self, service: &str, believed: LoadEstimate) {
        let label = ServiceLabel { service: service.to_owned() };
        self.fullness.get_or_create(&label).set(believed.fullness);
        self.share.get_or_create(&label).set(believed.share);
    }
}
