//! Endpoint health and the choice of the endpoints that serve a request.
//!
//! Uses no sockets, clocks or threads: callers pass in the time as [`std::time::Instant`] and a seeded random
//! number generator.

#![forbid(unsafe_code)]

pub mod chain;
pub mod cost;
pub mod endpoint;
pub mod health;
pub mod subset;
pub mod table;

/// The types that most users need.
pub mod prelude {
    pub use crate::chain::{AnyPolicy, ChainLink, ChainPolicy, ChainRequest, choose_chain};
    pub use crate::endpoint::{Endpoint, EndpointSpec};
    pub use crate::health::{Health, HealthEvent, HealthLimits, HealthState};
    pub use crate::table::{EndpointSlot, EndpointTable};
}
