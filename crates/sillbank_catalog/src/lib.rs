//! What the operator's newest configuration allows: routes, services, organisations and their keys.
//!
//! A [`Catalog`] is immutable; a newer one replaces it whole. [`KnowledgeLease`] says for how long
//! a catalog may be believed without hearing from the store again.
//!
//! Pure: no sockets, no clock, no threads.

#![forbid(unsafe_code)]

mod catalog;
mod freshness;
mod route;
mod service;

pub use catalog::{Catalog, CatalogError, CatalogParts, CatalogVersion};
pub use freshness::KnowledgeLease;
pub use route::{Repeat, Route, RouteName, StreamRules, Target, WorkKind};
pub use service::{AcceleratorFigures, CallerLimits, EngineFigures, Organisation, Service};

/// The few types most users need.
pub mod prelude {
    pub use crate::{
        AcceleratorFigures, CallerLimits, Catalog, CatalogError, CatalogParts, CatalogVersion,
        EngineFigures, KnowledgeLease, Organisation, Repeat, Route, RouteName, Service,
        StreamRules, Target, WorkKind,
    };
}
