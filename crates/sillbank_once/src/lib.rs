//! Calls not to be repeated run at most once.
//!
//! A key belongs to a slot; one VM at a time holds the lease of a slot and keeps the slot's
//! claimed keys in memory. A call runs only after its key was claimed there. A holder that took
//! a slot over without the keys of the one before refuses every key it cannot prove to be newer,
//! until no try at an older one can be on its way any more.
//!
//! Pure: no sockets, no clock, no threads.

#![forbid(unsafe_code)]

pub mod claims;
pub mod key;
pub mod slot;

pub use claims::Claims;
pub use key::{CallKey, SlotId, mint, slot_names};
pub use sillbank_protocol::once::{Claim, ClaimAnswer, ClaimState};
pub use slot::{Slot, Tenure};
