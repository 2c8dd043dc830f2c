//! Entries of endpoints that cannot be read: told once each, in a bounded number of lines.

use sillbank_core::prelude::*;
use sillbank_fleet::prelude::*;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};

/// Entries that are remembered as told of, so that each version of them has one line. Beyond that they are
/// counted only: whoever writes so many can be found by the lines that there are.
pub const MAX_TOLD: usize = 256;

/// Entries that cannot be read and were told of.
#[derive(Debug, Default)]
pub struct UnreadableEntries {
    told: RefCell<BTreeMap<EndpointId, Option<u64>>>,
    is_full: Cell<bool>,
}

impl UnreadableEntries {
    /// Notes an entry; answers whether this version of it is new. Writes a line for it, within bounds.
    pub fn note(&self, entry: &UnreadableEntry) -> bool {
        let mut told = self.told.borrow_mut();
        if told.get(&entry.id) == Some(&entry.version) {
            return false;
        }
        if told.len() < MAX_TOLD || told.contains_key(&entry.id) {
            told.insert(entry.id.clone(), entry.version);
            tracing::warn!(
                endpoint = entry.id,
                version = entry.version,
                reason = entry.reason,
                "endpoint: Its entry cannot be read; it gets no new work until it can be."
            );
        } else if !self.is_full.replace(true) {
            tracing::warn!(
                MAX_TOLD,
                "endpoint: More entries cannot be read; they are counted only."
            );
        }
        true
    }

    /// Forgets all entries but those that still cannot be read.
    pub fn retain(&self, unreadable: &[UnreadableEntry]) {
        let ids: BTreeSet<&EndpointId> = unreadable.iter().map(|entry| &entry.id).collect();
        self.told.borrow_mut().retain(|id, _| ids.contains(id));
        self.is_full.set(false);
    }

    /// An entry can be read again, or is gone.
    pub fn forget(&self, id: &str) {
        self.told.borrow_mut().remove(id);
    }
}
