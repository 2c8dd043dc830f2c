//! Search for the cheapest path through the layers that endpoints hold.

use crate::path::{LayerPath, PathPart};
use sillbank_core::prelude::*;
use std::net::SocketAddr;

/// An endpoint that can run a part of a path.
#[derive(Debug, Clone, PartialEq)]
pub struct LayerHolder {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Network address.
    pub address: SocketAddr,
    /// Data hall.
    pub hall: HallId,
    /// Layers it holds.
    pub layers: LayerRange,
    /// Fixed cost of using the endpoint, in milliseconds of predicted time.
    pub use_cost_ms: f64,
    /// Cost of each layer it runs, in milliseconds of predicted time.
    pub layer_cost_ms: f64,
}

/// An entry of the dynamic programming table: the holder of the last part, where that part begins,
/// and the cost up to its end.
#[derive(Debug, Clone, Copy)]
struct Step {
    cost: f64,
    holder: usize,
    from: u16,
}

/// Costs of crossing from one data hall to another.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CrossingCost {
    /// Cost of sending a request to a first endpoint in another hall, in milliseconds.
    pub request_ms: f64,
    /// Cost of passing activations to an endpoint in another hall, in milliseconds. It is paid for
    /// every token.
    pub activations_ms: f64,
}

/// A path and its cost.
#[derive(Debug, Clone, PartialEq)]
pub struct FoundPath {
    /// The path.
    pub path: LayerPath,
    /// Its cost, in milliseconds of predicted time.
    pub cost_ms: f64,
}

/// Finds the cheapest path for a request that starts in `local_hall`.
///
/// Returns `None` if no endpoint holds some layer.
pub fn find_path(
    holders: &[LayerHolder],
    layers: u16,
    local_hall: &str,
    crossing: CrossingCost,
) -> Option<FoundPath> {
    // best[end][holder]: the cheapest way to run all layers before `end` with `holder` running last.
    let mut best: Vec<Vec<Option<Step>>> = vec![vec![None; holders.len()]; usize::from(layers) + 1];
    for (index, holder) in holders.iter().enumerate() {
        if holder.layers.first == 0 && !holder.layers.is_empty() {
            let entry = if holder.hall == local_hall { 0.0 } else { crossing.request_ms };
            extend(&mut best, index, holder, 0, entry, layers);
        }
    }
    for from in 1..layers {
        let predecessors = Predecessors::new(&best[usize::from(from)], holders);
        for (index, holder) in holders.iter().enumerate() {
            let holds_layer = holder.layers.first <= from && from < holder.layers.end;
            if !holds_layer {
                continue;
            }
            if let Some(cost) = predecessors.min_cost(index, &holder.hall, crossing) {
                extend(&mut best, index, holder, from, cost, layers);
            }
        }
    }
    let last = cheapest_last_holder(&best, layers)?;
    let cost_ms = best[usize::from(layers)][last]?.cost;
    let parts = merge_repeated_endpoints(backtrack(&best, holders, layers, last, crossing)?);
    let path = LayerPath::new(parts, layers).ok()?;
    Some(FoundPath { path, cost_ms })
}

/// Merges parts so that no endpoint occurs twice. If the cheapest way leaves an endpoint and returns
/// to it, that endpoint also runs the layers in between: it holds one contiguous range.
fn merge_repeated_endpoints(parts: Vec<PathPart>) -> Vec<PathPart> {
    let mut kept: Vec<PathPart> = Vec::new();
    for part in parts {
        match kept.iter().position(|before| before.endpoint == part.endpoint) {
            Some(at) => {
                kept.truncate(at + 1);
                kept[at].layers.end = part.layers.end;
            }
            None => kept.push(part),
        }
    }
    kept
}

/// The two cheapest steps of each hall that end before a given layer.
///
/// Two, because a holder cannot be its own predecessor. Looking up a predecessor takes time in the
/// number of halls, not of holders.
struct Predecessors<'a> {
    by_hall: Vec<(&'a str, [Option<Step>; 2])>,
}

