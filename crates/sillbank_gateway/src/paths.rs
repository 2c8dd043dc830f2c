//! Chooses paths through the engines that together hold all layers of a model.

use crate::demand_share::DemandShares;
use crate::endpoints::EndpointTracker;
use crate::hall::Hall;
use crate::hall_reports::ReportedEngine;
use crate::mechanisms::Mechanisms;
use crate::platform_view::PlatformView;
use crate::restarts::may_be_current;
use sillbank_catalog::prelude::*;
use sillbank_core::prelude::*;
use sillbank_engines::prelude::*;
use sillbank_fleet::prelude::*;
use sillbank_layers::prelude::*;
use sillbank_pushback::prelude::*;
use std::cell::RefCell;
use std::time::{Duration, Instant};

/// Cost of starting a request in another hall, in milliseconds. The network delay is only 0.5 ms;
/// the rest keeps a hall's load local while the hall has a path of its own.
const REQUEST_CROSSING_MS: f64 = 20.0;
/// Cost of passing activations to another hall, in milliseconds. One crossing out and back for a
/// whole hall's load takes 1.0 GB/s (24 requests a second of 930 tokens at 23 KB a token), which is
/// the full capacity of the link. At a third of this cost the link was overused while a hall was
/// short of engines, and first events took 0.8 s. At this cost, missing layers are only fetched
/// from another hall when the other halls are nearly full.
const ACTIVATIONS_CROSSING_MS: f64 = 120.0;
/// Cost of each additional part of a path: one network hop and one pass of an engine.
const PART_COST_MS: f64 = 0.5;
/// Requests of this VM in flight at an engine at which its predicted time doubles. Engines work in
/// passes over all waiting requests, so their time grows with the number of requests.
const DOUBLING_REQUESTS: f64 = 16.0;
/// Used share of an engine's KV cache, slots or time above which the engine costs more. Requests in
/// transit are not in its report yet, and a full engine refuses.
///
/// At 0.65 fast engines were left a third empty while streams took twice as long on slow ones and
/// were hit by more failures. Share of the total value earned while engines fail, in a fleet of 60
/// VMs: 0.638 at 0.65, 0.690 at 0.8, 0.684 at 0.88.
const FREE_UTILISATION: f64 = 0.8;
/// Cost of a full engine, in milliseconds of predicted time: more than crossing to another hall.
const FULL_ENGINE_COST_MS: f64 = 250.0;
/// Largest accepted slowdown of an engine, as a factor on its usual times.
const MAX_SLOWDOWN: f64 = 20.0;
/// Random share added to the cost of an engine, so that VMs do not all choose the same one.
const COST_JITTER: f64 = 0.06;

const CROSSING: CrossingCost =
    CrossingCost { request_ms: REQUEST_CROSSING_MS, activations_ms: ACTIVATIONS_CROSSING_MS };

/// Cost of passing the activations of a few requests to another hall: the network delay at each
/// token.
const FEW_REQUESTS_CROSSING_MS: f64 = 5.0;

const FEW_REQUESTS_CROSSING: CrossingCost =
    CrossingCost { request_ms: FEW_REQUESTS_CROSSING_MS, activations_ms: FEW_REQUESTS_CROSSING_MS };

/// Share of an engine's KV cache and slots that new requests may fill. The rest is reserved for
/// requests that resume from another engine and for answers longer than expected. Share of the
/// total value earned at twice the load that fits: 0.57 at 0.9, 0.60 at 0.95, 0.43 at 1, where
/// engines overflow and process prompts twice.
const NEW_REQUEST_FILL_LIMIT: f64 = 0.95;
/// The same share for requests that lost an engine and are moved: less by the eighth that the requests
/// running at an engine still write, as few of them end while the moved ones are processed.
const MOVED_REQUEST_FILL_LIMIT: f64 = 0.82;
/// Largest accepted lag of engine reports; a larger figure is a configuration error.
const MAX_REPORT_LAG: Duration = Duration::from_secs(10);

/// Input of the path choice.
#[derive(Debug, Clone, Copy)]
pub struct PathRequest<'a> {
    /// Service of the request.
    pub service: &'a Service,
    /// Engine figures of the service.
    pub figures: &'a EngineFigures,
    /// Hall in which the request starts.
    pub local_hall: &'a str,
    /// Endpoints to exclude.
    pub avoid: &'a [EndpointId],
    /// Resources that the request takes at each engine.
    pub demand: RequestSize,
}

