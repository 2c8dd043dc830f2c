//! One endpoint as the router sees it.

use crate::cost::StepCost;
use crate::health::Health;
use sillbank_core::prelude::*;
use std::time::Instant;

/// What settings say of a generation endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointSpec {
    /// Name.
    pub id: EndpointId,
    /// Data hall it stands in.
    pub hall: HallId,
    /// Accelerator kind.
    pub kind: AcceleratorKind,
    /// Pipeline it serves.
    pub pipeline: PipelineId,
    /// Layers it holds.
    pub layers: LayerRange,
    /// `IP:PORT` of its interface.
    pub address: String,
    /// Whether settings say that it leaves.
    pub leaving: bool,
}

/// An endpoint with what this VM knows of it.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// What settings say.
    pub spec: EndpointSpec,
    /// Whether settings still hold it; a slot is never used twice.
    pub present: bool,
    /// Whether a connection stands.
    pub connected: bool,
    /// Health.
    pub health: Health,
    /// Learnt step times.
    pub cost: StepCost,
    /// Requests of this VM that have it in their chain.
    pub requests: u32,
    /// Requests that were added since the last load report.
    pub added_since_report: u32,
    /// Positions of prefills that this VM sent and that are not answered.
    pub prefill_outstanding: u32,
    /// Last reported load.
    pub queued: u32,
    /// Last reported number of requests held.
    pub held: u32,
    /// Last reported free KV cache, in positions.
    pub kv_free_tokens: Option<u32>,
    /// Last reported wait, in microseconds.
    pub wait_us: u32,
    /// When the last report came.
    pub reported_at: Option<Instant>,
}

impl Endpoint {
    /// An endpoint nothing is known of but its settings.
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

    /// Requests it is believed to hold: the last report, and what this VM added since.
    pub fn believed_held(&self) -> u32 {
        (self.held + self.added_since_report).max(self.requests)
    }
}
