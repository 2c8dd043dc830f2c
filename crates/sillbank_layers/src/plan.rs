//! Planning of which endpoint of a chain holds which layers.
//!
//! The endpoints keep their order along the model; the plan chooses the boundaries between them by
//! dynamic programming. It weighs the layers to load against an even distribution, so that the
//! placement only changes if the gain exceeds the cost of the change.

use sillbank_core::prelude::*;

/// An endpoint that layers can be assigned to.
#[derive(Debug, Clone, PartialEq)]
pub struct PlanMember {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Cost of holding 0, 1, 2 ... layers. The last entry is for the most layers it can hold.
    pub layer_count_costs: Vec<f64>,
    /// Its share of the model relative to other endpoints.
    pub weight: f64,
    /// Layers it holds, if any.
    pub held: Option<LayerRange>,
}

impl PlanMember {
    fn max_layers(&self) -> u16 {
        self.layer_count_costs.len().saturating_sub(1).min(usize::from(u16::MAX)) as u16
    }

    fn layer_count_cost(&self, layers: LayerRange) -> Option<f64> {
        self.layer_count_costs.get(layers.len()).copied()
    }
}

/// Weights of the planner's cost function.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlanWeights {
    /// Cost of each layer to load.
    pub load: f64,
    /// Cost of each layer to unload, as requests may be passing through it.
    pub unload: f64,
    /// Cost of an uneven distribution: factor on the sum of squared layer counts by weight.
    pub balance: f64,
}

/// Layers that an endpoint should run and hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Layers it runs; empty if the plan does not use it.
    pub layers: LayerRange,
    /// Layers it holds: those it runs, and adjacent ones that it need not unload.
    pub holds: LayerRange,
}

/// Distributes `layers` layers over the endpoints; `None` if they cannot hold them all.
///
/// Each layer is run by exactly one endpoint, and no endpoint holds more layers than it has costs
/// for. The assignments are in the order of their layers.
pub fn plan_placement(
    members: &[PlanMember],
    layers: u16,
    weights: PlanWeights,
) -> Option<Vec<Assignment>> {
    let ordered = order_along_model(members, layers);
    let total_weight: f64 = ordered.iter().map(|member| member.weight).sum();
    let width = usize::from(layers) + 1;
    // costs[i][end]: least cost of running all layers before `end` on the first i endpoints.
    // starts[i][end]: first layer of the last of these endpoints.
    let mut costs = vec![vec![f64::INFINITY; width]; ordered.len() + 1];
    let mut starts = vec![vec![0_u16; width]; ordered.len() + 1];
    costs[0][0] = 0.0;
    for (index, member) in ordered.iter().enumerate() {
        let even = f64::from(layers) * member.weight / total_weight.max(f64::MIN_POSITIVE);
        for first in 0..=layers {
            let before = costs[index][usize::from(first)];
            if before.is_infinite() {
                continue;
            }
            let max_end = first.saturating_add(member.max_layers()).min(layers);
            for end in first..=max_end {
                let part = LayerRange { first, end };
                let cost = before + part_cost(member, part, even, weights);
                if cost < costs[index + 1][usize::from(end)] {
                    costs[index + 1][usize::from(end)] = cost;
                    starts[index + 1][usize::from(end)] = first;
                }
            }
        }
    }
    if costs[ordered.len()][usize::from(layers)].is_infinite() {
        return None;
    }
    let mut assignments = Vec::with_capacity(ordered.len());
    let mut end = layers;
    for index in (0..ordered.len()).rev() {
        let first = starts[index + 1][usize::from(end)];
        let layers = LayerRange { first, end };
        let member = &ordered[index];
        let (holds, _) = choose_held(member, layers, weights);
        assignments.push(Assignment { endpoint: member.endpoint.clone(), layers, holds });
        end = first;
    }
    assignments.reverse();
    Some(assignments)
}

/// Cost of an endpoint that runs a part and whose even share would be `even` layers.
fn part_cost(member: &PlanMember, part: LayerRange, even: f64, weights: PlanWeights) -> f64 {
    let size = part.len() as f64;
    let uneven = size * size / even.max(f64::MIN_POSITIVE);
    choose_held(member, part, weights).1 + weights.balance * uneven
}

