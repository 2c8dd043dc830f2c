//! How long a caller has waited already, as far as the time tells that it has left.
//!
//! Callers tell how much time is left to them, not when they began, and each has a time of its own. While
//! nobody is refused all requests are first tries, so the shortest time of these is what a first try has at
//! least. A caller with less has spent the difference: it was refused before and came back.

use std::time::Duration;

/// Requests after which the shortest time is taken anew: callers with little time are few, and the callers of a
/// route change.
const RENEWED_AFTER: u32 = 128;
/// Requests from which on the shortest time is believed.
const LEAST: u32 = 8;

/// The time that first tries of one route have at least, at one VM.
#[derive(Debug, Clone, Default)]
pub struct UsualTime {
    seen: u32,
    shortest: Option<Duration>,
    /// The shortest of the requests before these.
    shortest_before: Option<Duration>,
}

impl UsualTime {
    /// Notes a first try that has so much time left.
    pub fn on_first_try(&mut self, left: Duration) {
        if self.seen == RENEWED_AFTER {
            self.shortest_before = self.shortest.take();
            self.seen = 0;
        }
        self.seen += 1;
        self.shortest = Some(self.shortest.map_or(left, |shortest| shortest.min(left)));
    }

    /// How long a caller has waited at least who has so much time left; zero while too little is known.
    pub fn waited(&self, left: Duration) -> Duration {
        if self.seen < LEAST && self.shortest_before.is_none() {
            return Duration::ZERO;
        }
        let known = [self.shortest, self.shortest_before];
        let shortest = known.into_iter().flatten().min();
        shortest.map_or(Duration::ZERO, |shortest| shortest.saturating_sub(left))
    }
}
