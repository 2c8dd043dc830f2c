//! What follows from crashes for a request.

use crate::prompt_parts::PartId;
use std::time::Duration;

/// What a request is held back for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldCause {
    /// The request itself, as it is.
    Request,
    /// A part of its prompt, in whatever request.
    Part(PartId),
}

/// A request is held back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hold {
    /// Its cause.
    pub cause: HoldCause,
    /// Endpoints that crashed.
    pub crashes: usize,
    /// Time since the last of them crashed.
    pub last_crash_age: Duration,
    /// Time after which the request may be sent again.
    pub retry_after: Duration,
}

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may.
    Admit,
    /// It may, and shows whether its cause still crashes endpoints. Others that are held back for the same wait for
    /// the result.
    Try,
    /// It must not be sent.
    Hold(Hold),
}
