//! Distribution of settings: a store of versioned objects, which VMs watch the platform, and when a
//! VM pulls from a peer.
//!
//! Pure: no sockets, no clock, no threads.

#![forbid(unsafe_code)]

pub mod follow;
pub mod readiness;
pub mod store;

pub use follow::{FollowAction, Follower};
pub use readiness::{PeerView, may_serve};
pub use store::ObjectStore;
