//! Levels the room of a hall after endpoints were lost or came.
//!
//! A hall runs as many requests as fit the layers with the least room, whatever room the others have. A
//! repair closes holes with few moves and leaves such layers behind: those whose second holder is gone,
//! or whose holder took more than it should. Endpoints keep their order along the model; what moves is
//! where one ends and the next begins, and who holds layers together.

use crate::slots::Slots;
use sillbank_core::prelude::*;

/// Part of the room that could be had below which a hall is levelled: each move loads layers.
const LEVEL_BELOW: f64 = 0.8;
/// Part of the KV cache beside more layers that may be in use when an endpoint takes them.
const USED_LIMIT: f64 = 0.9;

/// An endpoint as the levelling sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct LevelMember {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Layers it serves.
    pub held: LayerRange,
    /// Requests whose KV cache fits beside 0, 1, 2 ... layers.
    pub rooms: Vec<f64>,
    /// Part of its KV cache that is in use.
    pub used_share: f64,
}

impl LevelMember {
    fn room(&self, layers: usize) -> f64 {
        self.rooms.get(layers).copied().unwrap_or(0.0)
    }

    /// Whether the requests that it runs still fit beside another range.
    fn may_hold(&self, range: LayerRange) -> bool {
        // Requests keep KV cache of the layers that they pass: those that it holds now.
        let used = self.used_share * self.room(self.held.len()) * self.held.len() as f64;
        used <= USED_LIMIT * self.room(range.len()) * range.len() as f64
    }
}

/// What endpoints should hold from now on, to level a hall that wants room for `wanted` requests; only
/// those that change, and only changes that leave each layer served. Empty if the hall is level enough.
pub fn level(members: &[LevelMember], layers: u16, wanted: f64) -> Vec<(EndpointId, LayerRange)> {
    let mut ordered: Vec<&LevelMember> = members.iter().collect();
    ordered.sort_by_key(|member| (member.held.first + member.held.end, member.endpoint.clone()));
    let rooms: Vec<&[f64]> = ordered.iter().map(|member| member.rooms.as_slice()).collect();
    let Some((room, slots)) = best_slots(&rooms, layers, wanted) else {
        return Vec::new();
    };
    if least_room(members, layers) >= LEVEL_BELOW * room {
        return Vec::new();
    }
    let targets = slots.ranges(layers);
    let mut serving: Vec<u32> = vec![0; usize::from(layers)];
    for member in members {
        change(&mut serving, member.held, 1);
    }
    let mut moves = Vec::new();
    for (member, target) in ordered.iter().zip(targets) {
        if let Some(range) = next_range(member, target, &serving) {
            let kept = common(member.held, range);
            change(&mut serving, member.held, -1);
            change(&mut serving, kept, 1);
            moves.push((member.endpoint.clone(), range));
        }
    }
    moves
}

/// Slots with as much room as wanted, or as much as can be had.
fn best_slots(rooms: &[&[f64]], layers: u16, wanted: f64) -> Option<(f64, Slots)> {
    const STEPS: u32 = 20;
    (1..=STEPS).rev().find_map(|step| {
        let room = wanted * f64::from(step) / f64::from(STEPS);
        Slots::with_room(rooms, layers, room).map(|slots| (room, slots))
    })
}

/// Requests that fit the layers with the least room.
fn least_room(members: &[LevelMember], layers: u16) -> f64 {
    let mut rooms = vec![0.0; usize::from(layers)];
    for member in members {
        let end = usize::from(member.held.end).min(rooms.len());
        for room in rooms.iter_mut().take(end).skip(usize::from(member.held.first)) {
            *room += member.room(member.held.len());
        }
    }
    rooms.into_iter().fold(f64::INFINITY, f64::min)
}

/// The next range of an endpoint on its way to its target; `None` if it stays for now. It gives up
/// nothing that no other endpoint serves.
fn next_range(member: &LevelMember, target: LayerRange, serving: &[u32]) -> Option<LayerRange> {
    let held = member.held;
    if target == held || target.is_empty() {
        return None;
    }
    let is_left = |layer: u16| layer < target.first || layer >= target.end;
    let may_leave = |layer: u16| serving.get(usize::from(layer)).is_some_and(|n| *n > 1);
    let range = match (held.first..held.end).filter(|layer| is_left(*layer)).all(may_leave) {
        true => target,
        false => LayerRange { first: held.first.min(target.first), end: held.end.max(target.end) },
    };
    let adjoins = held.first <= target.end && target.first <= held.end;
    let grows_only = range != target;
    (range != held && (!grows_only || adjoins) && member.may_hold(range)).then_some(range)
}

fn common(a: LayerRange, b: LayerRange) -> LayerRange {
    let first = a.first.max(b.first);
    LayerRange { first, end: a.end.min(b.end).max(first) }
}

fn change(counts: &mut [u32], range: LayerRange, by: i32) {
    let end = usize::from(range.end).min(counts.len());
    for count in counts.iter_mut().take(end).skip(usize::from(range.first)) {
        *count = count.saturating_add_signed(by);
    }
}
