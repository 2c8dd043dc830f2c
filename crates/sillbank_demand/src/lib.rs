//! What a fleet is asked for: requests offered, let in, refused and returning, by service and rank.
//!
//! A VM sees a few requests a second, too few to tell a rate by rank within a second. Each VM therefore
//! counts its own in a [`DemandCounter`] and tells its leader a [`DemandReport`]; the leader's
//! [`DemandSum`] adds up what the VMs of its hall told to [`DemandRate`]s, which it passes on.
//!
//! A report is a state, not a change: all that the VM counted in about the last second. One that is lost
//! is made good by the next, one that comes twice or out of order changes nothing, and a leader that
//! has just begun knows all after it has heard each VM once.
//!
//! Pure: no sockets, no clock, no threads, no chance.

#![forbid(unsafe_code)]

mod counter;
mod news;
mod route_times;
mod sum;

pub use counter::{DemandCounter, Event};
pub use news::{Counts, DemandNews, DemandRate, DemandReport, Incarnation, add_rates};
pub use route_times::RouteTimes;
pub use sum::DemandSum;

use std::time::Duration;

/// Rank of a request; 0 is the most urgent.
pub type Rank = u8;

/// Ranks of a service that are told apart. The product gives ranks from 0 to 9; with more, counters,
/// messages and queues would grow with what callers or configurations make up.
pub const MAX_RANKS: usize = 16;
/// Services that are told apart; the sites known have 2 to 5.
pub const MAX_SERVICES: usize = 32;
/// Time over which rates are taken. A crowd is to be seen within a second of its beginning.
pub const WINDOW: Duration = Duration::from_millis(1_000);
/// How long figures are believed: a VM asks its leader each 400 ms at least, so four asks in a row are
/// lost before it counts as silent.
pub const BELIEVED: Duration = Duration::from_millis(2_000);

/// The rank under which a rank is counted: ranks beyond [`MAX_RANKS`] count as the least urgent.
pub fn counted_rank(rank: Rank) -> Rank {
    rank.min(MAX_RANKS as Rank - 1)
}

/// The few types most users need.
pub mod prelude {
    pub use crate::{
        DemandCounter, DemandNews, DemandRate, DemandReport, DemandSum, Event, Rank, RouteTimes,
        counted_rank,
    };
}
