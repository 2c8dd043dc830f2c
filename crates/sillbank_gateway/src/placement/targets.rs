//! What the engines of a hall should hold. Pure: what is known of them comes in, targets go out.

use crate::wire::ReleaseMode;
use sillbank_catalog::prelude::*;
use sillbank_core::prelude::*;
use sillbank_engines::prelude::*;
use sillbank_layers::prelude::*;
use std::collections::BTreeMap;

/// What the planner weighs, in layers loaded. A layer given up ends paths of requests that pass, so
/// it costs more than a load; even shares count less, so that nothing moves for them alone.
const WEIGHTS: PlanWeights = PlanWeights { load: 1.0, unload: 2.0, balance: 0.1 };
/// Costs of little room for KV cache, in layers loaded: below this many requests of the usual size,
/// this much more. A hall of the sites known runs some 60 requests at once, and preempts when its
/// tightest engine has no room for them.
const ROOM_COSTS: [(f64, f64); 4] = [(120.0, 2.0), (80.0, 8.0), (40.0, 20.0), (15.0, 60.0)];
/// Requests of the usual size that each engine of a chain has room for when chains are counted.
const ROOM_IN_CHAINS: f64 = 80.0;
/// Most chains in a hall; only a guard, memory and the lengths of chains decide. At 8 the chains of a
/// hall of 333 engines had 41 engines each, and engines refuse paths of more than 32 parts: 0.05 of the
/// requests of two such halls were served.
const MAX_CHAINS: usize = 256;
/// Chains more that the memory must allow before another is begun, and the part of them below which
/// one is given up: engines come and go.
const CHAIN_MORE: f64 = 1.3;
const CHAIN_LESS: f64 = 0.8;
/// How many times slower the slowest engine of a hall must be than the quickest for chains to be dealt by pace. Where
/// steps took 2.4, 5.3 and 16 times the usual, chains by pace earned 0.697 of all worth while engines fail and
/// chains by memory 0.638; where they took 14, 15 and 16 times and load was beyond what engines can do, chains by
/// pace earned -0.07 and 0.12 and chains by memory 0.09 and 0.16.
const PACES_DIFFER: f64 = 2.0;
/// Requests of the usual size that an engine has room for that holds its layers alone. A hall is to run
/// so many at once; more room means fewer layers that are held twice. Share of all worth
/// that was earned while engines, VMs and links failed, on three deployments: 0.527, 0.598, 0.632 at 85
/// (45 in pairs), 0.582, 0.616, 0.642 at 110, 0.558, 0.580, 0.640 at 140 (75). With twice the requests
/// that a hall is made for and no failures, 140 earns more: 0.710, and 0.598 at 110.
const ROOM_ALONE: f64 = 110.0;
/// Requests of the usual size that an engine has room for that shares its layers with another.
const ROOM_PAIRED: f64 = 60.0;
/// Requests of the usual size that an engine has room for that takes more layers in need. At 8 an
/// engine refused for the rest of the day.
const ROOM_AT_LEAST: f64 = 30.0;
/// Requests at once that a hall is laid out for at least, also while fewer run.
const LEAST_LOAD: f64 = 110.0;
/// Engines that are moved at once without need: each load slows others beyond a few.
const SPARES_AT_ONCE: usize = 3;

/// One engine as the placement knows it.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineView {
    /// Engine.
    pub id: EndpointId,
    /// Accelerator kind.
    pub kind: AcceleratorKind,
    /// Layers it serves.
    pub serves: Option<LayerRange>,
    /// Layers it was ordered to hold, while that may still come true.
    pub ordered: Option<LayerRange>,
    /// Whether it says that it is carrying out an order.
    pub order_in_progress: bool,
}

/// Layers that an engine is to hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Engine.
    pub endpoint: EndpointId,
    /// Layers.
    pub layers: LayerRange,
    /// When it gives up what it holds beside them.
    pub give_up: ReleaseMode,
}

/// Which chain each engine of a service belongs to.
pub type Chains = BTreeMap<EndpointId, ChainNumber>;