/// The cheapest path on which every engine has room for the request. Ejected engines are not used.
pub fn choose_path(context: RoutingContext<'_>, request: PathRequest<'_>) -> Option<LayerPath> {
    let fits = |candidate: &Candidate| !context.mechanisms.room || candidate.fits(request.demand);
    choose(context, request, |candidate| fits(candidate) && context.may_start_at(candidate))
}

/// The cheapest path, regardless of room.
pub fn choose_any_path(context: RoutingContext<'_>, request: PathRequest<'_>) -> Option<LayerPath> {
    choose(context, request, |candidate| context.may_start_at(candidate))
}

/// The path with the shortest predicted times on which every engine has room for the request,
/// whichever halls it passes.
pub fn choose_fastest_path(
    context: RoutingContext<'_>,
    request: PathRequest<'_>,
) -> Option<LayerPath> {
    let fits = |candidate: &Candidate| !context.mechanisms.room || candidate.fits(request.demand);
    let holders: Vec<LayerHolder> = candidates(context, request, HallScope::All)
        .into_iter()
        .filter(|candidate| fits(candidate) && context.may_start_at(candidate))
        .map(|candidate| candidate.holder)
        .collect();
    find_path(&holders, request.figures.layers, request.local_hall, FEW_REQUESTS_CROSSING)
        .map(|found| found.path)
}

/// Whether there would be a path if rate limits and pauses asked for by endpoints were ignored.
pub fn has_path_despite_pushback(context: RoutingContext<'_>, request: PathRequest<'_>) -> bool {
    choose(context, request, |_| true).is_some()
}

/// Searches the local hall first: the work grows with the number of engines, and no path through
/// other halls is cheaper while local engines have spare time.
fn choose(
    context: RoutingContext<'_>,
    request: PathRequest<'_>,
    fits: impl Fn(&Candidate) -> bool,
) -> Option<LayerPath> {
    let holders_in = |halls| {
        let candidates = candidates(context, request, halls).into_iter().filter(&fits);
        candidates.map(|candidate| candidate.holder)
    };
    let find = |holders: &[LayerHolder]| {
        find_path(holders, request.figures.layers, request.local_hall, CROSSING)
    };
    let mut holders: Vec<LayerHolder> = holders_in(HallScope::Local).collect();
    if let Some(found) = find(&holders)
        && found.cost_ms <= min_remote_cost_ms(request.figures)
    {
        return Some(found.path);
    }
    holders.extend(holders_in(HallScope::Remote));
    find(&holders).map(|found| found.path)
}

/// Halls whose engines are considered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HallScope {
    /// The hall in which the request starts.
    Local,
    /// All other halls.
    Remote,
    /// All halls.
    All,
}

impl HallScope {
    fn includes(self, hall: &str, local_hall: &str) -> bool {
        match self {
            Self::Local => hall == local_hall,
            Self::Remote => hall != local_hall,
            Self::All => true,
        }
    }
}

/// Lower bound for the cost of any path that starts in another hall or leaves the local one.
fn min_remote_cost_ms(figures: &EngineFigures) -> f64 {
    let factors = figures.accelerators.iter().map(|kind| kind.step_factor);
    let fastest = factors.min_by(f64::total_cmp).unwrap_or(0.0);
    CROSSING.request_ms.min(CROSSING.activations_ms) + figures.step_ms * fastest
}

/// Replaces the lost part of a path in use by other engines that have room for the request. An
/// engine that took more would preempt requests, and all of them would stand still. All VMs move their
/// streams around a lost engine in the same moment: `movers` of them for each one of this VM. Passing
/// their activations to another hall costs little here, as they are few compared with all requests.
pub fn choose_repaired_path(
    context: RoutingContext<'_>,
    request: PathRequest<'_>,
    path: &LayerPath,
    lost: &str,
    movers: f64,
) -> Option<LayerPath> {
    let gap = path.parts().iter().find(|part| part.endpoint == lost)?.layers;
    let fits = |found: &Candidate| {
        let layers = found.holder.layers.overlap(gap) as f64 * movers;
        !context.mechanisms.room || found.has_kv_for_move(request.demand, layers)
    };
    let holders: Vec<LayerHolder> = candidates(context, request, HallScope::All)
        .into_iter()
        .filter(fits)
        .map(|found| found.holder)
        .collect();
    repair_path(
        path,
        lost,
        &holders,
        request.figures.layers,
        request.local_hall,
        FEW_REQUESTS_CROSSING,
    )
}

