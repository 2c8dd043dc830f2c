//! The first placement of a hall that has memory for less than two models with room to spare.
//!
//! The model is cut into slots. As many slots as possible are held by two endpoints of a kind, which
//! share the slot's requests: each then needs half the KV cache and may hold more layers, and if one
//! is lost the other goes on.

use sillbank_core::prelude::*;
use std::collections::BTreeMap;

/// An endpoint to be placed for the first time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PairMember {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Accelerator kind.
    pub kind: AcceleratorKind,
    /// Layers beside which the whole load's KV cache fits.
    pub alone: u16,
    /// Layers beside which half the load's KV cache fits.
    pub paired: u16,
}

/// One range of layers and who holds it.
#[derive(Debug, Clone)]
struct Slot {
    members: Vec<EndpointId>,
    width: u16,
}

/// Places endpoints that hold nothing; `None` if the layers do not fit them singly.
///
/// Each layer is held by one or two endpoints; nobody holds more than its `paired` layers, or alone
/// more than its `alone` layers.
pub fn place_in_pairs(
    members: &[PairMember],
    layers: u16,
) -> Option<Vec<(EndpointId, LayerRange)>> {
    let mut kinds: BTreeMap<(u16, u16, &str), Vec<EndpointId>> = BTreeMap::new();
    for member in members.iter().filter(|member| member.alone > 0) {
        let key = (member.paired, member.alone, member.kind.as_str());
        kinds.entry(key).or_default().push(member.endpoint.clone());
    }
    let mut pairs: BTreeMap<(u16, u16, &str), usize> =
        kinds.iter().map(|(key, ids)| (*key, ids.len() / 2)).collect();
    while total_width(&kinds, &pairs) < u32::from(layers) {
        let missing = u32::from(layers) - total_width(&kinds, &pairs);
        unpair_one(&mut pairs, missing)?;
    }
    let mut slots = cut_slots(&kinds, &pairs);
    let spare = total_width(&kinds, &pairs) - u32::from(layers);
    narrow(&mut slots, spare);
    Some(lay_out(&slots, layers))
}

type Kind<'a> = (u16, u16, &'a str);

fn total_width(
    kinds: &BTreeMap<Kind<'_>, Vec<EndpointId>>,
    pairs: &BTreeMap<Kind<'_>, usize>,
) -> u32 {
    let widths = kinds.iter().map(|(kind, ids)| {
        let (paired, alone, _) = *kind;
        let count = pairs[kind];
        count as u32 * u32::from(paired) + (ids.len() - 2 * count) as u32 * u32::from(alone)
    });
    widths.sum()
}

/// Gives up one pair: the one that just makes up for what is missing, else the one that adds most.
/// `None` if there is none whose giving up adds anything.
fn unpair_one(pairs: &mut BTreeMap<Kind<'_>, usize>, missing: u32) -> Option<()> {
    let gain = |kind: &Kind<'_>| (2 * u32::from(kind.1)).saturating_sub(u32::from(kind.0));
    let left = pairs.iter().filter(|(kind, count)| **count > 0 && gain(kind) > 0);
    let kinds: Vec<Kind<'_>> = left.map(|(kind, _)| *kind).collect();
    let enough = kinds.iter().filter(|kind| gain(kind) >= missing).min_by_key(|kind| gain(kind));
    let chosen = *enough.or_else(|| kinds.iter().max_by_key(|kind| gain(kind)))?;
    if let Some(count) = pairs.get_mut(&chosen) {
        *count -= 1;
    }
    Some(())
}

/// Slots of the widest kind first.
fn cut_slots(
    kinds: &BTreeMap<Kind<'_>, Vec<EndpointId>>,
    pairs: &BTreeMap<Kind<'_>, usize>,
) -> Vec<Slot> {
    let mut slots = Vec::new();
    for (kind, ids) in kinds.iter().rev() {
        let (paired, alone, _) = *kind;
        let (in_pairs, single) = ids.split_at(2 * pairs[kind]);
        let pair_slots = in_pairs.chunks(2);
        slots.extend(pair_slots.map(|ids| Slot { members: ids.to_vec(), width: paired }));
        slots.extend(single.iter().map(|id| Slot { members: vec![id.clone()], width: alone }));
    }
    slots
}

/// Takes layers that are too many from the widest slots, those with one holder first.
fn narrow(slots: &mut [Slot], spare: u32) {
    for _ in 0..spare {
        let widest = slots
            .iter_mut()
            .filter(|slot| slot.width > 1)
            .max_by_key(|slot| (u32::from(slot.width) * 4 / slot.members.len() as u32, slot.width));
        if let Some(slot) = widest {
            slot.width -= 1;
        }
    }
}

fn lay_out(slots: &[Slot], layers: u16) -> Vec<(EndpointId, LayerRange)> {
    let mut placed = Vec::new();
    let mut first = 0;
    for slot in slots {
        let end = (first + slot.width).min(layers);
        if first < end {
            let range = LayerRange { first, end };
            placed.extend(slot.members.iter().map(|id| (id.clone(), range)));
        }
        first = end;
    }
    placed
}
