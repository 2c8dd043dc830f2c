//! Mends a placement after endpoints were lost or came: few moves, none that takes a layer's last
//! holder away.

use crate::supply::{LayerShare, Supply};
use sillbank_core::prelude::*;

/// Requests for which an endpoint must have room beside layers that it is given without need: with fewer it
/// is full as soon as a stream or two run longer than usual.
const LEAST_ROOM: f64 = 30.0;
/// Part of the cost of a layout by which the move of an endpoint that holds layers has to lower it. A load takes
/// seconds and ends nothing, but each is priced.
const MOVE_GAIN: f64 = 0.02;
/// Endpoints for which layers are looked for at once, the quickest: the others have their turn when these are
/// placed. Bounds the time of a hall of a thousand endpoints to some milliseconds.
const MOST_CANDIDATES: usize = 16;
/// Most layers of a model whose layout is improved. The work grows with their square; models have some hundred.
const MOST_LAYERS: usize = 512;

/// An endpoint as the repair sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct RepairMember {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Layers that fit with room for the usual load.
    pub comfortable: u16,
    /// Layers that fit with little room, for a while.
    pub most: u16,
    /// Time of a layer, as a factor on that of other endpoints; more is slower.
    pub pace: f64,
    /// Requests for which it has room beside 0, 1, 2 ... layers; as many as fit its memory.
    pub rooms: Vec<f64>,
    /// Layers it holds, or will hold when the order it has is carried out.
    pub held: Option<LayerRange>,
    /// Whether it is carrying out an order: it is given no other.
    pub is_busy: bool,
}

/// Layers that an endpoint is to hold from now on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RepairMove {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Layers.
    pub layers: LayerRange,
    /// Whether some layer has no holder without it.
    pub is_urgent: bool,
}

/// Working state: who holds what after the moves so far.
struct Repair<'a> {
    members: &'a [RepairMember],
    held: Vec<Option<LayerRange>>,
    moved: Vec<bool>,
    /// Holders of each layer, those included that are still loading it.
    holders: Vec<u32>,
    /// Holders of each layer that serve it now.
    serving: Vec<u32>,
    moves: Vec<RepairMove>,
}