/// Streams of all VMs that have to be moved around a lost engine, for each one of this VM: the requests
/// there, by its last report and what has been sent since.
pub fn movers_per_own(context: RoutingContext<'_>, request: PathRequest<'_>, lost: &str) -> f64 {
    let read = |reported: ReportedEngine<'_>| ReportedLoad::new(reported, request.figures);
    let requests = context.platform.endpoints(|directory| {
        let record = directory.get(lost)?;
        let reported = context.hall.reports.engine(&record.hall, lost, context.now, read)?;
        let unreported = unreported_load(context, request, record, &reported);
        Some(reported.requests + unreported.requests)
    });
    let own = f64::from(context.endpoint_tracker.in_flight(lost).max(1));
    let unknown = || own * f64::from(context.hall.reports.max_fleet_vms());
    (requests.unwrap_or_else(unknown) / own).max(1.0)
}

/// Everything that the choice of a path depends on.
#[derive(Debug, Clone, Copy)]
pub struct RoutingContext<'a> {
    /// Endpoints as listed in the store.
    pub platform: &'a PlatformView,
    /// Engines as reported by the leaders of halls.
    pub hall: &'a Hall,
    /// Endpoints as observed by this VM.
    pub endpoint_tracker: &'a EndpointTracker,
    /// Rate limits and pauses that endpoints asked for.
    pub pushback: &'a RefCell<PushbackTracker>,
    /// Demand on this VM compared with that on others.
    pub demand_shares: &'a DemandShares,
    /// Which mechanisms are enabled.
    pub mechanisms: Mechanisms,
    /// Source of the random part of costs.
    pub rng: &'a SharedRng,
    /// Current time.
    pub now: Instant,
}

/// Engines at which a path can start, including those already tried, in an order that is the same
/// on all VMs.
pub fn first_engines(context: RoutingContext<'_>, request: PathRequest<'_>) -> Vec<EndpointId> {
    let all = candidates(context, PathRequest { avoid: &[], ..request }, HallScope::All)
        .into_iter()
        .map(|candidate| candidate.holder);
    let firsts = all.filter(|holder| holder.layers.first == 0);
    let mut firsts: Vec<EndpointId> = firsts.map(|holder| holder.endpoint).collect();
    firsts.sort();
    firsts
}

/// How many engines of a service there are and why some cannot be used, for logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EngineCounts {
    /// Engines in the directory that are not leaving.
    pub listed: usize,
    /// Engines that this VM has ejected.
    pub ejected: usize,
    /// Engines that leaders of halls report as lost.
    pub reported_lost: usize,
}

/// Counts a service's engines.
pub fn count_engines(context: RoutingContext<'_>, service: &str) -> EngineCounts {
    let mut counts = EngineCounts::default();
    let is_lost = |reported: ReportedEngine<'_>| reported.state.is_lost;
    context.platform.endpoints(|directory| {
        for record in directory.usable_of(service) {
            let reports = &context.hall.reports;
            let lost = reports.engine(&record.hall, &record.id, context.now, is_lost);
            counts.listed += 1;
            counts.ejected += usize::from(context.endpoint_tracker.is_ejected(&record.id));
            counts.reported_lost += usize::from(lost == Some(true));
        }
    });
    counts
}

/// The first engine for a request that may be the cause of engine failures. It is the same on all
/// VMs, so that the other engines keep running. `None` if there is only one first engine or all
/// were tried.
pub fn isolation_engine<'a>(
    firsts: &'a [EndpointId],
    tried: &[EndpointId],
) -> Option<&'a EndpointId> {
    let is_only_one = firsts.len() <= 1;
    firsts.iter().find(|first| !is_only_one && !tried.contains(first))
}

/// VMs that are assumed to share an endpoint's limit until leaders have reported a number.
const DEFAULT_FLEET_VMS: u32 = 16;
/// Shares reserved for VMs that leaders have not reported yet.
const RESERVED_SHARES: u32 = 1;

