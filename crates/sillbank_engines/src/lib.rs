//! Model of the load and capacity of engines, on which routing decisions are based.
//!
//! An engine is limited by its KV cache, its time, and its slots as first engine of a path. A
//! [`RequestSize`] says how much of these a request uses. [`KvUsage`] combines an engine's report with
//! the sends that the report cannot include yet, which [`SendLog`] keeps. [`request_work_ms`] and
//! [`time_share`] estimate how much of the engine's time is used. [`forecast`] predicts what the caller
//! of one more stream on a path will see, and [`max_requests_for_pause`] how many requests an engine
//! can run without exceeding the pause objective.
//!
//! The crate is pure: no sockets, clocks, threads or random numbers.

#![forbid(unsafe_code)]

mod forecast;
mod forecast_correction;
mod hall_capacity;
mod kv_cache;
mod passes;
mod request_size;
mod send_log;
mod time_share;

pub use forecast::{EngineLoad, ForecastTimes, events_of, forecast, max_requests_for_pause};
pub use forecast_correction::ForecastCorrection;
pub use hall_capacity::{EngineCapacity, HallCapacity};
pub use kv_cache::{KvUsage, kv_capacity, memory_figures};
pub use request_size::RequestSize;
pub use send_log::{SendLog, UnreportedLoad};
pub use time_share::{request_work_ms, time_share, usual_run_ms};

/// The types that most users need.
pub mod prelude {
    pub use crate::{
        EngineCapacity, EngineLoad, ForecastCorrection, ForecastTimes, HallCapacity, KvUsage,
        RequestSize, SendLog, UnreportedLoad, events_of, forecast, kv_capacity,
        max_requests_for_pause, memory_figures, request_work_ms, time_share, usual_run_ms,
    };
}
