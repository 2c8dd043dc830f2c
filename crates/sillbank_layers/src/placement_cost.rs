//! Cost of a placement: the time that a token takes through all layers of a hall.
//!
//! At each layer the hall's requests fill the fastest endpoints first, up to their capacity, and then
//! slower ones. The mean pace of a layer, summed over all layers, is the time of a token through the
//! model. The mean is computed with all endpoints and, with the weight of a loss, without the fastest
//! endpoint of each layer. Requests beyond the capacity of a layer count as unserved.

use sillbank_core::prelude::*;

/// Weight of the state in which the fastest endpoint of a layer is lost. During incidents endpoints
/// are lost for some seconds each minute, and a hall of a dozen lacks a tenth of them.
const LOSS_WEIGHT: f64 = 0.1;
/// Pace at which an unserved request counts, as a factor on the slowest endpoint's: a placement that
/// leaves requests unserved always costs more than a slow one that serves them.
const UNSERVED_FACTOR: f64 = 4.0;
/// Weight of the utilisation of a layer, as a factor on the fastest endpoint's pace. It only decides
/// where to add capacity when all requests are already served at the best pace.
const UTILISATION_WEIGHT: f64 = 0.1;

/// Slowest plausible pace; higher values come from a faulty configuration.
const MAX_PACE: f64 = 1e6;
/// Largest plausible number of requests; higher values come from a faulty configuration.
const MAX_REQUESTS: f64 = 1e9;
/// Relative difference between sums that is attributed to rounding.
const ROUNDING: f64 = 1e-9;

/// Speed and capacity of an endpoint at each layer that it holds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LayerCapacity {
    /// Time per layer relative to other endpoints; higher is slower.
    pub pace: f64,
    /// Requests that it can run at once.
    pub requests: f64,
}

impl LayerCapacity {
    /// Clamps both values to plausible ones; NaN becomes the worst value.
    fn bounded(self) -> Self {
        let pace = if self.pace.is_nan() { MAX_PACE } else { self.pace.clamp(0.0, MAX_PACE) };
        let requests =
            if self.requests.is_nan() { 0.0 } else { self.requests.clamp(0.0, MAX_REQUESTS) };
        Self { pace, requests }
    }
}

/// The endpoints that serve each layer, and the cost that follows from them.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementCost {
    /// Requests at once.
    load: f64,
    /// Fastest and slowest pace of all endpoints that can hold layers.
    paces: (f64, f64),
    /// Endpoints of each layer, the fastest first.
    endpoints: Vec<Vec<LayerCapacity>>,
    /// Requests that each layer can run at once.
    request_totals: Vec<f64>,
    /// Cost of each layer.
    costs: Vec<f64>,
}

impl PlacementCost {
    /// Creates a placement in which no endpoint holds any of `layers` layers.
    ///
    /// `load` requests run at once on endpoints whose pace is one of `paces`.
    pub fn new(layers: u16, load: f64, paces: impl Iterator<Item = f64>) -> Self {
        let bounded = paces.map(|pace| LayerCapacity { pace, requests: 0.0 }.bounded().pace);
        let (fastest, slowest) = bounded
            .fold((f64::INFINITY, 0.0_f64), |(low, high), pace| (low.min(pace), high.max(pace)));
        let paces = if fastest.is_finite() { (fastest, slowest) } else { (1.0, 1.0) };
        let mut placement = Self {
            load: if load.is_nan() { 1.0 } else { load.clamp(1.0, MAX_REQUESTS) },
            paces,
            endpoints: vec![Vec::new(); usize::from(layers)],
            request_totals: vec![0.0; usize::from(layers)],
            costs: Vec::new(),
        };
        placement.costs =
            (0..usize::from(layers)).map(|layer| placement.layer_cost(layer, None)).collect();
        placement
    }

    /// Adds an endpoint that serves these layers.
    pub fn add(&mut self, layers: LayerRange, capacity: LayerCapacity) {
        let capacity = capacity.bounded();
        for layer in self.clamp_to_model(layers) {
            let endpoints = &mut self.endpoints[layer];
            let position = endpoints.partition_point(|other| other.pace <= capacity.pace);
            endpoints.insert(position, capacity);
            self.request_totals[layer] += capacity.requests;
            self.costs[layer] = self.layer_cost(layer, None);
        }
    }