impl RoutingContext<'_> {
    /// Whether an endpoint's rate limit and pauses allow sending a request to it now.
    pub fn may_send(&self, endpoint: &str) -> bool {
        let mut pushback = self.pushback.borrow_mut();
        if !self.mechanisms.pushback || pushback.is_empty() {
            return true;
        }
        let vms = match self.hall.reports.max_fleet_vms() {
            0 => DEFAULT_FLEET_VMS,
            reported => reported,
        };
        pushback.may_send(endpoint, vms + RESERVED_SHARES, self.now)
    }

    /// The same check for an engine of a path. Only the first engine receives the request itself.
    fn may_start_at(&self, candidate: &Candidate) -> bool {
        candidate.holder.layers.first != 0 || self.may_send(&candidate.holder.endpoint)
    }
}

/// An engine that may be part of a path.
struct Candidate {
    /// Its layers and costs.
    holder: LayerHolder,
    /// Its KV cache; `None` if the service's figures do not give its size.
    kv_usage: Option<KvUsage>,
    /// The same without what requests that ended since its last report freed. All VMs that saw some
    /// end would take the same room for streams that they move at once.
    kv_usage_before_ends: Option<KvUsage>,
    /// Used share of its slots if paths can start here, else 0.
    slots_share: f64,
}

impl Candidate {
    fn fits(&self, demand: RequestSize) -> bool {
        let more = demand.kv_tokens() * self.holder.layers.len() as f64;
        let has_kv =
            self.kv_usage.is_none_or(|kv_usage| kv_usage.fits(more, NEW_REQUEST_FILL_LIMIT));
        has_kv && self.slots_share < NEW_REQUEST_FILL_LIMIT
    }

    /// Whether its KV cache has room for so many layers of a request that is moved to it.
    fn has_kv_for_move(&self, demand: RequestSize, layers: f64) -> bool {
        let more = demand.kv_tokens() * layers;
        let usage = self.kv_usage_before_ends;
        usage.is_none_or(|kv_usage| kv_usage.fits(more, MOVED_REQUEST_FILL_LIMIT))
    }
}

/// Engines that may be part of a path, with their costs.
fn candidates(
    context: RoutingContext<'_>,
    request: PathRequest<'_>,
    halls: HallScope,
) -> Vec<Candidate> {
    context.platform.endpoints(|directory| {
        directory
            .usable_of(&request.service.name)
            .filter(|record| halls.includes(&record.hall, request.local_hall))
            .filter(|record| {
                !request.avoid.contains(&record.id)
                    && context.endpoint_tracker.may_join_path(&record.id)
            })
            .filter_map(|record| {
                candidate(context, request, record, directory.newest_incarnation(&record.id))
            })
            .collect()
    })
}

/// An engine with its costs; `None` if it holds no layers. Reports from an earlier incarnation are
/// ignored.
fn candidate(
    context: RoutingContext<'_>,
    request: PathRequest<'_>,
    record: &EndpointRecord,
    newest_incarnation: Option<BornMs>,
) -> Option<Candidate> {
    let RoutingContext { hall, endpoint_tracker, mechanisms, rng, now, .. } = context;
    let figures = request.figures;
    let read = |reported: ReportedEngine<'_>| {
        may_be_current(reported.state.born_ms, newest_incarnation)
            .then(|| ReportedLoad::new(reported, figures))
    };
    let reported = hall.reports.engine(&record.hall, &record.id, now, read).flatten();
    // The hall's leader heard this from the engine later than the entry in the store was written.
    let layers = reported.as_ref().map_or(record.layers, |reported| reported.layers);
    // A report of layers that the model does not have is not trusted.
    let is_of_model = |held: &LayerRange| !held.is_empty() && held.end <= figures.layers;
    let layers = layers.filter(is_of_model)?;
    let reported = reported.unwrap_or_default();
    let kind = record.accelerator.as_deref().and_then(|kind| figures.accelerator(kind));
    let factor = kind.map_or(1.0, |kind| kind.step_factor);
    let busy = 1.0 + f64::from(endpoint_tracker.in_flight(&record.id)) / DOUBLING_REQUESTS;
    let layer_ms = figures.step_ms / f64::from(figures.layers.max(1));
    let jitter = 1.0 + COST_JITTER * rng.next_f64();
    let mut unreported = unreported_load(context, request, record, &reported);
    let reserved_kv = endpoint_tracker.reserved_kv(&record.id);
    let sent_kv = unreported.kv.max(0.0) + reserved_kv;
    unreported.kv += reserved_kv;
    let capacity = kind.and_then(|kind| kv_capacity(figures, kind, layers.len()));
    let kv_usage =
        capacity.map(|capacity| KvUsage::new(capacity, reported.kv_share, unreported.kv));
    let kv_usage_before_ends =
        capacity.map(|capacity| KvUsage::new(capacity, reported.kv_share, sent_kv));
    let slots_share = match layers.first {
        0 => (reported.requests + unreported.requests) / f64::from(record.slots.max(1)),
        _ => 0.0,
    };
    let time = kind.filter(|_| mechanisms.time_share).map_or(0.0, |kind| {
        time_share(
            figures,
            reported.requests,
            request_work_ms(figures, kind, layers.len(), reported.pace),
        )
    });
    // The scarcest resource determines the cost.
    let kv_share = kv_usage.map_or(reported.kv_share, |kv_usage| kv_usage.used_share());
    let used_share = kv_share.max(slots_share).max(time);
    let utilisation_ms = if mechanisms.crowd_cost { utilisation_cost_ms(used_share) } else { 0.0 };
    let health_ms = match mechanisms.health_cost {
        true => endpoint_tracker.use_cost_ms(&record.id, now),
        false => 0.0,
    };
    let holder = LayerHolder {
        endpoint: record.id.clone(),
        address: record.address,
        hall: record.hall.clone(),
        layers,
        use_cost_ms: PART_COST_MS + utilisation_ms + health_ms,
        layer_cost_ms: layer_ms * factor * reported.pace * busy * jitter,
    };
    Some(Candidate { holder, kv_usage, kv_usage_before_ends, slots_share })
}