/// Says what has to move so that each layer has a holder, and then what may move so that `load` requests pass the
/// layers more quickly, also after a loss, and no endpoint is crowded without need. At most `most_spares` endpoints are moved at once without need.
///
/// `None` if some layer stays without a holder.
pub fn repair(
    members: &[RepairMember],
    layers: u16,
    load: f64,
    most_spares: usize,
) -> Option<Vec<RepairMove>> {
    let mut repair = Repair::new(members, layers);
    while let Some(hole) = repair.longest_run(0) {
        if !repair.fill(hole) {
            return None;
        }
    }
    if repair.moves.is_empty() {
        let busy = members.iter().filter(|member| member.is_busy).count();
        for _ in busy..most_spares {
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
            moved: members.iter().map(|m| m.is_busy).collect(),
            holders: vec![0; usize::from(layers)],
            serving: vec![0; usize::from(layers)],
            moves: Vec::new(),
        };
        for (at, member) in members.iter().enumerate() {
            let Some(held) = repair.held[at] else { continue };
            add(&mut repair.holders, held);
            if !member.is_busy {
                add(&mut repair.serving, held);
            }
        }
        repair
    }

    /// The longest run of layers with so many holders.
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

    /// Gives (a beginning of) a hole to the endpoint that fits best; false if there is none.
    fn fill(&mut self, hole: LayerRange) -> bool {
        let needed = hole.len() as u16;
        let free: Vec<usize> = (0..self.members.len()).filter(|at| self.is_free(*at)).collect();
        let fits = |at: &&usize| self.members[**at].comfortable >= needed;
        let best_fit = free.iter().filter(fits).min_by_key(|at| {
            let member = &self.members[**at];
            (self.held[**at].is_some(), member.comfortable, &member.endpoint)
        });
        if let Some(at) = best_fit {
            self.give(*at, hole, true);
            return true;
        }
        if self.widen_neighbour(hole) {
            return true;
        }
        let widest = free.iter().filter(|at| self.members[**at].most > 0).max_by_key(|at| {
            let member = &self.members[**at];
            (member.comfortable, self.held[**at].is_none(), &member.endpoint)
        });
        let Some(at) = widest else {
            return false;
        };
        let member = &self.members[*at];
        let width = match member.most >= needed {
            true => needed,
            false => member.comfortable.max(1),
        };
        self.give(*at, LayerRange { first: hole.first, end: hole.first + width }, true);
        true
    }

    /// Widens an endpoint beside a hole by the whole hole, if it has room.
    fn widen_neighbour(&mut self, hole: LayerRange) -> bool {
        let widened = |held: LayerRange| {
            (held.end == hole.first || held.first == hole.end).then(|| LayerRange {
                first: held.first.min(hole.first),
                end: held.end.max(hole.end),
            })
        };
        let found = (0..self.members.len()).filter(|at| !self.moved[*at]).find_map(|at| {
            let both = widened(self.held[at]?)?;
            (both.len() <= usize::from(self.members[at].most)).then_some((at, both))
        });
        if let Some((at, both)) = found {
            self.give(at, both, true);
        }
        found.is_some()
    }

    /// Whether an endpoint may be moved: it holds nothing, or nothing that others do not hold too.
    fn is_free(&self, at: usize) -> bool {
        !self.moved[at]
            && self.held[at].is_none_or(|held| {
                (held.first..held.end).all(|layer| self.serving[usize::from(layer)] > 1)
            })
    }

    /// Gives an endpoint the layers by which the layout gains most: an empty one, or one that holds less than
    /// half of what it could and that others hold too. False if nothing is gained.
    fn improve(&mut self, load: f64) -> bool {
        if self.holders.len() > MOST_LAYERS {
            return false;
        }
        let supply = self.supply(load);
        let cost = supply.cost();
        let mut candidates: Vec<usize> =
            (0..self.members.len()).filter(|at| self.may_improve(*at)).collect();
        candidates.sort_by(|a, b| self.members[*a].pace.total_cmp(&self.members[*b].pace));
        let gains = candidates.into_iter().take(MOST_CANDIDATES).filter_map(|at| {
            let (layers, gain) = self.best_move(&supply, at)?;
            let least = if self.held[at].is_none() { 0.0 } else { MOVE_GAIN * cost };
            (gain > least).then_some((at, layers, gain))
        });
        let best = gains.max_by(|a, b| a.2.total_cmp(&b.2).then(b.0.cmp(&a.0)));
        if let Some((at, layers, _)) = best {
            self.give(at, layers, false);
        }
        best.is_some()
    }

    fn may_improve(&self, at: usize) -> bool {
        let holds_little =
            |held: LayerRange| held.len() * 2 <= usize::from(self.members[at].comfortable);
        !self.moved[at] && self.held[at].is_none_or(|held| holds_little(held) && self.is_free(at))
    }

    /// The layers that an endpoint should hold in place of its own, and what that gains.
    fn best_move(&self, supply: &Supply, at: usize) -> Option<(LayerRange, f64)> {
        let member = &self.members[at];
        let Some(held) = self.held[at] else {
            return supply.best_window(member.pace, &member.rooms, LEAST_ROOM);
        };
        let mut without = supply.clone();
        without.remove(held, share(member, held));
        let given_up = without.cost() - supply.cost();
        // What it gives up stays in its memory until nobody passes it any more.
        let rooms = &member.rooms[..member.rooms.len().saturating_sub(held.len())];
        let (layers, gain) = without.best_window(member.pace, rooms, LEAST_ROOM)?;
        Some((layers, gain - given_up))
    }

    /// Who serves each layer after the moves so far.
    fn supply(&self, load: f64) -> Supply {
        let paces = self.members.iter().map(|member| member.pace);
        let mut supply = Supply::new(self.holders.len() as u16, load, paces);
        for (at, member) in self.members.iter().enumerate() {
            if let Some(held) = self.held[at] {
                supply.add(held, share(member, held));
            }
        }
        supply
    }

    fn is_crowded(&self, at: usize, held: LayerRange) -> bool {
        held.len() > usize::from(self.members[at].comfortable)
    }

    /// Lets a crowded endpoint give up layers at an end of its range that others hold too; false if
    /// there is none.
    fn trim_one(&mut self) -> bool {
        let trimmed = (0..self.members.len()).filter(|at| !self.moved[*at]).find_map(|at| {
            let held = self.held[at].filter(|held| self.is_crowded(at, *held))?;
            let is_shared = |layer: &u16| self.serving[usize::from(*layer)] > 1;
            let first = (held.first..held.end).find(|layer| !is_shared(layer))?;
            let last = (held.first..held.end).rev().find(|layer| !is_shared(layer))?;
            let rest = LayerRange { first, end: last + 1 };
            (rest.len() < held.len()).then_some((at, rest))
        });
        if let Some((at, rest)) = trimmed {
            self.give(at, rest, false);
        }
        trimmed.is_some()
    }

    fn give(&mut self, at: usize, layers: LayerRange, is_urgent: bool) {
        if let Some(held) = self.held[at] {
            remove(&mut self.holders, held);
            remove(&mut self.serving, held);
        }
        add(&mut self.holders, layers);
        self.held[at] = Some(layers);
        self.moved[at] = true;
        let endpoint = self.members[at].endpoint.clone();
        self.moves.push(RepairMove { endpoint, layers, is_urgent });
    }
}

/// What an endpoint does for each layer of a range.
fn share(member: &RepairMember, held: LayerRange) -> LayerShare {
    let room = member.rooms.get(held.len()).copied().unwrap_or(0.0);
    LayerShare { pace: member.pace, room }
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

fn within(counts: &mut [u32], range: LayerRange) -> impl Iterator<Item = &mut u32> {
    let end = usize::from(range.end).min(counts.len());
    counts.iter_mut().take(end).skip(usize::from(range.first))
}
