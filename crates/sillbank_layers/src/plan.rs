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
    /// Most layers it may run.
    pub most_layers: u16,
    /// Its share relative to the others, greater for more layers.
    pub weight: f64,
    /// Layers it holds, if any.
    pub held: Option<LayerRange>,
}

/// What the planner weighs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlanWeights {
    /// Cost of a layer that has to be loaded.
    pub load: f64,
    /// Cost of a layer that has to be given up to make room: requests pass through it.
    pub give_up: f64,
    /// Cost of uneven shares: factor on the sum of squared layers by weight.
    pub balance: f64,
}

/// Layers that one endpoint should run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Layers; empty if it has none in this plan.
    pub layers: LayerRange,
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
            let furthest = first.saturating_add(runner.most_layers).min(layers);
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
        assignments.push(Assignment { endpoint: ordered[index].endpoint.clone(), layers });
        end = first;
    }
    assignments.reverse();
    Some(assignments)
}

fn part_cost(runner: &PlanRunner, part: LayerRange, even: f64, weights: PlanWeights) -> f64 {
    let new = part.len() - overlap(runner.held, part);
    let given_up = given_up(runner, part, new);
    let size = part.len() as f64;
    let uneven = size * size / even.max(f64::MIN_POSITIVE);
    weights.load * new as f64 + weights.give_up * given_up as f64 + weights.balance * uneven
}

/// Held layers that have no room beside new ones.
fn given_up(runner: &PlanRunner, part: LayerRange, new: usize) -> usize {
    let Some(held) = runner.held.filter(|_| new > 0) else {
        return 0;
    };
    match widened(held, part, runner.most_layers) {
        Some(_) => 0,
        None => held.len() - overlap(runner.held, part),
    }
}

/// Both ranges as one, if they adjoin and fit.
pub fn widened(held: LayerRange, wanted: LayerRange, most_layers: u16) -> Option<LayerRange> {
    let adjoins = held.first <= wanted.end && wanted.first <= held.end;
    let both = LayerRange { first: held.first.min(wanted.first), end: held.end.max(wanted.end) };
    (adjoins && both.len() <= usize::from(most_layers)).then_some(both)
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
