//! Claims of calls not to be repeated, between entry, control and the holder of a slot.

use serde::{Deserialize, Serialize};
use sillbank_core::prelude::*;

/// What is known of a claimed call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimEnd {
    /// It may be running.
    Open,
    /// It ran.
    Ran,
    /// It may have run.
    Unknown,
}

/// One claimed key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The key.
    pub uid: RequestUid,
    /// Drawn for each claim; only its holder may end it.
    pub claim: u64,
    /// When it was claimed, in milliseconds since 1970.
    pub claimed_ms: u64,
    /// What is known of the call.
    pub end: ClaimEnd,
}

/// The answer to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The call may run, under this claim.
    Granted(u64),
    /// The key was claimed before; the call does not run.
    Taken(ClaimEnd),
    /// It cannot be known whether the key was claimed before; the call does not run.
    CannotKnow {
        /// When it will be known, in milliseconds from now.
        wait_ms: u64,
    },
    /// This VM does not hold the slot.
    NotHolder,
    /// The slot's holder cannot be found or reached; the call does not run.
    Unavailable,
}
