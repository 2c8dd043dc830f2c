//! Initial placement in a hall whose memory does not hold the model twice with spare KV cache.
//!
//! The model is cut into slots. As many slots as possible are held by two endpoints of the same kind,
//! which share the slot's requests: each then needs half the KV cache and can hold more layers, and
//! if one is lost the other continues.

use sillbank_core::prelude::*;
use std::collections::BTreeMap;

/// An endpoint to place that holds no layers yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PairMember {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Accelerator kind.
    pub kind: AcceleratorKind,
    /// Maximum layers if it serves its slot alone: the KV cache of the whole load fits beside them.
    pub solo_layers: u16,
    /// Maximum layers if it shares its slot: the KV cache of half the load fits beside them.
    pub paired_layers: u16,
}

/// A range of layers and the endpoints that hold it.
#[derive(Debug, Clone)]
struct Slot {
    members: Vec<EndpointId>,
    width: u16,
}

/// Places endpoints that hold no layers; `None` if the layers do not fit even without pairs.
///
/// Each layer is held by one or two endpoints. An endpoint holds at most its `paired_layers`, or its
/// `solo_layers` if it is the only holder.
pub fn place_in_pairs(
    members: &[PairMember],
    layers: u16,
) -> Option<Vec<(EndpointId, LayerRange)>> {
    let mut kinds: BTreeMap<(u16, u16, &str), Vec<EndpointId>> = BTreeMap::new();
    for member in members.iter().filter(|member| member.solo_layers > 0) {
        let key = (member.paired_layers, member.solo_layers, member.kind.as_str());
        kinds.entry(key).or_default().push(member.endpoint.clone());
    }
    let mut pairs: BTreeMap<(u16, u16, &str), usize> =
        kinds.iter().map(|(key, ids)| (*key, ids.len() / 2)).collect();
    while total_width(&kinds, &pairs) < u32::from(layers) {
        let missing = u32::from(layers) - total_width(&kinds, &pairs);
        split_one_pair(&mut pairs, missing)?;
    }
    let mut slots = build_slots(&kinds, &pairs);
    let surplus = total_width(&kinds, &pairs) - u32::from(layers);
    narrow(&mut slots, surplus);
    Some(assign_ranges(&slots, layers))
}

/// Paired layers, solo layers and accelerator kind: endpoints that agree in these are interchangeable.
type Kind<'a> = (u16, u16, &'a str);

/// Layers that fit all slots together.
fn total_width(
    kinds: &BTreeMap<Kind<'_>, Vec<EndpointId>>,
    pairs: &BTreeMap<Kind<'_>, usize>,
) -> u32 {
    let widths = kinds.iter().map(|(kind, ids)| {
        let (paired, solo, _) = *kind;
        let count = pairs[kind];
        count as u32 * u32::from(paired) + (ids.len() - 2 * count) as u32 * u32::from(solo)
    });
    widths.sum()
}

/// Splits the pair whose split adds the fewest layers that still cover `missing`, else the pair whose
/// split adds most. `None` if no split adds layers.
fn split_one_pair(pairs: &mut BTreeMap<Kind<'_>, usize>, missing: u32) -> Option<()> {
    let gain = |kind: &Kind<'_>| (2 * u32::from(kind.1)).saturating_sub(u32::from(kind.0));
    let splittable = pairs.iter().filter(|(kind, count)| **count > 0 && gain(kind) > 0);
    let kinds: Vec<Kind<'_>> = splittable.map(|(kind, _)| *kind).collect();
    let sufficient =
        kinds.iter().filter(|kind| gain(kind) >= missing).min_by_key(|kind| gain(kind));
    let chosen = *sufficient.or_else(|| kinds.iter().max_by_key(|kind| gain(kind)))?;
    if let Some(count) = pairs.get_mut(&chosen) {
        *count -= 1;
    }
    Some(())
}

/// One slot for each pair and each single endpoint, those of the widest kind first.
fn build_slots(
    kinds: &BTreeMap<Kind<'_>, Vec<EndpointId>>,
    pairs: &BTreeMap<Kind<'_>, usize>,
) -> Vec<Slot> {
    let mut slots = Vec::new();
    for (kind, ids) in kinds.iter().rev() {
        let (paired, solo, _) = *kind;
        let (in_pairs, single) = ids.split_at(2 * pairs[kind]);
        let pair_slots = in_pairs.chunks(2);
        slots.extend(pair_slots.map(|ids| Slot { members: ids.to_vec(), width: paired }));
        slots.extend(single.iter().map(|id| Slot { members: vec![id.clone()], width: solo }));
    }
    slots
}

/// Removes `surplus` layers from the widest slots, those with one holder first.
fn narrow(slots: &mut [Slot], surplus: u32) {
    for _ in 0..surplus {
        let widest = slots
            .iter_mut()
            .filter(|slot| slot.width > 1)
            .max_by_key(|slot| (u32::from(slot.width) * 4 / slot.members.len() as u32, slot.width));
        if let Some(slot) = widest {
            slot.width -= 1;
        }
    }
}

/// Gives the slots consecutive ranges of layers.
fn assign_ranges(slots: &[Slot], layers: u16) -> Vec<(EndpointId, LayerRange)> {
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
