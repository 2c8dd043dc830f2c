//! What a layout is worth: how quickly the requests of a hall pass each layer.
//!
//! At each layer the hall's requests fill the quickest endpoints first, as far as these have room, and then
//! slower ones. The mean pace at which a layer is passed, summed up over the layers, is the time of a token
//! over the whole model. It is counted with all endpoints and, at the weight of a loss, without the quickest
//! of each layer; requests for which no room is left count as unserved.

use sillbank_core::prelude::*;

/// Weight of the state in which the quickest endpoint of a layer is lost. Endpoints are lost for some seconds
/// each minute while there is trouble, and a hall of a dozen has a tenth of them away then.
const LOSS_WEIGHT: f64 = 0.1;
/// Pace at which an unserved request counts, in terms of the slowest endpoint: no layout that leaves requests
/// out is better than a slow one that does not.
const UNSERVED_FACTOR: f64 = 4.0;
/// Weight of how full a layer is with all its endpoints, in terms of the quickest endpoint's pace. Only decides
/// where more room is worth something when all requests have room at the best pace.
const CROWD_WEIGHT: f64 = 0.1;

/// Slowest pace and largest room that are believed; others are faults of the configuration.
const MOST_PACE: f64 = 1e6;
const MOST_ROOM: f64 = 1e9;
/// Part of a sum by which two that should be the same may differ.
const ROUNDING: f64 = 1e-9;

/// What one endpoint does for each layer that it holds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LayerShare {
    /// Time of a layer, as a factor on that of other endpoints.
    pub pace: f64,
    /// Requests for which it has room.
    pub room: f64,
}

impl LayerShare {
    /// The share with figures that can be reckoned with: a pace or a room that is no number counts as the worst.
    fn bounded(self) -> Self {
        let pace = if self.pace.is_nan() { MOST_PACE } else { self.pace.clamp(0.0, MOST_PACE) };
        let room = if self.room.is_nan() { 0.0 } else { self.room.clamp(0.0, MOST_ROOM) };
        Self { pace, room }
    }
}

/// Who serves each layer.
#[derive(Debug, Clone, PartialEq)]
pub struct Supply {
    /// Requests at once.
    load: f64,
    /// Quickest and slowest pace of all endpoints that may come to hold layers.
    paces: (f64, f64),
    /// Shares of each layer, the quickest first.
    shares: Vec<Vec<LayerShare>>,
    /// Requests for which each layer has room.
    rooms: Vec<f64>,
    /// Cost of each layer.
    costs: Vec<f64>,
}

impl Supply {
    /// Nobody holds any of `layers` layers; `load` requests run at once on endpoints whose pace is between the
    /// quickest and the slowest of `paces`.
    pub fn new(layers: u16, load: f64, paces: impl Iterator<Item = f64>) -> Self {
        let bounded = paces.map(|pace| LayerShare { pace, room: 0.0 }.bounded().pace);
        let (quickest, slowest) = bounded
            .fold((f64::INFINITY, 0.0_f64), |(low, high), pace| (low.min(pace), high.max(pace)));
        let paces = if quickest.is_finite() { (quickest, slowest) } else { (1.0, 1.0) };
        let mut supply = Self {
            load: if load.is_nan() { 1.0 } else { load.clamp(1.0, MOST_ROOM) },
            paces,
            shares: vec![Vec::new(); usize::from(layers)],
            rooms: vec![0.0; usize::from(layers)],
            costs: Vec::new(),
        };
        supply.costs = (0..usize::from(layers)).map(|at| supply.layer_cost(at, None)).collect();
        supply
    }

    /// An endpoint serves some layers from now on.
    pub fn add(&mut self, layers: LayerRange, share: LayerShare) {
        let share = share.bounded();
        for layer in self.within(layers) {
            let shares = &mut self.shares[layer];
            let at = shares.partition_point(|other| other.pace <= share.pace);
            shares.insert(at, share);
            self.rooms[layer] += share.room;
            self.costs[layer] = self.layer_cost(layer, None);
        }
    }

