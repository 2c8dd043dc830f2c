//! Decides which engine has to load which layers next.
//!
//! The reconciler compares what engines report with the layers that settings assign to them, and
//! gives at most one order at a time per pipeline. It is level-triggered: an order from a holder
//! whose lease has lapsed shows up as a difference and is reverted like any other.
//!
//! Pure: no sockets, no clock, no threads.

#![forbid(unsafe_code)]

use sillbank_core::prelude::*;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Age from which a report is ignored.
const MAX_REPORT_AGE: Duration = Duration::from_secs(60);
/// Longest time that an order may be in flight. A new lease holder waits this long before it gives
/// orders to endpoints that do not check fences.
pub const MAX_ORDER_TRANSIT: Duration = Duration::from_secs(3);

/// An engine's report of its state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Layers that it holds.
    pub layers: LayerRange,
    /// Whether it is loading other layers.
    pub loading: bool,
    /// When it was received.
    pub at: Instant,
}

/// An engine's assigned layers and its last report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineView {
    /// Id of the engine.
    pub id: EndpointId,
    /// Pipeline that it serves.
    pub pipeline: PipelineId,
    /// Layers that settings assign to it.
    pub assigned: LayerRange,
    /// Whether it refuses orders with an older fence.
    pub checks_fences: bool,
    /// Its last report.
    pub report: Option<Report>,
}

impl EngineView {
    /// The last report, unless it is stale.
    fn fresh_report(&self, now: Instant) -> Option<Report> {
        self.report.filter(|report| now.saturating_duration_since(report.at) < MAX_REPORT_AGE)
    }

    /// Layers that it serves now.
    fn served_layers(&self, now: Instant) -> Option<LayerRange> {
        self.fresh_report(now).filter(|report| !report.loading).map(|report| report.layers)
    }

    /// Whether it serves other layers than the assigned ones.
    fn needs_order(&self, now: Instant) -> bool {
        self.served_layers(now).is_some_and(|layers| layers != self.assigned)
    }
}

/// Limits the rate of orders per pipeline.
#[derive(Debug, Default)]
pub struct OrderRateLimiter {
    last_order: BTreeMap<PipelineId, Instant>,
}

impl OrderRateLimiter {
    /// Records that an order was sent to a pipeline.
    pub fn record_order(&mut self, pipeline: &str, now: Instant) {
        self.last_order.insert(pipeline.to_owned(), now);
    }

    /// Whether `pause` has passed since the last order to a pipeline.
    fn permits(&self, pipeline: &str, now: Instant, pause: Duration) -> bool {
        let last = self.last_order.get(pipeline);
        last.is_none_or(|at| now.saturating_duration_since(*at) >= pause)
    }
}

/// The engine that has to load its assigned layers next, if any.
///
/// `held_for` is how long this VM has held the lease. `pause` is the minimum time between two
/// orders to a pipeline, since weights are loaded from a store with a limited rate.
pub fn next_order<'a>(
    engines: &'a [EngineView],
    limiter: &OrderRateLimiter,
    now: Instant,
    held_for: Duration,
    pause: Duration,
) -> Option<&'a EngineView> {
    let may_order = |engine: &&EngineView| engine.checks_fences || held_for >= MAX_ORDER_TRANSIT;
    engines
        .iter()
        .filter(|engine| engine.needs_order(now))
        .filter(may_order)
        .filter(|engine| limiter.permits(&engine.pipeline, now, pause))
        .filter(|engine| !is_any_loading(engines, &engine.pipeline, now))
        .find(|engine| keeps_capacity(engines, engine, now))
}

fn is_any_loading(engines: &[EngineView], pipeline: &str, now: Instant) -> bool {
    let is_loading =
        |engine: &EngineView| engine.fresh_report(now).is_some_and(|report| report.loading);
    engines.iter().any(|engine| engine.pipeline == pipeline && is_loading(engine))
}

/// Whether every layer that an engine serves is also served by another one, or is no longer
/// assigned to any engine.
fn keeps_capacity(engines: &[EngineView], candidate: &EngineView, now: Instant) -> bool {
    let Some(layers) = candidate.served_layers(now) else {
        return false;
    };
    let others =
        || engines.iter().filter(|e| e.pipeline == candidate.pipeline && e.id != candidate.id);
    (layers.first..layers.end).all(|layer| {
        let holds = |range: LayerRange| (range.first..range.end).contains(&layer);
        let is_served = others().any(|engine| engine.served_layers(now).is_some_and(holds));
        let is_assigned =
            engines.iter().any(|e| e.pipeline == candidate.pipeline && holds(e.assigned));
        is_served || !is_assigned
    })
}
