//! Plumbing around `smol` and `hyper`: servers, clients, frames, logs and signals.
//!
//! All of it runs on one thread with a [`smol::LocalExecutor`]: a process needs no locks, and one
//! small VM has little more than a core to give.

#![forbid(unsafe_code)]

pub mod app;
pub mod body;
pub mod client;
pub mod clocks;
pub mod failures;
pub mod frames;
pub mod kept;
pub mod liveness;
pub mod metered;
pub mod serve;
pub mod signals;
pub mod telemetry;

/// The few types most users need.
pub mod prelude {
    pub use crate::app::{App, Plugin, run_program};
    pub use crate::body::{BrokenOff, Outbox, ReplyBody, json_reply, text_reply};
    pub use crate::client::{CallError, CallReply, Connection, HttpClient};
    pub use crate::kept::{KeptBytes, KeptShare};
    pub use crate::serve::{
        ConnectionNumber, Handler, ServerLimits, StopToken, Stopper, serve, serve_until,
    };
    pub use crate::signals::Signals;
}
