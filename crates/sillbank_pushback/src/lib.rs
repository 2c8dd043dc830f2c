//! Pushback: what endpoints ask of VMs in their answers, and how VMs comply with it together.
//!
//! An endpoint may refuse a VM and ask it to pause, and an endpoint that leaves announces it. Each VM follows only the
//! pauses and announcements that it received itself.
//!
//! An overloaded endpoint sets a rate limit in requests per second for all VMs together. A leader allocates the
//! limit to the VMs that want to send, by their demand. A VM sends when its rate lease opens a permit. A rate lease
//! ends after a term unless it is renewed, and counts as in use until then. So the leases in force never exceed the
//! limit, in whatever order updates arrive.
//!
//! - [`PushbackTracker`] holds what a VM knows about endpoints that sent pushback; all senders consult it.
//! - [`LimitAllocator`] holds the leases that a leader has granted.
//!
//! This crate is pure: it uses no sockets, clock or threads.

#![forbid(unsafe_code)]

mod allocation;
mod limits;
mod permits;
mod reason;
mod request_rate;
mod signal;
mod tracker;
mod updates;

pub use allocation::{LimitAllocator, RATE_LEASE_TERM, RateLease, Requester};
pub use reason::{PushbackEvent, Withheld, WithheldReason};
pub use signal::{LimitSignal, Pushback, RetryAfterSignal};
pub use tracker::PushbackTracker;
pub use updates::{ChangeNumber, LimitUpdate, LimitUpdates, RateDemand, RateLeaseGrant};

/// Commonly used types.
pub mod prelude {
    pub use crate::{
        LimitAllocator, LimitSignal, LimitUpdate, LimitUpdates, Pushback, PushbackEvent,
        PushbackTracker, RateDemand, RateLease, RateLeaseGrant, Requester, RetryAfterSignal,
        Withheld,
    };
}
