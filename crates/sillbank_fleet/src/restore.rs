//! Keeps a store that was restored from a copy from bringing back endpoints that leave.
//!
//! The copy's entries may be older than what is known: an endpoint that announced that it leaves is
//! listed as ready, one that has left is listed again. An endpoint does not return from leaving
//! within one incarnation, so such entries are held back. Meanwhile live endpoints write their
//! entries again and those of dead ones lapse; what is still listed afterwards is accepted.

use crate::difference::ChangeNumber;
use sillbank_core::prelude::*;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// How long entries are held back after a restore: longer than the entry of a dead endpoint takes
/// to lapse.
pub const RESTORE_HOLD: Duration = Duration::from_secs(10);

/// Entries that a restored store lists and that are not accepted yet.
#[derive(Debug)]
pub(crate) struct RestoreGuard {
    /// Newest change of the directory before the restore was noticed.
    pub(crate) newest_before: ChangeNumber,
    until: Instant,
    held_back: BTreeSet<EndpointId>,
}

impl RestoreGuard {
    /// Creates a guard for a restore that is noticed now.
    pub(crate) fn new(now: Instant, newest_before: ChangeNumber) -> Self {
        Self { newest_before, until: now + RESTORE_HOLD, held_back: BTreeSet::new() }
    }

    /// Holds an entry back; returns whether it is the first one of its endpoint.
    pub(crate) fn hold_back(&mut self, id: &str) -> bool {
        self.held_back.insert(id.to_owned())
    }

    /// Whether any entry was held back.
    pub(crate) fn has_held_back(&self) -> bool {
        !self.held_back.is_empty()
    }

    /// Whether the hold has ended.
    pub(crate) fn is_expired(&self, now: Instant) -> bool {
        now >= self.until
    }
}
