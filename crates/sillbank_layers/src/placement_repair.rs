//! Repair of a placement after endpoints were lost or added, with few moves. No move takes away the
//! last holder of a layer.

use crate::placement_cost::{LayerCapacity, PlacementCost};
use sillbank_core::prelude::*;

/// Minimum number of requests that an endpoint must be able to run beside the layers of an optional
/// move. With fewer it is full as soon as one or two streams run longer than usual.
const MIN_REQUESTS: f64 = 30.0;
/// Share of the placement's cost that the move of an endpoint that holds layers has to save. A load
/// takes seconds and ends no requests, but each load has a price.
const MIN_MOVE_GAIN: f64 = 0.02;
/// Maximum number of endpoints, the fastest first, for which a move is searched at once. The others
/// follow when these are placed. This bounds the search to some milliseconds for a hall of a thousand
/// endpoints.
const MAX_CANDIDATES: usize = 16;
/// Maximum number of layers of a model whose placement is improved. The work grows with their square;
/// models have about a hundred.
const MAX_LAYERS: usize = 512;

/// An endpoint of the placement.
#[derive(Debug, Clone, PartialEq)]
pub struct RepairMember {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Layers that fit beside the KV cache of the usual load.
    pub preferred_layers: u16,
    /// Layers that fit beside a small KV cache, for a short time.
    pub max_layers: u16,
    /// Time per layer relative to other endpoints; higher is slower.
    pub pace: f64,
    /// Requests it can run at once beside 0, 1, 2 ... layers, up to those that fit its memory.
    pub request_capacities: Vec<f64>,
    /// Layers it holds, or will hold once its pending order is carried out.
    pub held: Option<LayerRange>,
    /// Whether it is carrying out an order. A busy endpoint is not moved.
    pub is_busy: bool,
}

/// New layers of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RepairMove {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Layers.
    pub layers: LayerRange,
    /// Whether some layer would have no holder without this move.
    pub is_urgent: bool,
}

/// Placement after the moves so far.
struct Repair<'a> {
    members: &'a [RepairMember],
    held: Vec<Option<LayerRange>>,
    /// Endpoints that may not be moved any more: busy ones, and those with a move.
    fixed: Vec<bool>,
    /// Holders of each layer, including those that are still loading it.
    holders: Vec<u32>,
    /// Holders of each layer that serve it now.
    serving: Vec<u32>,
    moves: Vec<RepairMove>,
}

/// Computes the moves that give each layer a holder. If none are needed, computes optional moves by
/// which `load` requests pass the layers faster, also after a loss, and overfull endpoints unload
/// layers.
///
/// At most `max_optional_moves` endpoints are moved at once without need, busy ones included. Returns
/// `None` if some layer remains without a holder.
pub fn repair_placement(
    members: &[RepairMember],
    layers: u16,
    load: f64,
    max_optional_moves: usize,
) -> Option<Vec<RepairMove>> {
    let mut repair = Repair::new(members, layers);
    while let Some(gap) = repair.longest_run(0) {
        if !repair.fill(gap) {
            return None;
        }
    }
    if repair.moves.is_empty() {
        let busy = members.iter().filter(|member| member.is_busy).count();
        for _ in busy..max_optional_moves {
            if !repair.improve(load) && !repair.trim_one() {
                break;
            }
        }
    }
    Some(repair.moves)
}

impl<'a> Repair<'a> {
    fn new(members: &'a [RepairMember], layers: u16) -> Self {
        let mut repair = Self {
            members,
            held: members.iter().map(|m| m.held.filter(|held| !held.is_empty())).collect(),
            fixed: members.iter().map(|m| m.is_busy).collect(),
            holders: vec![0; usize::from(layers)],
            serving: vec![0; usize::from(layers)],
            moves: Vec::new(),
        };
        for (index, member) in members.iter().enumerate() {
            let Some(held) = repair.held[index] else { continue };
            add(&mut repair.holders, held);
            if !member.is_busy {
                add(&mut repair.serving, held);
            }
        }
        repair
    }

