//! Computes which layers the engines of a hall should hold.
//!
//! Pure functions without I/O or clocks.

use crate::wire::ReleaseMode;
use sillbank_catalog::prelude::*;
use sillbank_core::prelude::*;
use sillbank_engines::prelude::*;
use sillbank_layers::prelude::*;
use std::collections::BTreeMap;

/// Planner weights, in units of one loaded layer. Releasing a layer ends the paths of requests that
/// pass through it, so it costs more than a load. Balance counts less than one load, so that no
/// layer moves for it alone.
const WEIGHTS: PlanWeights = PlanWeights { load: 1.0, unload: 2.0, balance: 0.1 };
/// Costs of little free KV cache, as pairs of a number of requests of the usual size and the cost,
/// in units of one loaded layer, of having room for fewer than that. A hall of the known
/// deployments runs about 60 requests at once, and preempts when its smallest engine has no room
/// for them.
const KV_ROOM_COSTS: [(f64, f64); 4] = [(120.0, 2.0), (80.0, 8.0), (40.0, 20.0), (15.0, 60.0)];
/// Requests of the usual size that each engine of a chain has room for when chains are counted.
const CHAIN_ENGINE_REQUESTS: f64 = 80.0;
/// Upper bound for the chains of a hall; only a guard, as memory and chain lengths decide. At 8 the
/// chains of a hall of 333 engines had 41 engines each, and as engines refuse paths of more than 32
/// parts, only 0.05 of the requests of two such halls were served.
const MAX_CHAINS: usize = 256;
/// Hysteresis, as engines come and go: number of additional chains that must fit before another
/// chain is started.
const CHAIN_GROW_MARGIN: f64 = 1.3;
/// Share of the current chains that must still fit; below it a chain is dropped.
const CHAIN_SHRINK_SHARE: f64 = 0.8;
/// Ratio of the step factors of the slowest and fastest engine from which chains are formed by
/// speed. Share of the total value earned while engines fail: with step factors of 2.4, 5.3 and 16,
/// 0.697 by speed and 0.638 by memory; with 14, 15 and 16 and more load than the engines can
/// handle, -0.07 and 0.12 by speed, 0.09 and 0.16 by memory.
const MIXED_SPEED_RATIO: f64 = 2.0;
/// Requests of the usual size that fit an engine that is the only holder of its layers. This is how
/// many a hall can run at once; more room means fewer layers that are held twice.
///
/// Share of the total value earned while engines, VMs and links failed, on three deployments:
/// 0.527, 0.598, 0.632 at 85 (45 in pairs); 0.582, 0.616, 0.642 at 110; 0.558, 0.580, 0.640 at 140
/// (75 in pairs). At twice the planned load and without failures 140 earns more: 0.710, against
/// 0.598 at 110.
const SOLE_HOLDER_REQUESTS: f64 = 110.0;
/// Requests of the usual size that fit an engine that shares its layers with another.
const PAIRED_REQUESTS: f64 = 60.0;
/// Requests of the usual size that must still fit an engine that takes additional layers in an
/// emergency. At 8 such an engine refused requests for the rest of the day.
const MIN_ENGINE_REQUESTS: f64 = 30.0;
/// Concurrent requests for which a hall is planned at least, even while fewer run.
const MIN_HALL_REQUESTS: f64 = 110.0;
/// Engines that may be moved at once without need: beyond a few, each load slows the others.
const MAX_SPARE_MOVES: usize = 3;

/// One engine as the planner sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineView {
    /// Engine id.
    pub id: EndpointId,
    /// Accelerator kind.
    pub kind: AcceleratorKind,
    /// Layers that it serves.
    pub serves: Option<LayerRange>,
    /// Layers of an order that may still be carried out.
    pub ordered: Option<LayerRange>,
    /// Whether it reports that it is carrying out an order.
    pub order_in_progress: bool,
}

/// Layers that an engine should hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Engine id.
    pub endpoint: EndpointId,
    /// Layers.
    pub layers: LayerRange,
    /// When it releases the layers outside this range.
    pub release_mode: ReleaseMode,
}

/// Chain number of each engine of a service.
pub type Chains = BTreeMap<EndpointId, ChainNumber>;

