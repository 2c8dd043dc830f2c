//! Assigns layers to the engines of this hall while this VM holds the hall's lease.

mod known_engines;
mod leadership;
mod lease_reads;
mod reports;
mod targets;

pub use known_engines::{EngineCounts, KnownEngines};
pub use leadership::lease_name;
pub use lease_reads::{LeaseCall, LeaseNeed, LeaseReads, Peeked, is_fit_to_lead};
pub use reports::{PollTurns, ReportOutcome, ReportSchedule, TrackedEngine};
pub use targets::{Chains, EngineView, Target, initial_targets, repair_targets};

use crate::feed::{EngineState, HallReport, NEARLY_FULL_PERMILLE};
use crate::gateway::Gateway;
use crate::metrics::KindLabel;
use crate::store::MetadataStore;
use crate::wire::{EngineReport, PlacementOrder, Wire};
use leadership::Leadership;
use lease_reads::CHECK_INTERVAL;
use reports::{ENGINE_CALL_LIMIT, RoundPolls, poll_report, poll_slots};
use sillbank_catalog::prelude::*;
use sillbank_core::prelude::*;
use sillbank_fleet::prelude::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval at which engines are polled for reports. Each poll is billed like a health check.
const REPORT_INTERVAL: Duration = Duration::from_millis(700);
/// Polling interval while an engine is nearly full: VMs shed requests by the last report, and send
/// too much or too little by what changed since. With one poll per check a hall of 13 engines
/// receives 52 polls a second.
const REPORT_INTERVAL_NEARLY_FULL: Duration = CHECK_INTERVAL;
/// How long an unanswered order may still be carried out before it is sent again. The engine
/// refuses the second one if the first arrived after all.
const ORDER_RETRY_PAUSE: Duration = Duration::from_millis(3_000);

/// Factor on a hall's running requests for which it is planned: load peaks, and other halls may
/// fail.
const LOAD_MARGIN: f64 = 1.5;

/// Placement state of one VM.
struct Placement<W: Wire, S: MetadataStore> {
    gateway: Rc<Gateway<W, S>>,
    leadership: Leadership<W, S>,
    tracked: HashMap<EndpointId, TrackedEngine>,
    schedule: ReportSchedule,
    services: BTreeMap<ServiceId, ServicePlacement>,
}

/// Placement state of one service.
struct ServicePlacement {
    known_engines: KnownEngines,
    poll_turns: PollTurns,
    chains: Chains,
}

impl ServicePlacement {
    /// Creates the state of a service whose engines this VM starts to poll at `now`.
    fn new(now: Instant) -> Self {
        Self {
            known_engines: KnownEngines::new(now),
            poll_turns: PollTurns::default(),
            chains: Chains::default(),
        }
    }
}

/// The state of a service, which is created if there is none.
fn state_of<'a>(
    services: &'a mut BTreeMap<ServiceId, ServicePlacement>,
    service: &str,
) -> &'a mut ServicePlacement {
    let new = || ServicePlacement::new(Instant::now());
    services.entry(service.to_owned()).or_insert_with(new)
}

/// Keeps layers assigned to this hall's engines while the program runs.
pub async fn place_layers<W: Wire, S: MetadataStore>(gateway: Rc<Gateway<W, S>>) {
    let mut placement = Placement {
        leadership: Leadership::new(&gateway),
        tracked: HashMap::new(),
        schedule: ReportSchedule::default(),
        services: BTreeMap::new(),
        gateway,
    };
    loop {
        placement.leadership.tick().await;
        if placement.gateway.hall.acting_fence.get().is_some() {
            placement.run_round().await;
        } else {
            // Another VM leads meanwhile, so this state may be outdated.
            placement.tracked.clear();
            placement.services.clear();
        }
        smol::Timer::after(placement.leadership.time_to_check()).await;
    }
}

