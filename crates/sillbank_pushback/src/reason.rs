//! Changes of known pushback, and the reasons why requests are withheld from endpoints.

use sillbank_core::prelude::EndpointId;
use std::time::Duration;

/// A change of the known pushback, for logs.
#[derive(Debug, Clone, PartialEq)]
pub enum PushbackEvent {
    /// An endpoint set a limit or changed it, in requests per second.
    Limited(f64),
    /// An endpoint revoked its limit.
    Unlimited,
    /// A limit expired because no VM has received it for long.
    Lapsed,
    /// An endpoint refused this VM and asked it to pause for this time.
    Paused(Duration),
    /// An endpoint announced that it leaves.
    Leaves,
    /// A value sent by an endpoint could not be parsed; contains its name.
    Unreadable(&'static str),
}

/// An endpoint from which a request was withheld.
#[derive(Debug, Clone, PartialEq)]
pub struct Withheld {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Reason.
    pub reason: WithheldReason,
}

/// Reason why a request is withheld from an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub enum WithheldReason {
    /// The endpoint's limit leaves no permit to this VM at the moment.
    Limit {
        /// Requests per second that the endpoint accepts from all VMs.
        limit_per_s: f64,
        /// Requests per second of this VM.
        lease_per_s: f64,
        /// Whether this rate is from a lease granted by a leader.
        is_leased: bool,
        /// Time since the limit was received.
        age: Duration,
    },
    /// The endpoint refused this VM and its pause is not over.
    Paused {
        /// Remaining time of the pause.
        left: Duration,
    },
    /// The endpoint announced that it leaves.
    Leaving {
        /// Time since the last announcement.
        age: Duration,
    },
}

impl WithheldReason {
    /// Name of the reason in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Limit { .. } => "limit",
            Self::Paused { .. } => "rest",
            Self::Leaving { .. } => "leaving",
        }
    }

    /// Time after which a request may be sent again, if known.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Paused { left } => Some(*left),
            Self::Limit { .. } | Self::Leaving { .. } => None,
        }
    }
}

impl std::fmt::Display for WithheldReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Limit { limit_per_s, lease_per_s, is_leased, age } => {
                let from = if *is_leased { "leased from the leader" } else { "without a lease" };
                let age_ms = age.as_millis();
                write!(f, "its limit is {limit_per_s:.2} requests/s, received {age_ms} ms ago; ")?;
                write!(f, "this VM's rate is {lease_per_s:.2} requests/s, {from}")
            }
            Self::Paused { left } => {
                write!(f, "it refused this VM and stays paused for {} ms", left.as_millis())
            }
            Self::Leaving { age } => {
                write!(f, "it announced {} ms ago that it leaves", age.as_millis())
            }
        }
    }
}
