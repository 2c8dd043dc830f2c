//! The gateway: takes callers' requests on every VM and relays them to endpoints.
//!
//! All that is decided here is decided in the project's own words. What a platform calls things is
//! translated by an adapter that implements [`wire::Wire`] and [`store::MetadataStore`].
//!
//! - [`callers`] admits a request; [`calls`] and [`streams`] carry it out; [`call_tracker`] keeps how long calls took.
//! - [`platform`] holds what is believed of the platform, [`follow`] keeps it up to date.
//! - [`lives`] ends what is kept of endpoints that start again, [`unreadable`] tells of entries that name none.
//! - [`endpoints`] holds what was seen of endpoints, [`doctor`] asks them; [`paths`] chooses among
//!   engines by the model of `sillbank_engines`.
//! - [`ends`] tells an endpoint that ended under a request from a connection that broke.
//! - [`quarantine`] holds back requests that end their endpoints, [`quarantine_store`] keeps them in the store.
//! - [`pushback`] keeps what endpoints ask of VMs in their answers, [`limit_parts`] divides their limits among VMs.
//! - [`revision`] orders states of the store, also across restores from a copy.
//! - [`repeats`] says whether a request may be sent again.
//! - [`load`] says who is let in when not all fit.
//! - [`feed`] passes knowledge on between VMs, [`hall`] keeps who leads, [`boards`] what leaders tell of
//!   engines, [`freshness`] says for how long that is enough, [`sources`] who asks the store, [`backoff`] how
//!   often while it does not answer.
//! - [`demand`] counts what this VM is asked for, and adds up what the fleet is.
//! - [`placement`] gives engines their layers under a lease.
//! - [`vm_limits`] says how near the VM is to limits of its own.
//! - [`delivery`] keeps what a caller saw of its stream; [`forecasts`] tells it beforehand and learns from it; [`decisions`] and [`metrics`] tell what was decided and how long it took.

#![forbid(unsafe_code)]

pub mod answers;
pub mod backoff;
pub mod call_tracker;
pub mod callers;
pub mod calls;
pub mod channels;
pub mod counted_store;
pub mod decisions;
pub mod delivery;
pub mod demand;
pub mod doctor;
pub mod endpoints;
pub mod ends;
pub mod events;
pub mod feed;
pub mod follow;
pub mod forecasts;
pub mod freshness;
pub mod gateway;
pub mod hall;
pub mod hall_reports;
pub mod job;
pub mod ladder_metrics;
pub mod lifecycle;
pub mod limit_parts;
pub mod load;
pub mod mechanisms;
pub mod metrics;
pub mod operate;
pub mod paths;
pub mod placement;
pub mod platform_view;
pub mod plugins;
pub mod pushback;
pub mod quarantine;
pub mod quarantine_store;
pub mod repeats;
pub mod restarts;
pub mod revision;
pub mod sending;
pub mod settings;
pub mod sources;
pub mod store;
pub mod streams;
pub mod tries;
pub mod unreadable;
pub mod vm_limits;
pub mod wire;

/// The few types most users need.
pub mod prelude {
    pub use crate::gateway::Gateway;
    pub use crate::plugins::run;
    pub use crate::revision::{Era, Revision};
    pub use crate::settings::GatewaySettings;
    pub use crate::store::{CatalogRead, MetadataStore, QuarantineObject, Snapshot, StoreError};
    pub use crate::wire::{
        BadHead, CallerHead, EndpointReply, EngineReport, GiveUp, OrderEnd, PlaceOrder, Refusal,
        ReplyPlace, Sending, StalledRequest, TokenCounts, Unreadable, Wire,
    };
}
