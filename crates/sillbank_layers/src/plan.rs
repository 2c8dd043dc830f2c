//! Which endpoint should hold which layers.
//!
//! The endpoints of a group keep their order along the model; the plan chooses where one ends and
//! the next begins. A dynamic programme over these boundaries weighs layers that would have to be
//! loaded against even shares, so that staying is chosen unless a change pays.

use sillbank_core::prelude::*;

/// An endpoint that layers can be given to.
#[derive(Debug, Clone, PartialEq)]
pub struct PlanRunner {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Cost of holding 0, 1, 2 ... layers; it may not hold more than there are costs for.
    pub size_costs: Vec<f64>,
    /// Its share relative to the others, greater for more layers.
    pub weight: f64,
    /// Layers it holds, if any.
    pub held: Option<LayerRange>,
}

impl PlanRunner {
    fn most_layers(&self) -> u16 {
        self.size_costs.len().saturating_sub(1).min(usize::from(u16::MAX)) as u16
    }

    fn size_cost(&self, layers: LayerRange) -> Option<f64> {
        self.size_costs.get(layers.len()).copied()
    }
}

/// What the planner weighs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlanWeights {
    /// Cost of a layer that has to be loaded.
    pub load: f64,
    /// Cost of a layer that is given up: requests may be passing through it.
    pub give_up: f64,
    /// Cost of uneven shares: factor on the sum of squared layers by weight.
    pub balance: f64,
}

/// Layers that one endpoint should run and hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Layers it runs; empty if it has none in this plan.
    pub layers: LayerRange,
    /// Layers it holds: those it runs, and those beside them that it has no need to give up.
    pub holds: LayerRange,
}

/// Shares `layers` layers out over the endpoints; `None` if they cannot hold them all.
///
/// Each layer is given to one endpoint, no endpoint gets more than it may run. The answer is in the
/// order of the layers.
pub fn plan(runners: &[PlanRunner], layers: u16, weights: PlanWeights) -> Option<Vec<Assignment>> {
    let ordered = in_order(runners, layers);
    let total_weight: f64 = ordered.iter().map(|runner| runner.weight).sum();
    let width = usize::from(layers) + 1;
    // costs[i][end]: least cost by which the first i endpoints run the layers before `end`.
    let mut costs = vec![vec![f64::INFINITY; width]; ordered.len() + 1];
    let mut starts = vec![vec![0_u16; width]; ordered.len() + 1];
    costs[0][0] = 0.0;
    for (index, runner) in ordered.iter().enumerate() {
        let even = f64::from(layers) * runner.weight / total_weight.max(f64::MIN_POSITIVE);
        for first in 0..=layers {
            let before = costs[index][usize::from(first)];
            if before.is_infinite() {
                continue;
            }
            let furthest = first.saturating_add(runner.most_layers()).min(layers);
            for end in first..=furthest {
                let part = LayerRange { first, end };
                let cost = before + part_cost(runner, part, even, weights);
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
        let runner = &ordered[index];
        let (holds, _) = holding(runner, layers, weights);
        assignments.push(Assignment { endpoint: runner.endpoint.clone(), layers, holds });
        end = first;
    }
    assignments.reverse();
    Some(assignments)
}

fn part_cost(runner: &PlanRunner, part: LayerRange, even: f64, weights: PlanWeights) -> f64 {
    let size = part.len() as f64;
    let uneven = size * size / even.max(f64::MIN_POSITIVE);
    holding(runner, part, weights).1 + weights.balance * uneven
}

/// What an endpoint that runs a part should hold, with its cost: the part alone, or what it holds
/// already as well.
fn holding(runner: &PlanRunner, part: LayerRange, weights: PlanWeights) -> (LayerRange, f64) {
    let load = weights.load * (part.len() - overlap(runner.held, part)) as f64;
    let held = runner.held.filter(|held| !held.is_empty());
    let given_up = held.map_or(0, |held| held.len() - overlap(runner.held, part));
    let part_cost = runner.size_cost(part).unwrap_or(f64::INFINITY);
    let alone = (part, load + part_cost + weights.give_up * given_up as f64);
    let Some(both) = held.and_then(|held| joined(held, part)) else {
        return alone;
    };
    match runner.size_cost(both) {
        Some(cost) if load + cost <= alone.1 => (both, load + cost),
        _ => alone,
    }
}

/// Both ranges as one, if they adjoin.
fn joined(held: LayerRange, part: LayerRange) -> Option<LayerRange> {
    if part.is_empty() {
        return Some(held);
    }
    let adjoins = held.first <= part.end && part.first <= held.end;
    let both = LayerRange { first: held.first.min(part.first), end: held.end.max(part.end) };
    adjoins.then_some(both)
}

fn overlap(held: Option<LayerRange>, part: LayerRange) -> usize {
    let Some(held) = held else {
        return 0;
    };
    LayerRange { first: held.first.max(part.first), end: held.end.min(part.end) }.len()
}

/// Holders by their layers; empty endpoints where layers are missing, else at the fullest holder.
fn in_order(runners: &[PlanRunner], layers: u16) -> Vec<PlanRunner> {
    let mut holders: Vec<PlanRunner> = runners.iter().filter(|r| holds(r)).cloned().collect();
    let mut empty: Vec<PlanRunner> = runners.iter().filter(|r| !holds(r)).cloned().collect();
    holders.sort_by_key(|runner| runner.held.map(|held| (held.first, held.end)));
    empty.sort_by(|a, b| b.weight.total_cmp(&a.weight).then(a.endpoint.cmp(&b.endpoint)));
    if holders.is_empty() {
        return empty;
    }
    let mut places = missing_starts(&holders, layers);
    if places.is_empty() {
        places.push(fullest_start(&holders));
    }
    let mut keyed: Vec<(u16, PlanRunner)> =
        holders.into_iter().map(|r| (start_of(&r), r)).collect();
    for (number, runner) in empty.into_iter().enumerate() {
        keyed.push((places[number % places.len()], runner));
    }
    // Stable: an empty endpoint comes after a holder that begins at the same layer.
    keyed.sort_by_key(|(start, _)| *start);
    keyed.into_iter().map(|(_, runner)| runner).collect()
}

fn holds(runner: &PlanRunner) -> bool {
    runner.held.is_some_and(|held| !held.is_empty())
}

fn start_of(runner: &PlanRunner) -> u16 {
    runner.held.map_or(0, |held| held.first)
}

/// Where ranges begin that nobody holds, the longest first.
fn missing_starts(holders: &[PlanRunner], layers: u16) -> Vec<u16> {
    let mut covered = vec![false; usize::from(layers)];
    for held in holders.iter().filter_map(|runner| runner.held) {
        for layer in held.first..held.end.min(layers) {
            covered[usize::from(layer)] = true;
        }
    }
    let mut holes: Vec<LayerRange> = Vec::new();
    for layer in (0..layers).filter(|layer| !covered[usize::from(*layer)]) {
        match holes.last_mut() {
            Some(hole) if hole.end == layer => hole.end += 1,
            _ => holes.push(LayerRange { first: layer, end: layer + 1 }),
        }
    }
    holes.sort_by_key(|hole| std::cmp::Reverse(hole.len()));
    holes.into_iter().map(|hole| hole.first).collect()
}

fn fullest_start(holders: &[PlanRunner]) -> u16 {
    let fullness = |runner: &PlanRunner| {
        runner.held.map_or(0.0, |held| held.len() as f64 / runner.weight.max(f64::MIN_POSITIVE))
    };
    holders.iter().max_by(|a, b| fullness(a).total_cmp(&fullness(b))).map_or(0, start_of)
}
