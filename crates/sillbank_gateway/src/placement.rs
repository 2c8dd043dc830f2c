//! Gives the engines of this hall their layers, while this VM holds the hall's lease.

use crate::feed::{EngineState, HallBoard};
use crate::gateway::{Gateway, Life};
use crate::metrics::KindLabel;
use crate::store::MetadataStore;
use crate::wire::{EngineReport, GiveUp, PlaceOrder, Wire};
use sillbank_catalog::prelude::*;
use sillbank_core::prelude::*;
use sillbank_fleet::prelude::*;
use sillbank_layers::prelude::*;
use sillbank_lease::{Candidate, Lease, Moment};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

/// How often the lease and the plan are looked at.
const TICK: Duration = Duration::from_millis(250);
/// Term of a hall's lease. A holder that is killed is followed by another VM after 9/8 of it.
const LEASE_TERM: Duration = Duration::from_millis(2_600);
/// How often a VM that does not hold the lease reads it. Each read is a priced call.
const LEASE_READ_INTERVAL: Duration = Duration::from_millis(800);
/// How often engines are asked for their reports. Each is priced like a status check.
const REPORT_INTERVAL: Duration = Duration::from_millis(700);
/// How long an engine may take to report or to take an order.
const ENGINE_CALL_LIMIT: Duration = Duration::from_millis(500);
/// Reports in a row that may be missing before an engine is taken for lost.
const MISSED_REPORTS: u32 = 2;
/// How long the set of engines must stand still before layers are given out for the first time.
const SETTLE: Duration = Duration::from_millis(700);
/// How long an order that got no answer may still be carried out before it is given again. The
/// engine refuses it if the first one came through after all.
const ORDER_PAUSE: Duration = Duration::from_millis(3_000);
/// What the planner weighs, in layers loaded. A layer given up ends paths of requests that pass, so
/// it costs more than a load; even shares count less, so that nothing moves for them alone.
const WEIGHTS: PlanWeights = PlanWeights { load: 1.0, give_up: 2.0, balance: 0.1 };
/// Costs of little room for KV cache, in layers loaded: below this many requests of the usual size,
/// this much more. A hall of the sites known runs some 60 requests at once, and preempts when its
/// tightest engine has no room for them.
const ROOM_COSTS: [(f64, f64); 4] = [(120.0, 2.0), (80.0, 8.0), (40.0, 20.0), (15.0, 60.0)];

/// Requests of the usual size that each engine of a chain has room for when chains are counted.
const ROOM_IN_CHAINS: f64 = 80.0;
/// Most chains in a hall.
const MAX_CHAINS: usize = 8;

/// Requests of the usual size that an engine has room for that holds its layers alone. A hall of the
/// sites known runs some 60 at once.
const ROOM_ALONE: f64 = 140.0;
/// Requests of the usual size that an engine has room for that shares its layers with another.
const ROOM_PAIRED: f64 = 75.0;
/// Requests of the usual size that an engine has room for that takes more layers in need.
const ROOM_AT_LEAST: f64 = 30.0;
/// Engines that are given second holdings at once: each load slows others beyond a few.
const SPARES_AT_ONCE: usize = 3;

/// Layers that an engine is to hold.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Target {
    endpoint: EndpointId,
    layers: LayerRange,
    give_up: GiveUp,
}

/// What is known of one engine by asking it.
#[derive(Debug, Clone, Default)]
struct Known {
    report: Option<EngineReport>,
    missed: u32,
    ordered: Option<(LayerRange, Instant)>,
}

/// State of the placement on one VM.
struct Placement<W: Wire, S: MetadataStore> {
    gateway: Rc<Gateway<W, S>>,
    lease: Lease,
    lease_name: String,
    lease_read_at: Option<Instant>,
    holds: bool,
    known: HashMap<EndpointId, Known>,
    asked_at: Option<Instant>,
    members: (Vec<EndpointId>, Instant),
    chains: BTreeMap<ServiceId, BTreeMap<EndpointId, ChainNumber>>,
}