impl<W: Wire, S: MetadataStore> Placement<W, S> {
    /// Publishes the state of the hall's engines.
    fn publish_hall_report(&self) {
        let settings = self.gateway.settings();
        let now = Instant::now();
        let engines = self.tracked.iter().map(|(id, tracked)| {
            EngineState::new(id.clone(), tracked.newest_incarnation(), tracked.report.as_ref())
        });
        let vms = self.gateway.hall.live_vms(now);
        self.gateway.hall.record_hall_vms(vms);
        let report = HallReport {
            hall: settings.hall.clone(),
            age_ms: 0,
            vms,
            leader: settings.peer_listen,
            is_complete: true,
            engines: engines.collect(),
            demand: self.gateway.hall_demand(now),
        };
        self.gateway.on_reported_incarnations(&report);
        match settings.mechanisms.prompt_news {
            true => self.gateway.hall.publish_report(now, report),
            false => self.gateway.hall.reports.insert(now, report),
        }
    }

    /// Polls the hall's engines and publishes the result, also while the store is unreachable and
    /// no VM can hold the lease. Orders are sent only under the lease.
    async fn run_round(&mut self) {
        let Some(catalog) = self.gateway.platform.catalog() else {
            return;
        };
        let services: Vec<Rc<Service>> =
            catalog.services().filter(|service| service.engine.is_some()).cloned().collect();
        let now = Instant::now();
        let polls_faster = self.gateway.settings().mechanisms.pressed_reports;
        let interval = match polls_faster && self.is_any_nearly_full() {
            true => REPORT_INTERVAL_NEARLY_FULL,
            false => REPORT_INTERVAL,
        };
        let has_engines = self.has_engines_of(&services);
        if !self.schedule.is_due(now, interval, has_engines) && !self.has_new_suspect() {
            return;
        }
        self.retain_listed(&services);
        for service in services {
            if let Some(figures) = &service.engine {
                self.place_service(&service.name, figures).await;
            }
        }
        self.schedule.on_round_started(now, has_engines);
        self.publish_hall_report();
    }

    /// Drops the state of services that are not configured any more, and of engines that are not listed.
    fn retain_listed(&mut self, services: &[Rc<Service>]) {
        self.services.retain(|name, _| services.iter().any(|service| service.name == *name));
        let mut listed = BTreeSet::new();
        for service in services {
            listed.extend(self.engines_of(&service.name).into_keys());
        }
        self.tracked.retain(|id, _| listed.contains(id));
    }

    /// The usable engines of a service in this hall.
    fn engines_of(&self, service: &str) -> BTreeMap<EndpointId, EndpointRecord> {
        let hall = &self.gateway.settings().hall;
        self.gateway.platform.endpoints(|directory| {
            let in_hall = directory.usable_of(service).filter(|record| record.hall == *hall);
            in_hall.map(|record| (record.id.clone(), record.clone())).collect()
        })
    }

    /// Whether engines of these services are listed in this hall.
    fn has_engines_of(&self, services: &[Rc<Service>]) -> bool {
        let hall = &self.gateway.settings().hall;
        self.gateway.platform.endpoints(|directory| {
            let mut of_all = services.iter().flat_map(|service| directory.usable_of(&service.name));
            of_all.any(|record| record.hall == *hall)
        })
    }

    /// Whether an engine's last report shows little free KV cache or waiting requests.
    fn is_any_nearly_full(&self) -> bool {
        let nearly_full = |report: &EngineReport| {
            report.waiting > 0 || report.kv_share * 1000.0 >= f64::from(NEARLY_FULL_PERMILLE)
        };
        self.tracked.values().any(|tracked| tracked.report.as_ref().is_some_and(nearly_full))
    }

    /// Whether an engine that this VM has ejected still counts as healthy.
    fn has_new_suspect(&self) -> bool {
        let counts = |tracked: &TrackedEngine| tracked.report.is_some();
        self.tracked
            .iter()
            .any(|(id, tracked)| counts(tracked) && self.gateway.endpoint_tracker.is_ejected(id))
    }