    /// An endpoint that was added serves some layers no more.
    pub fn remove(&mut self, layers: LayerRange, share: LayerShare) {
        let share = share.bounded();
        for layer in self.within(layers) {
            let shares = &mut self.shares[layer];
            if let Some(at) = shares.iter().position(|other| *other == share) {
                shares.remove(at);
                self.rooms[layer] -= share.room;
            }
            self.costs[layer] = self.layer_cost(layer, None);
        }
    }

    /// Time of a token over all layers, in terms of the pace of one layer.
    pub fn cost(&self) -> f64 {
        self.costs.iter().sum()
    }

    /// The layers for an endpoint of a pace that lower the cost most, and by how much. `rooms` are the requests
    /// for which it has room beside 0, 1, 2 ... layers; fewer than `least_room` are not worth it. Of equal
    /// ones the narrowest and then the first.
    pub fn best_window(
        &self,
        pace: f64,
        rooms: &[f64],
        least_room: f64,
    ) -> Option<(LayerRange, f64)> {
        let mut best: Option<(LayerRange, f64)> = None;
        for (width, room) in rooms.iter().enumerate().take(self.shares.len() + 1).skip(1) {
            if *room < least_room {
                continue;
            }
            let share = LayerShare { pace, room: *room }.bounded();
            let gains: Vec<f64> = (0..self.shares.len())
                .map(|layer| self.costs[layer] - self.layer_cost(layer, Some(share)))
                .collect();
            let (first, gain) = best_sum(&gains, width);
            if best.is_none_or(|(_, known)| is_more(gain, known)) {
                let layers = LayerRange { first: first as u16, end: (first + width) as u16 };
                best = Some((layers, gain));
            }
        }
        best.filter(|(_, gain)| *gain > 0.0)
    }

    fn within(&self, layers: LayerRange) -> std::ops::Range<usize> {
        let end = usize::from(layers.end).min(self.shares.len());
        usize::from(layers.first).min(end)..end
    }

    /// Cost of a layer with its shares and one more.
    fn layer_cost(&self, layer: usize, more: Option<LayerShare>) -> f64 {
        let shares = &self.shares[layer];
        let at = more.map_or(0, |more| shares.partition_point(|other| other.pace <= more.pace));
        let (quicker, slower) = shares.split_at(at);
        let all = || quicker.iter().chain(more.as_ref()).chain(slower).copied();
        let room = self.rooms[layer] + more.map_or(0.0, |more| more.room);
        let crowd = CROWD_WEIGHT * self.paces.0 * self.load / (room + self.load);
        let with_all = self.mean_pace(all());
        let after_loss = self.mean_pace(all().skip(1));
        (1.0 - LOSS_WEIGHT) * with_all + LOSS_WEIGHT * after_loss + crowd
    }

    /// Mean pace of the requests when they fill the shares in order.
    fn mean_pace(&self, shares: impl Iterator<Item = LayerShare>) -> f64 {
        let (mut left, mut sum) = (self.load, 0.0);
        for share in shares {
            let served = share.room.min(left);
            sum += served * share.pace;
            left -= served;
            if left <= 0.0 {
                break;
            }
        }
        (sum + left * self.paces.1 * UNSERVED_FACTOR) / self.load
    }
}

/// Whether a sum is greater than another by more than rounding.
fn is_more(sum: f64, than: f64) -> bool {
    sum > than + than.abs() * ROUNDING
}

/// Where so many neighbours have the greatest sum, the first of equal ones, with the sum.
fn best_sum(values: &[f64], width: usize) -> (usize, f64) {
    let mut sum: f64 = values[..width].iter().sum();
    let mut best = (0, sum);
    for first in 1..=values.len() - width {
        sum += values[first + width - 1] - values[first - 1];
        if is_more(sum, best.1) {
            best = (first, sum);
        }
    }
    best
}
