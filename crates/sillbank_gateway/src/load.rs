//! Load shedding: decides by priority which requests are admitted when the fleet's engines are
//! full.
//!
//! Each VM aggregates the engine states that leaders report and asks the service's shedder. When
//! reports stop, it estimates the load from the requests that engines refuse to it.

use crate::feed::EngineState;
use crate::hall_reports::ReportedEngine;
use crate::paths::RoutingContext;
use crate::restarts::may_be_current;
use sillbank_admission::elapsed::ElapsedEstimator;
use sillbank_admission::refusal_ratio::RefusalRatio;
use sillbank_admission::share_controller::{ShareController, SourceTag};
use sillbank_admission::shedding::{Priority, PriorityClass, PriorityShedder};
use sillbank_catalog::prelude::*;
use sillbank_core::hash::hash_u64;
use sillbank_core::prelude::*;
use sillbank_engines::prelude::*;
use sillbank_fleet::prelude::*;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Interval at which the engine states are aggregated. Leaders publish them every 250 ms at most.
const FULLNESS_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest time between two log lines of a service.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Routes whose usual time is tracked. Configurations may contain more routes over time than are in
/// use.
const MAX_ROUTES: usize = 1024;

/// Time without shedding after which all requests count as first tries, as refused callers retry
/// within it.
const CALM_PERIOD: Duration = Duration::from_secs(10);

/// Source of a fullness that follows from what engines refused to this VM.
const OWN_REFUSALS: SourceTag = 0;

/// Input of the admission decision.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest<'a> {
    /// Service.
    pub service: &'a Service,
    /// Engine figures of the service.
    pub figures: &'a EngineFigures,
    /// Route.
    pub route: &'a Route,
    /// Priority of the request.
    pub priority: Priority,
    /// Time left until the caller's deadline, if known.
    pub time_left: Option<Duration>,
    /// Uniform random number from 0 to 1. The request is admitted if it is below the admitted share
    /// of its class.
    pub draw: f64,
}

/// Why a request is not admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NotAdmitted {
    /// Used share of the engines.
    pub fullness: f64,
    /// Whether it came too late to be answered in time.
    pub is_late: bool,
}

/// Load of one service as estimated at its last request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadEstimate {
    /// Used share of the engines, from 0 to 1.
    pub fullness: f64,
    /// Share of all requests that is admitted, from 0 to 1.
    pub share: f64,
}

/// Load and admission state of each service.
#[derive(Debug, Default)]
pub struct FleetLoad {
    services: RefCell<HashMap<ServiceId, ServiceLoad>>,
    elapsed_times: RefCell<HashMap<RouteName, ElapsedEstimator>>,
}

#[derive(Debug, Default)]
struct ServiceLoad {
    shedder: PriorityShedder,
    controller: ShareController,
    refusals: RefusalRatio,
    /// Last aggregation: its time and the used share of the engines.
    last_sample: Option<(Instant, f64)>,
    /// When a request was last shed.
    last_shed_at: Option<Instant>,
    /// When the log last reported the shed classes, and the first of them.
    logged: Option<(Instant, Option<PriorityClass>)>,
}

impl FleetLoad {
    /// Decides whether a request is admitted.
    ///
    /// # Errors
    /// Why the request is not admitted.
    pub fn admit(
        &self,
        context: RoutingContext<'_>,
        request: AdmissionRequest<'_>,
    ) -> Result<(), NotAdmitted> {
        let mut services = self.services.borrow_mut();
        let load = services.entry(request.service.name.clone()).or_default();
        let fullness = load.fullness(context, request);
        let is_late = self.is_late(request, load.is_calm(context.now));
        let class = PriorityClass { is_late, priority: request.priority };
        load.shedder.record_request(context.now, class);
        let share = load.shedder.admitted_share(class, load.controller.share());
        load.log(context.now, &request.service.name, fullness);
        match share >= 1.0 || request.draw < share {
            true => Ok(()),
            false => Err(NotAdmitted { fullness, is_late: class.is_late }),
        }
    }

    /// Current load estimate of a service; `None` before its first request.
    pub fn estimate(&self, service: &str) -> Option<LoadEstimate> {
        let services = self.services.borrow();
        let load = services.get(service)?;
        let (_, fullness) = load.last_sample?;
        Some(LoadEstimate { fullness, share: load.controller.share() })
    }

    /// Records that an engine of a service accepted a request, or refused it for lack of room.
    pub fn on_sent(&self, service: &str, was_admitted: bool, now: Instant) {
        let mut services = self.services.borrow_mut();
        let Some(load) = services.get_mut(service) else {
            return;
        };
        match was_admitted {
            true => load.refusals.record_admitted(now),
            false => load.refusals.record_refused(now),
        }
    }

    /// Whether the caller has waited beyond the time in which an answer is worth most.
    fn is_late(&self, request: AdmissionRequest<'_>, is_calm: bool) -> bool {
        let Some(time_left) = request.time_left else {
            return false;
        };
        let mut elapsed_times = self.elapsed_times.borrow_mut();
        if elapsed_times.len() >= MAX_ROUTES && !elapsed_times.contains_key(&request.route.name) {
            elapsed_times.clear();
        }
        let estimator = elapsed_times.entry(request.route.name.clone()).or_default();
        if is_calm {
            estimator.record_first_try(time_left);
        }
        estimator.elapsed(time_left) > request.route.objective
    }
}