    /// Polls a service's engines in this hall and, under the lease, orders the layers that they
    /// should hold.
    async fn place_service(&mut self, service: &str, figures: &EngineFigures) {
        let engines = self.engines_of(service);
        self.poll_all(service, &engines, figures.layers).await;
        let now = Instant::now();
        let has_reported =
            |id: &&EndpointId| self.tracked.get(*id).is_some_and(TrackedEngine::has_reported);
        let known: Vec<EndpointId> = engines.keys().filter(has_reported).cloned().collect();
        let known_count = known.len();
        let alive: Vec<&EndpointRecord> = engines
            .values()
            .filter(|record| {
                let tracked = self.tracked.get(&record.id);
                tracked.is_some_and(|tracked| tracked.planned_report(now).is_some())
            })
            .collect();
        let is_first = alive.iter().all(|record| self.layers_of(&record.id, now).is_none());
        let counts = EngineCounts {
            alive: alive.len(),
            lost: known_count.saturating_sub(alive.len()),
            unknown: engines.len() - known_count,
        };
        let state = state_of(&mut self.services, service);
        state.known_engines.on_round(now, known);
        if !state.known_engines.may_plan(now, counts, is_first) || !self.leadership.is_held() {
            return;
        }
        let views: Vec<EngineView> =
            alive.iter().filter_map(|record| self.engine_view(record, now)).collect();
        let (load, alive_count) = (self.load(&engines), alive.len());
        let in_pairs = self.gateway.settings().mechanisms.pairs;
        let chains = &mut state_of(&mut self.services, service).chains;
        let targets = match is_first {
            true => initial_targets(&views, figures, chains, in_pairs),
            false => repair_targets(&views, figures, chains, load),
        };
        let Some(targets) = targets else {
            let hall = &self.gateway.settings().hall;
            tracing::warn!(service, hall, engines = alive_count, "plan: The layers do not fit.");
            return;
        };
        for target in targets {
            self.send_order(engines[&target.endpoint].address, &target).await;
        }
    }

    /// Concurrent requests to plan for: those that start at these engines now, with a margin.
    fn load(&self, engines: &BTreeMap<EndpointId, EndpointRecord>) -> f64 {
        let tracked = engines.keys().filter_map(|id| self.tracked.get(id));
        let reports = tracked.filter_map(|tracked| tracked.report.as_ref());
        let firsts = reports.filter(|report| report.layers.is_some_and(|layers| layers.first == 0));
        let requests =
            firsts.map(|report| f64::from(report.running) + f64::from(report.waiting)).sum::<f64>();
        requests * LOAD_MARGIN
    }

    fn engine_view(&self, record: &EndpointRecord, now: Instant) -> Option<EngineView> {
        let tracked = self.tracked.get(&record.id)?;
        let order_in_progress = tracked.planned_report(now)?.order_in_progress;
        let may_be_carried_out = |at: Instant| {
            order_in_progress || now.saturating_duration_since(at) < ORDER_RETRY_PAUSE
        };
        Some(EngineView {
            id: record.id.clone(),
            kind: record.accelerator.clone()?,
            serves: self.layers_of(&record.id, now),
            ordered: tracked
                .ordered
                .filter(|(_, at)| may_be_carried_out(*at))
                .map(|(layers, _)| layers),
            order_in_progress,
        })
    }

    fn layers_of(&self, id: &str, now: Instant) -> Option<LayerRange> {
        let report = self.tracked.get(id)?.planned_report(now)?;
        report.layers.filter(|layers| !layers.is_empty())
    }

