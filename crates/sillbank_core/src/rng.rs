//! Random numbers by dependency injection: code that decides at random is given a generator, so that a seed
//! reproduces its decisions.

use std::cell::RefCell;
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::rc::Rc;

/// Generator of uniformly distributed random numbers. Not cryptographically secure: its next numbers can be
/// predicted from earlier ones.
///
/// Clones share their state, so the parts of a VM that hold clones draw from one sequence.
///
/// ```
/// use sillbank_core::rng::SharedRng;
///
/// let (one, other) = (SharedRng::with_seed(7), SharedRng::with_seed(7));
/// assert_eq!(one.next_u64(), other.next_u64());
/// ```
#[derive(Debug, Clone)]
pub struct SharedRng {
    generator: Rc<RefCell<fastrand::Rng>>,
}

impl SharedRng {
    /// Creates a generator whose numbers are determined by `seed`, for tests.
    pub fn with_seed(seed: u64) -> Self {
        Self { generator: Rc::new(RefCell::new(fastrand::Rng::with_seed(seed))) }
    }

    /// Creates a generator seeded from the entropy of the operating system.
    pub fn from_entropy() -> Self {
        Self::with_seed(RandomState::new().hash_one(std::process::id()))
    }

    /// Returns a number from 0 (inclusive) to 1 (exclusive).
    pub fn next_f64(&self) -> f64 {
        self.generator.borrow_mut().f64()
    }

    /// Returns any `u64`.
    pub fn next_u64(&self) -> u64 {
        self.generator.borrow_mut().u64(..)
    }
}
