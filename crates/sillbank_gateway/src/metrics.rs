//! Counters and latency histograms.

use crate::counted_store::StoreCalls;
use crate::ladder_metrics::LadderMetrics;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use sillbank_net::prelude::*;
use std::sync::atomic::AtomicU64;

/// Shortest latency told apart, in seconds.
const FIRST_BUCKET_S: f64 = 0.005;
/// Ratio of one latency bucket to the next.
const BUCKET_RATIO: f64 = 2.0;
/// Buckets: from 5 ms to about 20 s, the longest time limit of the sites known.
const BUCKETS: u16 = 13;

/// Least ratio of seen to foretold that is told apart, the ratio of one bucket to the next, and buckets: up to 16.
const RATIO_BUCKETS: (f64, f64, u16) = (0.125, std::f64::consts::SQRT_2, 15);

/// A histogram of seen over foretold.
fn ratios() -> Histogram {
    let (least, step, buckets) = RATIO_BUCKETS;
    Histogram::new(exponential_buckets(least, step, buckets))
}

/// Makes a histogram with our buckets.
type MakeHistogram = fn() -> Histogram;

/// Label of a request's end.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    /// Name of the outcome.
    pub outcome: &'static str,
    /// Status that the caller got.
    pub status: u16,
}

/// Label of something that has a few kinds.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct KindLabel {
    /// Name of the kind.
    pub kind: &'static str,
}

/// Label of what a service is asked for.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DemandLabel {
    /// Service.
    pub service: String,
    /// Rank, 0 first; 15 holds all that are less urgent.
    pub rank: u8,
    /// What became of the requests: offered, returning (part of offered), let_in, refused.
    pub what: &'static str,
}

/// Label of what is believed of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RateLabel {
    /// Service.
    pub service: String,
    /// 1 if leaders told it, 0 if this VM goes by its own requests.
    pub is_told: u8,
}

/// A gauge of a measure that is no whole number.
pub type FractionGauge = Gauge<f64, AtomicU64>;

/// Label of a limit of the VM.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct LimitLabel {
    /// Name of the limit.
    pub limit: &'static str,
}

