//! Under load: who is let in, by rank, from how full the fleet's engines are.
//!
//! Each VM sums up what leaders tell of engines and asks the ladder of the service. Where nothing is told any
//! more, it goes by what engines refuse to it.

use crate::boards::EngineNews;
use crate::feed::EngineState;
use crate::lives::may_be_current;
use crate::paths::Views;
use sillbank_admission::elapsed::ElapsedEstimator;
use sillbank_admission::refusal_ratio::RefusalRatio;
use sillbank_admission::share_controller::ShareController;
use sillbank_admission::shedding::{Priority, PriorityClass, PriorityShedder};
use sillbank_catalog::prelude::*;
use sillbank_core::prelude::*;
use sillbank_engines::prelude::*;
use sillbank_fleet::prelude::*;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// How often all engines are summed up. Leaders tell of engines each 250 ms at most.
const FULLNESS_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest time between two log lines of a service's ladder.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Routes of which the usual time is kept; configurations with more routes than are in use come and go.
const MAX_ROUTES: usize = 1024;

/// How long nobody must have been held back for all requests to count as first tries: callers who were refused
/// come back within this time.
const CALM_AFTER: Duration = Duration::from_secs(10);

/// A request that asks to be let in.
#[derive(Debug, Clone, Copy)]
pub struct LoadAsk<'a> {
    /// Service.
    pub service: &'a Service,
    /// Its figures.
    pub figures: &'a EngineFigures,
    /// Route.
    pub route: &'a Route,
    /// How urgent the request is.
    pub urgency: Priority,
    /// Time that its caller has left, if it told.
    pub left: Option<Duration>,
    /// A number that was drawn evenly from 0 to 1. The request is let in if it is below the share of its rung.
    pub draw: f64,
}

/// Why a request is not let in.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NotLetIn {
    /// Taken part of the engines.
    pub fullness: f64,
    /// Whether it came too late to be answered in time.
    pub is_late: bool,
}

/// What a VM decides by for one service, as of its last request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Believed {
    /// Taken part of the engines, from 0 to 1.
    pub fullness: f64,
    /// Share of all requests that is let in, from 0 to 1.
    pub share: f64,
}

/// What a VM knows of the load on each service.
#[derive(Debug, Default)]
pub struct FleetLoad {
    services: RefCell<HashMap<ServiceId, ServiceLoad>>,
    usual_times: RefCell<HashMap<RouteName, ElapsedEstimator>>,
}

#[derive(Debug, Default)]
struct ServiceLoad {
    ladder: PriorityShedder,
    level: ShareController,
    refusals: RefusalRatio,
    /// Taken part of the engines, and when it was summed up.
    summed: Option<(Instant, f64)>,
    /// When somebody was held back last.
    held_back: Option<Instant>,
    /// When the log last told which rungs are held back, and the first of them.
    logged: Option<(Instant, Option<PriorityClass>)>,
}

impl FleetLoad {
    /// Decides whether a request is let in.
    ///
    /// # Errors
    /// What the request is not let in for.
    pub fn admit(&self, views: Views<'_>, ask: LoadAsk<'_>) -> Result<(), NotLetIn> {
        let mut services = self.services.borrow_mut();
        let load = services.entry(ask.service.name.clone()).or_default();
        let fullness = load.fullness(views, ask);
        let is_late = self.is_late(ask, load.is_calm(views.now));
        let rung = PriorityClass { is_late, priority: ask.urgency };
        load.ladder.record_request(views.now, rung);
        let share = load.ladder.admitted_share(rung, load.level.share());
        load.log(views.now, &ask.service.name, fullness);
        match share >= 1.0 || ask.draw < share {
            true => Ok(()),
            false => Err(NotLetIn { fullness, is_late: rung.is_late }),
        }
    }

    /// What this VM decides by for a service; `None` before its first request.
    pub fn believed(&self, service: &str) -> Option<Believed> {
        let services = self.services.borrow();
        let load = services.get(service)?;
        let (_, fullness) = load.summed?;
        Some(Believed { fullness, share: load.level.share() })
    }

    /// An engine of a service took a request, or refused it for want of room.
    pub fn on_sent(&self, service: &str, was_let_in: bool, now: Instant) {
        let mut services = self.services.borrow_mut();
        let Some(load) = services.get_mut(service) else {
            return;
        };
        match was_let_in {
            true => load.refusals.record_admitted(now),
            false => load.refusals.record_refused(now),
        }
    }

