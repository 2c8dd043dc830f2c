//! How full a hall's engines are as a whole.
//!
//! A request passes all layers, so a hall has as much room as the engines that hold its scarcest layer have
//! together. One engine's report tells little of that: it is full for a moment while others are not, and
//! what was sent to it in the last half second is not in it. Summed over a hall, such chance cancels out.

use sillbank_core::prelude::*;

/// Most requests that are believed of one engine; more is a fault of the figures.
const MAX_REQUESTS: f64 = 1e6;

/// What one engine adds to its hall.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineRoom {
    /// Layers that it holds.
    pub layers: LayerRange,
    /// Requests of the usual size that it serves at once and in time.
    pub capacity: f64,
    /// Taken part of that; above 1 if more run or wait there.
    pub taken_share: f64,
}

/// Room of one hall or several, in requests of the usual size.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct HallRoom {
    /// Requests that fit at once.
    pub capacity: f64,
    /// Requests that fit beside those that are there.
    pub free: f64,
}

impl HallRoom {
    /// Room of a hall with these engines for a model of so many layers: that of its scarcest layer.
    pub fn of(engines: &[EngineRoom], layers: u16) -> Self {
        let mut by_layer = vec![Self::default(); usize::from(layers)];
        for engine in engines {
            let capacity = finite(engine.capacity);
            let free = capacity * (1.0 - finite(engine.taken_share)).max(0.0);
            let held = by_layer.iter_mut().take(usize::from(engine.layers.end));
            for layer in held.skip(usize::from(engine.layers.first)) {
                layer.capacity += capacity;
                layer.free += free;
            }
        }
        let least = |of: fn(&Self) -> f64| by_layer.iter().map(of).min_by(f64::total_cmp);
        Self {
            capacity: least(|layer| layer.capacity).unwrap_or(0.0),
            free: least(|layer| layer.free).unwrap_or(0.0),
        }
    }

    /// Room of both.
    pub fn plus(self, other: Self) -> Self {
        Self { capacity: self.capacity + other.capacity, free: self.free + other.free }
    }

    /// Taken part, from 0 to 1; `None` if no request fits at all, where there is nothing to be shared out.
    pub fn fullness(&self) -> Option<f64> {
        (self.capacity > 0.0).then(|| (1.0 - self.free / self.capacity).clamp(0.0, 1.0))
    }
}

/// A figure that can be added up: absurd ones count as 0 or as much as an engine may have.
fn finite(figure: f64) -> f64 {
    if figure.is_nan() { 0.0 } else { figure.clamp(0.0, MAX_REQUESTS) }
}
