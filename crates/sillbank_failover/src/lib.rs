//! Decides what happens to an answer whose endpoint is silent, or lost.
//!
//! An answer is ended by its endpoint, its caller or its time, by nothing else. An endpoint that is
//! silent for a second or so may still go on, so silence alone closes no connection: another
//! endpoint is looked for meanwhile, and whichever has the next event first continues the answer.
//! What stands in the way of another endpoint (no room, no retry budget, no path) is waited for.
//! Only the end of the endpoint's own connection loses the answer there, and only a reason that no time
//! changes then ends it. The connection is closed earlier only where the answer can be sent again at
//! that moment over a path that starts at the same endpoint.
//!
//! - [`Failover`] holds the state of one answer and says what to do next.
//! - [`Refusal`] is why no other endpoint took it.
//!
//! This crate is pure: it uses no sockets, clock or threads. Times and random numbers are arguments.

#![forbid(unsafe_code)]

mod failover;
mod refusal;

pub use failover::{AnswerState, Failover, Step};
pub use refusal::Refusal;

/// Commonly used types.
pub mod prelude {
    pub use crate::{AnswerState, Failover, Refusal, Step};
}
