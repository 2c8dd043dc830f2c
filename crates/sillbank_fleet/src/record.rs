//! What an endpoint says of itself in the store.

use serde::{Deserialize, Serialize};
use sillbank_core::prelude::*;
use std::net::SocketAddr;

/// Unix millisecond at which a life of an endpoint began.
pub type BornMs = u64;

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
    /// Its id, which it may keep when it starts again.
    pub id: EndpointId,
    /// Start of the life that wrote the entry; `None` if it does not say.
    pub born_ms: Option<BornMs>,
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

/// An entry that cannot be read: another writer left it. It names no endpoint to use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreadableEntry {
    /// Whose entry it is; empty if not even that can be read.
    pub id: EndpointId,
    /// Revision of the store that made the entry what it is, if it can be read.
    pub version: Option<u64>,
    /// What is wrong with it.
    pub reason: String,
}

/// All entries of the store at a moment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// Entries that can be read.
    pub records: Vec<EndpointRecord>,
    /// The others.
    pub unreadable: Vec<UnreadableEntry>,
}

impl From<Vec<EndpointRecord>> for Listing {
    fn from(records: Vec<EndpointRecord>) -> Self {
        Self { records, unreadable: Vec::new() }
    }
}
