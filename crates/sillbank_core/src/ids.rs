//! Type aliases and small value types that name things.

use serde::{Deserialize, Serialize};

/// Name of an entry VM, unique in the fleet.
pub type VmId = String;
/// Name of a data hall.
pub type HallId = String;
/// Name of an organisation (the brief's word for a customer).
pub type OrganisationId = String;
/// Name of an endpoint (the brief's word for a back end).
pub type EndpointId = String;
/// Name of a pipeline.
pub type PipelineId = String;
/// Name of a plain service.
pub type ServiceId = String;
/// Name of an accelerator kind, as the settings give it.
pub type AcceleratorKind = String;
/// Number of one try at a request; a greater one fences out a smaller one.
///
/// The upper bits count, the lower [`ATTEMPT_DRAW_BITS`] are drawn by the entry that began, so two
/// entries that raise the same request at once do not use the same number.
pub type Attempt = u64;
/// Bits of an [`Attempt`] that are drawn.
pub const ATTEMPT_DRAW_BITS: u32 = 22;
/// Which of several tries at one request: its id and the draw of the entry that drives it, which
/// raising the attempt does not change.
pub type DriveId = (RequestUid, u64);

/// The drive that an attempt of a request belongs to.
pub fn drive_id(uid: RequestUid, attempt: Attempt) -> DriveId {
    (uid, attempt % ATTEMPT_RAISE)
}

/// What is added to an [`Attempt`] to raise it.
pub const ATTEMPT_RAISE: Attempt = 1 << ATTEMPT_DRAW_BITS;
/// Place of a token in a sequence, prompt included, from 0.
pub type Position = u32;
/// Identifier of a token in a model's vocabulary.
pub type TokenId = u32;

/// Identifier of a request inside the fleet: a 128-bit hash of organisation and caller's id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestUid(pub u64, pub u64);

impl RequestUid {
    /// Derives the identifier, so that every VM gives the same request the same one and two
    /// organisations that chose the same id never meet.
    ///
    /// ```
    /// use sillbank_core::ids::RequestUid;
    /// assert_ne!(RequestUid::derive("a", "1"), RequestUid::derive("b", "1"));
    /// assert_eq!(RequestUid::derive("a", "1"), RequestUid::derive("a", "1"));
    /// ```
    pub fn derive(organisation: &str, caller_request_id: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&(organisation.len() as u64).to_le_bytes());
        hasher.update(organisation.as_bytes());
        hasher.update(caller_request_id.as_bytes());
        let digest = hasher.finalize();
        let bytes = digest.as_bytes();
        Self(read_u64(&bytes[..8]), read_u64(&bytes[8..16]))
    }

    /// Reads what [`std::fmt::Display`] wrote.
    pub fn parse(text: &str) -> Option<Self> {
        let (first, second) = text.split_at_checked(16).filter(|(_, rest)| rest.len() == 16)?;
        let half = |text| u64::from_str_radix(text, 16).ok();
        Some(Self(half(first)?, half(second)?))
    }

    /// A 64-bit seed for sampling, the same on every VM.
    pub fn seed(&self) -> u64 {
        self.0 ^ self.1.rotate_left(17)
    }
}

impl std::fmt::Display for RequestUid {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}{:016x}", self.0, self.1)
    }
}

fn read_u64(bytes: &[u8]) -> u64 {
    bytes.iter().rev().fold(0, |sum, byte| (sum << 8) | u64::from(*byte))
}

/// Half-open range of model layers, `first..end`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LayerRange {
    /// First layer held.
    pub first: u16,
    /// One past the last layer held.
    pub end: u16,
}

impl LayerRange {
    /// Number of layers in the range.
    pub fn len(&self) -> usize {
        usize::from(self.end.saturating_sub(self.first))
    }

    /// Whether the range holds no layer.
    pub fn is_empty(&self) -> bool {
        self.end <= self.first
    }
}
