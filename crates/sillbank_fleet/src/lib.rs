//! Which endpoints there are, by what the store lists, and how long a lost entry is believed.
//!
//! An endpoint is its id, never its address: an address may go to another endpoint. An entry that
//! leaves the store while the store was out of reach may only have lapsed, so its endpoint stays
//! usable until a short time after the store's return.
//!
//! An endpoint may start again under its id. News of the life before are left, and whoever keeps anything else
//! of an endpoint is told which ones have started again ([`Directory::take_renewed`]).
//!
//! A store may be restored from a copy that is older than what is known; what is known of endpoints that leave holds
//! on then.
//!
//! A directory numbers its changes, so that another VM is told only what it lacks.
//!
//! Pure: no sockets, no clock, no threads.

#![forbid(unsafe_code)]

mod difference;
mod directory;
mod lives;
mod reach;
mod record;
mod replication;
mod restore;

pub use difference::{ChangeNumber, Difference, MAX_REMOVALS};
pub use directory::{Change, Directory, Removal};
pub use lives::{LifeOrder, compare_lives};
pub use reach::{LAPSE_GRACE, StoreTrouble};
pub use record::{BornMs, EndpointRecord, Listing, Standing, UnreadableEntry};
pub use replication::{Recency, Replication};
pub use restore::RESTORE_HOLD;

/// The few types most users need.
pub mod prelude {
    pub use crate::{
        BornMs, Change, ChangeNumber, Difference, Directory, EndpointRecord, LAPSE_GRACE,
        LifeOrder, Listing, RESTORE_HOLD, Recency, Removal, Replication, Standing, StoreTrouble,
        UnreadableEntry, compare_lives,
    };
}