/// All metrics of a gateway.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests that ended.
    pub requests: Family<OutcomeLabel, Counter>,
    /// Requests in progress.
    pub in_progress: Gauge,
    /// Sends to endpoints: first, repeat.
    pub sends: Family<KindLabel, Counter>,
    /// Repeats that the budget had no room for.
    pub repeats_denied: Counter,
    /// Streams that went on at another path.
    pub resumes: Counter,
    /// Requests moved to another path, by how that ended.
    pub moves: Family<KindLabel, Counter>,
    /// Calls to the store by kind.
    pub store_calls: StoreCalls,
    /// Calls to the store that failed.
    pub store_errors: Family<KindLabel, Counter>,
    /// Era of the store's newest answer; it rises with each restore from a copy.
    pub store_era: Gauge,
    /// Endpoints that a restored store listed again and that were held back.
    pub held_back: Counter,
    /// Configurations that could not be used.
    pub catalog_faults: Counter,
    /// Entries and reports of endpoints that could not be read.
    pub unreadable: Family<KindLabel, Counter>,
    /// Endpoints that were found to have started again under their id.
    pub renewed_endpoints: Counter,
    /// Endpoints that were found to have ended under requests.
    pub ended_endpoints: Counter,
    /// Requests under which endpoints ended, as far as they are remembered.
    pub suspects: Gauge,
    /// Those among them that are held back.
    pub quarantined: Gauge,
    /// Requests that were refused as they are held back.
    pub quarantine_refusals: Counter,
    /// Endpoints that ask something of this VM, by what: limit, rest, leaving.
    pub pushback: Family<KindLabel, Gauge>,
    /// Times that a request was not sent to an endpoint which had asked for fewer, by why.
    pub withheld: Family<KindLabel, Counter>,
    /// Connections to endpoints: new, reused.
    pub connections: Family<KindLabel, Counter>,
    /// Bytes that are kept for callers and endpoints.
    pub kept_bytes: Gauge,
    /// Callers that were cut off as they read nothing while that reached its bound.
    pub callers_cut: Counter,
    /// How near the VM is to its limits: 0 is free, 1 is at one.
    pub vm_pressure: Family<LimitLabel, Gauge<f64, AtomicU64>>,
    /// Orders to engines, by how they ended.
    pub orders: Family<KindLabel, Counter>,
    /// Calls that were sent nowhere, by why.
    pub calls_refused: Family<KindLabel, Counter>,
    /// Requests at this VM by service, rank and what became of them.
    pub demand: Family<DemandLabel, Counter>,
    /// Requests a second in the fleet, as this VM believes them.
    pub fleet_demand_per_s: Family<DemandLabel, FractionGauge>,
    /// Age of the oldest figures among them, in seconds.
    pub fleet_demand_age_s: Family<RateLabel, FractionGauge>,
    /// Who is let in when not all requests fit.
    pub ladder: LadderMetrics,
    /// Time to a call's answer or a stream's head, in seconds.
    pub first_answer_s: Family<KindLabel, Histogram, MakeHistogram>,
    /// Time to the end of the answer, in seconds.
    pub whole_answer_s: Family<KindLabel, Histogram, MakeHistogram>,
    /// A stream's time to its first event, over what was foretold.
    pub forecast_first_ratio: Histogram,
    /// A stream's longest pause, over what was foretold.
    pub forecast_pause_ratio: Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = sillbank_net::telemetry::new_registry("gateway");
        let buckets = || Histogram::new(exponential_buckets(FIRST_BUCKET_S, BUCKET_RATIO, BUCKETS));
        let requests = Family::default();
        let in_progress = Gauge::default();
        let sends = Family::default();
        let repeats_denied = Counter::default();
        let resumes = Counter::default();
        let moves = Family::default();
        let store_calls = StoreCalls::default();
        let store_errors = Family::default();
        let (store_era, held_back) = (Gauge::default(), Counter::default());
        let catalog_faults = Counter::default();
        let unreadable = Family::default();
        let renewed_endpoints = Counter::default();
        let ended_endpoints = Counter::default();
        let suspects = Gauge::default();
        let quarantined = Gauge::default();
        let quarantine_refusals = Counter::default();
        let pushback = Family::default();
        let withheld = Family::default();
        let connections = Family::default();
        let kept_bytes = Gauge::default();
        let callers_cut = Counter::default();
        let vm_pressure = Family::default();
        let orders = Family::default();
        let demand = Family::default();
        let fleet_demand_per_s = Family::default();
        let fleet_demand_age_s = Family::default();
        let ladder = LadderMetrics::default();
        let first_answer_s = Family::new_with_constructor(buckets as MakeHistogram);
        let whole_answer_s = Family::new_with_constructor(buckets as MakeHistogram);
        registry.register("requests", "Requests that ended", requests.clone());
        registry.register("in_progress", "Requests in progress", in_progress.clone());
        registry.register("sends", "Sends to endpoints", sends.clone());
        registry.register("repeats_denied", "Repeats beyond the budget", repeats_denied.clone());
        registry.register("resumes", "Streams resumed elsewhere", resumes.clone());
        registry.register("moves", "Requests moved to another path", moves.clone());
        registry.register("store_calls", "Store calls by kind", store_calls.clone());
        registry.register("store_errors", "Store calls that failed", store_errors.clone());
        registry.register("store_era", "Era of the store's newest answer", store_era.clone());
        let help = "Endpoints that a restored store listed again, held back";
        registry.register("held_back_endpoints", help, held_back.clone());
        registry.register("catalog_faults", "Configurations not usable", catalog_faults.clone());
        let help = "Entries and reports of endpoints that cannot be read";
        registry.register("unreadable", help, unreadable.clone());
        let help = "Endpoints started again under their id";
        registry.register("renewed_endpoints", help, renewed_endpoints.clone());
        let help = "Endpoints that ended under requests";
        registry.register("ended_endpoints", help, ended_endpoints.clone());
        registry.register("suspects", "Requests endpoints ended under", suspects.clone());
        registry.register("quarantined", "Requests held back", quarantined.clone());
        let help = "Requests refused as they are held back";
        registry.register("quarantine_refusals", help, quarantine_refusals.clone());
        registry.register("pushback", "Endpoints that ask something of VMs", pushback.clone());
        let help = "Sends withheld as endpoints asked for fewer";
        registry.register("withheld", help, withheld.clone());
        registry.register("connections", "Connections to endpoints", connections.clone());
        registry.register("kept_bytes", "Bytes kept for callers", kept_bytes.clone());
        registry.register("callers_cut", "Callers cut as they read nothing", callers_cut.clone());
        registry.register("vm_pressure", "How near limits are, 1 at one", vm_pressure.clone());
        registry.register("orders", "Orders to engines", orders.clone());
        registry.register("demand", "Requests by service, rank and fate", demand.clone());
        let help = "Requests a second in the fleet";
        registry.register("fleet_demand_per_s", help, fleet_demand_per_s.clone());
        let help = "Age of the fleet's demand";
        registry.register("fleet_demand_age_s", help, fleet_demand_age_s.clone());
        ladder.register(&mut registry);
        registry.register("first_answer_s", "Time to the first answer", first_answer_s.clone());
        registry.register("whole_answer_s", "Time to the whole answer", whole_answer_s.clone());
        let calls_refused = Family::default();
        registry.register("calls_refused", "Calls sent nowhere", calls_refused.clone());
        let forecast_first_ratio = ratios();
        registry.register(
            "forecast_first_ratio",
            "First event seen, over foretold",
            forecast_first_ratio.clone(),
        );
        let forecast_pause_ratio = ratios();
        registry.register(
            "forecast_pause_ratio",
            "Longest pause seen, over foretold",
            forecast_pause_ratio.clone(),
        );
        Self {
            registry,
            requests,
            in_progress,
            sends,
            repeats_denied,
            resumes,
            moves,
            store_calls,
            store_errors,
            store_era,
            held_back,
            catalog_faults,
            unreadable,
            renewed_endpoints,
            ended_endpoints,
            suspects,
            quarantined,
            quarantine_refusals,
            pushback,
            withheld,
            connections,
            kept_bytes,
            callers_cut,
            vm_pressure,
            orders,
            calls_refused,
            demand,
            fleet_demand_per_s,
            fleet_demand_age_s,
            ladder,
            first_answer_s,
            whole_answer_s,
            forecast_first_ratio,
            forecast_pause_ratio,
        }
    }
}

impl Metrics {
    /// Notes what is kept for callers.
    pub fn note_kept(&self, kept: &MemoryBudget) {
        self.kept_bytes.set(kept.used_bytes() as i64);
        self.callers_cut.inc_by(kept.cut_connections().saturating_sub(self.callers_cut.get()));
    }

    /// What is served on the metrics address.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }
}
