//! Tells callers who come back from new ones, by the time that they have left.
//!
//! Callers of a route wait equally long, and tell how much of that is left. One that was refused and
//! comes back has less. How long new callers wait is learnt: it is the time that most of them tell.

use std::time::Duration;

/// Time by which a caller who comes back has less left at least: a refusal and a new try take as long.
const LEAST_AGE: Duration = Duration::from_millis(250);

/// What is learnt of the callers of one route.
#[derive(Debug, Clone, Copy, Default)]
pub struct Patience {
    /// The time that most callers tell, by majority vote.
    usual: Duration,
    /// Votes for it, less those for other times since it was taken.
    votes: u32,
}

/// Most votes that are kept, so that a change of the callers' patience is learnt within some requests.
const MOST_VOTES: u32 = 50;

impl Patience {
    /// Takes the time that a caller has left; answers whether it has come back.
    pub fn is_returning(&mut self, left: Duration) -> bool {
        if left == self.usual {
            self.votes = (self.votes + 1).min(MOST_VOTES);
        } else if self.votes == 0 {
            (self.usual, self.votes) = (left, 1);
        } else {
            self.votes -= 1;
        }
        left + LEAST_AGE <= self.usual
    }
}
