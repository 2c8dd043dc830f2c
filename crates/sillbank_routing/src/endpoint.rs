//! State of one generation endpoint, as known to this VM.

use crate::cost::StepCost;
use crate::health::Health;
use sillbank_core::prelude::*;
use std::time::Instant;

/// Settings of a generation endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointSpec {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Data hall that it runs in.
    pub hall: HallId,
    /// Accelerator kind.
    pub kind: AcceleratorKind,
    /// Pipeline that it serves.
    pub pipeline: PipelineId,
    /// Layers that it holds.
    pub layers: LayerRange,
    /// Address of its interface as `IP:PORT`.
    pub address: String,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// State of an endpoint as known to this VM.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Settings.
    pub spec: EndpointSpec,
    /// Whether it is still in the settings. The slot of a removed endpoint is not reused.
    pub present: bool,
    /// Whether it is connected.
    pub connected: bool,
    /// Health state.
    pub health: Health,
    /// Estimated step times.
    pub cost: StepCost,
    /// Requests of this VM that use it.
    pub requests: u32,
    /// Requests that this VM added since the last load report.
    pub added_since_report: u32,
    /// Positions of the prefills that this VM has sent and that are not answered yet.
    pub prefill_outstanding: u32,
    /// Last reported number of queued steps.
    pub queued: u32,
    /// Last reported number of requests held.
    pub held: u32,
    /// Last reported free KV cache, in positions.
    pub kv_free_tokens: Option<u32>,
    /// Last reported wait, in microseconds.
    pub wait_us: u32,
    /// When the last report was received.
    pub reported_at: Option<Instant>,
}

impl Endpoint {
    /// Creates an endpoint of which only the settings are known.
    pub fn new(spec: EndpointSpec, now: Instant) -> Self {
        Self {
            spec,
            present: true,
            connected: false,
            health: Health::new(now),
            cost: StepCost::default(),
            requests: 0,
            added_since_report: 0,
            prefill_outstanding: 0,
            queued: 0,
            held: 0,
            kv_free_tokens: None,
            wait_us: 0,
            reported_at: None,
        }
    }

    /// Estimated number of requests held: the last reported number, and those that this VM added since.
    pub fn estimated_held(&self) -> u32 {
        (self.held + self.added_since_report).max(self.requests)
    }
}
