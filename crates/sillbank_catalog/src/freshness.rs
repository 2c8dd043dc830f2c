//! How long the catalog may be used without confirmation.

use std::time::{Duration, Instant};

/// A lease on the catalog: it is valid for a term after the latest confirming call was sent.
///
/// The term runs from when the call was sent, not from its answer: the configuration may have
/// changed at any time after the store received the call. The monotonic clock is used, so that the
/// lease of a VM that was paused has run out when it resumes. That clock does not advance while the
/// machine is suspended, which is reported by [`on_suspended`](Self::on_suspended).
///
/// ```
/// use sillbank_catalog::CatalogLease;
/// use std::time::{Duration, Instant};
/// let mut lease = CatalogLease::new(Duration::from_secs(5));
/// let sent = Instant::now();
/// assert!(!lease.holds(sent));
/// lease.confirm(sent);
/// assert!(lease.holds(sent + Duration::from_secs(4)));
/// assert!(!lease.holds(sent + Duration::from_secs(5)));
/// ```
#[derive(Debug, Clone)]
pub struct CatalogLease {
    term: Duration,
    confirmed: Option<Instant>,
}

impl CatalogLease {
    /// Creates a lease that is not valid yet.
    pub fn new(term: Duration) -> Self {
        Self { term, confirmed: None }
    }

    /// Records that a call sent at `sent` confirmed the catalog. Calls may end out of order.
    pub fn confirm(&mut self, sent: Instant) {
        self.confirmed = Some(self.confirmed.map_or(sent, |latest| latest.max(sent)));
    }

    /// Records that the machine was suspended for a time that the monotonic clock did not count.
    pub fn on_suspended(&mut self, suspended: Duration) {
        self.confirmed = self.confirmed.and_then(|confirmed| confirmed.checked_sub(suspended));
    }

    /// Changes the term, also for earlier confirmations.
    pub fn set_term(&mut self, term: Duration) {
        self.term = term;
    }

    /// Whether the lease is valid, so that the catalog may be used.
    pub fn holds(&self, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age < self.term)
    }

    /// When the latest confirming call was sent; `None` if there was none.
    pub fn confirmed(&self) -> Option<Instant> {
        self.confirmed
    }

    /// Time since the latest confirming call was sent; `None` if there was none.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed.map(|confirmed| now.saturating_duration_since(confirmed))
    }
}
