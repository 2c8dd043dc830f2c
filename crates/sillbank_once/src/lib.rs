//! At-most-once execution of calls that must not be repeated.
//!
//! A key belongs to a slot. One VM at a time holds the lease of a slot and keeps the claimed keys
//! of the slot in memory. A call runs only after its key was claimed there. A holder that took a
//! slot over without the keys of the previous holder refuses every key that it cannot prove to be
//! newer, until no retry with an older key can be in flight.
//!
//! Pure: no sockets, no clock, no threads.

#![forbid(unsafe_code)]

pub mod claims;
pub mod key;
pub mod slot;

pub use claims::Claims;
pub use key::{CallKey, SlotId, mint, slot_names};
pub use sillbank_protocol::once::{Claim, ClaimAnswer, ClaimState};
pub use slot::{Slot, SlotAcquisition};