    /// The longest run of layers with exactly `holders` holders.
    fn longest_run(&self, holders: u32) -> Option<LayerRange> {
        let mut runs: Vec<LayerRange> = Vec::new();
        for (layer, _) in self.holders.iter().enumerate().filter(|(_, n)| **n == holders) {
            let layer = layer as u16;
            match runs.last_mut() {
                Some(run) if run.end == layer => run.end += 1,
                _ => runs.push(LayerRange { first: layer, end: layer + 1 }),
            }
        }
        runs.into_iter().max_by_key(|run| (run.len(), u16::MAX - run.first))
    }

    /// Assigns a gap, or its first layers, to the endpoint that fits best; false if there is none.
    fn fill(&mut self, gap: LayerRange) -> bool {
        let needed = gap.len() as u16;
        let free: Vec<usize> =
            (0..self.members.len()).filter(|index| self.is_free(*index)).collect();
        let fits = |index: &&usize| self.members[**index].preferred_layers >= needed;
        let best_fit = free.iter().filter(fits).min_by_key(|index| {
            let member = &self.members[**index];
            (self.held[**index].is_some(), member.preferred_layers, &member.endpoint)
        });
        if let Some(index) = best_fit {
            self.assign(*index, gap, true);
            return true;
        }
        if self.widen_neighbour(gap) {
            return true;
        }
        let largest =
            free.iter().filter(|index| self.members[**index].max_layers > 0).max_by_key(|index| {
                let member = &self.members[**index];
                (member.preferred_layers, self.held[**index].is_none(), &member.endpoint)
            });
        let Some(index) = largest else {
            return false;
        };
        let member = &self.members[*index];
        let width = match member.max_layers >= needed {
            true => needed,
            false => member.preferred_layers.max(1),
        };
        self.assign(*index, LayerRange { first: gap.first, end: gap.first + width }, true);
        true
    }

    /// Extends an endpoint adjacent to a gap by the whole gap, if its memory allows it.
    fn widen_neighbour(&mut self, gap: LayerRange) -> bool {
        let widened = |held: LayerRange| {
            (held.end == gap.first || held.first == gap.end).then(|| LayerRange {
                first: held.first.min(gap.first),
                end: held.end.max(gap.end),
            })
        };
        let found = (0..self.members.len()).filter(|index| !self.fixed[*index]).find_map(|index| {
            let both = widened(self.held[index]?)?;
            (both.len() <= usize::from(self.members[index].max_layers)).then_some((index, both))
        });
        if let Some((index, both)) = found {
            self.assign(index, both, true);
        }
        found.is_some()
    }

    /// Whether an endpoint can be moved: it is not fixed, and others also serve all layers that it holds.
    fn is_free(&self, index: usize) -> bool {
        !self.fixed[index]
            && self.held[index].is_none_or(|held| {
                (held.first..held.end).all(|layer| self.serving[usize::from(layer)] > 1)
            })
    }

    /// Makes the optional move that lowers the cost most; false if none does.
    ///
    /// Candidates are empty endpoints, and those that hold at most half of their preferred layers, all
    /// of which others serve too.
    fn improve(&mut self, load: f64) -> bool {
        if self.holders.len() > MAX_LAYERS {
            return false;
        }
        let placement = self.placement(load);
        let cost = placement.cost();
        let mut candidates: Vec<usize> =
            (0..self.members.len()).filter(|index| self.is_candidate(*index)).collect();
        candidates.sort_by(|a, b| self.members[*a].pace.total_cmp(&self.members[*b].pace));
        let gains = candidates.into_iter().take(MAX_CANDIDATES).filter_map(|index| {
            let (layers, gain) = self.best_move(&placement, index)?;
            let min_gain = if self.held[index].is_none() { 0.0 } else { MIN_MOVE_GAIN * cost };
            (gain > min_gain).then_some((index, layers, gain))
        });
        let best = gains.max_by(|a, b| a.2.total_cmp(&b.2).then(b.0.cmp(&a.0)));
        if let Some((index, layers, _)) = best {
            self.assign(index, layers, false);
        }
        best.is_some()
    }

