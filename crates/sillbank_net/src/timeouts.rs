//! Timeouts of a server's connections, which may change while connections are open.
//!
//! Peers learn of a change at their own time, and reuse a connection as long as the timeout that they know allows. A
//! connection is therefore closed after the longest of the timeouts that may have been in force since its phase began.

use crate::activity::Phase;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Timeouts of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// Time that a connection may be idle between requests.
    pub idle: Duration,
    /// Time from the first byte of a request's head to its last.
    pub head: Duration,
}

impl Timeouts {
    /// The same time limit for idle connections and for heads.
    pub fn uniform(timeout: Duration) -> Self {
        Self { idle: timeout, head: timeout }
    }

    fn longest(self, other: Self) -> Self {
        Self { idle: self.idle.max(other.idle), head: self.head.max(other.head) }
    }
}

/// Timeouts that were replaced.
#[derive(Debug, Clone, Copy)]
struct Replaced {
    timeouts: Timeouts,
    /// Until when peers may still rely on them.
    until: Instant,
}

impl Replaced {
    /// Whether a phase that these timeouts allow may still last at `now`.
    fn is_relevant(&self, now: Instant) -> bool {
        let longest = self.timeouts.idle.max(self.timeouts.head);
        self.until.checked_add(longest).is_none_or(|end| now <= end)
    }

    /// Whether `other` allows at least as much for at least as long.
    fn is_covered_by(&self, other: &Self) -> bool {
        self.timeouts.longest(other.timeouts) == other.timeouts && self.until <= other.until
    }
}

/// Timeouts in force, and those in force before as far as they matter to open connections.
#[derive(Debug, Clone)]
pub struct TimeoutHistory {
    current: Timeouts,
    replaced: Vec<Replaced>,
}

impl TimeoutHistory {
    /// Starts with `initial` in force.
    pub fn new(initial: Timeouts) -> Self {
        Self { current: initial, replaced: Vec::new() }
    }

    /// Puts `timeouts` in force at `now`. Peers may rely on the earlier ones for `overlap` longer.
    pub fn replace(&mut self, timeouts: Timeouts, now: Instant, overlap: Duration) {
        if timeouts == self.current {
            return;
        }
        let earlier = Replaced { timeouts: self.current, until: now + overlap };
        self.replaced.retain(|known| known.is_relevant(now) && !known.is_covered_by(&earlier));
        self.replaced.push(earlier);
        self.current = timeouts;
    }

    /// When a connection may be closed if it stays in its phase; `None` if never.
    pub fn deadline(&self, phase: Phase) -> Option<Instant> {
        match phase {
            // The first request is on its way, so an idle timeout that is shorter than the time for a head must not
            // end the connection.
            Phase::Opened { since } => {
                let Timeouts { idle, head } = self.longest_since(since);
                since.checked_add(idle.max(head))
            }
            Phase::Idle { since } => since.checked_add(self.longest_since(since).idle),
            Phase::ReceivingHead { since } => since.checked_add(self.longest_since(since).head),
            Phase::Serving | Phase::WritingRest | Phase::Closing => None,
        }
    }

    /// The longest timeouts that may have been in force at some time since `since`.
    fn longest_since(&self, since: Instant) -> Timeouts {
        let replaced = self.replaced.iter().filter(|replaced| replaced.until >= since);
        replaced.fold(self.current, |longest, replaced| longest.longest(replaced.timeouts))
    }
}

/// Handle on the timeouts of a server. Clones share them.
#[derive(Debug, Clone)]
pub struct SharedTimeouts {
    history: Rc<RefCell<TimeoutHistory>>,
}

impl SharedTimeouts {
    /// Starts with `initial` in force.
    pub fn new(initial: Timeouts) -> Self {
        Self { history: Rc::new(RefCell::new(TimeoutHistory::new(initial))) }
    }

    /// Puts `timeouts` in force, also for connections that are open. Peers may rely on the earlier ones for `overlap`
    /// longer.
    pub fn replace(&self, timeouts: Timeouts, overlap: Duration) {
        self.history.borrow_mut().replace(timeouts, Instant::now(), overlap);
    }

    /// When a connection may be closed if it stays in its phase; `None` if never.
    pub fn deadline(&self, phase: Phase) -> Option<Instant> {
        self.history.borrow().deadline(phase)
    }
}
