//! Exchange of updates between VMs, so that few of them call the store, as each call is billed.
//!
//! The holder of a hall's lease follows the store and polls the hall's engines. The other VMs of
//! the hall follow it instead of the store; leaders of halls follow each other. Passed on are the
//! configuration, changes of endpoints, the age of their confirmation, and reports of engines. A VM
//! whose leader does not answer or is stale follows the store itself. A leader that has lost the
//! store is updated by such a VM of its hall.

mod client;
mod followed_halls;
mod messages;
mod server;
mod source;

pub use client::follow_leader;
pub use followed_halls::{FollowedHalls, MAX_FOLLOWED_HALLS};
pub use messages::{
    EndpointUpdate, EngineState, FeedCursor, FeedReply, FeedRequest, FeedUpdate, HallRates,
    HallReport, Incarnation, NEARLY_FULL_PERMILLE,
};
pub use server::serve_feed;
pub use source::follow_source;
