//! Applies the changes that another VM reports of its directory.

use crate::difference::{ChangeNumber, Difference};
use crate::directory::{Change, Directory};
use sillbank_core::prelude::*;
use std::collections::BTreeSet;
use std::time::Instant;

/// How a difference compares to what is known already.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Recency {
    /// It reflects the same revision of the store or a newer one.
    Newer,
    /// It reflects an older revision: what is known takes precedence.
    Older,
}

/// Progress of copying one source's directory.
#[derive(Debug, Clone, Default)]
pub struct Replication {
    seen: ChangeNumber,
    /// Entries of the snapshot that is being received; `None` between snapshots.
    listed: Option<BTreeSet<EndpointId>>,
    /// Whether older differences were skipped: a new snapshot is needed once the source is newer.
    has_gap: bool,
}

impl Replication {
    /// The newest change that was seen, to send with the next request; 0 requests all entries.
    pub fn seen(&self) -> ChangeNumber {
        self.seen
    }

    /// Whether the directory holds everything that the source has reported.
    pub fn is_complete(&self) -> bool {
        self.seen > 0 && self.listed.is_none() && !self.has_gap
    }

    /// Applies a difference; returns the ids of the entries that were removed.
    pub fn on_difference(
        &mut self,
        directory: &mut Directory,
        now: Instant,
        difference: Difference,
        recency: Recency,
    ) -> Vec<EndpointId> {
        let Difference { starts_snapshot, changes, has_more, seen } = difference;
        let has_content = starts_snapshot || has_more || !changes.is_empty();
        if recency == Recency::Older {
            self.has_gap |= has_content;
            self.listed = None;
            self.seen = seen;
            return Vec::new();
        }
        if starts_snapshot {
            self.has_gap = false;
            self.listed = Some(BTreeSet::new());
        }
        let mut removed = self.apply(directory, now, changes);
        if !has_more && let Some(listed) = self.listed.take() {
            removed.extend(directory.retain_listed(&listed));
        }
        self.seen = if self.has_gap { 0 } else { seen };
        removed
    }

    fn apply(
        &mut self,
        directory: &mut Directory,
        now: Instant,
        changes: Vec<Change>,
    ) -> Vec<EndpointId> {
        let mut removed = Vec::new();
        for change in changes {
            let (id, is_put) = match &change {
                Change::Put(record) => (record.id.clone(), true),
                Change::Removed { id, .. } => (id.clone(), false),
                // An unreadable entry is still listed.
                Change::Unreadable(entry) => (entry.id.clone(), true),
                // A VM that has the entry keeps using the endpoint.
                Change::Lapsed { id, .. } => (id.clone(), true),
            };
            if let Some(listed) = &mut self.listed {
                match is_put {
                    true => listed.insert(id.clone()),
                    false => listed.remove(&id),
                };
            }
            if directory.on_replicated_change(now, change) {
                removed.push(id);
            }
        }
        removed
    }
}
