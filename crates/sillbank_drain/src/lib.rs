//! Decides what a VM that was asked to stop still does: which requests it takes, and when it exits.
//!
//! A request that it takes is answered whole, so it takes what it can finish within its grace period, and refuses the
//! rest at once: another VM that stays serves it from its first event to its last. What has no answer when the grace
//! period ends gets a reply before the process exits.
//!
//! - [`DrainPlan`] holds the times of one stop and decides.
//! - [`Demand`] is what a request may need, [`Experience`] what earlier answers needed.
//!
//! This crate is pure: it uses no sockets, clock or threads. Times are arguments.

#![forbid(unsafe_code)]

mod demand;
mod experience;
mod plan;

pub use demand::{Certainty, Demand, StreamPace};
pub use experience::{Answer, Experience, RecentValues};
pub use plan::{Admission, DrainPlan, DrainStep, OpenWork, Others};

/// Commonly used types.
pub mod prelude {
    pub use crate::{
        Admission, Answer, Certainty, Demand, DrainPlan, DrainStep, Experience, OpenWork, Others,
        RecentValues, StreamPace,
    };
}
