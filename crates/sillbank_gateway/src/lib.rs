//! The gateway: takes callers' requests on every VM and relays them to endpoints.
//!
//! All that is decided here is decided in the project's own words. What a platform calls things is
//! translated by an adapter that implements [`wire::Wire`] and [`store::MetadataStore`].
//!
//! - [`callers`] admits a request; [`calls`] and [`streams`] carry it out; [`call_book`] keeps how long calls took.
//! - [`knowledge`] holds what is believed of the platform, [`follow`] keeps it up to date.
//! - [`lives`] ends what is kept of endpoints that start again, [`unreadable`] tells of entries that name none.
//! - [`endpoints`] holds what was seen of endpoints, [`probes`] asks them; [`paths`] chooses among
//!   engines by the model of `sillbank_engines`.
//! - [`crashes`] tells an endpoint that crashed under a request from a connection that broke.
//! - [`quarantine`] holds back requests that end their endpoints, [`quarantine_store`] keeps them in the store.
//! - [`pushback`] keeps what endpoints ask of VMs in their answers, [`limit_parts`] divides their limits among VMs.
//! - [`revision`] orders states of the store, also across restores from a copy.
//! - [`retry_budget`] says whether a request may be sent again.
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
pub mod boards;
pub mod call_book;
pub mod callers;
pub mod calls;
pub mod connection_pool;
pub mod counted_store;
pub mod crashes;
pub mod decisions;
pub mod delivery;
pub mod demand;
pub mod endpoints;
pub mod events;
pub mod feed;
pub mod follow;
pub mod forecasts;
pub mod freshness;
pub mod gateway;
pub mod hall;
pub mod job;
pub mod knowledge;
pub mod lifecycle;
pub mod limit_parts;
pub mod lives;
pub mod load;
pub mod mechanisms;
pub mod metrics;
pub mod ops;
pub mod paths;
pub mod placement;
pub mod plugins;
pub mod probes;
pub mod pushback;
pub mod quarantine;
pub mod quarantine_store;
pub mod retries;
pub mod retry_budget;
pub mod revision;
pub mod sending;
pub mod settings;
pub mod shedding_metrics;
pub mod sources;
pub mod store;
pub mod streams;
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
        CallerHead, EndpointReply, EngineReport, HeaderError, OrderOutcome, PlacementOrder,
        Refusal, ReleaseMode, ReplyPosition, SendContext, StalledRequest, TokenCounts,
        UnreadableReply, Wire,
    };
}
