//! Messages about limits between VMs. They contain ages instead of times, because the clocks of VMs share no origin.

use serde::{Deserialize, Serialize};
use sillbank_core::prelude::EndpointId;

/// Number of a change, counted by one VM.
pub type ChangeNumber = u64;

/// The last limit announced by an endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Start of the endpoint's incarnation that announced it, in Unix milliseconds; `None` if unknown.
    pub born_ms: Option<u64>,
    /// Requests per second that the endpoint accepts from all VMs together; `None` without a limit.
    pub limit_per_s: Option<f64>,
    /// Time since the announcement, in milliseconds.
    pub age_ms: u64,
}

/// Changes that another VM may not know.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitUpdates {
    /// Changes up to this number are included here or were sent before.
    pub up_to: ChangeNumber,
    /// Changed limits.
    pub limits: Vec<LimitUpdate>,
}

/// Rate at which a VM, or all VMs of a hall, would send to an endpoint with a limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RateDemand {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Requests per second.
    pub per_s: f64,
}

/// A granted lease on a part of an endpoint's limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RateLeaseGrant {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Requests per second.
    pub per_s: f64,
    /// Remaining validity, in milliseconds.
    pub valid_ms: u64,
}