    /// Polls engines for reports concurrently: all but those that never report, which take turns. The model has `layers` layers.
    async fn poll_all(
        &mut self,
        service: &str,
        engines: &BTreeMap<EndpointId, EndpointRecord>,
        layers: u16,
    ) {
        for id in engines.keys() {
            let newest_incarnation =
                self.gateway.platform.endpoints(|directory| directory.newest_incarnation(id));
            self.tracked.entry(id.clone()).or_default().on_incarnation(newest_incarnation);
        }
        let state = state_of(&mut self.services, service);
        let slots = poll_slots(self.gateway.settings().max_open_files);
        let round = state.poll_turns.next_round(slots, engines.keys(), |id| self.tracked.get(id));
        let round_polls = Rc::new(RoundPolls::new(slots));
        let polls: Vec<(EndpointId, smol::Task<ReportOutcome>)> = engines
            .values()
            .filter(|record| round.contains(&record.id))
            .map(|record| {
                let is_logged =
                    self.tracked.get(&record.id).is_some_and(TrackedEngine::is_next_failure_new);
                let (gateway, polls) = (self.gateway.clone(), round_polls.clone());
                let outcome = poll_report(gateway, record.clone(), polls, is_logged);
                (record.id.clone(), self.gateway.executor.spawn(outcome))
            })
            .collect();
        for (id, task) in polls {
            let outcome = task.await.within(layers);
            let is_suspect = self.gateway.endpoint_tracker.is_ejected(&id);
            let tracked = self.tracked.entry(id.clone()).or_default();
            if let ReportOutcome::Unreadable(reason) = &outcome {
                self.gateway.metrics.unreadable.get_or_create(&KindLabel { kind: "report" }).inc();
                if tracked.is_new_fault(reason) {
                    tracing::warn!(endpoint = id, reason, "endpoint: Its reports cannot be read.");
                }
            }
            tracked.on_polled(outcome, is_suspect, Instant::now());
        }
    }

    /// Orders an engine to hold its target layers, unless it already does or is carrying out an
    /// order.
    async fn send_order(&mut self, address: SocketAddr, target: &Target) {
        let now = Instant::now();
        let held = self.layers_of(&target.endpoint, now);
        let Some(tracked) = self.tracked.get_mut(&target.endpoint) else {
            return;
        };
        let Some(report) = &tracked.report else {
            return;
        };
        let layers = target.layers;
        if report.order_in_progress || layers.is_empty() || held == Some(layers) {
            return;
        }
        let is_pending = |(_, at): &(LayerRange, Instant)| {
            now.saturating_duration_since(*at) < ORDER_RETRY_PAUSE
        };
        if tracked.ordered.as_ref().is_some_and(is_pending) {
            return;
        }
        tracked.ordered = Some((layers, now));
        let order = PlacementOrder {
            layers,
            release_mode: target.release_mode,
            expected_orders: report.orders_accepted,
        };
        let call = W::order_call(&order);
        let engine = &target.endpoint;
        let ended = self.gateway.call_engine(engine, address, call, ENGINE_CALL_LIMIT).await;
        let end = match &ended {
            Ok(reply) => W::read_order_outcome(reply.status).name(),
            Err(_) => "no_answer",
        };
        if end == "begun"
            && let Some(tracked) = self.tracked.get_mut(&target.endpoint)
            && let Some(report) = tracked.report.as_mut()
        {
            // Released layers must not be used from now on. New layers appear in the next report.
            report.layers = held.and_then(|held| common(held, layers));
        }
        if end == "conflict" || end == "refused" {
            // The order was not carried out, so it may be sent again after the next report.
            if let Some(tracked) = self.tracked.get_mut(&target.endpoint) {
                tracked.ordered = None;
            }
        }
        self.gateway.metrics.orders.get_or_create(&KindLabel { kind: end }).inc();
        tracing::info!(
            endpoint = target.endpoint,
            held = held.map(|l| format!("{}-{}", l.first, l.end)),
            layers = format!("{}-{}", layers.first, layers.end),
            expected_orders = order.expected_orders,
            end,
            error = ended.err().map(|error| error.to_string()),
            "order: Sent to an engine."
        );
    }
}

/// Intersection of two ranges.
fn common(a: LayerRange, b: LayerRange) -> Option<LayerRange> {
    let both = LayerRange { first: a.first.max(b.first), end: a.end.min(b.end) };
    (!both.is_empty()).then_some(both)
}