/// Load that all VMs together sent to an engine since its last report.
fn unreported_load(
    context: RoutingContext<'_>,
    request: PathRequest<'_>,
    record: &EndpointRecord,
    reported: &ReportedLoad,
) -> UnreportedLoad {
    let reported_at = reported.reported_at.unwrap_or(context.now);
    if !context.mechanisms.unseen_sends {
        return UnreportedLoad::default();
    }
    let own = context.endpoint_tracker.sent_since(&record.id, reported_at);
    // VMs choose by the same reports, so each is assumed to have sent as much for its demand.
    // Senders to an engine of the local hall are the VMs of this hall; senders to an engine of
    // another hall with room left are the VMs of all halls but that one.
    let senders = match record.hall == request.local_hall {
        true => reported.vms,
        false => context.hall.reports.max_fleet_vms().saturating_sub(reported.vms),
    };
    let average_to_own = context.demand_shares.average_to_own(&request.service.name);
    own.scaled((f64::from(senders) * average_to_own).max(1.0))
}

/// State of an engine as reported by its hall's leader.
#[derive(Debug)]
struct ReportedLoad {
    layers: Option<LayerRange>,
    /// Used share of its KV cache.
    kv_share: f64,
    /// Requests running or waiting.
    requests: f64,
    /// Slowdown: factor on its usual times.
    pace: f64,
    /// Time at which the report was valid.
    reported_at: Option<Instant>,
    /// VMs in its hall.
    vms: u32,
}

impl Default for ReportedLoad {
    /// An engine without a report is assumed to be idle and healthy.
    fn default() -> Self {
        Self { layers: None, kv_share: 0.0, requests: 0.0, pace: 1.0, reported_at: None, vms: 1 }
    }
}

impl ReportedLoad {
    fn new(reported: ReportedEngine<'_>, figures: &EngineFigures) -> Self {
        let engine = reported.state;
        let lag_s = figures.report_lag_ms.clamp(0.0, MAX_REPORT_LAG.as_millis() as f64) / 1000.0;
        let lag = Duration::from_secs_f64(lag_s);
        Self {
            layers: (!engine.is_lost).then_some(engine.layers).flatten(),
            kv_share: f64::from(engine.kv_permille) / 1000.0,
            requests: f64::from(engine.running) + f64::from(engine.waiting),
            pace: (f64::from(engine.pace_permille) / 1000.0).clamp(1.0, MAX_SLOWDOWN),
            reported_at: reported.as_of.checked_sub(lag),
            vms: reported.vms,
        }
    }
}

/// Cost of an engine by the used share of its scarcest resource.
fn utilisation_cost_ms(share: f64) -> f64 {
    let over = (share - FREE_UTILISATION).max(0.0) / (1.0 - FREE_UTILISATION);
    over * over * FULL_ENGINE_COST_MS
}
