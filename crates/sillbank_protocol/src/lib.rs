//! Messages between the processes of sillbank, and the types of the external interfaces that it uses.
//!
//! - [`engine`]: steps to model engines (JSON lines over one streamed HTTP exchange).
//! - [`gossip`]: datagrams between control processes (postcard, authenticated).
//! - [`platform`]: object API of the platform (JSON over HTTP).
//! - [`once`]: claims of at-most-once calls.
//! - [`peer`]: messages between entry and control, and between control processes (postcard).

#![forbid(unsafe_code)]

pub mod engine;
pub mod gossip;
pub mod once;
pub mod peer;
pub mod platform;
