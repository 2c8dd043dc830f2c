//! Which endpoints serve a request, and which are to be left alone.
//!
//! Pure: no sockets, no clock, no threads. Time comes in as [`std::time::Instant`], chance as a
//! seeded generator.

#![forbid(unsafe_code)]

pub mod chain;
pub mod cost;
pub mod endpoint;
pub mod health;
pub mod subset;
pub mod table;

/// The few types most users need.
pub mod prelude {
    pub use crate::chain::{AnyPolicy, ChainLink, ChainPolicy, ChainRequest, choose_chain};
    pub use crate::endpoint::{Endpoint, EndpointSpec};
    pub use crate::health::{Health, HealthEvent, HealthLimits, HealthState};
    pub use crate::table::{EndpointSlot, EndpointTable};
}
