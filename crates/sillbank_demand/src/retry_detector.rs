//! Detection of retries by the time that callers have left.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// A caller that has less time left than others by more than this is retrying. Refused callers are told to
/// retry after 500 ms at the earliest, and the times that requests take to arrive differ by less than this.
const RETRY_THRESHOLD: Duration = Duration::from_millis(100);
/// Length of the periods over which the longest time is taken, so that a single unusual caller has no
/// permanent effect.
const PERIOD: Duration = Duration::from_secs(10);
/// Maximum number of routes whose times are kept; idle routes are evicted when another one is needed.
const MAX_ROUTES: usize = 256;

/// Detects retries by the longest time left that callers of the same route had recently.
#[derive(Debug, Default)]
pub struct RetryDetector {
    by_route: HashMap<String, LongestTimes>,
}

/// The longest times left in the current period and in the one before.
#[derive(Debug, Clone, Copy)]
struct LongestTimes {
    since: Instant,
    current: Duration,
    previous: Duration,
}

impl RetryDetector {
    /// Records a request with `time_left` and estimates whether its caller was refused before. A caller
    /// without a deadline counts as new.
    pub fn is_retry(&mut self, now: Instant, route: &str, time_left: Option<Duration>) -> bool {
        let Some(time_left) = time_left else {
            return false;
        };
        if !self.by_route.contains_key(route) {
            self.evict_idle(now);
        }
        if let Some(longest) = self.by_route.get_mut(route) {
            return longest.observe(now, time_left);
        }
        if self.by_route.len() < MAX_ROUTES {
            let longest = LongestTimes { since: now, current: time_left, previous: Duration::ZERO };
            self.by_route.insert(route.to_owned(), longest);
        }
        false
    }

    /// Evicts routes without recent requests if no further route fits.
    fn evict_idle(&mut self, now: Instant) {
        if self.by_route.len() >= MAX_ROUTES {
            let is_recent =
                |longest: &LongestTimes| now.saturating_duration_since(longest.since) < PERIOD;
            self.by_route.retain(|_, longest| is_recent(longest));
        }
    }
}

impl LongestTimes {
    /// Records a time and returns whether it is clearly shorter than the longest.
    fn observe(&mut self, now: Instant, time_left: Duration) -> bool {
        let age = now.saturating_duration_since(self.since);
        if age >= PERIOD {
            let previous = if age < PERIOD * 2 { self.current } else { Duration::ZERO };
            *self = Self { since: now, current: Duration::ZERO, previous };
        }
        self.current = self.current.max(time_left);
        self.current.max(self.previous).saturating_sub(time_left) > RETRY_THRESHOLD
    }
}