/// The layers that an endpoint that runs a part should hold, and their cost: either only the part, or
/// also the layers that it holds already.
fn choose_held(member: &PlanMember, part: LayerRange, weights: PlanWeights) -> (LayerRange, f64) {
    let load = weights.load * (part.len() - overlap(member.held, part)) as f64;
    let held = member.held.filter(|held| !held.is_empty());
    let unloaded = held.map_or(0, |held| held.len() - overlap(member.held, part));
    let part_cost = member.layer_count_cost(part).unwrap_or(f64::INFINITY);
    let only_part = (part, load + part_cost + weights.unload * unloaded as f64);
    let Some(both) = held.and_then(|held| union(held, part)) else {
        return only_part;
    };
    match member.layer_count_cost(both) {
        Some(cost) if load + cost <= only_part.1 => (both, load + cost),
        _ => only_part,
    }
}

/// The union of two ranges, if they overlap or are adjacent.
fn union(held: LayerRange, part: LayerRange) -> Option<LayerRange> {
    if part.is_empty() {
        return Some(held);
    }
    let adjoins = held.first <= part.end && part.first <= held.end;
    let both = LayerRange { first: held.first.min(part.first), end: held.end.max(part.end) };
    adjoins.then_some(both)
}

/// Number of layers in both ranges.
fn overlap(held: Option<LayerRange>, part: LayerRange) -> usize {
    let Some(held) = held else {
        return 0;
    };
    LayerRange { first: held.first.max(part.first), end: held.end.min(part.end) }.len()
}

/// Orders endpoints along the model: holders by their layers, empty endpoints where layers are held
/// by nobody, or beside the fullest holder if all are held.
fn order_along_model(members: &[PlanMember], layers: u16) -> Vec<PlanMember> {
    let mut holders: Vec<PlanMember> =
        members.iter().filter(|m| holds_layers(m)).cloned().collect();
    let mut empty: Vec<PlanMember> = members.iter().filter(|m| !holds_layers(m)).cloned().collect();
    holders.sort_by_key(|member| member.held.map(|held| (held.first, held.end)));
    empty.sort_by(|a, b| b.weight.total_cmp(&a.weight).then(a.endpoint.cmp(&b.endpoint)));
    if holders.is_empty() {
        return empty;
    }
    let mut positions = gap_starts(&holders, layers);
    if positions.is_empty() {
        positions.push(fullest_start(&holders));
    }
    let mut keyed: Vec<(u16, PlanMember)> =
        holders.into_iter().map(|m| (first_layer(&m), m)).collect();
    for (number, member) in empty.into_iter().enumerate() {
        keyed.push((positions[number % positions.len()], member));
    }
    // The sort is stable, so an empty endpoint comes after a holder that starts at the same layer.
    keyed.sort_by_key(|(start, _)| *start);
    keyed.into_iter().map(|(_, member)| member).collect()
}

fn holds_layers(member: &PlanMember) -> bool {
    member.held.is_some_and(|held| !held.is_empty())
}

fn first_layer(member: &PlanMember) -> u16 {
    member.held.map_or(0, |held| held.first)
}

/// First layers of the ranges that nobody holds, the longest range first.
fn gap_starts(holders: &[PlanMember], layers: u16) -> Vec<u16> {
    let mut covered = vec![false; usize::from(layers)];
    for held in holders.iter().filter_map(|member| member.held) {
        for layer in held.first..held.end.min(layers) {
            covered[usize::from(layer)] = true;
        }
    }
    let mut gaps: Vec<LayerRange> = Vec::new();
    for layer in (0..layers).filter(|layer| !covered[usize::from(*layer)]) {
        match gaps.last_mut() {
            Some(gap) if gap.end == layer => gap.end += 1,
            _ => gaps.push(LayerRange { first: layer, end: layer + 1 }),
        }
    }
    gaps.sort_by_key(|gap| std::cmp::Reverse(gap.len()));
    gaps.into_iter().map(|gap| gap.first).collect()
}

/// First layer of the holder with the most layers by weight.
fn fullest_start(holders: &[PlanMember]) -> u16 {
    let fullness = |member: &PlanMember| {
        member.held.map_or(0.0, |held| held.len() as f64 / member.weight.max(f64::MIN_POSITIVE))
    };
    holders.iter().max_by(|a, b| fullness(a).total_cmp(&fullness(b))).map_or(0, first_layer)
}
