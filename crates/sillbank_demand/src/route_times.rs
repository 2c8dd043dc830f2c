//! Tells callers who come back from new ones by the time that they have left.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How much less than the others a caller has left who was refused and came back: callers are told to come
/// back after 500 ms at the earliest, and what a request takes to arrive differs by less than this.
const LESS_BY: Duration = Duration::from_millis(100);
/// Time after which the longest time is learnt anew, so that one odd caller is not believed for ever.
const RELEARN: Duration = Duration::from_secs(10);
/// Routes whose times are learnt; further ones are learnt when these have not been asked for lately.
const MAX_ROUTES: usize = 256;

/// Learns how much time the callers of each route begin with.
#[derive(Debug, Default)]
pub struct RouteTimes {
    by_route: HashMap<String, Longest>,
}

/// The longest times of this span and of the one before.
#[derive(Debug, Clone, Copy)]
struct Longest {
    since: Instant,
    now: Duration,
    before: Duration,
}

impl RouteTimes {
    /// Learns from a request that has `time_left`; answers whether its caller has been refused before, as far
    /// as that can be told. A caller that tells no time is taken for new.
    pub fn is_returning(&mut self, now: Instant, route: &str, time_left: Option<Duration>) -> bool {
        let Some(time_left) = time_left else {
            return false;
        };
        if !self.by_route.contains_key(route) {
            self.make_room(now);
        }
        if let Some(longest) = self.by_route.get_mut(route) {
            return longest.learn(now, time_left);
        }
        if self.by_route.len() < MAX_ROUTES {
            let longest = Longest { since: now, now: time_left, before: Duration::ZERO };
            self.by_route.insert(route.to_owned(), longest);
        }
        false
    }

    fn make_room(&mut self, now: Instant) {
        if self.by_route.len() >= MAX_ROUTES {
            let is_used =
                |longest: &Longest| now.saturating_duration_since(longest.since) < RELEARN;
            self.by_route.retain(|_, longest| is_used(longest));
        }
    }
}

impl Longest {
    fn learn(&mut self, now: Instant, time_left: Duration) -> bool {
        let lasted = now.saturating_duration_since(self.since);
        if lasted >= RELEARN {
            let before = if lasted < RELEARN * 2 { self.now } else { Duration::ZERO };
            *self = Self { since: now, now: Duration::ZERO, before };
        }
        self.now = self.now.max(time_left);
        self.now.max(self.before).saturating_sub(time_left) > LESS_BY
    }
}
