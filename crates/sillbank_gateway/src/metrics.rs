//! Counters, gauges and histograms.

use crate::counted_store::StoreCalls;
use crate::shedding_metrics::SheddingMetrics;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use sillbank_net::prelude::*;
use std::sync::atomic::AtomicU64;

/// Upper bound of the first latency bucket, in seconds.
const FIRST_LATENCY_BUCKET_S: f64 = 0.005;
/// Ratio of one latency bucket to the next.
const LATENCY_BUCKET_FACTOR: f64 = 2.0;
/// Number of latency buckets: from 5 ms to about 20 s, the longest time limit of known sites.
const LATENCY_BUCKETS: u16 = 13;

/// Buckets of ratios of observed to forecast times: first bound, factor to the next, and count; up
/// to 16.
const RATIO_BUCKETS: (f64, f64, u16) = (0.125, std::f64::consts::SQRT_2, 15);

/// Creates a histogram of ratios of observed to forecast times.
fn ratio_histogram() -> Histogram {
    let (first, factor, buckets) = RATIO_BUCKETS;
    Histogram::new(exponential_buckets(first, factor, buckets))
}

/// Constructor of a latency histogram.
type MakeHistogram = fn() -> Histogram;

/// Labels of requests that ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    /// Name of the outcome.
    pub outcome: &'static str,
    /// HTTP status that the caller got.
    pub status: u16,
}

/// Label of counters by kind.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct KindLabel {
    /// Name of the kind.
    pub kind: &'static str,
}

/// Label of gauges by hall.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct HallLabel {
    /// Hall.
    pub hall: String,
}

/// Labels of the demand for a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DemandLabel {
    /// Service.
    pub service: String,
    /// Rank, 0 first; 15 holds all that are less urgent.
    pub rank: u8,
    /// What became of the requests: offered, returning (part of offered), let_in, refused.
    pub what: &'static str,
}

/// Labels of the age of the demand figures.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RateLabel {
    /// Service.
    pub service: String,
    /// 1 if leaders reported the figures, 0 if this VM uses its own requests.
    pub is_told: u8,
}

