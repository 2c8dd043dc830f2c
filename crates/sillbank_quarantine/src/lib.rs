//! Requests that end the endpoints that run them.
//!
//! A caller's next try has an id of its own and mostly comes to another VM. What tells that it is the same request
//! is its [`Fingerprint`].
//!
//! Pure: no sockets, no clock, no threads.

#![forbid(unsafe_code)]

mod fingerprint;

pub use fingerprint::{Fingerprint, RequestParts};

/// The few types most users need.
pub mod prelude {
    pub use crate::{Fingerprint, RequestParts};
}
