//! Claims of at-most-once calls, exchanged between entry, control and the holder of a key slot.

use serde::{Deserialize, Serialize};
use sillbank_core::prelude::*;

/// State of a claimed call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The call may be running.
    Open,
    /// The call ran.
    Ran,
    /// The call may have run.
    Unknown,
}

/// A claimed key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The claimed key.
    pub uid: RequestUid,
    /// Random number of the claim; only a caller that knows it may end the claim.
    pub claim: u64,
    /// Time of the claim, in milliseconds since the Unix epoch.
    pub claimed_ms: u64,
    /// State of the call.
    pub state: ClaimState,
}

/// The answer to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The call may run under this claim.
    Granted(u64),
    /// The key was claimed before; the call must not run.
    Taken(ClaimState),
    /// It cannot be determined whether the key was claimed before; the call must not run.
    Undetermined {
        /// Time until it can be determined, in milliseconds; `u64::MAX` if it never can.
        wait_ms: u64,
    },
    /// This VM does not hold the slot of the key.
    NotHolder,
    /// The holder of the slot is unknown or unreachable; the call must not run.
    Unavailable,
}
