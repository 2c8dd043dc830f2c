//! Beliefs of a VM about its own links to endpoints, and the choice of VMs that connect on its behalf.
//!
//! An endpoint that a VM cannot reach may have failed, or the VM has lost its link to it. Only an attempt of another VM at the
//! same time tells the two apart, so evidence of a lost link is a pair: the direct attempt failed, and the one through
//! another VM succeeded.
//!
//! - [`LinkMonitor`] holds the beliefs, by endpoint and by hall.
//! - [`RelaySet`] holds the VMs that may connect on behalf of this one.
//!
//! This crate is pure: it uses no sockets, clock or threads.

#![forbid(unsafe_code)]

mod hall_links;
mod monitor;
mod relays;

pub use hall_links::{HallLinkState, HallLinks};
pub use monitor::{HallChange, LinkMonitor, Transit};
pub use relays::RelaySet;

/// Commonly used types.
pub mod prelude {
    pub use crate::{HallChange, HallLinkState, LinkMonitor, RelaySet, Transit};
}
