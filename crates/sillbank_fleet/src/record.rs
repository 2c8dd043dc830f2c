//! What an endpoint says of itself in the store.

use serde::{Deserialize, Serialize};
use sillbank_core::prelude::*;
use std::net::SocketAddr;

/// Whether an endpoint takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// It does.
    Ready,
    /// It ends what it has and takes no more.
    Leaving,
}

/// One endpoint's entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Id of this life of the endpoint; a restart has another.
    pub id: EndpointId,
    /// Service it belongs to.
    pub service: ServiceId,
    /// Where its requests go.
    pub address: SocketAddr,
    /// Data hall.
    pub hall: HallId,
    /// Whether it takes new work.
    pub standing: Standing,
    /// Requests at once.
    pub slots: u32,
    /// Accelerator kind, if it runs a model.
    pub accelerator: Option<AcceleratorKind>,
    /// Layers it held when it last wrote its entry, if it runs a model.
    pub layers: Option<LayerRange>,
}
