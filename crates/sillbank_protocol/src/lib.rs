//! Messages between sillbank's processes, and the types of the outside interfaces it speaks.
//!
//! - [`engine`]: steps to model engines (JSON lines over one streamed HTTP exchange).
//! - [`gossip`]: datagrams between control processes (postcard, sealed).
//! - [`platform`]: the platform's object API (JSON over HTTP).
//! - [`once`]: claims of calls not to be repeated.
//! - [`peer`]: between entry and control, and between control processes (postcard).

#![forbid(unsafe_code)]

pub mod engine;
pub mod gossip;
pub mod once;
pub mod peer;
pub mod platform;
