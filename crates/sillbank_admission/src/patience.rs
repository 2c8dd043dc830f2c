//! How long a caller has waited already, as far as the time tells that it has left.
//!
//! Callers tell how much time is left to them, not when they began. First tries of a route have its callers'
//! usual time, all of them the same; those that were refused and come back have less, each a different rest.
//! So the time that comes most often among the last requests is the usual one, also while most requests are
//! tries of callers who came back, and one caller with a time of its own moves nobody.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Requests of which the usual time is taken.
const KEPT: usize = 31;
/// How often a time must come among them to be believed.
const LEAST: usize = 3;
/// Times that differ by less count as the same, in milliseconds: the way from the caller takes some of it.
const SAME_WITHIN_MS: u128 = 50;

/// The usual time of one route's callers at one VM.
#[derive(Debug, Clone, Default)]
pub struct UsualTime {
    last: VecDeque<Duration>,
}

impl UsualTime {
    /// Notes a request with so much time left.
    pub fn on_request(&mut self, left: Duration) {
        if self.last.len() == KEPT {
            self.last.pop_front();
        }
        self.last.push_back(left);
    }

    /// How long a caller has waited who has so much time left; zero if no time is usual.
    pub fn waited(&self, left: Duration) -> Duration {
        let mut counts: BTreeMap<u128, (usize, Duration)> = BTreeMap::new();
        for time in &self.last {
            let same = counts.entry(time.as_millis() / SAME_WITHIN_MS).or_default();
            same.0 += 1;
            same.1 = same.1.max(*time);
        }
        let usual = counts.values().max();
        usual
            .filter(|(count, _)| *count >= LEAST)
            .map_or(Duration::ZERO, |(_, usual)| usual.saturating_sub(left))
    }
}