/// A gauge with a fractional value.
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
    /// Endpoints that this VM has ejected.
    pub ejected_endpoints: Gauge,
    /// Halls: 1 while all links to the hall's endpoints count as lost.
    pub lost_halls: Family<HallLabel, Gauge>,
    /// Links to endpoints that were found lost.
    pub links_lost: Counter,
    /// Replies of engines to calls other than requests that arrived after their timeout.
    pub late_replies: Counter,
    /// Median reply time of engines to such calls, in seconds; 0 while few have answered.
    pub reply_time_s: FractionGauge,
    /// Connections that this VM asked other VMs for, by result.
    pub relayed: Family<KindLabel, Counter>,
    /// Connections that other VMs asked this one for, by result.
    pub relayed_for_others: Family<KindLabel, Counter>,
    /// Connections that this VM passes on for others.
    pub passed_on: Gauge,
    /// Requests that ended.
    pub requests: Family<OutcomeLabel, Counter>,
    /// Requests in progress.
    pub in_progress: Gauge,
    /// Sends to endpoints: first, repeat.
    pub sends: Family<KindLabel, Counter>,
    /// Retries that the retry budget did not allow.
    pub repeats_denied: Counter,
    /// Streams that were resumed on another path.
    pub resumes: Counter,
    /// Streams whose endpoints were doubted, by what followed.
    pub doubted_streams: Family<KindLabel, Counter>,
    /// Requests moved to another path, by result.
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
    /// Endpoints that were found to have restarted under their id.
    pub renewed_endpoints: Counter,
    /// Endpoints that were found to have crashed under requests.
    pub ended_endpoints: Counter,
    /// Remembered requests under which endpoints crashed.
    pub suspects: Gauge,
    /// Suspects that are quarantined.
    pub quarantined: Gauge,
    /// Parts of prompts under which endpoints crashed.
    pub suspected_parts: Gauge,
    /// Parts of prompts for which requests are held back.
    pub held_parts: Gauge,
    /// Requests refused because they are quarantined.
    pub quarantine_refusals: Counter,
    /// Endpoints with pushback on this VM, by kind: limit, rest, leaving.
    pub pushback: Family<KindLabel, Gauge>,
    /// Sends withheld from endpoints that had asked for fewer, by reason.
    pub withheld: Family<KindLabel, Counter>,
    /// Connections used for sends to endpoints: new, reused.
    pub connections: Family<KindLabel, Counter>,
    /// Bytes buffered for callers and endpoints.
    pub kept_bytes: Gauge,
    /// Resident memory of the process, in bytes; 0 if it is not known.
    pub resident_bytes: Gauge,
    /// Callers that were disconnected because they read nothing while the buffer limit was reached.
    pub callers_cut: Counter,
    /// Usage of the VM's limits: 0 is unused, 1 is at the limit.
    pub vm_pressure: Family<LimitLabel, Gauge<f64, AtomicU64>>,
    /// Orders to engines, by result.
    pub orders: Family<KindLabel, Counter>,
    /// Calls that were sent to no endpoint, by reason.
    pub calls_refused: Family<KindLabel, Counter>,
    /// Requests that arrived while the VM was stopping, taken and refused.
    pub while_stopping: Family<KindLabel, Counter>,
    /// Requests at this VM by service, rank and what became of them.
    pub demand: Family<DemandLabel, Counter>,
    /// Estimated requests per second in the fleet.
    pub fleet_demand_per_s: Family<DemandLabel, FractionGauge>,
    /// Age of the oldest figures among them, in seconds.
    pub fleet_demand_age_s: Family<RateLabel, FractionGauge>,
    /// Admission by priority when not all requests fit.
    pub shedding: SheddingMetrics,
    /// Time to a call's answer or a stream's head, in seconds.
    pub first_answer_s: Family<KindLabel, Histogram, MakeHistogram>,
    /// Time to the end of the answer, in seconds.
    pub whole_answer_s: Family<KindLabel, Histogram, MakeHistogram>,
    /// Ratio of observed to forecast time to a stream's first event.
    pub forecast_first_ratio: Histogram,
    /// Ratio of observed to forecast longest pause of a stream.
    pub forecast_pause_ratio: Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = sillbank_net::telemetry::new_registry("gateway");
        let buckets = || {
            Histogram::new(exponential_buckets(
                FIRST_LATENCY_BUCKET_S,
                LATENCY_BUCKET_FACTOR,
                LATENCY_BUCKETS,
            ))
        };
        let ejected_endpoints = Gauge::default();
        let (lost_halls, links_lost) = (Family::default(), Counter::default());
        let (late_replies, reply_time_s) = (Counter::default(), FractionGauge::default());
        let (relayed, relayed_for_others) = (Family::default(), Family::default());
        let passed_on = Gauge::default();
        let requests = Family::default();
        let in_progress = Gauge::default();
        let sends = Family::default();
        let repeats_denied = Counter::default();
        let resumes = Counter::default();
        let doubted_streams = Family::<KindLabel, Counter>::default();
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
        let suspected_parts = Gauge::default();
        let held_parts = Gauge::default();
        let quarantine_refusals = Counter::default();
        let pushback = Family::default();
        let withheld = Family::default();
        let connections = Family::default();
        let kept_bytes = Gauge::default();
        let resident_bytes = Gauge::default();
        let callers_cut = Counter::default();
        let vm_pressure = Family::default();
        let orders = Family::default();
        let demand = Family::default();
        let fleet_demand_per_s = Family::default();
        let fleet_demand_age_s = Family::default();
        let shedding = SheddingMetrics::default();
        let first_answer_s = Family::new_with_constructor(buckets as MakeHistogram);
        let whole_answer_s = Family::new_with_constructor(buckets as MakeHistogram);
        let help = "Endpoints that this VM has ejected";
        registry.register("ejected_endpoints", help, ejected_endpoints.clone());
        let help = "1 while all links to a hall's endpoints are lost";
        registry.register("lost_halls", help, lost_halls.clone());
        registry.register("links_lost", "Links to endpoints found lost", links_lost.clone());
        let help = "Replies of engines that arrived after their timeout";
        registry.register("late_replies", help, late_replies.clone());
        let help = "Median reply time of engines; 0 while few have answered";
        registry.register("reply_time_s", help, reply_time_s.clone());
        let help = "Connections asked of other VMs, by result";
        registry.register("relayed", help, relayed.clone());
        let help = "Connections that other VMs asked for, by result";
        registry.register("relayed_for_others", help, relayed_for_others.clone());
        registry.register("passed_on", "Open connections of other VMs", passed_on.clone());
        registry.register("requests", "Requests that ended", requests.clone());
        registry.register("in_progress", "Requests in progress", in_progress.clone());
        registry.register("sends", "Sends to endpoints", sends.clone());
        registry.register("repeats_denied", "Repeats beyond the budget", repeats_denied.clone());
        registry.register("resumes", "Streams resumed elsewhere", resumes.clone());
        registry.register(
            "doubted_streams",
            "Streams whose endpoint was doubted, by what followed",
            doubted_streams.clone(),
        );
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
        let help = "Parts of prompts endpoints ended under";
        registry.register("suspected_parts", help, suspected_parts.clone());
        registry.register("held_parts", "Parts of prompts held back", held_parts.clone());
        let help = "Requests refused as they are held back";
        registry.register("quarantine_refusals", help, quarantine_refusals.clone());
        registry.register("pushback", "Endpoints that ask something of VMs", pushback.clone());
        let help = "Sends withheld as endpoints asked for fewer";
        registry.register("withheld", help, withheld.clone());
        registry.register("connections", "Connections to endpoints", connections.clone());
        registry.register("kept_bytes", "Bytes kept for callers", kept_bytes.clone());
        let help = "Resident memory of the process";
        registry.register("resident_bytes", help, resident_bytes.clone());
        registry.register("callers_cut", "Callers cut as they read nothing", callers_cut.clone());
        registry.register("vm_pressure", "How near limits are, 1 at one", vm_pressure.clone());
        registry.register("orders", "Orders to engines", orders.clone());
        registry.register("demand", "Requests by service, rank and fate", demand.clone());
        let help = "Requests a second in the fleet";
        registry.register("fleet_demand_per_s", help, fleet_demand_per_s.clone());
        let help = "Age of the fleet's demand";
        registry.register("fleet_demand_age_s", help, fleet_demand_age_s.clone());
        shedding.register(&mut registry);
        registry.register("first_answer_s", "Time to the first answer", first_answer_s.clone());
        registry.register("whole_answer_s", "Time to the whole answer", whole_answer_s.clone());
        let calls_refused = Family::default();
        registry.register("calls_refused", "Calls sent nowhere", calls_refused.clone());
        let while_stopping = Family::default();
        registry.register(
            "while_stopping",
            "Requests that arrived while the VM was stopping",
            while_stopping.clone(),
        );
        let forecast_first_ratio = ratio_histogram();
        registry.register(
            "forecast_first_ratio",
            "First event seen, over foretold",
            forecast_first_ratio.clone(),
        );
        let forecast_pause_ratio = ratio_histogram();
        registry.register(
            "forecast_pause_ratio",
            "Longest pause seen, over foretold",
            forecast_pause_ratio.clone(),
        );
        Self {
            registry,
            ejected_endpoints,
            lost_halls,
            links_lost,
            late_replies,
            reply_time_s,
            relayed,
            relayed_for_others,
            passed_on,
            requests,
            in_progress,
            sends,
            repeats_denied,
            resumes,
            doubted_streams,
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
            suspected_parts,
            held_parts,
            quarantine_refusals,
            pushback,
            withheld,
            connections,
            kept_bytes,
            resident_bytes,
            callers_cut,
            vm_pressure,
            orders,
            calls_refused,
            while_stopping,
            demand,
            fleet_demand_per_s,
            fleet_demand_age_s,
            shedding,
            first_answer_s,
            whole_answer_s,
            forecast_first_ratio,
            forecast_pause_ratio,
        }
    }
}

impl Metrics {
    /// Updates the metrics of buffered bytes.
    pub fn record_buffered_bytes(&self, memory_budget: &MemoryBudget) {
        self.kept_bytes.set(memory_budget.used_bytes() as i64);
        self.callers_cut
            .inc_by(memory_budget.cut_connections().saturating_sub(self.callers_cut.get()));
    }

    /// The registry that is served on the metrics address.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }
}
