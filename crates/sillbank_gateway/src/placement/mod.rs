//! Gives the engines of this hall their layers, while this VM holds the hall's lease.

mod leadership;
mod reports;
mod targets;

pub use leadership::lease_name;
pub use reports::{KnownEngine, ReportOutcome, ReportRounds};
pub use targets::{Chains, EngineView, Target, first_targets, mended_targets};

use crate::feed::{EngineState, HallBoard, NEARLY_FULL_PERMILLE};
use crate::gateway::Gateway;
use crate::metrics::KindLabel;
use crate::store::MetadataStore;
use crate::wire::{EngineReport, PlacementOrder, Wire};
use leadership::Leadership;
use reports::{ENGINE_CALL_LIMIT, ask};
use sillbank_catalog::prelude::*;
use sillbank_core::prelude::*;
use sillbank_fleet::prelude::*;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How often the lease and the plan are looked at.
const TICK: Duration = Duration::from_millis(250);
/// How often engines are asked for their reports. Each is priced like a status check.
const REPORT_INTERVAL: Duration = Duration::from_millis(700);
/// How often engines are asked while one of them is nearly full: VMs then refuse by what was told, and
/// send too much or too little by what it leaves out. At a tick each, a hall of 13 engines is asked 52
/// times a second.
const REPORT_INTERVAL_NEARLY_FULL: Duration = TICK;
/// How long the set of engines must stand still before layers are given out for the first time.
const SETTLE: Duration = Duration::from_millis(700);
/// How long an order that got no answer may still be carried out before it is given again. The
/// engine refuses it if the first one came through after all.
const ORDER_PAUSE: Duration = Duration::from_millis(3_000);

/// Factor on the requests that run in a hall which it is laid out for: crowds come, and other halls are lost.
const LOAD_MARGIN: f64 = 1.5;

/// State of the placement on one VM.
struct Placement<W: Wire, S: MetadataStore> {
    gateway: Rc<Gateway<W, S>>,
    leadership: Leadership<W, S>,
    known: HashMap<EndpointId, KnownEngine>,
    rounds: ReportRounds,
    members: (Vec<EndpointId>, Instant),
    chains: BTreeMap<ServiceId, Chains>,
}

/// Keeps the layers of this hall's engines placed for as long as the program runs.
pub async fn place_layers<W: Wire, S: MetadataStore>(gateway: Rc<Gateway<W, S>>) {
    let mut placement = Placement {
        leadership: Leadership::new(&gateway),
        known: HashMap::new(),
        rounds: ReportRounds::default(),
        members: (Vec::new(), Instant::now()),
        chains: BTreeMap::new(),
        gateway,
    };
    loop {
        placement.leadership.keep().await;
        if placement.gateway.hall.tells.get().is_some() {
            placement.place().await;
        } else {
            // Another leads meanwhile: what was known may be out of date.
            placement.known.clear();
            placement.chains.clear();
        }
        smol::Timer::after(TICK).await;
    }
}

impl<W: Wire, S: MetadataStore> Placement<W, S> {
    /// Tells what is known of the hall's engines.
    fn post_board(&self) {
        let settings = self.gateway.settings();
        let now = Instant::now();
        let engines = self.known.iter().map(|(id, known)| {
            EngineState::new(id.clone(), known.newest_incarnation(), known.report.as_ref())
        });
        let vms = self.gateway.hall.vms(now);
        self.gateway.hall.note_hall_vms(vms);
        let board = HallBoard {
            hall: settings.hall.clone(),
            age_ms: 0,
            vms,
            leader: settings.peer_listen,
            is_whole: true,
            engines: engines.collect(),
            demand: self.gateway.hall_demand(now),
        };
        self.gateway.hear_lives(&board);
        match settings.mechanisms.prompt_news {
            true => self.gateway.hall.post_board(now, board),
            false => self.gateway.hall.boards.keep(now, board),
        }
    }

