//! The part of the platform's object API that sillbank uses.
//!
//! - `GET /objects/KEY` returns an [`Object`] or 404.
//! - `PUT /objects/KEY` with `If-Match: VERSION` or `If-None-Match: *` returns the new version,
//!   or 412 with the current object.
//! - `DELETE /objects/KEY` with `If-Match: VERSION` deletes the object.
//! - `GET /list?prefix=P` returns a [`Listing`].
//! - `GET /watch?prefix=P&after=VERSION&wait_ms=N` returns a [`Listing`] of the changed objects, or an
//!   empty one when the wait is over. Each call counts once.
//! - `GET /vms` returns the list of VMs, which may be stale.
//!
//! Versions come from one counter of the store and only increase.

use serde::{Deserialize, Serialize};

/// Version of an object, from one increasing counter of the store.
pub type Version = u64;

/// A version of a stored object. A deletion is a version too.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Key of the object.
    pub key: String,
    /// Version number.
    pub version: Version,
    /// Whether this version is a deletion.
    pub deleted: bool,
    /// JSON text, empty for a deletion.
    pub value: String,
}

/// Objects and the version of the store at which they were read.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Version of the store.
    pub version: Version,
    /// Objects in increasing order of version.
    pub objects: Vec<Object>,
}

/// A VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// Name of the VM.
    pub vm: String,
    /// Whether the platform is about to remove it.
    pub leaving: bool,
}
