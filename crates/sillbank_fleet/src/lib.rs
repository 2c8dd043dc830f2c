//! The directory of endpoints that the store lists, and how long an entry that is missing is kept.
//!
//! An endpoint is identified by its id, never by its address, which may be reassigned to another
//! endpoint. An entry that disappears while the store is unreachable may only have lapsed, so its
//! endpoint stays usable for a short grace period after the store's return.
//!
//! An endpoint may restart under the same id. Updates about an older incarnation are ignored, and
//! other state kept for the endpoint can be dropped: [`Directory::take_restarted`] lists the
//! endpoints that have restarted.
//!
//! The store may be restored from a copy that is older than what is known. Endpoints known to be
//! leaving or gone then stay so for a while, whatever the copy lists.
//!
//! A directory numbers its changes, so that another VM only receives the ones it lacks.
//!
//! Pure: no sockets, no clock, no threads.

#![forbid(unsafe_code)]

mod difference;
mod directory;
mod incarnations;
mod reachability;
mod record;
mod replication;
mod restore;

pub use difference::{ChangeNumber, Difference, MAX_TOMBSTONES};
pub use directory::{Change, Directory, Removal};
pub use incarnations::{IncarnationOrder, compare_incarnations};
pub use reachability::{LAPSE_GRACE, StoreFailure};
pub use record::{
    BornMs, EndpointRecord, Listing, MAX_NAME_BYTES, Standing, UnreadableEntry, abbreviate_id,
};
pub use replication::{Recency, Replication};
pub use restore::RESTORE_HOLD;

/// The types that most users need.
pub mod prelude {
    pub use crate::{
        BornMs, Change, ChangeNumber, Difference, Directory, EndpointRecord, IncarnationOrder,
        LAPSE_GRACE, Listing, RESTORE_HOLD, Recency, Removal, Replication, Standing, StoreFailure,
        UnreadableEntry, compare_incarnations,
    };
}
