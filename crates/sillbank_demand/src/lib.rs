//! Demand on a fleet: requests offered, admitted, refused and retried, by service and rank.
//!
//! A VM sees a few requests a second, too few to measure a rate by rank within a second. Each VM therefore
//! counts its own requests in a [`DemandCounter`] and sends its leader a [`DemandReport`]. The leader's
//! [`DemandAggregator`] adds up the reports of the VMs of its hall to [`DemandRate`]s and passes these
//! on.
//!
//! A report is a state, not a change: it contains all that the VM counted in about the last second. A
//! lost report is made up for by the next, duplicates and reordering have no effect, and a new leader
//! has complete data once it has heard from each VM.
//!
//! The crate is pure: no sockets, clocks, threads or random numbers.

#![forbid(unsafe_code)]

mod aggregator;
mod counter;
mod report;
mod retry_detector;

pub use aggregator::DemandAggregator;
pub use counter::{DemandCounter, DemandEvent};
pub use report::{Counts, DemandEntry, DemandRate, DemandReport, Incarnation, add_rates};
pub use retry_detector::RetryDetector;

use std::time::Duration;

/// Rank of a request; 0 is the most urgent.
pub type Rank = u8;

/// Maximum number of ranks of a service that are counted separately. The product has ranks from 0 to 9.
/// Without a limit, callers or configurations could make counters, messages and queues grow.
pub const MAX_RANKS: usize = 16;
/// Maximum number of services that are counted separately; real deployments have 2 to 5.
pub const MAX_SERVICES: usize = 32;
/// Time over which rates are taken. A burst must be detected within a second.
pub const WINDOW: Duration = Duration::from_millis(1_000);
/// Time after which a report is stale. A VM asks its leader at least every 400 ms, so it counts as silent
/// only when four requests in a row are lost.
pub const FRESH_FOR: Duration = Duration::from_millis(2_000);

/// The rank under which a rank is counted: ranks beyond [`MAX_RANKS`] count as the least urgent.
pub fn clamp_rank(rank: Rank) -> Rank {
    rank.min(MAX_RANKS as Rank - 1)
}

/// The types that most users need.
pub mod prelude {
    pub use crate::{
        DemandAggregator, DemandCounter, DemandEntry, DemandEvent, DemandRate, DemandReport, Rank,
        RetryDetector, clamp_rank,
    };
}
