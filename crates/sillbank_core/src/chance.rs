//! Chance that is handed in: whoever decides by chance holds a generator, so that a seed plays a decision again.

use std::cell::RefCell;
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::rc::Rc;

/// A generator of numbers drawn evenly. Not for secrets: who has seen some of its numbers can tell the next.
///
/// Clones share their state: parts of one VM that hold clones draw from one sequence, in the order in which
/// they draw.
///
/// ```
/// use sillbank_core::chance::Chance;
///
/// let (one, other) = (Chance::with_seed(7), Chance::with_seed(7));
/// assert_eq!(one.number(), other.number());
/// ```
#[derive(Debug, Clone)]
pub struct Chance {
    generator: Rc<RefCell<fastrand::Rng>>,
}

impl Chance {
    /// A generator whose numbers follow from `seed`. For tests.
    pub fn with_seed(seed: u64) -> Self {
        Self { generator: Rc::new(RefCell::new(fastrand::Rng::with_seed(seed))) }
    }

    /// A generator that nobody can play again, seeded from what the operating system draws.
    pub fn from_entropy() -> Self {
        Self::with_seed(RandomState::new().hash_one(std::process::id()))
    }

    /// A number from 0, included, to 1, excluded.
    pub fn fraction(&self) -> f64 {
        self.generator.borrow_mut().f64()
    }

    /// Any whole number of 64 bits.
    pub fn number(&self) -> u64 {
        self.generator.borrow_mut().u64(..)
    }
}
