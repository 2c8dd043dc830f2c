//! What a store that was restored from a copy may not undo.
//!
//! Its entries may be older than what is known: an endpoint that said that it leaves is listed as ready, one that has left is
//! listed again. Within a life an endpoint does not come back from leaving, so such entries are held back. Endpoints
//! write their entries again and those of dead ones lapse; what is still listed after that is believed.

use crate::difference::ChangeNumber;
use sillbank_core::prelude::*;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// How long entries are held back after a restore: longer than the entry of an endpoint that has ended takes to lapse.
pub const RESTORE_HOLD: Duration = Duration::from_secs(10);

/// Entries that a restored store lists and that are not believed yet.
#[derive(Debug)]
pub(crate) struct RestoreGuard {
    /// Newest change of the directory before the restore was noticed.
    pub(crate) before: ChangeNumber,
    until: Instant,
    held: BTreeSet<EndpointId>,
}

impl RestoreGuard {
    /// A guard from when a restore is noticed.
    pub(crate) fn new(now: Instant, before: ChangeNumber) -> Self {
        Self { before, until: now + RESTORE_HOLD, held: BTreeSet::new() }
    }

    /// Holds an entry back; answers whether it is the first one of its endpoint.
    pub(crate) fn hold(&mut self, id: &str) -> bool {
        self.held.insert(id.to_owned())
    }

    /// Whether any entry was held back.
    pub(crate) fn has_held(&self) -> bool {
        !self.held.is_empty()
    }

    /// Whether entries are held back no longer.
    pub(crate) fn is_over(&self, now: Instant) -> bool {
        now >= self.until
    }
}