/// Keeps the layers of this hall's engines placed for as long as the program runs.
pub async fn place_layers<W: Wire, S: MetadataStore>(gateway: Rc<Gateway<W, S>>) {
    let settings = gateway.settings();
    let candidate =
        Candidate { vm: settings.vm.clone(), peer: settings.peer_listen, term: LEASE_TERM };
    let mut placement = Placement {
        lease: Lease::new(candidate),
        lease_name: lease_name(&settings.hall),
        lease_read_at: None,
        holds: false,
        known: HashMap::new(),
        asked_at: None,
        members: (Vec::new(), Instant::now()),
        chains: BTreeMap::new(),
        gateway,
    };
    loop {
        smol::Timer::after(TICK).await;
        placement.keep_lease().await;
        if placement.holds {
            placement.place().await;
        }
    }
}

/// Name of the lease of a hall.
pub fn lease_name(hall: &str) -> String {
    format!("hall-{hall}")
}

fn moment() -> Moment {
    Moment::from_clocks(Instant::now(), SystemTime::now())
}

impl<W: Wire, S: MetadataStore> Placement<W, S> {
    async fn keep_lease(&mut self) {
        let now = Instant::now();
        if self.gateway.life.get() != Life::Serving {
            self.give_lease_up().await;
            return;
        }
        let mut write = self.lease.on_tick(moment(), fastrand::u64(..));
        if write.is_none() && self.lease.wants_read() && self.read_is_due(now) {
            self.lease_read_at = Some(now);
            match self.gateway.store.read_lease(&self.lease_name).await {
                Ok(read) => write = self.lease.on_read(moment(), read, fastrand::u64(..)),
                Err(error) => tracing::debug!(%error, "lease: It could not be read."),
            }
        }
        if let Some(write) = write {
            let end = self.gateway.store.write_lease(&self.lease_name, &write).await;
            self.lease.on_write_end(moment(), end);
        }
        self.note_lease();
    }

    /// A VM that is told by the hall's leader need not read the lease: the leader holds it.
    fn read_is_due(&self, now: Instant) -> bool {
        let interval = LEASE_READ_INTERVAL * self.gateway.hall.crowd_factor();
        let is_due = |at: Instant| now.saturating_duration_since(at) >= interval;
        !self.gateway.hall.leader_is_live(now) && self.lease_read_at.is_none_or(is_due)
    }

    /// Frees the lease of a VM that stops, so that another takes it at once.
    async fn give_lease_up(&mut self) {
        if let Some(write) = self.lease.give_up(moment(), fastrand::u64(..), None) {
            let end = self.gateway.store.write_lease(&self.lease_name, &write).await;
            self.lease.on_write_end(moment(), end);
        }
        self.note_lease();
    }

    fn note_lease(&mut self) {
        let fence = self.lease.fence(moment());
        let hall = &self.gateway.hall;
        let own = self.gateway.settings().peer_listen;
        let leader = self.lease.holder().map(|record| record.peer);
        hall.leader.set(leader.filter(|leader| *leader != own));
        hall.leads.set(fence);
        let holds = fence.is_some();
        if holds != self.holds {
            self.holds = holds;
            self.known.clear();
            self.chains.clear();
            tracing::info!(lease = self.lease_name, holds, fence, "lease: Changed.");
        }
    }

    /// Tells what is known of the hall's engines.
    fn post_board(&self) {
        let settings = self.gateway.settings();
        let now = Instant::now();
        let engines = self.known.iter().map(|(id, known)| {
            let report = known.report.as_ref();
            EngineState {
                id: id.clone(),
                is_lost: report.is_none(),
                layers: report.and_then(|report| report.layers),
                waiting: report.map_or(0, |report| report.waiting),
                running: report.map_or(0, |report| report.running),
                kv_permille: report.map_or(0, |report| (report.kv_share * 1000.0) as u16),
                pace_permille: report.map_or(1000, |report| (report.pace * 1000.0) as u32),
            }
        });
        let vms = self.gateway.hall.vms(now);
        self.gateway.hall.note_hall_vms(vms);
        let board = HallBoard {
            hall: settings.hall.clone(),
            age_ms: 0,
            vms,
            leader: settings.peer_listen,
            engines: engines.collect(),
        };
        self.gateway.hall.keep_board(now, board);
    }

