//! What VMs tell each other of limits. They tell ages, as their clocks share no origin.

use serde::{Deserialize, Serialize};
use sillbank_core::prelude::EndpointId;

/// Number of a change among those of one VM.
pub type ChangeNumber = u64;

/// What an endpoint said last of the requests that it takes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitNews {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Unix millisecond at which the life began that said it; `None` if that is not known.
    pub born_ms: Option<u64>,
    /// Requests a second that it takes from all VMs together; `None` if it takes what comes.
    pub limit_per_s: Option<f64>,
    /// Time since it said so, in milliseconds.
    pub age_ms: u64,
}

/// Changes that another VM may not know.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitsNews {
    /// Changes up to this one are told now or were told before.
    pub up_to: ChangeNumber,
    /// What changed.
    pub limits: Vec<LimitNews>,
}

/// What a VM, or all VMs of a hall, would send to an endpoint that names a limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Want {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Requests a second.
    pub per_s: f64,
}

/// A part of an endpoint's limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PartNews {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Requests a second.
    pub per_s: f64,
    /// How much longer it holds, in milliseconds.
    pub valid_ms: u64,
}
