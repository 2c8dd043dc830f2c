//! For how long knowledge may be believed that cannot be confirmed.

use std::time::{Duration, Instant};

/// A lease on knowledge: it holds for a term after the latest call that confirmed it was sent.
///
/// The term runs from the sending, not from the answer: what the store said may have changed any
/// time after it received the call. The clock is the steady one, so that a VM that was paused
/// wakes up with its lease run out; it does not count a suspension of the machine, which is told apart.
///
/// ```
/// use sillbank_catalog::KnowledgeLease;
/// use std::time::{Duration, Instant};
/// let mut lease = KnowledgeLease::new(Duration::from_secs(5));
/// let sent = Instant::now();
/// assert!(!lease.holds(sent));
/// lease.confirm(sent);
/// assert!(lease.holds(sent + Duration::from_secs(4)));
/// assert!(!lease.holds(sent + Duration::from_secs(5)));
/// ```
#[derive(Debug, Clone)]
pub struct KnowledgeLease {
    term: Duration,
    confirmed: Option<Instant>,
}

impl KnowledgeLease {
    /// A lease that does not hold yet.
    pub fn new(term: Duration) -> Self {
        Self { term, confirmed: None }
    }

    /// Notes that a call sent at this moment confirmed the knowledge. Calls may end out of order.
    pub fn confirm(&mut self, sent: Instant) {
        self.confirmed = Some(self.confirmed.map_or(sent, |known| known.max(sent)));
    }

    /// Notes that the machine was suspended for a time that the steady clock did not count.
    pub fn on_suspended(&mut self, suspended: Duration) {
        self.confirmed = self.confirmed.and_then(|confirmed| confirmed.checked_sub(suspended));
    }

    /// Changes the term, also of knowledge that is held.
    pub fn set_term(&mut self, term: Duration) {
        self.term = term;
    }

    /// Whether the knowledge may be relied on.
    pub fn holds(&self, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age < self.term)
    }

    /// When it was last known to be true; `None` if it never was.
    pub fn confirmed(&self) -> Option<Instant> {
        self.confirmed
    }

    /// Time since it was last known to be true; `None` if it never was.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed.map(|confirmed| now.saturating_duration_since(confirmed))
    }
}
