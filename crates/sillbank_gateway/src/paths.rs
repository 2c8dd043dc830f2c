//! Chooses a path through the layers that endpoints hold.

use crate::endpoints::EndpointBook;
use crate::hall::Hall;
use crate::knowledge::Knowledge;
use sillbank_catalog::prelude::*;
use sillbank_core::prelude::*;
use sillbank_layers::prelude::*;
use std::time::Instant;

/// Cost of beginning a request in another hall. The way is half a millisecond; the rest keeps a
/// hall's load at home while it has a path of its own.
const REQUEST_CROSSING_MS: f64 = 20.0;
/// Cost of handing activations over to another hall. One way out and back for a whole hall's load
/// takes 1.0 GB/s (worked out: 24 requests a second of 930 tokens, 23 KB a token), which is all that
/// the pipe carries. At 40 ms it was used too much: first events took 0.8 s in scale-1 of rafiq-core.
/// So a hole is bridged only when the other halls are nearly full.
const ACTIVATIONS_CROSSING_MS: f64 = 120.0;
/// Cost of one more part in a path, in milliseconds: the way there and an engine's pass.
const PART_COST_MS: f64 = 0.5;
/// Requests of this VM at an engine by which its time is taken to double. Engines work in passes
/// over all that waits, so their time grows with what they have.
const DOUBLING_REQUESTS: f64 = 16.0;
/// Used part of an engine's KV cache from which it costs more: what is on its way is not in its
/// report yet, and an engine without room refuses.
const KV_FREE_SHARE: f64 = 0.65;
/// Cost of an engine whose KV cache is full, in milliseconds of predicted time: more than going to
/// another hall.
const KV_FULL_COST_MS: f64 = 250.0;
/// Chance's part in the cost of an engine, so that VMs do not all choose alike.
const CHANCE: f64 = 0.06;

const CROSSING: CrossingCost =
    CrossingCost { request_ms: REQUEST_CROSSING_MS, activations_ms: ACTIVATIONS_CROSSING_MS };

/// Cost of handing the activations of a few requests over to another hall: the way, at each token.
const MENDING_CROSSING_MS: f64 = 5.0;

const MENDING: CrossingCost =
    CrossingCost { request_ms: MENDING_CROSSING_MS, activations_ms: MENDING_CROSSING_MS };

/// The cheapest path for a request that begins in the hall `home`.
///
/// Endpoints in `avoid` and those that are left alone at the moment are not used.
pub fn choose_path(
    views: Views<'_>,
    service: &Service,
    figures: &EngineFigures,
    home: &str,
    avoid: &[EndpointId],
) -> Option<LayerPath> {
    let holders = holders(views, service, figures, avoid);
    find_path(&holders, figures.layers, home, CROSSING)
}

/// A path in use with its lost part run by others. Few requests need one at a time, so handing
/// activations over to another hall costs little here.
pub fn choose_mended_path(
    views: Views<'_>,
    service: &Service,
    figures: &EngineFigures,
    home: &str,
    path: &LayerPath,
    lost: &str,
) -> Option<LayerPath> {
    let holders = holders(views, service, figures, &[lost.to_owned()]);
    mend_path(path, lost, &holders, figures.layers, home, MENDING)
}

/// What paths are chosen from.
#[derive(Debug, Clone, Copy)]
pub struct Views<'a> {
    /// Endpoints as listed.
    pub knowledge: &'a Knowledge,
    /// Engines as leaders tell of them.
    pub hall: &'a Hall,
    /// Endpoints as seen.
    pub book: &'a EndpointBook,
    /// Now.
    pub now: Instant,
}

/// Engines that may be part of a path, with their costs.
fn holders(
    views: Views<'_>,
    service: &Service,
    figures: &EngineFigures,
    avoid: &[EndpointId],
) -> Vec<Holder> {
    let Views { knowledge, hall, book, now } = views;
    let layer_ms = figures.step_ms / f64::from(figures.layers.max(1));
    knowledge.endpoints(|directory| {
        directory
            .usable_of(&service.name)
            .filter(|record| !avoid.contains(&record.id) && book.may_run_part(&record.id))
            .filter_map(|record| {
                let (told, kv_share) = hall
                    .engine(&record.hall, &record.id, now, |engine| {
                        let layers = (!engine.is_lost).then_some(engine.layers).flatten();
                        (Some(layers), f64::from(engine.kv_permille) / 1000.0)
                    })
                    .unwrap_or((None, 0.0));
                // What the hall's leader heard from the engine is newer than its entry in the store.
                let layers = told.unwrap_or(record.layers);
                let layers = layers.filter(|layers| !layers.is_empty())?;
                let kind = record.accelerator.as_deref().and_then(|k| figures.accelerator(k));
                let factor = kind.map_or(1.0, |kind| kind.step_factor);
                let in_flight = f64::from(book.in_flight(&record.id));
                let busy = 1.0 + in_flight / DOUBLING_REQUESTS;
                Some(Holder {
                    endpoint: record.id.clone(),
                    address: record.address,
                    hall: record.hall.clone(),
                    layers,
                    use_cost_ms: PART_COST_MS
                        + kv_cost_ms(kv_share)
                        + book.use_cost_ms(&record.id, now),
                    layer_cost_ms: layer_ms * factor * busy * (1.0 + CHANCE * fastrand::f64()),
                })
            })
            .collect()
    })
}

/// Cost of an engine by the used part of its KV cache.
fn kv_cost_ms(kv_share: f64) -> f64 {
    let over = (kv_share - KV_FREE_SHARE).max(0.0) / (1.0 - KV_FREE_SHARE);
    over * over * KV_FULL_COST_MS
}
