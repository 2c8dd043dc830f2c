//! Identifiers and other small value types.

use serde::{Deserialize, Serialize};

/// Name of an entry VM, unique in the fleet.
pub type VmId = String;
/// Name of a data hall.
pub type HallId = String;
/// Name of an organisation, which is a customer of the fleet.
pub type OrganisationId = String;
/// Name of an endpoint, which is a back end that runs requests.
pub type EndpointId = String;
/// Name of a pipeline.
pub type PipelineId = String;
/// Name of a service.
pub type ServiceId = String;
/// Name of an accelerator kind, as in the settings.
pub type AcceleratorKind = String;
/// Number of an attempt to run a request, used as a fencing token: a greater one fences out a smaller one.
///
/// The upper bits count attempts. The lower [`ATTEMPT_RANDOM_BITS`] are drawn at random by the entry that
/// started the request, so that two entries that increment the attempt of the same request at once do not use
/// the same number.
pub type Attempt = u64;
/// Number of random bits in an [`Attempt`].
pub const ATTEMPT_RANDOM_BITS: u32 = 22;
/// Execution of a request by one entry: the request's id and the random bits of its attempts, which stay the
/// same when the attempt is incremented.
pub type ExecutionId = (RequestUid, u64);

/// Returns the execution that an attempt of a request belongs to.
pub fn execution_id(uid: RequestUid, attempt: Attempt) -> ExecutionId {
    (uid, attempt % ATTEMPT_INCREMENT)
}

/// Difference between consecutive attempts of one execution.
pub const ATTEMPT_INCREMENT: Attempt = 1 << ATTEMPT_RANDOM_BITS;
/// Index of a token in a sequence, counted from the start of the prompt.
pub type Position = u32;
/// Identifier of a token in a model's vocabulary.
pub type TokenId = u32;

/// Identifier of a request in the fleet: a 128-bit hash of the organisation and the caller's request id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestUid(pub u64, pub u64);

impl RequestUid {
    /// Derives the identifier. Every VM derives the same one for a request; requests of two organisations that
    /// use the same id get different ones.
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

    /// Parses the output of the [`std::fmt::Display`] implementation.
    pub fn parse(text: &str) -> Option<Self> {
        let (first, second) = text.split_at_checked(16).filter(|(_, rest)| rest.len() == 16)?;
        let half = |text| u64::from_str_radix(text, 16).ok();
        Some(Self(half(first)?, half(second)?))
    }

    /// Returns a seed for sampling, the same on every VM.
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
    /// First layer of the range.
    pub first: u16,
    /// One past the last layer of the range.
    pub end: u16,
}

impl LayerRange {
    /// Number of layers.
    pub fn len(&self) -> usize {
        usize::from(self.end.saturating_sub(self.first))
    }

    /// Whether the range contains no layer.
    pub fn is_empty(&self) -> bool {
        self.end <= self.first
    }

    /// Number of layers that are in both ranges.
    pub fn overlap(&self, other: Self) -> usize {
        Self { first: self.first.max(other.first), end: self.end.min(other.end) }.len()
    }
}
