//! Capacity and usage of an engine's KV cache.
//!
//! KV cache is counted in tokens times layers: a request uses as many units as it has tokens on each
//! layer that the engine runs for it.

use sillbank_catalog::prelude::*;
use sillbank_layers::prelude::*;

/// KV cache of an engine, in tokens times layers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KvUsage {
    /// Size of the KV cache.
    pub capacity: f64,
    /// Used part, including requests that the engine has not reported yet.
    pub used: f64,
}

impl KvUsage {
    /// Usage of an engine that reported `reported_share` of its KV cache in use and was sent
    /// `unreported` more since the reported state.
    ///
    /// The reported usage is not raised by the tokens that running requests are still to write: while
    /// an engine is nearly full, requests that end free about as much. Raising it by that amount (an
    /// eighth) left a tenth of the KV cache idle at twice the load that fits, and served 0.05 of all
    /// requests less.
    pub fn new(capacity: f64, reported_share: f64, unreported: f64) -> Self {
        Self { capacity, used: (reported_share * capacity + unreported).max(0.0) }
    }

    /// Used share; above 1 if more was sent than fits.
    pub fn used_share(&self) -> f64 {
        if self.capacity > 0.0 { self.used / self.capacity } else { 1.0 }
    }

    /// Whether usage stays within `limit_share` of the capacity with `more` added.
    pub fn fits(&self, more: f64, limit_share: f64) -> bool {
        self.used + more <= self.capacity * limit_share
    }
}

/// KV cache of an engine that holds `layers` layers, in tokens times layers.
///
/// Returns `None` if the figures leave no KV cache: the engine does hold these layers, so the figures
/// are missing or wrong, and its reports are used instead.
pub fn kv_capacity(
    figures: &EngineFigures,
    kind: &AcceleratorFigures,
    layers: usize,
) -> Option<f64> {
    let layers = u16::try_from(layers).unwrap_or(u16::MAX);
    let capacity = tokens_that_fit(&memory_figures(figures, kind), layers) * f64::from(layers);
    (capacity > 0.0 && capacity.is_finite()).then_some(capacity)
}

/// Memory sizes of a service's model on a kind of accelerator.
pub fn memory_figures(figures: &EngineFigures, kind: &AcceleratorFigures) -> MemoryFigures {
    MemoryFigures {
        memory_mb: kind.memory_mb,
        layer_mb: figures.layer_mb,
        layers: figures.layers,
        kv_token_bytes: figures.kv_token_bytes,
    }
}
