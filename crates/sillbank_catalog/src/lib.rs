//! The operator's configuration: routes, services, organisations and their keys.
//!
//! A [`Catalog`] is immutable and is replaced as a whole by a newer one. [`CatalogLease`] limits
//! how long a catalog may be used without being confirmed by the store.
//!
//! Pure: no sockets, no clock, no threads.

#![forbid(unsafe_code)]

mod catalog;
mod freshness;
mod route;
mod service;

pub use catalog::{Catalog, CatalogError, CatalogParts, CatalogVersion};
pub use freshness::CatalogLease;
pub use route::{Idempotency, Route, RouteName, StreamRules, Target, WorkKind};
pub use service::{AcceleratorFigures, CallerLimits, EngineFigures, Organisation, Service};

/// The types that most users need.
pub mod prelude {
    pub use crate::{
        AcceleratorFigures, CallerLimits, Catalog, CatalogError, CatalogLease, CatalogParts,
        CatalogVersion, EngineFigures, Idempotency, Organisation, Route, RouteName, Service,
        StreamRules, Target, WorkKind,
    };
}
