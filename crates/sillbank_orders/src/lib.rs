//! Which engine is to load which layers next.
//!
//! The reconciler looks at what engines report and at what settings ask, and names at most one
//! order at a time for a pipeline. It is level-triggered: an order that a late holder got through
//! shows as a difference and is undone like any other.
//!
//! Pure: no sockets, no clock, no threads.

#![forbid(unsafe_code)]

use sillbank_core::prelude::*;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A report older than this says nothing any more.
const STALE: Duration = Duration::from_secs(60);
/// Longest time an order may be on its way. A holder that took over waits for so long before it
/// orders endpoints that do not check fences.
pub const ORDER_FLIGHT: Duration = Duration::from_secs(3);

/// What an engine said of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Layers it holds.
    pub layers: LayerRange,
    /// Whether it is loading others.
    pub loading: bool,
    /// When it said so.
    pub at: Instant,
}

/// One engine: what settings ask, and what it reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineView {
    /// Name.
    pub id: EndpointId,
    /// Pipeline it serves.
    pub pipeline: PipelineId,
    /// Layers that settings ask it to hold.
    pub wanted: LayerRange,
    /// Whether it refuses older fences.
    pub checks_fences: bool,
    /// What it last said.
    pub report: Option<Report>,
}

impl EngineView {
    fn fresh(&self, now: Instant) -> Option<Report> {
        self.report.filter(|report| now.saturating_duration_since(report.at) < STALE)
    }

    /// Layers that it serves now.
    fn serves(&self, now: Instant) -> Option<LayerRange> {
        self.fresh(now).filter(|report| !report.loading).map(|report| report.layers)
    }

    fn differs(&self, now: Instant) -> bool {
        self.serves(now).is_some_and(|layers| layers != self.wanted)
    }
}

/// Pace of orders.
#[derive(Debug, Default)]
pub struct Pace {
    ordered_at: BTreeMap<PipelineId, Instant>,
}

impl Pace {
    /// Notes that an order was sent for a pipeline.
    pub fn ordered(&mut self, pipeline: &str, now: Instant) {
        self.ordered_at.insert(pipeline.to_owned(), now);
    }

    /// Whether the last order for a pipeline is long enough ago.
    fn is_due(&self, pipeline: &str, now: Instant, pause: Duration) -> bool {
        let last = self.ordered_at.get(pipeline);
        last.is_none_or(|at| now.saturating_duration_since(*at) >= pause)
    }
}

/// The engine that is to load what settings ask of it next, if any.
///
/// `held_for` is how long this VM has held the lease; `pause` is the least time between two orders
/// for a pipeline, since weights come from a store with a bounded rate.
pub fn next_order<'a>(
    engines: &'a [EngineView],
    pace: &Pace,
    now: Instant,
    held_for: Duration,
    pause: Duration,
) -> Option<&'a EngineView> {
    let may_order = |engine: &&EngineView| engine.checks_fences || held_for >= ORDER_FLIGHT;
    engines
        .iter()
        .filter(|engine| engine.differs(now))
        .filter(may_order)
        .filter(|engine| pace.is_due(&engine.pipeline, now, pause))
        .filter(|engine| !is_one_loading(engines, &engine.pipeline, now))
        .find(|engine| keeps_capacity(engines, engine, now))
}

fn is_one_loading(engines: &[EngineView], pipeline: &str, now: Instant) -> bool {
    let loads = |engine: &EngineView| engine.fresh(now).is_some_and(|report| report.loading);
    engines.iter().any(|engine| engine.pipeline == pipeline && loads(engine))
}

/// Whether every layer that this engine serves is served by another one, too, or is a layer that
/// nobody is asked to hold any more.
fn keeps_capacity(engines: &[EngineView], leaving: &EngineView, now: Instant) -> bool {
    let Some(layers) = leaving.serves(now) else {
        return false;
    };
    let others = || engines.iter().filter(|e| e.pipeline == leaving.pipeline && e.id != leaving.id);
    (layers.first..layers.end).all(|layer| {
        let holds = |range: LayerRange| (range.first..range.end).contains(&layer);
        let served = others().any(|engine| engine.serves(now).is_some_and(holds));
        let asked = engines.iter().any(|e| e.pipeline == leaving.pipeline && holds(e.wanted));
        served || !asked
    })
}
