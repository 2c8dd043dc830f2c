//! Logs endpoint entries that cannot be read: each version once, in a bounded number of lines.

use sillbank_core::prelude::*;
use sillbank_fleet::prelude::*;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of entries that are remembered as logged, so that each version of them is logged
/// once. Further ones are only counted: whoever writes that many can be found by the lines already
/// there.
pub const MAX_LOGGED_ENTRIES: usize = 256;

/// Entries that cannot be read and have been logged.
#[derive(Debug, Default)]
pub struct UnreadableEntries {
    logged: RefCell<BTreeMap<EndpointId, Option<u64>>>,
    is_overflow_logged: Cell<bool>,
}

impl UnreadableEntries {
    /// Records an entry and logs it, within bounds. Returns whether this version of it is new.
    pub fn record(&self, entry: &UnreadableEntry) -> bool {
        let mut logged = self.logged.borrow_mut();
        if logged.get(&entry.id) == Some(&entry.version) {
            return false;
        }
        if logged.len() < MAX_LOGGED_ENTRIES || logged.contains_key(&entry.id) {
            logged.insert(entry.id.clone(), entry.version);
            tracing::warn!(
                endpoint = entry.id,
                version = entry.version,
                reason = entry.reason,
                "endpoint: The entry cannot be read; the endpoint gets no new work until it can."
            );
        } else if !self.is_overflow_logged.replace(true) {
            tracing::warn!(
                MAX_TOLD = MAX_LOGGED_ENTRIES,
                "endpoint: More entries cannot be read; they are only counted."
            );
        }
        true
    }

    /// Drops all entries but those that still cannot be read.
    pub fn retain(&self, unreadable: &[UnreadableEntry]) {
        let ids: BTreeSet<&EndpointId> = unreadable.iter().map(|entry| &entry.id).collect();
        self.logged.borrow_mut().retain(|id, _| ids.contains(id));
        self.is_overflow_logged.set(false);
    }

    /// An entry can be read again, or is gone.
    pub fn forget(&self, id: &str) {
        self.logged.borrow_mut().remove(id);
    }
}