    async fn place(&mut self) {
        let Some(catalog) = self.gateway.knowledge.catalog() else {
            return;
        };
        let services: Vec<Rc<Service>> =
            catalog.services().filter(|service| service.engine.is_some()).cloned().collect();
        let now = Instant::now();
        let is_due = |at: Instant| now.saturating_duration_since(at) >= REPORT_INTERVAL;
        if !self.asked_at.is_none_or(is_due) && !self.has_new_suspect() {
            return;
        }
        self.asked_at = Some(now);
        for service in services {
            if let Some(figures) = &service.engine {
                self.place_service(&service.name, figures).await;
            }
        }
        self.post_board();
    }

    /// Whether this VM's own exchanges found an engine lost that still counts as well.
    fn has_new_suspect(&self) -> bool {
        let counts = |known: &Known| known.report.is_some();
        self.known.iter().any(|(id, known)| counts(known) && self.gateway.book.is_ejected(id))
    }

    async fn place_service(&mut self, service: &str, figures: &EngineFigures) {
        let hall = self.gateway.settings().hall.clone();
        let engines: BTreeMap<EndpointId, EndpointRecord> =
            self.gateway.knowledge.endpoints(|directory| {
                let in_hall = directory.usable_of(service).filter(|record| record.hall == hall);
                in_hall.map(|record| (record.id.clone(), record.clone())).collect()
            });
        self.ask_all(&engines).await;
        let now = Instant::now();
        let ids: Vec<EndpointId> = engines.keys().cloned().collect();
        if self.members.0 != ids {
            self.members = (ids, now);
        }
        let alive: Vec<&EndpointRecord> = engines
            .values()
            .filter(|record| self.known.get(&record.id).is_some_and(|k| k.report.is_some()))
            .collect();
        if alive.len() * 2 <= engines.len() || self.lease.fence(moment()).is_none() {
            // More likely this VM is cut off than most engines lost.
            return;
        }
        let is_first = alive.iter().all(|record| self.layers_of(&record.id).is_none());
        if is_first && now.saturating_duration_since(self.members.1) < SETTLE {
            return;
        }
        let targets = match is_first {
            true => self.first_targets(service, &alive, figures),
            false => self.mended_targets(service, &alive, figures),
        };
        let Some(targets) = targets else {
            tracing::warn!(service, hall, engines = alive.len(), "plan: The layers do not fit.");
            return;
        };
        for target in targets {
            self.order(engines[&target.endpoint].address, &target).await;
        }
    }

    /// What engines hold first: whole chains if there is memory for several, else pairs.
    fn first_targets(
        &mut self,
        service: &str,
        engines: &[&EndpointRecord],
        figures: &EngineFigures,
    ) -> Option<Vec<Target>> {
        let chains = self.deal(service, engines, figures);
        if chains.len() > 1 {
            return self.chain_targets(&chains, figures, GiveUp::AtOnce);
        }
        let members: Vec<PairMember> = engines
            .iter()
            .filter_map(|record| {
                let kind = figures.accelerator(record.accelerator.as_deref()?)?;
                let shape = memory_shape(figures, kind);
                let usual = usual_tokens(figures);
                Some(PairMember {
                    endpoint: record.id.clone(),
                    kind: kind.kind.clone(),
                    alone: layers_that_fit(&shape, usual * ROOM_ALONE),
                    paired: layers_that_fit(&shape, usual * ROOM_PAIRED),
                })
            })
            .collect();
        let placed = place_in_pairs(&members, figures.layers);
        let Some(placed) = placed else {
            return self.chain_targets(&chains, figures, GiveUp::AtOnce);
        };
        let targets = placed.into_iter().map(|(endpoint, layers)| Target {
            endpoint,
            layers,
            give_up: GiveUp::AtOnce,
        });
        Some(targets.collect())
    }

    /// Whole chains, each planned on its own; `None` if none of them fits.
    fn chain_targets(
        &self,
        chains: &[Vec<&EndpointRecord>],
        figures: &EngineFigures,
        give_up: GiveUp,
    ) -> Option<Vec<Target>> {
        let plans: Vec<Vec<Assignment>> =
            chains.iter().filter_map(|chain| self.plan(chain, figures)).collect();
        if plans.is_empty() {
            return None;
        }
        let targets = plans.into_iter().flatten().map(|assignment| Target {
            endpoint: assignment.endpoint,
            layers: assignment.holds,
            give_up,
        });
        Some(targets.collect())
    }

