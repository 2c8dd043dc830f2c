//! The cheapest path through the layers that endpoints hold.

use crate::path::{LayerPath, PathPart};
use sillbank_core::prelude::*;
use std::net::SocketAddr;

/// An endpoint that may be part of a path.
#[derive(Debug, Clone, PartialEq)]
pub struct Holder {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Data hall.
    pub hall: HallId,
    /// Layers it holds.
    pub layers: LayerRange,
    /// Cost of using it at all, in milliseconds of predicted time.
    pub use_cost_ms: f64,
    /// Cost of each layer run there, in milliseconds of predicted time.
    pub layer_cost_ms: f64,
}

/// One way to reach a layer: the holder that runs up to it, and where its part begins.
#[derive(Debug, Clone, Copy)]
struct Step {
    cost: f64,
    holder: usize,
    from: u16,
}

/// What it costs to leave a hall.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CrossingCost {
    /// Cost of sending a request to a first endpoint in another hall, in milliseconds.
    pub request_ms: f64,
    /// Cost of handing activations over to another hall, in milliseconds: every token crosses.
    pub activations_ms: f64,
}

/// A path and what it costs.
#[derive(Debug, Clone, PartialEq)]
pub struct FoundPath {
    /// The path.
    pub path: LayerPath,
    /// Its cost, in milliseconds of predicted time.
    pub cost_ms: f64,
}

/// Finds the path of least cost for a request that begins in the hall `home`.
///
/// Answers `None` if some layer is held by nobody.
pub fn find_path(
    holders: &[Holder],
    layers: u16,
    home: &str,
    crossing: CrossingCost,
) -> Option<FoundPath> {
    // best[layer][holder]: least cost of having run all layers before `layer`, ending at `holder`.
    let mut best: Vec<Vec<Option<Step>>> = vec![vec![None; holders.len()]; usize::from(layers) + 1];
    for (index, holder) in holders.iter().enumerate() {
        if holder.layers.first == 0 && !holder.layers.is_empty() {
            let entry = if holder.hall == home { 0.0 } else { crossing.request_ms };
            extend(&mut best, index, holder, 0, entry, layers);
        }
    }
    for at in 1..layers {
        let arrivals = Arrivals::new(&best[usize::from(at)], holders);
        for (index, holder) in holders.iter().enumerate() {
            let holds_it = holder.layers.first <= at && at < holder.layers.end;
            if !holds_it {
                continue;
            }
            if let Some(cost) = arrivals.least_cost(index, &holder.hall, crossing) {
                extend(&mut best, index, holder, at, cost, layers);
            }
        }
    }
    let last = cheapest_end(&best, layers)?;
    let cost_ms = best[usize::from(layers)][last]?.cost;
    let parts = without_returns(walk_back(&best, holders, layers, last, crossing)?);
    let path = LayerPath::new(parts, layers).ok()?;
    Some(FoundPath { path, cost_ms })
}

/// A path on which no endpoint comes twice. Where the cheapest way leaves an endpoint and returns to it,
/// that endpoint runs what lies between as well: it holds one range, so it holds that too.
fn without_returns(parts: Vec<PathPart>) -> Vec<PathPart> {
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

/// The cheapest ways to have run all layers before one, by hall: two for each, as the holder that goes
/// on is not its own predecessor. So a step looks at halls and not at all holders.
struct Arrivals<'a> {
    by_hall: Vec<(&'a str, [Option<Step>; 2])>,
}

impl<'a> Arrivals<'a> {
    fn new(steps: &[Option<Step>], holders: &'a [Holder]) -> Self {
        let mut by_hall: Vec<(&'a str, [Option<Step>; 2])> = Vec::new();
        for step in steps.iter().flatten() {
            let hall = holders[step.holder].hall.as_str();
            let known = by_hall.iter().position(|(name, _)| *name == hall);
            let at = known.unwrap_or_else(|| {
                by_hall.push((hall, [None, None]));
                by_hall.len() - 1
            });
            let [first, second] = &mut by_hall[at].1;
            let is_less = |than: &Option<Step>| than.is_none_or(|known| step.cost < known.cost);
            if is_less(first) {
                *second = first.replace(*step);
            } else if is_less(second) {
                *second = Some(*step);
            }
        }
        Self { by_hall }
    }

    /// The least cost at which `next`, a holder in the hall `home`, may go on.
    fn least_cost(&self, next: usize, home: &str, crossing: CrossingCost) -> Option<f64> {
        let costs = self.by_hall.iter().filter_map(|(hall, steps)| {
            let step = steps.iter().flatten().find(|step| step.holder != next)?;
            Some(step.cost + if *hall == home { 0.0 } else { crossing.activations_ms })
        });
        costs.min_by(f64::total_cmp)
    }
}

fn extend(
    best: &mut [Vec<Option<Step>>],
    index: usize,
    holder: &Holder,
    from: u16,
    cost: f64,
    layers: u16,
) {
    for to in from + 1..=holder.layers.end.min(layers) {
        let total = cost + holder.use_cost_ms + f64::from(to - from) * holder.layer_cost_ms;
        let slot = &mut best[usize::from(to)][index];
        if slot.is_none_or(|known| total < known.cost) {
            *slot = Some(Step { cost: total, holder: index, from });
        }
    }
}

/// The holder before `next` at layer `at` by which the cost is least, with that cost.
fn previous(
    best: &[Vec<Option<Step>>],
    holders: &[Holder],
    at: u16,
    next: usize,
    crossing: CrossingCost,
) -> Option<(usize, f64)> {
    let mut found: Option<(usize, f64)> = None;
    for step in best[usize::from(at)].iter().flatten().filter(|step| step.holder != next) {
        let same_hall = holders[step.holder].hall == holders[next].hall;
        let cost = step.cost + if same_hall { 0.0 } else { crossing.activations_ms };
        if found.is_none_or(|(_, known)| cost < known) {
            found = Some((step.holder, cost));
        }
    }
    found
}

fn cheapest_end(best: &[Vec<Option<Step>>], layers: u16) -> Option<usize> {
    best[usize::from(layers)]
        .iter()
        .flatten()
        .min_by(|a, b| a.cost.total_cmp(&b.cost))
        .map(|step| step.holder)
}

fn walk_back(
    best: &[Vec<Option<Step>>],
    holders: &[Holder],
    layers: u16,
    last: usize,
    crossing: CrossingCost,
) -> Option<Vec<PathPart>> {
    let mut parts = Vec::new();
    let (mut at, mut index) = (layers, last);
    loop {
        let step = best[usize::from(at)][index]?;
        let holder = &holders[index];
        parts.push(PathPart {
            endpoint: holder.endpoint.clone(),
            address: holder.address,
            layers: LayerRange { first: step.from, end: at },
        });
        if step.from == 0 {
            break;
        }
        at = step.from;
        index = previous(best, holders, at, index, crossing)?.0;
    }
    parts.reverse();
    Some(parts)
}
