//! Endpoint entries, as the store lists them.

use serde::{Deserialize, Serialize};
use sillbank_core::prelude::*;
use std::net::SocketAddr;

/// Start of an incarnation of an endpoint, in milliseconds of Unix time.
pub type BornMs = u64;

/// Whether an endpoint accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// It accepts new work.
    Ready,
    /// It finishes its current requests and accepts no more.
    Leaving,
}

/// One endpoint's entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Id of the endpoint, which may stay the same across restarts.
    pub id: EndpointId,
    /// Start of the incarnation that wrote the entry; `None` if the entry does not state it.
    pub born_ms: Option<BornMs>,
    /// Service that the endpoint belongs to.
    pub service: ServiceId,
    /// Address that requests are sent to.
    pub address: SocketAddr,
    /// Data hall.
    pub hall: HallId,
    /// Whether it accepts new work.
    pub standing: Standing,
    /// Number of requests it handles concurrently.
    pub slots: u32,
    /// Accelerator kind, if it runs a model.
    pub accelerator: Option<AcceleratorKind>,
    /// Layers it held when it last wrote its entry, if it runs a model.
    pub layers: Option<LayerRange>,
}

/// An entry, written by some other program, that cannot be parsed. It names no endpoint to use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreadableEntry {
    /// Id of the endpoint; empty if not even that can be read.
    pub id: EndpointId,
    /// Revision of the store that last changed the entry, if it can be read.
    pub version: Option<u64>,
    /// Why it cannot be parsed.
    pub reason: String,
}

/// All entries of the store at one moment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// Entries that can be read.
    pub records: Vec<EndpointRecord>,
    /// Entries that cannot be read.
    pub unreadable: Vec<UnreadableEntry>,
}

impl From<Vec<EndpointRecord>> for Listing {
    fn from(records: Vec<EndpointRecord>) -> Self {
        Self { records, unreadable: Vec::new() }
    }
}
