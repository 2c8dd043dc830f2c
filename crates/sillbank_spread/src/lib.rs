//! How settings spread: a store whose versions only rise, who watches the platform, and when to
//! ask a peer.
//!
//! Pure: no sockets, no clock, no threads.

#![forbid(unsafe_code)]

pub mod follow;
pub mod settling;
pub mod store;

pub use follow::{FollowAction, Follower};
pub use settling::{PeerView, may_serve};
pub use store::ObjectStore;