    /// What has to move after engines were lost or came. Requests may still pass through what is given
    /// up: an engine that leaves ends its own, and running requests are moved around one that is lost.
    fn mended_targets(
        &mut self,
        service: &str,
        engines: &[&EndpointRecord],
        figures: &EngineFigures,
    ) -> Option<Vec<Target>> {
        let now = Instant::now();
        let members: Vec<RepairMember> = engines
            .iter()
            .filter_map(|record| {
                let kind = figures.accelerator(record.accelerator.as_deref()?)?;
                let shape = memory_shape(figures, kind);
                let usual = usual_tokens(figures);
                let known = self.known.get(&record.id)?;
                let under_way = known.report.as_ref().is_some_and(|r| r.order_under_way);
                let ordered = known.ordered.filter(|(_, at)| {
                    under_way || now.saturating_duration_since(*at) < ORDER_PAUSE
                });
                let held = self.layers_of(&record.id);
                let target = ordered.map(|(layers, _)| layers);
                Some(RepairMember {
                    endpoint: record.id.clone(),
                    comfortable: layers_that_fit(&shape, usual * ROOM_PAIRED),
                    most: layers_that_fit(&shape, usual * ROOM_AT_LEAST),
                    held: target.or(held),
                    is_busy: under_way || (target.is_some() && target != held),
                })
            })
            .collect();
        if let Some(moves) = repair(&members, figures.layers, SPARES_AT_ONCE) {
            let targets = moves.into_iter().map(|moved| Target {
                endpoint: moved.endpoint,
                layers: moved.layers,
                give_up: GiveUp::WhenUnused,
            });
            return Some(targets.collect());
        }
        if members.iter().any(|member| member.is_busy) {
            // What is under way may mend it.
            return Some(Vec::new());
        }
        let chains = self.deal(service, engines, figures);
        self.chain_targets(&chains, figures, GiveUp::WhenUnused)
    }

