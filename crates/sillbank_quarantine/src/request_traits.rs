//! What the crashes and good runs of a request say something about.

use crate::fingerprint::Fingerprint;
use crate::prompt_parts::{PartId, PromptParts};
use serde::{Deserialize, Serialize};
use sillbank_core::hash::hash_u64;
use std::fmt;

/// Hash of an organisation's name, equal on every VM.
pub type OrganisationTag = u64;
/// Hash of a service's name, equal on every VM.
pub type ServiceTag = u64;

/// A part of the prompts of one service. Services run different models, so that a part that is harmless at one may
/// crash the endpoints of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartKey {
    /// Service.
    pub service: ServiceTag,
    /// Part.
    pub part: PartId,
}

impl fmt::Display for PartKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}", self.part)
    }
}

/// Traits of a request that may make it crash an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestTraits {
    /// The whole request.
    pub fingerprint: Fingerprint,
    /// Organisation of its caller; callers without one count as one organisation.
    pub organisation: OrganisationTag,
    /// Parts that its prompt may share with other requests.
    pub parts: Vec<PartKey>,
}

impl RequestTraits {
    /// Traits of a request to a service.
    pub fn new(
        fingerprint: Fingerprint,
        service: &str,
        organisation: Option<&str>,
        parts: &PromptParts,
    ) -> Self {
        let service = hash_u64(&["service", service]);
        let organisation = hash_u64(&["organisation", organisation.unwrap_or_default()]);
        let parts = parts.iter().map(|part| PartKey { service, part }).collect();
        Self { fingerprint, organisation, parts }
    }
}
