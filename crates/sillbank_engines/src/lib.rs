//! The model of engines that decides: what a request asks of an engine, and what room an engine has.
//!
//! An engine's room is a vector: KV cache, time, and places where it is the first of a path. A
//! [`Demand`] says what a request takes of it, [`KvRoom`] what is left when the engine's report and
//! the sends that it cannot have seen are taken together, [`SendLog`] keeps these sends, and
//! [`work_ms`] and [`time_share`] say how much of its time is taken. [`forecast`] tells what the caller of
//! one more stream on a path will see, [`requests_in_time`] how many requests an engine carries in time.
//!
//! Pure: no sockets, no clock, no threads, no chance.

#![forbid(unsafe_code)]

mod correction;
mod demand;
mod forecast;
mod fullness;
mod passes;
mod room;
mod sends;
mod time;

pub use correction::Correction;
pub use demand::Demand;
pub use forecast::{EngineLoad, Predicted, forecast, requests_in_time};
pub use fullness::{EngineRoom, HallRoom};
pub use room::{KvRoom, kv_capacity, memory_shape};
pub use sends::{SendLog, Unseen};
pub use time::{time_share, usual_run_ms, work_ms};

/// The few types most users need.
pub mod prelude {
    pub use crate::{
        Correction, Demand, EngineLoad, EngineRoom, HallRoom, KvRoom, Predicted, SendLog, Unseen,
        forecast, kv_capacity, memory_shape, requests_in_time, time_share, usual_run_ms, work_ms,
    };
}