/// What engines hold first: whole chains if there is memory for several, else pairs, if these are
/// wanted. `None` if the layers do not fit.
pub fn first_targets(
    engines: &[EngineView],
    figures: &EngineFigures,
    chains: &mut Chains,
    in_pairs: bool,
) -> Option<Vec<Target>> {
    let dealt = match paces_differ(engines, figures) {
        true => deal_quick_first(engines, figures, chains),
        false => deal(engines, figures, chains),
    };
    if dealt.len() > 1 || !in_pairs {
        return chain_targets(&dealt, figures, ReleaseMode::AtOnce);
    }
    let members: Vec<PairMember> =
        engines.iter().filter_map(|engine| pair_member(engine, figures)).collect();
    let Some(placed) = place_in_pairs(&members, figures.layers) else {
        return chain_targets(&dealt, figures, ReleaseMode::AtOnce);
    };
    let give_up = ReleaseMode::AtOnce;
    let targets = placed.into_iter().map(|(endpoint, layers)| Target { endpoint, layers, give_up });
    Some(targets.collect())
}

/// What has to move after engines were lost or came, in a hall that is to run `load` requests at once. Requests may still pass through what is given
/// up: an engine that leaves ends its own, and running requests are moved around one that is lost.
/// `None` if the layers do not fit.
pub fn mended_targets(
    engines: &[EngineView],
    figures: &EngineFigures,
    chains: &mut Chains,
    load: f64,
) -> Option<Vec<Target>> {
    let members: Vec<RepairMember> =
        engines.iter().filter_map(|engine| repair_member(engine, figures)).collect();
    if let Some(moves) =
        repair_placement(&members, figures.layers, load.max(LEAST_LOAD), SPARES_AT_ONCE)
    {
        let targets = moves.into_iter().map(|moved| Target {
            endpoint: moved.endpoint,
            layers: moved.layers,
            give_up: ReleaseMode::WhenUnused,
        });
        return Some(targets.collect());
    }
    if members.iter().any(|member| member.is_busy) {
        // What is under way may mend it.
        return Some(Vec::new());
    }
    let dealt = deal(engines, figures, chains);
    chain_targets(&dealt, figures, ReleaseMode::WhenUnused)
}

/// Whole chains, each planned on its own; `None` if none of them fits.
fn chain_targets(
    chains: &[Vec<&EngineView>],
    figures: &EngineFigures,
    give_up: ReleaseMode,
) -> Option<Vec<Target>> {
    let plans: Vec<Vec<Assignment>> =
        chains.iter().filter_map(|chain| plan_chain(chain, figures)).collect();
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

fn plan_chain(chain: &[&EngineView], figures: &EngineFigures) -> Option<Vec<Assignment>> {
    let runners: Vec<PlanMember> =
        chain.iter().filter_map(|engine| plan_runner(engine, figures)).collect();
    plan_placement(&runners, figures.layers, WEIGHTS)
}

/// Deals engines to as many chains as hold the model with room for KV cache.
fn deal<'a>(
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
    let mut dealt: Vec<Vec<&EngineView>> = vec![Vec::new(); count];
    for engine in engines {
        dealt[chains[&engine.id]].push(engine);
    }
    dealt
}

/// Whether some engines are so much slower than others that chains of like pace are worth more than chains of
/// like memory.
fn paces_differ(engines: &[EngineView], figures: &EngineFigures) -> bool {
    let kinds = engines.iter().filter_map(|engine| figures.accelerator(&engine.kind));
    let paces = kinds.map(|kind| kind.step_factor);
    let (quickest, slowest) =
        paces.fold((f64::INFINITY, 0.0_f64), |(low, high), pace| (low.min(pace), high.max(pace)));
    slowest >= quickest * PACES_DIFFER
}