    /// Deals engines to as many chains as hold the model with room for KV cache.
    fn deal<'a>(
        &mut self,
        service: &str,
        engines: &[&'a EndpointRecord],
        figures: &EngineFigures,
    ) -> Vec<Vec<&'a EndpointRecord>> {
        let kind_of =
            |r: &EndpointRecord| r.accelerator.as_deref().and_then(|k| figures.accelerator(k));
        let fits: u32 = engines
            .iter()
            .filter_map(|record| kind_of(record))
            .map(|kind| {
                let tokens = usual_tokens(figures) * ROOM_IN_CHAINS;
                u32::from(layers_that_fit(&memory_shape(figures, kind), tokens))
            })
            .sum();
        let possible = fits as f64 / f64::from(figures.layers.max(1));
        let dealt = self.chains.entry(service.to_owned()).or_default();
        let before = dealt.values().max().map_or(0, |most| most + 1);
        // A chain more is begun, or one given up, only when it is clear: engines come and go.
        let wanted = (possible.floor() as usize).clamp(1, MAX_CHAINS);
        let count = match before {
            0 => wanted,
            before if possible >= before as f64 + 1.3 || possible < before as f64 * 0.8 => wanted,
            before => before,
        };
        let members: Vec<ChainMember> = engines
            .iter()
            .map(|record| ChainMember {
                endpoint: record.id.clone(),
                weight: kind_of(record).map_or(0.0, |kind| kind.memory_mb),
                held: layers_in(&self.known, &record.id),
            })
            .collect();
        *dealt = deal_chains(&members, count, dealt);
        let mut chains: Vec<Vec<&EndpointRecord>> = vec![Vec::new(); count];
        for record in engines {
            chains[dealt[&record.id]].push(record);
        }
        chains
    }

    fn layers_of(&self, id: &str) -> Option<LayerRange> {
        layers_in(&self.known, id)
    }

    /// Asks all engines for their reports at once.
    async fn ask_all(&mut self, engines: &BTreeMap<EndpointId, EndpointRecord>) {
        self.known.retain(|id, _| engines.contains_key(id));
        let asking: Vec<(EndpointId, smol::Task<Option<EngineReport>>)> = engines
            .values()
            .map(|record| {
                let asked = ask(self.gateway.clone(), record.address);
                (record.id.clone(), self.gateway.executor.spawn(asked))
            })
            .collect();
        for (id, task) in asking {
            let report = task.await;
            let is_suspect = self.gateway.book.is_ejected(&id);
            let known = self.known.entry(id).or_default();
            match report {
                Some(report) => {
                    known.report = Some(report);
                    known.missed = 0;
                }
                None => {
                    known.missed += 1;
                    // Own exchanges and a missing report agree.
                    if is_suspect || known.missed >= MISSED_REPORTS {
                        known.report = None;
                    }
                }
            }
        }
    }

    /// The plan for engines that answer.
    fn plan(
        &self,
        engines: &[&EndpointRecord],
        figures: &EngineFigures,
    ) -> Option<Vec<Assignment>> {
        let runners: Vec<PlanRunner> =
            engines.iter().filter_map(|record| self.runner(record, figures)).collect();
        plan(&runners, figures.layers, WEIGHTS)
    }

    fn runner(&self, record: &EndpointRecord, figures: &EngineFigures) -> Option<PlanRunner> {
        let kind = figures.accelerator(record.accelerator.as_deref()?)?;
        let shape = memory_shape(figures, kind);
        let most_layers = layers_that_fit(&shape, usual_tokens(figures));
        let size_costs = (0..=most_layers).map(|held| room_cost(&shape, held, figures)).collect();
        Some(PlanRunner {
            endpoint: record.id.clone(),
            size_costs,
            weight: kind.memory_mb,
            held: self.layers_of(&record.id),
        })
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
        if report.order_under_way || layers.is_empty() || held == Some(layers) {
            return;
        }
        let is_pending =
            |(_, at): &(LayerRange, Instant)| now.saturating_duration_since(*at) < ORDER_PAUSE;
        if known.ordered.as_ref().is_some_and(is_pending) {
            return;
        }
        known.ordered = Some((layers, now));
        let order =
            PlaceOrder { layers, give_up: target.give_up, expected_orders: report.orders_taken };
        let call = W::order_call(&order);
        let ended = self.gateway.engine_calls.call(address, call, ENGINE_CALL_LIMIT).await;
        let end = match &ended {
            Ok(reply) => W::read_order_end(reply.status).name(),
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

fn layers_in(known: &HashMap<EndpointId, Known>, id: &str) -> Option<LayerRange> {
    known.get(id)?.report.as_ref()?.layers.filter(|layers| !layers.is_empty())
}

/// Layers in both ranges.
fn common(a: LayerRange, b: LayerRange) -> Option<LayerRange> {
    let both = LayerRange { first: a.first.max(b.first), end: a.end.min(b.end) };
    (!both.is_empty()).then_some(both)
}

async fn ask<W: Wire, S: MetadataStore>(
    gateway: Rc<Gateway<W, S>>,
    address: SocketAddr,
) -> Option<EngineReport> {
    let reply = gateway.engine_calls.call(address, W::report_call(), ENGINE_CALL_LIMIT).await;
    let reply = match reply {
        Ok(reply) => reply,
        Err(error) => {
            tracing::info!(endpoint = %address, %error, "endpoint: No report.");
            return None;
        }
    };
    match W::read_report(&reply.body) {
        Ok(report) => Some(report),
        Err(error) => {
            tracing::warn!(endpoint = %address, %error, "endpoint: A report cannot be read.");
            None
        }
    }
}

/// Cost of the room that is left for KV cache beside so many layers.
fn room_cost(shape: &MemoryShape, held: u16, figures: &EngineFigures) -> f64 {
    let requests = tokens_that_fit(shape, held) / usual_tokens(figures).max(1.0);
    let costs = ROOM_COSTS.iter().filter(|(least, _)| held > 0 && requests < *least);
    costs.map(|(_, cost)| cost).sum()
}

fn usual_tokens(figures: &EngineFigures) -> f64 {
    f64::from(figures.usual_prompt_tokens + figures.usual_answer_tokens)
}

fn memory_shape(figures: &EngineFigures, kind: &AcceleratorFigures) -> MemoryShape {
    MemoryShape {
        memory_mb: kind.memory_mb,
        layer_mb: figures.layer_mb,
        layers: figures.layers,
        kv_token_bytes: figures.kv_token_bytes,
    }
}
