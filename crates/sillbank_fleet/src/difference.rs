//! The changes that one directory has and another lacks.
//!
//! A VM numbers the changes of its directory. Another VM asks with the newest number it has seen
//! and receives the later ones. Removals are kept as tombstones for this, up to [`MAX_TOMBSTONES`].

use crate::directory::Change;
use crate::record::BornMs;
use serde::{Deserialize, Serialize};
use sillbank_core::prelude::*;
use std::collections::{BTreeMap, HashMap};

/// Number of a change within one directory; the first is 1.
pub type ChangeNumber = u64;

/// Number of removals that are remembered. A VM that asks every 400 ms misses a few at most; one
/// that has missed more receives the whole list, at about 90 bytes per endpoint.
pub const MAX_TOMBSTONES: usize = 1_024;

/// A page of changes that brings another directory up to date, or closer to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// Whether this page starts a list of all entries. Entries that are not listed by its last page
    /// are gone.
    pub starts_snapshot: bool,
    /// Changes, oldest first.
    pub changes: Vec<Change>,
    /// Whether more pages follow.
    pub has_more: bool,
    /// The newest change that the receiver has seen once it has applied this page.
    pub seen: ChangeNumber,
}

/// An entry that was removed.
#[derive(Debug)]
struct Tombstone {
    id: EndpointId,
    /// The newest incarnation of its endpoint that was known.
    born_ms: Option<BornMs>,
}

/// Removed entries, by the numbers of their removals.
#[derive(Debug, Default)]
pub(crate) struct Tombstones {
    by_number: BTreeMap<ChangeNumber, Tombstone>,
    by_id: HashMap<EndpointId, ChangeNumber>,
    /// Removals up to this number may have been dropped.
    dropped_up_to: ChangeNumber,
}

impl Tombstones {
    /// Records a removal.
    pub(crate) fn insert(&mut self, number: ChangeNumber, id: EndpointId, born_ms: Option<BornMs>) {
        self.by_id.insert(id.clone(), number);
        self.by_number.insert(number, Tombstone { id, born_ms });
        while self.by_number.len() > MAX_TOMBSTONES {
            let Some((number, tombstone)) = self.by_number.pop_first() else { return };
            self.by_id.remove(&tombstone.id);
            self.dropped_up_to = number;
        }
    }

    /// Drops the tombstone of an entry that is listed again.
    pub(crate) fn remove(&mut self, id: &str) {
        if let Some(number) = self.by_id.remove(id) {
            self.by_number.remove(&number);
        }
    }

    /// The newest known incarnation of an endpoint whose entry was removed, if it is remembered.
    pub(crate) fn newest_incarnation(&self, id: &str) -> Option<BornMs> {
        self.by_number.get(self.by_id.get(id)?)?.born_ms
    }

    /// Number of the change that removed an entry, if it is remembered.
    pub(crate) fn number_of(&self, id: &str) -> Option<ChangeNumber> {
        self.by_id.get(id).copied()
    }

    /// Whether some removals after a number may have been dropped.
    pub(crate) fn are_incomplete_after(&self, number: ChangeNumber) -> bool {
        number < self.dropped_up_to
    }

    /// Removals after a number, oldest first.
    pub(crate) fn since(
        &self,
        number: ChangeNumber,
    ) -> impl Iterator<Item = (ChangeNumber, Change)> {
        self.by_number.range(number.saturating_add(1)..).map(|(number, tombstone)| {
            let Tombstone { id, born_ms } = tombstone;
            (*number, Change::Removed { id: id.clone(), born_ms: *born_ms })
        })
    }
}
