//! What changed in what endpoints ask, and why a request is not sent to one.

use sillbank_core::prelude::EndpointId;
use std::time::Duration;

/// A change of what is known, for logs.
#[derive(Debug, Clone, PartialEq)]
pub enum PushbackEvent {
    /// An endpoint names a limit, or another one than before, in requests a second.
    Limited(f64),
    /// An endpoint that named one takes what comes again.
    Unlimited,
    /// No VM has heard of an endpoint's limit for so long that it holds no more.
    Lapsed,
    /// An endpoint turned this VM away and wants nothing from it for so long.
    Rests(Duration),
    /// An endpoint says that it leaves.
    Leaves,
    /// An endpoint asked for something that cannot be read: for what.
    Unreadable(&'static str),
}

/// An endpoint that a request was not sent to.
#[derive(Debug, Clone, PartialEq)]
pub struct Withheld {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Why.
    pub reason: WithheldReason,
}

/// Why a request is not sent to an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub enum WithheldReason {
    /// Its limit leaves no permit to this VM at the moment.
    Limit {
        /// Requests a second that the endpoint takes from all VMs.
        limit_per_s: f64,
        /// Requests a second of this VM.
        part_per_s: f64,
        /// Whether a leader gave this part.
        is_given: bool,
        /// Time since the limit was heard.
        age: Duration,
    },
    /// It turned this VM away and wants nothing from it yet.
    Rest {
        /// Time that is left of its rest.
        left: Duration,
    },
    /// It says that it leaves.
    Leaving {
        /// Time since it last said so.
        age: Duration,
    },
}

impl WithheldReason {
    /// Name in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Limit { .. } => "limit",
            Self::Rest { .. } => "rest",
            Self::Leaving { .. } => "leaving",
        }
    }

    /// Time after which a request may be sent there again, if that is known.
    pub fn ends_in(&self) -> Option<Duration> {
        match self {
            Self::Rest { left } => Some(*left),
            Self::Limit { .. } | Self::Leaving { .. } => None,
        }
    }
}

impl std::fmt::Display for WithheldReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Limit { limit_per_s, part_per_s, is_given, age } => {
                let from = if *is_given { "given by the leader" } else { "without a leader" };
                let age_ms = age.as_millis();
                write!(f, "its limit is {limit_per_s:.2} a second, heard {age_ms} ms ago; ")?;
                write!(f, "this VM's part is {part_per_s:.2}, {from}")
            }
            Self::Rest { left } => {
                write!(f, "it turned this VM away and rests for {} ms more", left.as_millis())
            }
            Self::Leaving { age } => {
                write!(f, "it said {} ms ago that it leaves", age.as_millis())
            }
        }
    }
}