    /// Asks the hall's engines and tells of them, also while the store is away and nobody can hold the
    /// lease; gives orders only under the lease.
    async fn place(&mut self) {
        let Some(catalog) = self.gateway.knowledge.catalog() else {
            return;
        };
        let services: Vec<Rc<Service>> =
            catalog.services().filter(|service| service.engine.is_some()).cloned().collect();
        let now = Instant::now();
        let is_pressed = self.gateway.settings().mechanisms.pressed_reports;
        let interval = match is_pressed && self.is_any_nearly_full() {
            true => REPORT_INTERVAL_NEARLY_FULL,
            false => REPORT_INTERVAL,
        };
        let has_engines = self.has_engines_of(&services);
        if !self.rounds.is_due(now, interval, has_engines) && !self.has_new_suspect() {
            return;
        }
        for service in services {
            if let Some(figures) = &service.engine {
                self.place_service(&service.name, figures).await;
            }
        }
        self.rounds.on_begun(now, has_engines);
        self.post_board();
    }

    /// Whether engines of these services are listed in this hall.
    fn has_engines_of(&self, services: &[Rc<Service>]) -> bool {
        let hall = &self.gateway.settings().hall;
        self.gateway.knowledge.endpoints(|directory| {
            let mut of_all = services.iter().flat_map(|service| directory.usable_of(&service.name));
            of_all.any(|record| record.hall == *hall)
        })
    }

    /// Whether an engine has little KV cache left by its last report, or lets requests wait.
    fn is_any_nearly_full(&self) -> bool {
        let nearly_full = |report: &EngineReport| {
            report.waiting > 0 || report.kv_share * 1000.0 >= f64::from(NEARLY_FULL_PERMILLE)
        };
        self.known.values().any(|known| known.report.as_ref().is_some_and(nearly_full))
    }

    /// Whether this VM's own exchanges found an engine lost that still counts as well.
    fn has_new_suspect(&self) -> bool {
        let counts = |known: &KnownEngine| known.report.is_some();
        self.known.iter().any(|(id, known)| counts(known) && self.gateway.book.is_ejected(id))
    }

    async fn place_service(&mut self, service: &str, figures: &EngineFigures) {
        let hall = self.gateway.settings().hall.clone();
        let engines: BTreeMap<EndpointId, EndpointRecord> =
            self.gateway.knowledge.endpoints(|directory| {
                let in_hall = directory.usable_of(service).filter(|record| record.hall == hall);
                in_hall.map(|record| (record.id.clone(), record.clone())).collect()
            });
        self.ask_all(&engines, figures.layers).await;
        let now = Instant::now();
        let ids: Vec<EndpointId> = engines.keys().cloned().collect();
        if self.members.0 != ids {
            self.members = (ids, now);
        }
        let alive: Vec<&EndpointRecord> = engines
            .values()
            .filter(|record| self.known.get(&record.id).is_some_and(|k| k.report.is_some()))
            .collect();
        if alive.len() * 2 <= engines.len() || !self.leadership.is_held() {
            // More likely this VM is cut off than most engines lost.
            return;
        }
        let is_first = alive.iter().all(|record| self.layers_of(&record.id).is_none());
        if is_first && now.saturating_duration_since(self.members.1) < SETTLE {
            return;
        }
        let views: Vec<EngineView> =
            alive.iter().filter_map(|record| self.view(record, now)).collect();
        let load = self.load();
        let chains = self.chains.entry(service.to_owned()).or_default();
        let targets = match is_first {
            true => {
                let in_pairs = self.gateway.settings().mechanisms.pairs;
                first_targets(&views, figures, chains, in_pairs)
            }
            false => mended_targets(&views, figures, chains, load),
        };
        let Some(targets) = targets else {
            tracing::warn!(service, hall, engines = alive.len(), "plan: The layers do not fit.");
            return;
        };
        for target in targets {
            self.order(engines[&target.endpoint].address, &target).await;
        }
    }

    /// Requests that the hall is to have room for: those that begin at its engines now, and more.
    fn load(&self) -> f64 {
        let reports = self.known.values().filter_map(|known| known.report.as_ref());
        let firsts = reports.filter(|report| report.layers.is_some_and(|layers| layers.first == 0));
        let requests =
            firsts.map(|report| f64::from(report.running) + f64::from(report.waiting)).sum::<f64>();
        requests * LOAD_MARGIN
    }