/// First placement: several whole chains if memory allows, else pairs if `in_pairs` is set. `None`
/// if the layers do not fit.
pub fn initial_targets(
    engines: &[EngineView],
    figures: &EngineFigures,
    chains: &mut Chains,
    in_pairs: bool,
) -> Option<Vec<Target>> {
    let assigned = match has_mixed_speeds(engines, figures) {
        true => group_into_chains_by_speed(engines, figures, chains),
        false => group_into_chains(engines, figures, chains),
    };
    if assigned.len() > 1 || !in_pairs {
        return chain_targets(&assigned, figures, ReleaseMode::AtOnce);
    }
    let members: Vec<PairMember> =
        engines.iter().filter_map(|engine| pair_member(engine, figures)).collect();
    let Some(placed) = place_in_pairs(&members, figures.layers) else {
        return chain_targets(&assigned, figures, ReleaseMode::AtOnce);
    };
    let release_mode = ReleaseMode::AtOnce;
    let targets =
        placed.into_iter().map(|(endpoint, layers)| Target { endpoint, layers, release_mode });
    Some(targets.collect())
}

/// Moves needed after engines were lost or added, in a hall that should run `load` requests at
/// once. `None` if the layers do not fit.
///
/// Requests may still pass through released layers: an engine that releases layers finishes its
/// requests first, and running requests are moved around a lost engine.
pub fn repair_targets(
    engines: &[EngineView],
    figures: &EngineFigures,
    chains: &mut Chains,
    load: f64,
) -> Option<Vec<Target>> {
    let members: Vec<RepairMember> =
        engines.iter().filter_map(|engine| repair_member(engine, figures)).collect();
    if let Some(moves) =
        repair_placement(&members, figures.layers, load.max(MIN_HALL_REQUESTS), MAX_SPARE_MOVES)
    {
        let targets = moves.into_iter().map(|moved| Target {
            endpoint: moved.endpoint,
            layers: moved.layers,
            release_mode: ReleaseMode::WhenUnused,
        });
        return Some(targets.collect());
    }
    if members.iter().any(|member| member.is_busy) {
        // Moves in progress may already repair it.
        return Some(Vec::new());
    }
    let assigned = group_into_chains(engines, figures, chains);
    chain_targets(&assigned, figures, ReleaseMode::WhenUnused)
}

/// Plans each chain on its own; `None` if none of them fits.
fn chain_targets(
    chains: &[Vec<&EngineView>],
    figures: &EngineFigures,
    release_mode: ReleaseMode,
) -> Option<Vec<Target>> {
    let plans: Vec<Vec<Assignment>> =
        chains.iter().filter_map(|chain| plan_chain(chain, figures)).collect();
    if plans.is_empty() {
        return None;
    }
    let targets = plans.into_iter().flatten().map(|assignment| Target {
        endpoint: assignment.endpoint,
        layers: assignment.holds,
        release_mode,
    });
    Some(targets.collect())
}

fn plan_chain(chain: &[&EngineView], figures: &EngineFigures) -> Option<Vec<Assignment>> {
    let members: Vec<PlanMember> =
        chain.iter().filter_map(|engine| plan_member(engine, figures)).collect();
    plan_placement(&members, figures.layers, WEIGHTS)
}

/// Distributes engines over as many chains as hold the model with room for KV cache.
fn group_into_chains<'a>(
    engines: &'a [EngineView],
    figures: &EngineFigures,
    chains: &mut Chains,
) -> Vec<Vec<&'a EngineView>> {
    let count = chain_count(engines, figures, chains);
    let members: Vec<ChainMember> = engines
        .iter()
        .map(|engine| ChainMember {
            endpoint: engine.id.clone(),
            weight: figures.accelerator(&engine.kind).map_or(0.0, |kind| kind.memory_mb),
            held: engine.serves,
        })
        .collect();
    *chains = assign_chains(&members, count, chains);
    let mut assigned: Vec<Vec<&EngineView>> = vec![Vec::new(); count];
    for engine in engines {
        assigned[chains[&engine.id]].push(engine);
    }
    assigned
}

/// Whether engines differ so much in speed that chains of similar speed earn more than chains of
/// similar memory.
fn has_mixed_speeds(engines: &[EngineView], figures: &EngineFigures) -> bool {
    let kinds = engines.iter().filter_map(|engine| figures.accelerator(&engine.kind));
    let paces = kinds.map(|kind| kind.step_factor);
    let (fastest, slowest) =
        paces.fold((f64::INFINITY, 0.0_f64), |(low, high), pace| (low.min(pace), high.max(pace)));
    slowest >= fastest * MIXED_SPEED_RATIO
}