    /// Removes an endpoint that was added with the same capacity from these layers.
    pub fn remove(&mut self, layers: LayerRange, capacity: LayerCapacity) {
        let capacity = capacity.bounded();
        for layer in self.clamp_to_model(layers) {
            let endpoints = &mut self.endpoints[layer];
            if let Some(position) = endpoints.iter().position(|other| *other == capacity) {
                endpoints.remove(position);
                self.request_totals[layer] -= capacity.requests;
            }
            self.costs[layer] = self.layer_cost(layer, None);
        }
    }

    /// Time of a token through all layers, in the unit of the pace of one layer.
    pub fn cost(&self) -> f64 {
        self.costs.iter().sum()
    }

    /// The layers that an endpoint of this pace should hold to lower the cost most, and by how much.
    ///
    /// `capacities` are the requests that it can run at once beside 0, 1, 2 ... layers; ranges that
    /// leave it fewer than `min_requests` are not considered. Of ranges with equal gain the shortest
    /// is chosen, and of these the first.
    pub fn best_window(
        &self,
        pace: f64,
        capacities: &[f64],
        min_requests: f64,
    ) -> Option<(LayerRange, f64)> {
        let mut best: Option<(LayerRange, f64)> = None;
        for (width, requests) in
            capacities.iter().enumerate().take(self.endpoints.len() + 1).skip(1)
        {
            if *requests < min_requests {
                continue;
            }
            let capacity = LayerCapacity { pace, requests: *requests }.bounded();
            let gains: Vec<f64> = (0..self.endpoints.len())
                .map(|layer| self.costs[layer] - self.layer_cost(layer, Some(capacity)))
                .collect();
            let (first, gain) = max_window_sum(&gains, width);
            if best.is_none_or(|(_, known)| exceeds(gain, known)) {
                let layers = LayerRange { first: first as u16, end: (first + width) as u16 };
                best = Some((layers, gain));
            }
        }
        best.filter(|(_, gain)| *gain > 0.0)
    }

    /// The layers of the range that the model has.
    fn clamp_to_model(&self, layers: LayerRange) -> std::ops::Range<usize> {
        let end = usize::from(layers.end).min(self.endpoints.len());
        usize::from(layers.first).min(end)..end
    }

    /// Cost of a layer with its endpoints and, if given, one more.
    fn layer_cost(&self, layer: usize, added: Option<LayerCapacity>) -> f64 {
        let endpoints = &self.endpoints[layer];
        let position =
            added.map_or(0, |added| endpoints.partition_point(|other| other.pace <= added.pace));
        let (faster, slower) = endpoints.split_at(position);
        let all = || faster.iter().chain(added.as_ref()).chain(slower).copied();
        let requests = self.request_totals[layer] + added.map_or(0.0, |added| added.requests);
        let utilisation = UTILISATION_WEIGHT * self.paces.0 * self.load / (requests + self.load);
        let with_all = self.mean_pace(all());
        let after_loss = self.mean_pace(all().skip(1));
        (1.0 - LOSS_WEIGHT) * with_all + LOSS_WEIGHT * after_loss + utilisation
    }

    /// Mean pace of the requests when they fill the endpoints in order.
    fn mean_pace(&self, endpoints: impl Iterator<Item = LayerCapacity>) -> f64 {
        let (mut unserved, mut sum) = (self.load, 0.0);
        for endpoint in endpoints {
            let served = endpoint.requests.min(unserved);
            sum += served * endpoint.pace;
            unserved -= served;
            if unserved <= 0.0 {
                break;
            }
        }
        (sum + unserved * self.paces.1 * UNSERVED_FACTOR) / self.load
    }
}

/// Whether a sum is greater than another by more than rounding.
fn exceeds(sum: f64, other: f64) -> bool {
    sum > other + other.abs() * ROUNDING
}

/// Start and sum of the window of `width` values with the greatest sum; the first of equal ones.
fn max_window_sum(values: &[f64], width: usize) -> (usize, f64) {
    let mut sum: f64 = values[..width].iter().sum();
    let mut best = (0, sum);
    for first in 1..=values.len() - width {
        sum += values[first + width - 1] - values[first - 1];
        if exceeds(sum, best.1) {
            best = (first, sum);
        }
    }
    best
}
