//! What VMs tell one another: the hall's leader passes on what it knows.
//!
//! The holder of a hall's lease follows the store and asks the hall's engines. The other VMs of the
//! hall ask it instead of the store, which is counted and priced; leaders of halls ask each other.
//! What is passed on is configuration, changes of endpoints, how old their confirmation is, and what
//! engines report. A VM whose leader falls silent, or knows too little, follows the store itself; a leader that has
//! lost the store is told by such a VM of its hall.

mod client;
mod messages;
mod server;
mod source;

pub use client::follow_leader;
pub use messages::{
    EndpointUpdate, EngineState, FeedCursor, FeedReply, FeedRequest, FeedUpdate, HallRates,
    HallReport, Incarnation, NEARLY_FULL_PERMILLE,
};
pub use server::serve_feed;
pub use source::follow_source;
