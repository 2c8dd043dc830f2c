//! Replaces the lost part of a path that is in use.

use crate::find::{CrossingCost, Holder, find_path};
use crate::path::{LayerPath, PathPart};
use sillbank_core::prelude::*;

/// The path with the part of `lost` run by other holders; the first part and all others stay.
///
/// `None` if the lost part is the first, is no part of the path, or nobody else holds its layers.
pub fn mend_path(
    path: &LayerPath,
    lost: &str,
    holders: &[Holder],
    layers: u16,
    home: &str,
    crossing: CrossingCost,
) -> Option<LayerPath> {
    let at = path.parts().iter().position(|part| part.endpoint == lost).filter(|at| *at > 0)?;
    let gap = path.parts()[at].layers;
    let candidates: Vec<Holder> = holders
        .iter()
        .filter(|holder| !path.passes(&holder.endpoint))
        .filter_map(|holder| clip(holder, gap))
        .collect();
    let bridge = find_path(&candidates, gap.len() as u16, home, crossing)?.path;
    let mut parts: Vec<PathPart> = path.parts()[..at].to_vec();
    parts.extend(bridge.parts().iter().map(|part| shift(part, gap.first)));
    parts.extend_from_slice(&path.parts()[at + 1..]);
    LayerPath::new(parts, layers).ok()
}

/// What a holder holds of a gap, counted from the gap's beginning.
fn clip(holder: &Holder, gap: LayerRange) -> Option<Holder> {
    let first = holder.layers.first.max(gap.first);
    let end = holder.layers.end.min(gap.end);
    (first < end).then(|| Holder {
        layers: LayerRange { first: first - gap.first, end: end - gap.first },
        ..holder.clone()
    })
}

fn shift(part: &PathPart, by: u16) -> PathPart {
    let layers = LayerRange { first: part.layers.first + by, end: part.layers.end + by };
    PathPart { layers, ..part.clone() }
}
