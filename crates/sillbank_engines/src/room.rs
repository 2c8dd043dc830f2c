//! How much KV cache an engine has, and how much of it is taken.
//!
//! KV cache is counted in tokens times layers: a request takes as many as it has tokens on each layer
//! that the engine runs for it.

use sillbank_catalog::prelude::*;
use sillbank_layers::prelude::*;

/// KV cache of an engine, in tokens times layers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KvRoom {
    /// What there is beside the engine's layers.
    pub capacity: f64,
    /// What is taken, or will be when the requests that run have ended.
    pub taken: f64,
}

impl KvRoom {
    /// The room of an engine that reported `reported_share` of its KV cache in use and was sent
    /// `unseen` more since the state that it reported.
    ///
    /// What is in use is not raised by what running requests are still to write: while an engine is
    /// nearly full, about as much is given back by those that end. Raising it by that (an eighth) left
    /// a tenth of the KV cache idle at twice the load that fits, and served 0.05 of all requests less.
    pub fn new(capacity: f64, reported_share: f64, unseen: f64) -> Self {
        Self { capacity, taken: (reported_share * capacity + unseen).max(0.0) }
    }

    /// The taken part; above 1 if more was sent than fits.
    pub fn taken_share(&self) -> f64 {
        if self.capacity > 0.0 { self.taken / self.capacity } else { 1.0 }
    }

    /// Whether `more` fits into the part `limit_share` of the whole.
    pub fn fits(&self, more: f64, limit_share: f64) -> bool {
        self.taken + more <= self.capacity * limit_share
    }
}

/// KV cache of an engine of a kind beside so many layers, in tokens times layers. `None` if the figures
/// leave none beside layers that it does hold: they are missing or wrong, and its reports go before them.
pub fn kv_capacity(
    figures: &EngineFigures,
    kind: &AcceleratorFigures,
    layers: usize,
) -> Option<f64> {
    let layers = u16::try_from(layers).unwrap_or(u16::MAX);
    let capacity = tokens_that_fit(&memory_shape(figures, kind), layers) * f64::from(layers);
    (capacity > 0.0 && capacity.is_finite()).then_some(capacity)
}

/// Memory figures of a service's model on a kind of accelerator.
pub fn memory_shape(figures: &EngineFigures, kind: &AcceleratorFigures) -> MemoryShape {
    MemoryShape {
        memory_mb: kind.memory_mb,
        layer_mb: figures.layer_mb,
        layers: figures.layers,
        kv_token_bytes: figures.kv_token_bytes,
    }
}
