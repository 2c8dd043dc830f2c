//! Revisions of the store, in an order that holds across restores of the store from a copy.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Number of the store's history; it rises each time the store is restored from a copy. 0 if the store names none.
pub type Era = u64;

/// State of the store: each change raises the number, each restore from a copy the era. A restored store gives
/// numbers out again, so a number alone says nothing of another era.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// Era.
    pub era: Era,
    /// The store's counter within the era.
    pub number: u64,
}

impl Revision {
    /// Before the store's first change.
    pub const NONE: Self = Self { era: 0, number: 0 };

    /// A state of the store in an era.
    pub fn new(era: Era, number: u64) -> Self {
        Self { era, number }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}
