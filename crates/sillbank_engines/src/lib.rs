//! The model of engines that decides: what a request asks of an engine, and what room an engine has.
//!
//! An engine's room is a vector: KV cache, time, and places where it is the first of a path. A
//! [`Demand`] says what a request takes of it, [`KvRoom`] what is left when the engine's report and
//! the sends that it cannot have seen are taken together, [`SendLog`] keeps these sends, and
//! [`work_ms`] and [`time_share`] say how much of its time is taken.
//!
//! Pure: no sockets, no clock, no threads, no chance.

#![forbid(unsafe_code)]

mod demand;
mod fullness;
mod room;
mod sends;
mod time;

pub use demand::Demand;
pub use fullness::{EngineRoom, HallRoom};
pub use room::{KvRoom, kv_capacity, memory_shape};
pub use sends::{SendLog, Unseen};
pub use time::{time_share, usual_run_ms, work_ms};

/// The few types most users need.
pub mod prelude {
    pub use crate::{
        Demand, EngineRoom, HallRoom, KvRoom, SendLog, Unseen, kv_capacity, memory_shape,
        time_share, usual_run_ms, work_ms,
    };
}