/// Deals engines that hold nothing to chains of like pace.
fn deal_quick_first<'a>(
    engines: &'a [EngineView],
    figures: &EngineFigures,
    chains: &mut Chains,
) -> Vec<Vec<&'a EngineView>> {
    let tokens = usual_tokens(figures) * ROOM_IN_CHAINS;
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
    let mut dealt: Vec<Vec<&EngineView>> = vec![Vec::new(); count];
    for engine in engines {
        if let Some(chain) = chains.get(&engine.id) {
            dealt[*chain].push(engine);
        }
    }
    dealt
}

fn chain_count(engines: &[EngineView], figures: &EngineFigures, chains: &Chains) -> usize {
    let fits: u32 = engines
        .iter()
        .filter_map(|engine| figures.accelerator(&engine.kind))
        .map(|kind| {
            let tokens = usual_tokens(figures) * ROOM_IN_CHAINS;
            u32::from(layers_that_fit(&memory_figures(figures, kind), tokens))
        })
        .sum();
    let possible = f64::from(fits) / f64::from(figures.layers.max(1));
    let wanted = (possible.floor() as usize).clamp(1, MAX_CHAINS);
    let before = chains.values().max().map_or(0, |most| most + 1);
    let stays = possible < before as f64 + CHAIN_MORE && possible >= before as f64 * CHAIN_LESS;
    if before > 0 && stays { before } else { wanted }
}

fn pair_member(engine: &EngineView, figures: &EngineFigures) -> Option<PairMember> {
    let kind = figures.accelerator(&engine.kind)?;
    let shape = memory_figures(figures, kind);
    let usual = usual_tokens(figures);
    Some(PairMember {
        endpoint: engine.id.clone(),
        kind: kind.kind.clone(),
        solo_layers: layers_that_fit(&shape, usual * ROOM_ALONE),
        paired_layers: layers_that_fit(&shape, usual * ROOM_PAIRED),
    })
}

fn repair_member(engine: &EngineView, figures: &EngineFigures) -> Option<RepairMember> {
    let kind = figures.accelerator(&engine.kind)?;
    let shape = memory_figures(figures, kind);
    let usual = usual_tokens(figures);
    let is_changing = engine.ordered.is_some() && engine.ordered != engine.serves;
    Some(RepairMember {
        endpoint: engine.id.clone(),
        preferred_layers: layers_that_fit(&shape, usual * ROOM_PAIRED),
        max_layers: layers_that_fit(&shape, usual * ROOM_AT_LEAST),
        pace: kind.step_factor,
        request_capacities: rooms(&shape, usual),
        held: engine.ordered.or(engine.serves),
        is_busy: engine.order_in_progress || is_changing,
    })
}

/// Requests of the usual size for which there is room beside 0, 1, 2 ... layers.
fn rooms(shape: &MemoryFigures, usual_tokens: f64) -> Vec<f64> {
    let most = layers_that_fit(shape, 0.0);
    (0..=most).map(|held| tokens_that_fit(shape, held) / usual_tokens.max(1.0)).collect()
}

fn plan_runner(engine: &EngineView, figures: &EngineFigures) -> Option<PlanMember> {
    let kind = figures.accelerator(&engine.kind)?;
    let shape = memory_figures(figures, kind);
    let most_layers = layers_that_fit(&shape, usual_tokens(figures));
    let layer_count_costs =
        (0..=most_layers).map(|held| room_cost(&shape, held, figures)).collect();
    Some(PlanMember {
        endpoint: engine.id.clone(),
        layer_count_costs,
        weight: kind.memory_mb,
        held: engine.serves,
    })
}

/// Cost of the room that is left for KV cache beside so many layers.
fn room_cost(shape: &MemoryFigures, held: u16, figures: &EngineFigures) -> f64 {
    let requests = tokens_that_fit(shape, held) / usual_tokens(figures).max(1.0);
    let costs = ROOM_COSTS.iter().filter(|(least, _)| held > 0 && requests < *least);
    costs.map(|(_, cost)| cost).sum()
}

fn usual_tokens(figures: &EngineFigures) -> f64 {
    RequestSize::usual(figures).kv_tokens()
}
