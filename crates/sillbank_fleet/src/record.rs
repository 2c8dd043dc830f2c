//! Endpoint entries, as the store lists them.

use serde::{Deserialize, Serialize};
use sillbank_core::prelude::*;
use std::net::SocketAddr;

/// Start of an incarnation of an endpoint, in milliseconds of Unix time.
pub type BornMs = u64;

/// Longest name in an entry, in bytes. Names are kept, logged, and passed on to other VMs many at a time.
pub const MAX_NAME_BYTES: usize = 256;

/// Mark at the end of a text that was cut. It is longer than a character, so that a cut text is longer than its limit.
const CUT_MARK: &str = "[...]";
/// Longest reason why an entry cannot be parsed, in bytes.
const MAX_REASON_BYTES: usize = 256;

/// Cuts a text that is longer than `max_bytes`, and marks it. A cut name is longer than any that is allowed, so it equals none.
fn abbreviate(mut text: String, max_bytes: usize) -> String {
    if text.len() <= max_bytes {
        return text;
    }
    let is_boundary = |length: &usize| text.is_char_boundary(*length);
    let length = (0..=max_bytes).rev().find(is_boundary).unwrap_or_default();
    text.truncate(length);
    text.push_str(CUT_MARK);
    text
}

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

impl UnreadableEntry {
    /// Describes an entry. An id or a reason that is too long is cut.
    pub fn new(id: String, version: Option<u64>, reason: String) -> Self {
        let reason = abbreviate(reason, MAX_REASON_BYTES);
        Self { id: abbreviate_id(id), version, reason }
    }
}

/// Cuts the id of an entry if it is too long to name an endpoint.
pub fn abbreviate_id(id: EndpointId) -> EndpointId {
    abbreviate(id, MAX_NAME_BYTES)
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
