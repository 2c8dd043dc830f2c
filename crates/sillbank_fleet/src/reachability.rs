//! Tracks whether the store is reachable. Entries may lapse while it is not.

use std::time::{Duration, Instant};

/// How long after the store's return a missing entry may still be written again. The platform states
/// about two seconds; the rest is for the delay until this VM receives the entry.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2300);

/// Why a call to the store failed, as far as it matters for the entries of endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFailure {
    /// The store may be unreachable for endpoints too, so their entries may lapse.
    Unreachable,
    /// The store rate-limits this VM. Endpoints keep writing their entries, so a missing entry
    /// means that its endpoint is gone.
    RateLimited,
}

/// What this VM knows of the store's reachability.
#[derive(Debug, Default)]
pub(crate) struct StoreReachability {
    state: Reachability,
    /// When the latest answered call was sent.
    last_answered: Option<Instant>,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Reachability {
    /// No call has failed since the last grace period ended.
    #[default]
    Steady,
    /// Calls failed, the last one at this moment.
    Unreachable(Instant),
    /// The store has answered again since this moment; the grace period is running.
    RecoveredAt(Instant),
}

impl StoreReachability {
    /// Records a failed call.
    pub(crate) fn on_failure(&mut self, now: Instant, failure: StoreFailure) {
        match failure {
            StoreFailure::Unreachable => self.state = Reachability::Unreachable(now),
            StoreFailure::RateLimited => {}
        }
    }

    /// Whether the failure of a call sent at `sent` says nothing about the store: a call that was
    /// sent later was answered, so only the connection failed.
    pub(crate) fn is_superseded(&self, sent: Instant) -> bool {
        self.last_answered.is_some_and(|answered| answered > sent)
    }

    /// Records that a call sent at `sent` was answered.
    pub(crate) fn on_answered(&mut self, sent: Instant) {
        self.last_answered = self.last_answered.max(Some(sent));
    }

    /// Records that the store answered a call sent at `sent`. Ends an outage only if that was after
    /// the last failed call.
    pub(crate) fn on_reachable(&mut self, sent: Instant) {
        self.on_answered(sent);
        if matches!(self.state, Reachability::Unreachable(since) if sent > since) {
            self.state = Reachability::RecoveredAt(sent);
        }
    }

    /// Records that the store answered, and ends an outage even if the call was sent before others
    /// failed.
    pub(crate) fn on_recovered(&mut self, now: Instant) {
        if matches!(self.state, Reachability::Unreachable(_)) {
            self.state = Reachability::RecoveredAt(now);
        }
    }

    /// Records that the store was restored from a copy, which counts as an outage even if no call
    /// failed.
    pub(crate) fn on_restored(&mut self, now: Instant) {
        self.state = Reachability::RecoveredAt(now);
    }

    /// Ends the grace period after the store's return.
    pub(crate) fn end_grace(&mut self) {
        if matches!(self.state, Reachability::RecoveredAt(_)) {
            self.state = Reachability::Steady;
        }
    }

    /// Whether an entry that is missing may have lapsed.
    pub(crate) fn may_lapse(&self, now: Instant) -> bool {
        !self.grace_left(now).is_zero()
    }

    /// End of the grace period for missing entries; `None` if none is running.
    pub(crate) fn grace_end(&self) -> Option<Instant> {
        match self.state {
            Reachability::Steady | Reachability::Unreachable(_) => None,
            Reachability::RecoveredAt(recovered) => Some(recovered + LAPSE_GRACE),
        }
    }

    /// Time left of the grace period for missing entries; all of it while the store is unreachable.
    pub(crate) fn grace_left(&self, now: Instant) -> Duration {
        match self.state {
            Reachability::Steady => Duration::ZERO,
            Reachability::Unreachable(_) => LAPSE_GRACE,
            Reachability::RecoveredAt(recovered) => {
                (recovered + LAPSE_GRACE).saturating_duration_since(now)
            }
        }
    }
}
