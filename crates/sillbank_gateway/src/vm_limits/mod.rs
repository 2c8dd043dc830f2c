//! Use of a VM's own limits, and load shedding before it is overloaded.
//!
//! [`LimitMeter`] computes the use of the limits without a network or clock; [`monitor_limits`]
//! takes a reading ten times a second. A VM that is near a limit reports leader score 0, so that
//! another one leads its hall, and reports not ready while enough others are fit. A VM at a limit
//! refuses new requests at once: a request that is read and then delayed costs its caller more than
//! one that is retried elsewhere.
//!
//! [`monitor_process_memory`] logs when the whole process comes near its memory limit.

mod meter;
mod monitor;
mod process_memory;

pub use meter::{LimitMeter, LimitState, Pressures, VmCapacity, VmLimit, VmReading};
pub use monitor::monitor_limits;
pub use process_memory::{MemoryAlarm, monitor_process_memory};

/// Whether enough other VMs of a hall are fit for one to report not ready: at least half of all. A
/// balancer that finds fewer uses all of them, and the remaining ones would get more than twice
/// their callers.
pub fn others_suffice(fit_others: u32, hall_vms: u32) -> bool {
    fit_others > 0 && fit_others * 2 >= hall_vms
}
