//! Takes the differences that another VM tells of its directory.

use crate::difference::{ChangeNumber, Difference};
use crate::directory::{Change, Directory};
use sillbank_core::prelude::*;
use std::collections::BTreeSet;
use std::time::Instant;

/// How a difference stands to what is known already.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Recency {
    /// It holds as of the same revision of the store or a newer one.
    Newer,
    /// It holds as of an older one: what is known goes before it.
    Older,
}

/// What was taken of one source's directory so far.
#[derive(Debug, Clone, Default)]
pub struct Replication {
    seen: ChangeNumber,
    /// Entries that were told since a list of all began, until its end.
    listed: Option<BTreeSet<EndpointId>>,
    /// Whether older differences were left out: the list is wanted anew once it is newer.
    has_gap: bool,
}

impl Replication {
    /// The newest change that was seen, for the next ask; 0 if all entries are to be told.
    pub fn seen(&self) -> ChangeNumber {
        self.seen
    }

    /// Whether everything that the source had told is in the directory.
    pub fn is_complete(&self) -> bool {
        self.seen > 0 && self.listed.is_none() && !self.has_gap
    }

    /// Takes a difference; answers the ids of the entries that went.
    pub fn on_difference(
        &mut self,
        directory: &mut Directory,
        now: Instant,
        difference: Difference,
        recency: Recency,
    ) -> Vec<EndpointId> {
        let Difference { begins_anew, changes, goes_on, seen } = difference;
        let is_news = begins_anew || goes_on || !changes.is_empty();
        if recency == Recency::Older {
            self.has_gap |= is_news;
            self.listed = None;
            self.seen = seen;
            return Vec::new();
        }
        if begins_anew {
            self.has_gap = false;
            self.listed = Some(BTreeSet::new());
        }
        let mut gone = self.apply(directory, now, changes);
        if !goes_on && let Some(listed) = self.listed.take() {
            gone.extend(directory.retain_told(&listed));
        }
        self.seen = if self.has_gap { 0 } else { seen };
        gone
    }

    fn apply(
        &mut self,
        directory: &mut Directory,
        now: Instant,
        changes: Vec<Change>,
    ) -> Vec<EndpointId> {
        let mut gone = Vec::new();
        for change in changes {
            let (id, is_put) = match &change {
                Change::Put(record) => (record.id.clone(), true),
                Change::Removed { id, .. } => (id.clone(), false),
                // It is still listed.
                Change::Unreadable(entry) => (entry.id.clone(), true),
                // Whoever has it goes on using it.
                Change::Lapsed { id, .. } => (id.clone(), true),
            };
            if let Some(listed) = &mut self.listed {
                match is_put {
                    true => listed.insert(id.clone()),
                    false => listed.remove(&id),
                };
            }
            if directory.on_told_change(now, change) {
                gone.push(id);
            }
        }
        gone
    }
}