    fn view(&self, record: &EndpointRecord, now: Instant) -> Option<EngineView> {
        let known = self.known.get(&record.id)?;
        let order_in_progress = known.report.as_ref()?.order_in_progress;
        let may_come =
            |at: Instant| order_in_progress || now.saturating_duration_since(at) < ORDER_PAUSE;
        Some(EngineView {
            id: record.id.clone(),
            kind: record.accelerator.clone()?,
            serves: self.layers_of(&record.id),
            ordered: known.ordered.filter(|(_, at)| may_come(*at)).map(|(layers, _)| layers),
            order_in_progress,
        })
    }

    fn layers_of(&self, id: &str) -> Option<LayerRange> {
        let report = self.known.get(id)?.report.as_ref()?;
        report.layers.filter(|layers| !layers.is_empty())
    }

    /// Asks all engines for their reports at once; the model has so many layers.
    async fn ask_all(&mut self, engines: &BTreeMap<EndpointId, EndpointRecord>, layers: u16) {
        self.known.retain(|id, _| engines.contains_key(id));
        for id in engines.keys() {
            let newest_incarnation =
                self.gateway.knowledge.endpoints(|known| known.newest_incarnation(id));
            self.known.entry(id.clone()).or_default().on_incarnation(newest_incarnation);
        }
        let asking: Vec<(EndpointId, smol::Task<ReportOutcome>)> = engines
            .values()
            .map(|record| {
                let asked = ask(self.gateway.clone(), record.address);
                (record.id.clone(), self.gateway.executor.spawn(asked))
            })
            .collect();
        for (id, task) in asking {
            let asked = task.await.within(layers);
            let is_suspect = self.gateway.book.is_ejected(&id);
            let known = self.known.entry(id.clone()).or_default();
            if let ReportOutcome::Unreadable(reason) = &asked {
                self.gateway.metrics.unreadable.get_or_create(&KindLabel { kind: "report" }).inc();
                if known.is_new_fault(reason) {
                    tracing::warn!(endpoint = id, reason, "endpoint: Its reports cannot be read.");
                }
            }
            known.on_asked(asked, is_suspect);
        }
    }

    /// Orders an engine to hold its layers, unless it does or is at work on an order.
    async fn order(&mut self, address: SocketAddr, target: &Target) {
        let now = Instant::now();
        let held = self.layers_of(&target.endpoint);
        let Some(known) = self.known.get_mut(&target.endpoint) else {
            return;
        };
        let Some(report) = &known.report else {
            return;
        };
        let layers = target.layers;
        if report.order_in_progress || layers.is_empty() || held == Some(layers) {
            return;
        }
        let is_pending =
            |(_, at): &(LayerRange, Instant)| now.saturating_duration_since(*at) < ORDER_PAUSE;
        if known.ordered.as_ref().is_some_and(is_pending) {
            return;
        }
        known.ordered = Some((layers, now));
        let order = PlacementOrder {
            layers,
            release_mode: target.give_up,
            expected_orders: report.orders_accepted,
        };
        let call = W::order_call(&order);
        let ended = self.gateway.engine_calls.call(address, call, ENGINE_CALL_LIMIT).await;
        let end = match &ended {
            Ok(reply) => W::read_order_outcome(reply.status).name(),
            Err(_) => "no_answer",
        };
        if end == "begun"
            && let Some(known) = self.known.get_mut(&target.endpoint)
            && let Some(report) = known.report.as_mut()
        {
            // What is given up is not to be used from now on; what is new is told by the next report.
            report.layers = held.and_then(|held| common(held, layers));
        }
        if end == "conflict" || end == "refused" {
            // It was not carried out, so it may be given again by the next report.
            if let Some(known) = self.known.get_mut(&target.endpoint) {
                known.ordered = None;
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
            "order: Given."
        );
    }
}

/// Layers in both ranges.
fn common(a: LayerRange, b: LayerRange) -> Option<LayerRange> {
    let both = LayerRange { first: a.first.max(b.first), end: a.end.min(b.end) };
    (!both.is_empty()).then_some(both)
}
