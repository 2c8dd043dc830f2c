//! Capacity of a hall's engines as a whole, and how much of it is used.
//!
//! A request passes all layers, so the capacity of a hall is that of the layer with the least capacity,
//! summed over the engines that hold it. A single engine's report says little about it: the engine may
//! be full for a moment while others are not, and the report lacks what was sent in the last half
//! second. Summed over a hall, such fluctuations cancel out.

use sillbank_core::prelude::*;

/// Largest plausible number of requests of one engine; more comes from faulty figures.
const MAX_REQUESTS: f64 = 1e6;

/// Capacity of one engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineCapacity {
    /// Layers that it holds.
    pub layers: LayerRange,
    /// Requests of the usual size that it can run at once and in time.
    pub capacity: f64,
    /// Used share of the capacity; above 1 if more requests run or wait there.
    pub used_share: f64,
}

/// Capacity of one or more halls, in requests of the usual size.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct HallCapacity {
    /// Requests that can run at once.
    pub capacity: f64,
    /// Requests that can run in addition to the current ones.
    pub free: f64,
}

impl HallCapacity {
    /// Capacity of a hall with these engines for a model of `layers` layers: the least of any layer.
    pub fn of(engines: &[EngineCapacity], layers: u16) -> Self {
        let mut by_layer = vec![Self::default(); usize::from(layers)];
        for engine in engines {
            let capacity = bounded(engine.capacity);
            let free = capacity * (1.0 - bounded(engine.used_share)).max(0.0);
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

    /// Capacity of both together.
    pub fn plus(self, other: Self) -> Self {
        Self { capacity: self.capacity + other.capacity, free: self.free + other.free }
    }

    /// Used share, from 0 to 1; `None` without any capacity.
    pub fn fullness(&self) -> Option<f64> {
        (self.capacity > 0.0).then(|| (1.0 - self.free / self.capacity).clamp(0.0, 1.0))
    }
}

/// Clamps a figure to a plausible one; NaN becomes 0.
fn bounded(figure: f64) -> f64 {
    if figure.is_nan() { 0.0 } else { figure.clamp(0.0, MAX_REQUESTS) }
}