impl ServiceLoad {
    /// Used share of the engines: as leaders report it, else by what engines refused to this VM.
    fn fullness(&mut self, context: RoutingContext<'_>, request: AdmissionRequest<'_>) -> f64 {
        let now = context.now;
        if let Some((at, fullness)) = self.last_sample
            && now.saturating_duration_since(at) < FULLNESS_INTERVAL
        {
            return fullness;
        }
        let reported = reported_fullness(context, request.service, request.figures);
        let (source, fullness) =
            reported.unwrap_or_else(|| (OWN_REFUSALS, self.refusals.fullness(now)));
        self.controller.update_from(source, now, fullness);
        if self.controller.share() < 1.0 {
            self.last_shed_at = Some(now);
        }
        self.last_sample = Some((now, fullness));
        fullness
    }

    /// Whether nothing was shed for so long that all requests are first tries.
    fn is_calm(&self, now: Instant) -> bool {
        self.last_shed_at.is_none_or(|at| now.saturating_duration_since(at) >= CALM_PERIOD)
    }

    /// Logs a change of the first shed class, at a limited rate.
    fn log(&mut self, now: Instant, service: &str, fullness: f64) {
        let share = self.controller.share();
        let held_back = self.shedder.first_shed_class(share);
        let (at, before) = self.logged.unwrap_or((now, None));
        self.logged = Some((at, before));
        if held_back == before || now.saturating_duration_since(at) < LOG_INTERVAL {
            return;
        }
        tracing::info!(
            service,
            fullness,
            share,
            ?held_back,
            ?before,
            "ladder: The shed priority classes changed."
        );
        self.logged = Some((now, held_back));
    }
}

/// Used share of the engines of all halls whose leaders report them, with a tag of these halls. `None` without any
/// capacity.
fn reported_fullness(
    context: RoutingContext<'_>,
    service: &Service,
    figures: &EngineFigures,
) -> Option<(SourceTag, f64)> {
    let by_hall = reported_engines(context, service, figures);
    let fullness = total_capacity(&by_hall, figures).fullness()?;
    let halls: Vec<&str> = by_hall.keys().map(HallId::as_str).collect();
    Some((hash_u64(&halls), fullness))
}

/// Capacity of all halls whose leaders report their engines.
pub fn fleet_capacity(
    context: RoutingContext<'_>,
    service: &Service,
    figures: &EngineFigures,
) -> HallCapacity {
    total_capacity(&reported_engines(context, service, figures), figures)
}

fn total_capacity(
    by_hall: &BTreeMap<HallId, Vec<EngineCapacity>>,
    figures: &EngineFigures,
) -> HallCapacity {
    let capacities = by_hall.values().map(|engines| HallCapacity::of(engines, figures.layers));
    capacities.fold(HallCapacity::default(), HallCapacity::plus)
}

/// Engines that leaders report, by hall.
fn reported_engines(
    context: RoutingContext<'_>,
    service: &Service,
    figures: &EngineFigures,
) -> BTreeMap<HallId, Vec<EngineCapacity>> {
    let mut by_hall: BTreeMap<HallId, Vec<EngineCapacity>> = BTreeMap::new();
    context.platform.endpoints(|directory| {
        for record in directory.usable_of(&service.name) {
            let newest_incarnation = directory.newest_incarnation(&record.id);
            if let Some(capacity) = engine_capacity(context, record, newest_incarnation, figures) {
                by_hall.entry(record.hall.clone()).or_default().push(capacity);
            }
        }
    });
    by_hall
}

/// Capacity of an engine; `None` if its leader does not report it or reports an earlier
/// incarnation, or if it cannot be used.
fn engine_capacity(
    context: RoutingContext<'_>,
    record: &EndpointRecord,
    newest_incarnation: Option<BornMs>,
    figures: &EngineFigures,
) -> Option<EngineCapacity> {
    if !context.endpoint_tracker.may_join_path(&record.id) {
        return None;
    }
    let kind = figures.accelerator(record.accelerator.as_deref()?)?;
    let read = |engine: ReportedEngine<'_>| {
        let is_current = may_be_current(engine.state.born_ms, newest_incarnation);
        is_current.then(|| capacity_of(engine.state, figures, kind)).flatten()
    };
    context.hall.reports.engine(&record.hall, &record.id, context.now, read)?
}

fn capacity_of(
    engine: &EngineState,
    figures: &EngineFigures,
    kind: &AcceleratorFigures,
) -> Option<EngineCapacity> {
    // A report of layers that the model does not have is not trusted.
    let is_of_model = |held: &LayerRange| !held.is_empty() && held.end <= figures.layers;
    let layers = engine.layers.filter(|held| !engine.is_lost && is_of_model(held))?;
    let usual_kv = RequestSize::usual(figures).kv_tokens() * layers.len() as f64;
    let capacity = kv_capacity(figures, kind, layers.len())? / usual_kv.max(1.0);
    let requests = f64::from(engine.running) + f64::from(engine.waiting);
    let kv_share = f64::from(engine.kv_permille) / 1000.0;
    // Memory counts as used now: what running requests will still write is freed meanwhile by those
    // that end.
    let slots_share = requests / f64::from(figures.slots.max(1));
    Some(EngineCapacity { layers, capacity, used_share: kv_share.max(slots_share) })
}
