//! Chooses the halls whose leaders a leader follows.
//!
//! Entries of another writer may name any number of halls in which there is no VM, so only so many are followed at a time.

use sillbank_core::prelude::*;
use std::collections::BTreeSet;
use std::ops::Bound::{Excluded, Unbounded};

/// Largest number of halls that are followed at a time.
pub const MAX_FOLLOWED_HALLS: usize = 64;

/// Halls that are followed, and whose turn is next if there are too many.
#[derive(Debug, Default)]
pub struct FollowedHalls {
    followed: BTreeSet<HallId>,
    /// The hall that was started with last.
    last: Option<HallId>,
}

impl FollowedHalls {
    /// The listed halls to start with now, other than the own one.
    pub fn take_next(&mut self, listed: &BTreeSet<HallId>, own: &HallId) -> Vec<HallId> {
        let start = self.last.clone().map_or(Unbounded, Excluded);
        let later = listed.range((start, Unbounded));
        let earlier =
            listed.iter().take_while(|hall| self.last.as_ref().is_some_and(|last| *hall <= last));
        let is_new = |hall: &&HallId| *hall != own && !self.followed.contains(*hall);
        let free = MAX_FOLLOWED_HALLS.saturating_sub(self.followed.len());
        let next: Vec<HallId> = later.chain(earlier).filter(is_new).take(free).cloned().collect();
        self.followed.extend(next.iter().cloned());
        self.last = next.last().cloned().or(self.last.take());
        next
    }

    /// Whether to go on with a hall whose leader is not known: it is listed, and no other hall waits.
    pub fn goes_on(&self, hall: &HallId, listed: &BTreeSet<HallId>) -> bool {
        listed.contains(hall) && listed.len() <= MAX_FOLLOWED_HALLS
    }

    /// Records that a hall is no longer followed.
    pub fn on_ended(&mut self, hall: &HallId) {
        self.followed.remove(hall);
    }
}