    /// Whether the caller has waited for longer than the time in which an answer is worth most.
    fn is_late(&self, ask: LoadAsk<'_>, is_calm: bool) -> bool {
        let Some(left) = ask.left else {
            return false;
        };
        let mut usual_times = self.usual_times.borrow_mut();
        if usual_times.len() >= MAX_ROUTES && !usual_times.contains_key(&ask.route.name) {
            usual_times.clear();
        }
        let usual = usual_times.entry(ask.route.name.clone()).or_default();
        if is_calm {
            usual.record_first_try(left);
        }
        usual.elapsed(left) > ask.route.objective
    }
}

impl ServiceLoad {
    /// Taken part of the engines: as leaders tell, else by what engines refused to this VM.
    fn fullness(&mut self, views: Views<'_>, ask: LoadAsk<'_>) -> f64 {
        let now = views.now;
        if let Some((at, fullness)) = self.summed
            && now.saturating_duration_since(at) < FULLNESS_INTERVAL
        {
            return fullness;
        }
        let told = fleet_room(views, ask.service, ask.figures).fullness();
        let fullness = told.unwrap_or_else(|| self.refusals.fullness(now));
        self.level.update(now, fullness);
        if self.level.share() < 1.0 {
            self.held_back = Some(now);
        }
        self.summed = Some((now, fullness));
        fullness
    }

    /// Whether nobody was held back for so long that all requests are first tries.
    fn is_calm(&self, now: Instant) -> bool {
        self.held_back.is_none_or(|at| now.saturating_duration_since(at) >= CALM_AFTER)
    }

    /// Tells when the first rung that is held back changed, at most once in a while.
    fn log(&mut self, now: Instant, service: &str, fullness: f64) {
        let share = self.level.share();
        let held_back = self.ladder.first_shed_class(share);
        let (at, before) = self.logged.unwrap_or((now, None));
        self.logged = Some((at, before));
        if held_back == before || now.saturating_duration_since(at) < LOG_INTERVAL {
            return;
        }
        tracing::info!(service, fullness, share, ?held_back, ?before, "ladder: Moved.");
        self.logged = Some((now, held_back));
    }
}

/// Room of all halls whose leaders tell of their engines.
pub fn fleet_room(views: Views<'_>, service: &Service, figures: &EngineFigures) -> HallCapacity {
    let mut by_hall: BTreeMap<HallId, Vec<EngineCapacity>> = BTreeMap::new();
    views.knowledge.endpoints(|directory| {
        for record in directory.usable_of(&service.name) {
            let newest_incarnation = directory.newest_incarnation(&record.id);
            if let Some(room) = engine_room(views, record, newest_incarnation, figures) {
                by_hall.entry(record.hall.clone()).or_default().push(room);
            }
        }
    });
    let rooms = by_hall.values().map(|engines| HallCapacity::of(engines, figures.layers));
    rooms.fold(HallCapacity::default(), HallCapacity::plus)
}

/// Room of an engine; `None` if its leader does not tell of it, or of an older life, or it cannot be used.
fn engine_room(
    views: Views<'_>,
    record: &EndpointRecord,
    newest_incarnation: Option<BornMs>,
    figures: &EngineFigures,
) -> Option<EngineCapacity> {
    if !views.book.may_run_part(&record.id) {
        return None;
    }
    let kind = figures.accelerator(record.accelerator.as_deref()?)?;
    let read = |news: EngineNews<'_>| {
        let is_of_this_life = may_be_current(news.state.born_ms, newest_incarnation);
        is_of_this_life.then(|| room_of(news.state, figures, kind)).flatten()
    };
    views.hall.boards.engine(&record.hall, &record.id, views.now, read)?
}

fn room_of(
    engine: &EngineState,
    figures: &EngineFigures,
    kind: &AcceleratorFigures,
) -> Option<EngineCapacity> {
    // Layers that the model does not have are told by an engine that is not to be believed.
    let is_of_model = |held: &LayerRange| !held.is_empty() && held.end <= figures.layers;
    let layers = engine.layers.filter(|held| !engine.is_lost && is_of_model(held))?;
    let usual_kv = RequestSize::usual(figures).kv_tokens() * layers.len() as f64;
    let capacity = kv_capacity(figures, kind, layers.len())? / usual_kv.max(1.0);
    let requests = f64::from(engine.running) + f64::from(engine.waiting);
    let kv_share = f64::from(engine.kv_permille) / 1000.0;
    // Memory as it is used now: what running requests have still to write is given back meanwhile by those that end.
    let places_share = requests / f64::from(figures.slots.max(1));
    Some(EngineCapacity { layers, capacity, used_share: kv_share.max(places_share) })
}