impl<'a> Predecessors<'a> {
    fn new(steps: &[Option<Step>], holders: &'a [LayerHolder]) -> Self {
        let mut by_hall: Vec<(&'a str, [Option<Step>; 2])> = Vec::new();
        for step in steps.iter().flatten() {
            let hall = holders[step.holder].hall.as_str();
            let known = by_hall.iter().position(|(name, _)| *name == hall);
            let at = known.unwrap_or_else(|| {
                by_hall.push((hall, [None, None]));
                by_hall.len() - 1
            });
            let [first, second] = &mut by_hall[at].1;
            let is_cheaper = |than: &Option<Step>| than.is_none_or(|known| step.cost < known.cost);
            if is_cheaper(first) {
                *second = first.replace(*step);
            } else if is_cheaper(second) {
                *second = Some(*step);
            }
        }
        Self { by_hall }
    }

    /// Least cost before the part of holder `next`, which is in the hall `next_hall`.
    fn min_cost(&self, next: usize, next_hall: &str, crossing: CrossingCost) -> Option<f64> {
        let costs = self.by_hall.iter().filter_map(|(hall, steps)| {
            let step = steps.iter().flatten().find(|step| step.holder != next)?;
            Some(step.cost + if *hall == next_hall { 0.0 } else { crossing.activations_ms })
        });
        costs.min_by(f64::total_cmp)
    }
}

/// Enters every part of `holder` that begins at layer `from`, after a cost of `cost`, into the table.
fn extend(
    best: &mut [Vec<Option<Step>>],
    index: usize,
    holder: &LayerHolder,
    from: u16,
    cost: f64,
    layers: u16,
) {
    for to in from + 1..=holder.layers.end.min(layers) {
        let total = cost + holder.use_cost_ms + f64::from(to - from) * holder.layer_cost_ms;
        let entry = &mut best[usize::from(to)][index];
        if entry.is_none_or(|known| total < known.cost) {
            *entry = Some(Step { cost: total, holder: index, from });
        }
    }
}

/// The cheapest predecessor of `next` whose part ends before layer `end`, and the cost.
fn cheapest_predecessor(
    best: &[Vec<Option<Step>>],
    holders: &[LayerHolder],
    end: u16,
    next: usize,
    crossing: CrossingCost,
) -> Option<(usize, f64)> {
    let mut found: Option<(usize, f64)> = None;
    for step in best[usize::from(end)].iter().flatten().filter(|step| step.holder != next) {
        let same_hall = holders[step.holder].hall == holders[next].hall;
        let cost = step.cost + if same_hall { 0.0 } else { crossing.activations_ms };
        if found.is_none_or(|(_, known)| cost < known) {
            found = Some((step.holder, cost));
        }
    }
    found
}

fn cheapest_last_holder(best: &[Vec<Option<Step>>], layers: u16) -> Option<usize> {
    best[usize::from(layers)]
        .iter()
        .flatten()
        .min_by(|a, b| a.cost.total_cmp(&b.cost))
        .map(|step| step.holder)
}

/// Reads the parts of the cheapest path that ends at the holder `last` from the table.
fn backtrack(
    best: &[Vec<Option<Step>>],
    holders: &[LayerHolder],
    layers: u16,
    last: usize,
    crossing: CrossingCost,
) -> Option<Vec<PathPart>> {
    let mut parts = Vec::new();
    let (mut part_end, mut index) = (layers, last);
    loop {
        let step = best[usize::from(part_end)][index]?;
        let holder = &holders[index];
        parts.push(PathPart {
            endpoint: holder.endpoint.clone(),
            address: holder.address,
            layers: LayerRange { first: step.from, end: part_end },
        });
        if step.from == 0 {
            break;
        }
        part_end = step.from;
        index = cheapest_predecessor(best, holders, part_end, index, crossing)?.0;
    }
    parts.reverse();
    Some(parts)
}
