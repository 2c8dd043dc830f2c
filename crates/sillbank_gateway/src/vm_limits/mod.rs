//! How near a VM is to limits of its own, and what it does about it before it chokes.
//!
//! [`LimitMeter`] turns what a VM uses into one figure, without a network or a clock of its own; [`watch_limits`]
//! reads what is used ten times a second. A VM that is near a limit tells strength 0, so that another leads
//! its hall, and calls itself not ready while enough others are fit. One that is at a limit refuses new
//! requests at once: a request that is read and then held up costs its caller more than one that comes back.

mod meter;
mod watch;

pub use meter::{LimitMeter, Pressures, Standing, VmCapacity, VmLimit, VmReading};
pub use watch::watch_limits;

/// Whether enough other VMs of a hall are fit for one to call itself not ready: half of all. A balancer
/// that finds fewer takes all of them, and those that are left would have more than twice their callers.
pub fn others_suffice(fit_others: u32, hall_vms: u32) -> bool {
    fit_others > 0 && fit_others * 2 >= hall_vms
}
