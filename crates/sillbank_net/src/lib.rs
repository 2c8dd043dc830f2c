//! Networking and process utilities on top of `smol` and `hyper`: servers, clients, frames, logs and signals.
//!
//! Everything runs on one thread with a [`smol::LocalExecutor`], so a process needs no locks; a small VM has little
//! more than one core to offer.

#![forbid(unsafe_code)]

pub mod activity;
pub mod app;
pub mod body;
pub mod client;
pub mod clocks;
mod closing;
pub mod failures;
pub mod frames;
pub mod listen;
pub mod liveness;
pub mod memory_budget;
pub mod metered;
mod phase_timer;
pub mod process_memory;
pub mod reply_bounds;
pub mod running_timer;
pub mod serve;
pub mod signals;
pub mod stop;
pub mod telemetry;
pub mod timeouts;

/// The types that most users need.
pub mod prelude {
    pub use crate::app::{App, Plugin, run_program};
    pub use crate::body::{BodyAborted, Outbox, ReplyBody, json_reply, text_reply};
    pub use crate::client::{CallError, CallReply, Connection, HttpClient, LossCause};
    pub use crate::listen::listen;
    pub use crate::memory_budget::{MemoryBudget, MemoryReservation};
    pub use crate::reply_bounds::ReplyBounds;
    pub use crate::serve::{ConnectionNumber, Handler, ServerLimits, serve, serve_until};
    pub use crate::signals::{ProcessSignals, Signals};
    pub use crate::stop::{StopToken, Stopper};
    pub use crate::timeouts::{SharedTimeouts, Timeouts};
}