    fn is_candidate(&self, index: usize) -> bool {
        let is_underused =
            |held: LayerRange| held.len() * 2 <= usize::from(self.members[index].preferred_layers);
        !self.fixed[index]
            && self.held[index].is_none_or(|held| is_underused(held) && self.is_free(index))
    }

    /// The best layers for an endpoint instead of those that it holds, and what the change saves.
    fn best_move(&self, placement: &PlacementCost, index: usize) -> Option<(LayerRange, f64)> {
        let member = &self.members[index];
        let Some(held) = self.held[index] else {
            return placement.best_window(member.pace, &member.request_capacities, MIN_REQUESTS);
        };
        let mut without = placement.clone();
        without.remove(held, layer_capacity(member, held));
        let lost = without.cost() - placement.cost();
        // The old layers stay in its memory until no request passes through them any more.
        let capacities = &member.request_capacities
            [..member.request_capacities.len().saturating_sub(held.len())];
        let (layers, gain) = without.best_window(member.pace, capacities, MIN_REQUESTS)?;
        Some((layers, gain - lost))
    }

    /// The endpoints that serve each layer after the moves so far.
    fn placement(&self, load: f64) -> PlacementCost {
        let paces = self.members.iter().map(|member| member.pace);
        let mut placement = PlacementCost::new(self.holders.len() as u16, load, paces);
        for (index, member) in self.members.iter().enumerate() {
            if let Some(held) = self.held[index] {
                placement.add(held, layer_capacity(member, held));
            }
        }
        placement
    }

    fn is_overfull(&self, index: usize, held: LayerRange) -> bool {
        held.len() > usize::from(self.members[index].preferred_layers)
    }

    /// Lets one overfull endpoint unload layers at the ends of its range that others serve too; false
    /// if there is none.
    fn trim_one(&mut self) -> bool {
        let trimmed =
            (0..self.members.len()).filter(|index| !self.fixed[*index]).find_map(|index| {
                let held = self.held[index].filter(|held| self.is_overfull(index, *held))?;
                let is_shared = |layer: &u16| self.serving[usize::from(*layer)] > 1;
                let first = (held.first..held.end).find(|layer| !is_shared(layer))?;
                let last = (held.first..held.end).rev().find(|layer| !is_shared(layer))?;
                let rest = LayerRange { first, end: last + 1 };
                (rest.len() < held.len()).then_some((index, rest))
            });
        if let Some((index, rest)) = trimmed {
            self.assign(index, rest, false);
        }
        trimmed.is_some()
    }

    fn assign(&mut self, index: usize, layers: LayerRange, is_urgent: bool) {
        if let Some(held) = self.held[index] {
            remove(&mut self.holders, held);
            remove(&mut self.serving, held);
        }
        add(&mut self.holders, layers);
        self.held[index] = Some(layers);
        self.fixed[index] = true;
        let endpoint = self.members[index].endpoint.clone();
        self.moves.push(RepairMove { endpoint, layers, is_urgent });
    }
}

/// Pace and capacity of an endpoint that holds a range.
fn layer_capacity(member: &RepairMember, held: LayerRange) -> LayerCapacity {
    let requests = member.request_capacities.get(held.len()).copied().unwrap_or(0.0);
    LayerCapacity { pace: member.pace, requests }
}

fn add(counts: &mut [u32], range: LayerRange) {
    for count in within(counts, range) {
        *count += 1;
    }
}

fn remove(counts: &mut [u32], range: LayerRange) {
    for count in within(counts, range) {
        *count = count.saturating_sub(1);
    }
}

/// The counts of the layers in a range.
fn within(counts: &mut [u32], range: LayerRange) -> impl Iterator<Item = &mut u32> {
    let end = usize::from(range.end).min(counts.len());
    counts.iter_mut().take(end).skip(usize::from(range.first))
}