/// Distributes engines without layers over chains of similar speed.
fn group_into_chains_by_speed<'a>(
    engines: &'a [EngineView],
    figures: &EngineFigures,
    chains: &mut Chains,
) -> Vec<Vec<&'a EngineView>> {
    let tokens = usual_tokens(figures) * CHAIN_ENGINE_REQUESTS;
    let members: Vec<PacedMember> = engines
        .iter()
        .filter_map(|engine| {
            let kind = figures.accelerator(&engine.kind)?;
            let max_layers = layers_that_fit(&memory_figures(figures, kind), tokens);
            Some(PacedMember { endpoint: engine.id.clone(), pace: kind.step_factor, max_layers })
        })
        .collect();
    *chains = assign_chains_by_pace(&members, figures.layers);
    let count = chains.values().max().map_or(1, |most| most + 1);
    let mut assigned: Vec<Vec<&EngineView>> = vec![Vec::new(); count];
    for engine in engines {
        if let Some(chain) = chains.get(&engine.id) {
            assigned[*chain].push(engine);
        }
    }
    assigned
}

fn chain_count(engines: &[EngineView], figures: &EngineFigures, chains: &Chains) -> usize {
    let fits: u32 = engines
        .iter()
        .filter_map(|engine| figures.accelerator(&engine.kind))
        .map(|kind| {
            let tokens = usual_tokens(figures) * CHAIN_ENGINE_REQUESTS;
            u32::from(layers_that_fit(&memory_figures(figures, kind), tokens))
        })
        .sum();
    let possible = f64::from(fits) / f64::from(figures.layers.max(1));
    let wanted = (possible.floor() as usize).clamp(1, MAX_CHAINS);
    let before = chains.values().max().map_or(0, |most| most + 1);
    let stays = possible < before as f64 + CHAIN_GROW_MARGIN
        && possible >= before as f64 * CHAIN_SHRINK_SHARE;
    if before > 0 && stays { before } else { wanted }
}

fn pair_member(engine: &EngineView, figures: &EngineFigures) -> Option<PairMember> {
    let kind = figures.accelerator(&engine.kind)?;
    let memory = memory_figures(figures, kind);
    let usual = usual_tokens(figures);
    Some(PairMember {
        endpoint: engine.id.clone(),
        kind: kind.kind.clone(),
        solo_layers: layers_that_fit(&memory, usual * SOLE_HOLDER_REQUESTS),
        paired_layers: layers_that_fit(&memory, usual * PAIRED_REQUESTS),
    })
}

fn repair_member(engine: &EngineView, figures: &EngineFigures) -> Option<RepairMember> {
    let kind = figures.accelerator(&engine.kind)?;
    let memory = memory_figures(figures, kind);
    let usual = usual_tokens(figures);
    let is_changing = engine.ordered.is_some() && engine.ordered != engine.serves;
    Some(RepairMember {
        endpoint: engine.id.clone(),
        preferred_layers: layers_that_fit(&memory, usual * PAIRED_REQUESTS),
        max_layers: layers_that_fit(&memory, usual * MIN_ENGINE_REQUESTS),
        pace: kind.step_factor,
        request_capacities: request_capacities(&memory, usual),
        held: engine.ordered.or(engine.serves),
        is_busy: engine.order_in_progress || is_changing,
    })
}

/// Requests of the usual size that fit beside 0, 1, 2 ... layers.
fn request_capacities(memory: &MemoryFigures, usual_tokens: f64) -> Vec<f64> {
    let max_layers = layers_that_fit(memory, 0.0);
    (0..=max_layers).map(|held| tokens_that_fit(memory, held) / usual_tokens.max(1.0)).collect()
}

fn plan_member(engine: &EngineView, figures: &EngineFigures) -> Option<PlanMember> {
    let kind = figures.accelerator(&engine.kind)?;
    let memory = memory_figures(figures, kind);
    let max_layers = layers_that_fit(&memory, usual_tokens(figures));
    let layer_count_costs =
        (0..=max_layers).map(|held| kv_room_cost(&memory, held, figures)).collect();
    Some(PlanMember {
        endpoint: engine.id.clone(),
        layer_count_costs,
        weight: kind.memory_mb,
        held: engine.serves,
    })
}

/// Cost of the KV cache that is left beside `held` layers.
fn kv_room_cost(memory: &MemoryFigures, held: u16, figures: &EngineFigures) -> f64 {
    let requests = tokens_that_fit(memory, held) / usual_tokens(figures).max(1.0);
    let costs = KV_ROOM_COSTS.iter().filter(|(least, _)| held > 0 && requests < *least);
    costs.map(|(_, cost)| cost).sum()
}

fn usual_tokens(figures: &EngineFigures) -> f64 {
    RequestSize::usual(figures).kv_tokens()
}
