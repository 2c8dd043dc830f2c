//! Replacement of a lost part of a path that is in use.

use crate::find::{CrossingCost, LayerHolder, find_path};
use crate::path::{LayerPath, PathPart};
use sillbank_core::prelude::*;

/// Replaces the part of the endpoint `lost` by other holders; all other parts stay.
///
/// Returns `None` if the lost part is the first, the endpoint is not on the path, or no other
/// endpoints hold its layers.
pub fn repair_path(
    path: &LayerPath,
    lost: &str,
    holders: &[LayerHolder],
    layers: u16,
    local_hall: &str,
    crossing: CrossingCost,
) -> Option<LayerPath> {
    let position = path.parts().iter().position(|part| part.endpoint == lost).filter(|p| *p > 0)?;
    let gap = path.parts()[position].layers;
    let candidates: Vec<LayerHolder> = holders
        .iter()
        .filter(|holder| !path.contains(&holder.endpoint))
        .filter_map(|holder| clip(holder, gap))
        .collect();
    let bridge = find_path(&candidates, gap.len() as u16, local_hall, crossing)?.path;
    let mut parts: Vec<PathPart> = path.parts()[..position].to_vec();
    parts.extend(bridge.parts().iter().map(|part| shift(part, gap.first)));
    parts.extend_from_slice(&path.parts()[position + 1..]);
    LayerPath::new(parts, layers).ok()
}

/// The holder with its layers cut to the gap and numbered from the gap's first layer.
fn clip(holder: &LayerHolder, gap: LayerRange) -> Option<LayerHolder> {
    let first = holder.layers.first.max(gap.first);
    let end = holder.layers.end.min(gap.end);
    (first < end).then(|| LayerHolder {
        layers: LayerRange { first: first - gap.first, end: end - gap.first },
        ..holder.clone()
    })
}

/// The part with its layers numbered `by` higher.
fn shift(part: &PathPart, by: u16) -> PathPart {
    let layers = LayerRange { first: part.layers.first + by, end: part.layers.end + by };
    PathPart { layers, ..part.clone() }
}
