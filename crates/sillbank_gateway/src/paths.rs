//! Chooses a path through the layers that endpoints hold.

use crate::endpoints::EndpointBook;
use crate::engine_model::{time_share, work_ms};
use crate::feed::EngineState;
use crate::hall::Hall;
use crate::knowledge::Knowledge;
use sillbank_catalog::prelude::*;
use sillbank_core::prelude::*;
use sillbank_fleet::prelude::*;
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
/// Used part of an engine's KV cache, of its places or of its time, from which it costs more: what is on its way
/// is not in its report yet, and an engine without room refuses.
const FREE_SHARE: f64 = 0.65;
/// Cost of an engine that is full, in milliseconds of predicted time: more than going to another hall.
const FULL_COST_MS: f64 = 250.0;
/// Slowest pace of an engine that is believed, as a factor on its usual times.
const MAX_PACE: f64 = 20.0;
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
    views.knowledge.endpoints(|directory| {
        directory
            .usable_of(&service.name)
            .filter(|record| !avoid.contains(&record.id) && views.book.may_run_part(&record.id))
            .filter_map(|record| holder(views, figures, record))
            .collect()
    })
}

/// An engine with its costs; `None` if it holds no layers.
fn holder(views: Views<'_>, figures: &EngineFigures, record: &EndpointRecord) -> Option<Holder> {
    let Views { hall, book, now, .. } = views;
    let told = hall.engine(&record.hall, &record.id, now, |engine| Told::from(engine));
    // What the hall's leader heard from the engine is newer than its entry in the store.
    let layers = told.as_ref().map_or(record.layers, |told| told.layers);
    let layers = layers.filter(|layers| !layers.is_empty())?;
    let told = told.unwrap_or_default();
    let kind = record.accelerator.as_deref().and_then(|kind| figures.accelerator(kind));
    let factor = kind.map_or(1.0, |kind| kind.step_factor);
    let busy = 1.0 + f64::from(book.in_flight(&record.id)) / DOUBLING_REQUESTS;
    let layer_ms = figures.step_ms / f64::from(figures.layers.max(1));
    let chance = 1.0 + CHANCE * fastrand::f64();
    Some(Holder {
        endpoint: record.id.clone(),
        address: record.address,
        hall: record.hall.clone(),
        layers,
        use_cost_ms: PART_COST_MS
            + crowd_cost_ms(taken_share(&told, figures, kind, layers, record.slots))
            + book.use_cost_ms(&record.id, now),
        layer_cost_ms: layer_ms * factor * told.pace * busy * chance,
    })
}

/// The part that is taken of what an engine is shortest of: KV cache, time, or, where paths begin, places.
fn taken_share(
    told: &Told,
    figures: &EngineFigures,
    kind: Option<&AcceleratorFigures>,
    layers: LayerRange,
    slots: u32,
) -> f64 {
    let places = if layers.first == 0 { told.places_share(slots) } else { 0.0 };
    let time = kind.map_or(0.0, |kind| {
        time_share(figures, told.requests, work_ms(figures, kind, layers.len(), told.pace))
    });
    told.kv_share.max(places).max(time)
}

/// What a hall's leader tells of an engine, as far as it bears on paths.
#[derive(Debug)]
struct Told {
    layers: Option<LayerRange>,
    /// Used part of its KV cache.
    kv_share: f64,
    /// Requests that run or wait there.
    requests: f64,
    /// Factor on its usual times.
    pace: f64,
}

impl Default for Told {
    /// An engine of which nothing was told is taken for idle and well.
    fn default() -> Self {
        Self { layers: None, kv_share: 0.0, requests: 0.0, pace: 1.0 }
    }
}

impl From<&EngineState> for Told {
    fn from(engine: &EngineState) -> Self {
        Self {
            layers: (!engine.is_lost).then_some(engine.layers).flatten(),
            kv_share: f64::from(engine.kv_permille) / 1000.0,
            requests: f64::from(engine.running) + f64::from(engine.waiting),
            pace: (f64::from(engine.pace_permille) / 1000.0).clamp(1.0, MAX_PACE),
        }
    }
}

impl Told {
    /// Used part of the places that an engine has for requests that begin with it.
    fn places_share(&self, slots: u32) -> f64 {
        self.requests / f64::from(slots.max(1))
    }
}

/// Cost of an engine by the part that is taken of what it is shortest of.
fn crowd_cost_ms(share: f64) -> f64 {
    let over = (share - FREE_SHARE).max(0.0) / (1.0 - FREE_SHARE);
    over * over * FULL_COST_MS
}
