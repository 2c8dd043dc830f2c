//! The gateway: accepts callers' requests on every VM and forwards them to endpoints.
//!
//! It uses this project's own terms. For each platform, an adapter that implements [`wire::Wire`]
//! and [`store::MetadataStore`] translates the platform's formats.
//!
//! - [`callers`] admits requests, [`head_limit`] bounds their heads; [`calls`] and [`streams`] handle
//!   them; [`call_tracker`] tracks the answer times of calls.
//! - [`platform_view`] holds this VM's view of the platform, [`follow`] keeps it up to date.
//! - [`restarts`] discards the state of endpoints that restart, [`unreadable`] logs entries of
//!   endpoints that cannot be parsed.
//! - [`endpoints`] tracks the health of endpoints, [`probes`] checks them, [`reply_times`] says how
//!   long they are waited for; [`paths`] chooses among
//!   engines by the model of `sillbank_engines`.
//! - [`links`] tells lost links of this VM from lost endpoints, and connects through other VMs while
//!   links are lost.
//! - [`crashes`] distinguishes an endpoint that crashed during a request from a broken connection.
//! - [`quarantine`] refuses requests that crash their endpoints, [`quarantine_store`] keeps them in
//!   the store.
//! - [`pushback`] applies the limits and pauses that endpoints ask for, [`rate_leases`] divides
//!   limits among VMs.
//! - [`revision`] orders states of the store, also across restores from a copy.
//! - [`retry_budget`] decides whether a request may be sent again.
//! - [`load`] sheds requests by priority when not all fit.
//! - [`feed`] exchanges updates between VMs, [`hall`] tracks the leader and its followers,
//!   [`hall_reports`] holds what leaders report of engines, [`freshness`] bounds how stale that may
//!   be, [`sources`] decides who asks the store, [`backoff`] how often while it does not answer,
//!   [`turns`] which VMs of a hall come first.
//! - [`demand`] measures the demand on this VM, its hall and the fleet, [`demand_share`] compares
//!   them.
//! - [`placement`] assigns layers to engines under a lease.
//! - [`vm_limits`] measures how near the VM is to its own limits.
//! - [`delivery`] records what a caller saw of its stream; [`forecasts`] predicts it and learns
//!   from it; [`decisions`] and [`metrics`] report what was decided and how long it took;
//!   [`log_interval`] limits log lines.

#![forbid(unsafe_code)]

pub mod answers;
pub mod backoff;
pub mod call_tracker;
pub mod callers;
pub mod calls;
pub mod connection_pool;
pub mod counted_store;
pub mod crashes;
pub mod decisions;
pub mod delivery;
pub mod demand;
pub mod demand_share;
pub mod drain;
pub mod endpoints;
pub mod events;
pub mod feed;
pub mod follow;
pub mod forecasts;
pub mod freshness;
pub mod gateway;
pub mod hall;
pub mod hall_reports;
pub mod head_limit;
pub mod job;
pub mod lifecycle;
pub mod links;
pub mod load;
pub mod log_interval;
pub mod mechanisms;
pub mod metrics;
pub mod ops;
pub mod paths;
pub mod placement;
pub mod platform_view;
pub mod plugins;
pub mod probes;
pub mod pushback;
pub mod quarantine;
pub mod quarantine_store;
pub mod rate_leases;
pub mod reply_times;
pub mod restarts;
pub mod retries;
pub mod retry_budget;
pub mod revision;
pub mod sending;
pub mod settings;
pub mod shedding_metrics;
pub mod sources;
pub mod store;
pub mod streams;
pub mod turns;
pub mod unreadable;
pub mod vm_limits;
pub mod wire;

/// The types that most users need.
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
