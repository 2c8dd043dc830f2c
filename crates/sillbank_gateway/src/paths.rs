//! Chooses a path through the layers that endpoints hold.

use crate::endpoints::EndpointBook;
use crate::knowledge::Knowledge;
use sillbank_catalog::prelude::*;
use sillbank_core::prelude::*;
use sillbank_layers::prelude::*;
use std::time::Instant;

/// Cost of beginning a request in another hall. The way is half a millisecond; the rest keeps a
/// hall's load at home while it has a path of its own.
const REQUEST_CROSSING_MS: f64 = 20.0;
/// Cost of handing activations over to another hall. In the trials a chain that crossed at each
/// stage filled the pipe between the halls, so this exceeds any path that stays.
const ACTIVATIONS_CROSSING_MS: f64 = 2_000.0;

const CROSSING: CrossingCost =
    CrossingCost { request_ms: REQUEST_CROSSING_MS, activations_ms: ACTIVATIONS_CROSSING_MS };

/// The cheapest path for a request that begins in the hall `home`.
///
/// Endpoints in `avoid` and those that are left alone at the moment are not used.
pub fn choose_path(
    knowledge: &Knowledge,
    book: &EndpointBook,
    service: &Service,
    figures: &EngineFigures,
    home: &str,
    avoid: &[EndpointId],
    now: Instant,
) -> Option<LayerPath> {
    let holders = knowledge.endpoints(|directory| {
        directory
            .usable_of(&service.name)
            .filter(|record| !avoid.contains(&record.id) && book.may_run_part(&record.id))
            .filter_map(|record| {
                let layers = record.layers.filter(|layers| !layers.is_empty())?;
                let kind = record.accelerator.as_deref().and_then(|k| figures.accelerator(k));
                let factor = kind.map_or(1.0, |kind| kind.step_factor);
                Some(Holder {
                    endpoint: record.id.clone(),
                    address: record.address,
                    hall: record.hall.clone(),
                    layers,
                    use_cost_ms: book.use_cost_ms(&record.id, now),
                    layer_cost_ms: figures.step_ms * factor / f64::from(figures.layers.max(1)),
                })
            })
            .collect::<Vec<_>>()
    });
    find_path(&holders, figures.layers, home, CROSSING)
}
