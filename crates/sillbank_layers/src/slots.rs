//! Slots along the model, each held by one endpoint or by two together.

use sillbank_core::prelude::*;

/// Endpoints in order, each alone in its slot or with the one before it.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Slots {
    /// Width of each slot, and how many endpoints hold it.
    slots: Vec<Slot>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Slot {
    width: usize,
    holders: usize,
}

/// Best ways to have used the first endpoints: layers covered, by how many slots have two holders.
type Covered = Vec<Option<(usize, Slot)>>;

/// Widest range beside which an endpoint has room for so many requests.
fn widest(rooms: &[f64], room: f64) -> usize {
    (0..rooms.len()).rev().find(|width| rooms[*width] >= room).unwrap_or(0)
}

/// Widest range beside which two endpoints together have room for so many requests.
fn widest_of_two(first: &[f64], second: &[f64], room: f64) -> usize {
    let most = first.len().min(second.len());
    (0..most).rev().find(|width| first[*width] + second[*width] >= room).unwrap_or(0)
}

impl Slots {
    /// Slots that cover the layers, each with room for `room` requests, as many as possible of them with
    /// two holders; `None` if there are none.
    pub(crate) fn with_room(rooms: &[&[f64]], layers: u16, room: f64) -> Option<Self> {
        let most_pairs = rooms.len() / 2;
        let mut best: Vec<Covered> = vec![vec![None; most_pairs + 1]; rooms.len() + 1];
        best[0][0] = Some((0, Slot { width: 0, holders: 0 }));
        for at in 1..=rooms.len() {
            let alone = Slot { width: widest(rooms[at - 1], room), holders: 1 };
            for pairs in 0..=most_pairs {
                extend(&mut best, at, pairs, pairs, alone);
            }
            if at >= 2 {
                let width = widest_of_two(rooms[at - 2], rooms[at - 1], room);
                for pairs in 1..=most_pairs {
                    extend(&mut best, at, pairs, pairs - 1, Slot { width, holders: 2 });
                }
            }
        }
        let enough = |pairs: &usize| {
            best[rooms.len()][*pairs].is_some_and(|(covered, _)| covered >= usize::from(layers))
        };
        let pairs = (0..=most_pairs).rev().find(enough)?;
        Some(Self { slots: walk_back(&best, rooms.len(), pairs) })
    }

    /// The range of each endpoint, in order. Slots cover more than the layers: what is too much is taken
    /// from the widest.
    pub(crate) fn ranges(&self, layers: u16) -> Vec<LayerRange> {
        let mut slots = self.slots.clone();
        let covered: usize = slots.iter().map(|slot| slot.width).sum();
        for _ in usize::from(layers)..covered {
            if let Some(widest) = slots.iter_mut().max_by_key(|slot| slot.width) {
                widest.width -= 1;
            }
        }
        let mut ranges = Vec::new();
        let mut first = 0;
        for slot in slots {
            let end = first + slot.width as u16;
            ranges.extend(std::iter::repeat_n(LayerRange { first, end }, slot.holders));
            first = end;
        }
        ranges
    }
}

fn extend(best: &mut [Covered], at: usize, pairs: usize, pairs_before: usize, slot: Slot) {
    let Some((covered, _)) = best[at - slot.holders][pairs_before] else {
        return;
    };
    let total = covered + slot.width;
    if best[at][pairs].is_none_or(|(known, _)| total > known) {
        best[at][pairs] = Some((total, slot));
    }
}

fn walk_back(best: &[Covered], count: usize, pairs: usize) -> Vec<Slot> {
    let (mut at, mut pairs) = (count, pairs);
    let mut slots = Vec::new();
    while at > 0 {
        let Some((_, slot)) = best[at][pairs] else {
            break;
        };
        slots.push(slot);
        at -= slot.holders;
        pairs -= slot.holders - 1;
    }
    slots.reverse();
    slots
}
