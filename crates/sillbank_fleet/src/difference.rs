//! What one directory has that another lacks, by numbers of changes.
//!
//! A VM that passes its directory on numbers its changes. Another VM names the newest number it has
//! seen, and is told what came since. Removals are remembered for that, up to [`MAX_REMOVALS`].

use crate::directory::Change;
use crate::record::BornMs;
use serde::{Deserialize, Serialize};
use sillbank_core::prelude::*;
use std::collections::{BTreeMap, HashMap};

/// Number of a change within one directory; the first is 1.
pub type ChangeNumber = u64;

/// Removals that are remembered. A VM that asks each 400 ms misses a few at most; one that has missed
/// more is told everything, which costs some 90 bytes an endpoint.
pub const MAX_REMOVALS: usize = 1_024;

/// Changes that bring another directory up to date, or nearer to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// Whether the list of all entries begins with it: what is not told until its end is gone.
    pub begins_anew: bool,
    /// Changes, oldest first.
    pub changes: Vec<Change>,
    /// Whether there are more after it.
    pub goes_on: bool,
    /// The newest change that the other directory has seen with it.
    pub seen: ChangeNumber,
}

/// An entry that went.
#[derive(Debug)]
struct Removed {
    id: EndpointId,
    /// The newest life of its endpoint that was heard of.
    born_ms: Option<BornMs>,
}

/// Entries that went, by the numbers of the changes.
#[derive(Debug, Default)]
pub(crate) struct Removals {
    by_number: BTreeMap<ChangeNumber, Removed>,
    by_id: HashMap<EndpointId, ChangeNumber>,
    /// Removals up to this number may be forgotten.
    forgotten: ChangeNumber,
}

impl Removals {
    /// Notes that an entry went.
    pub(crate) fn note(&mut self, number: ChangeNumber, id: EndpointId, born_ms: Option<BornMs>) {
        self.by_id.insert(id.clone(), number);
        self.by_number.insert(number, Removed { id, born_ms });
        while self.by_number.len() > MAX_REMOVALS {
            let Some((number, removed)) = self.by_number.pop_first() else { return };
            self.by_id.remove(&removed.id);
            self.forgotten = number;
        }
    }

    /// An entry came back: that it went needs no telling.
    pub(crate) fn forget(&mut self, id: &str) {
        if let Some(number) = self.by_id.remove(id) {
            self.by_number.remove(&number);
        }
    }

    /// The newest life of an endpoint whose entry went, as far as that is remembered.
    pub(crate) fn newest_life(&self, id: &str) -> Option<BornMs> {
        self.by_number.get(self.by_id.get(id)?)?.born_ms
    }

    /// Number of the change with which an entry went, as far as that is remembered.
    pub(crate) fn number_of(&self, id: &str) -> Option<ChangeNumber> {
        self.by_id.get(id).copied()
    }

    /// Whether some removals after a number may be forgotten.
    pub(crate) fn are_forgotten_after(&self, number: ChangeNumber) -> bool {
        number < self.forgotten
    }

    /// Removals after a number, oldest first.
    pub(crate) fn since(
        &self,
        number: ChangeNumber,
    ) -> impl Iterator<Item = (ChangeNumber, Change)> {
        self.by_number.range(number.saturating_add(1)..).map(|(number, removed)| {
            let Removed { id, born_ms } = removed;
            (*number, Change::Removed { id: id.clone(), born_ms: *born_ms })
        })
    }
}
