//! Revisions of the store, ordered across restores of the store from a copy.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Number of the store's history. It rises with each restore from a copy; 0 if the store has
/// none.
pub type Era = u64;

/// State of the store. Each change increments the number and each restore from a copy the era. A
/// restored store reuses numbers, so a number is only meaningful within its era.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// Era.
    pub era: Era,
    /// Change counter of the store within the era.
    pub number: u64,
}

impl Revision {
    /// Precedes the first change of the store.
    pub const NONE: Self = Self { era: 0, number: 0 };

    /// Creates a revision from an era and a number.
    pub fn new(era: Era, number: u64) -> Self {
        Self { era, number }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}
