//! The platform's object API, as far as sillbank uses it.
//!
//! - `GET /objects/KEY` answers an [`Object`] or 404.
//! - `PUT /objects/KEY` with `If-Match: VERSION` or `If-None-Match: *` answers the new version,
//!   or 412 with the object that is there.
//! - `DELETE /objects/KEY` with `If-Match: VERSION`.
//! - `GET /list?prefix=P` answers a [`Listing`].
//! - `GET /watch?prefix=P&after=VERSION&wait_ms=N` answers a [`Listing`] of what changed, or an
//!   empty one after the wait. Each call counts once.
//! - `GET /vms` answers the list of VMs, which lags.
//!
//! Versions are drawn from one counter of the store and only rise.

use serde::{Deserialize, Serialize};

/// Version of an object, from one rising counter of the store.
pub type Version = u64;

/// A stored object. A deletion is kept as a version too.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Key.
    pub key: String,
    /// Version of this state.
    pub version: Version,
    /// Whether this state is a deletion.
    pub deleted: bool,
    /// JSON text, empty for a deletion.
    pub value: String,
}

/// Objects and the store's version they were read at.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The store's version.
    pub version: Version,
    /// Objects, in rising order of version.
    pub objects: Vec<Object>,
}

/// A VM on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// Name.
    pub vm: String,
    /// Whether the platform is about to take it away.
    pub leaving: bool,
}
