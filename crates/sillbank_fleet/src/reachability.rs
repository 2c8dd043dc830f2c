//! Tracks whether the store is reachable. Entries may lapse while it is not.

use std::time::{Duration, Instant};

/// How long after the store's return a missing entry may still be written again. The platform states
/// about two seconds; the rest is for the delay until this VM receives the entry.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2300);

/// Shortest time without an answer of the store after which entries may have lapsed: an entry lapses after three missed
/// check-ins of its endpoint.
const SHORTEST_LAPSE: Duration = Duration::from_millis(2_000);

/// Why a call to the store failed, as far as it matters for the entries of endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFailure {
    /// The store may be unreachable for endpoints too, so their entries may lapse.
    Unreachable,
    /// The connection of a call broke. If that is all, and the store answers soon, it was reachable all the time.
    ConnectionLost,
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
    /// When the store is known to have answered last.
    last_answer_at: Option<Instant>,
    unavailability: Unavailability,
}

/// How much of the recent time the store was unavailable: grows with the time while calls fail, and shrinks as fast while
/// they do not. It reaches [`SHORTEST_LAPSE`] only if calls fail more than half of the time.
#[derive(Debug, Clone, Copy, Default)]
struct Unavailability {
    accumulated: Duration,
    /// When the last outage or interruption ended, as of which `accumulated` holds.
    ended_at: Option<Instant>,
}

impl Unavailability {
    /// What is left of it at `now`, if no call has failed since the last outage or interruption ended.
    fn left(&self, now: Instant) -> Duration {
        let Some(ended_at) = self.ended_at else { return Duration::ZERO };
        self.accumulated.saturating_sub(now.saturating_duration_since(ended_at))
    }
}

/// Calls that failed since the store last answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Outage {
    first_failed_at: Instant,
    last_failed_at: Instant,
    /// When the store had answered last; `None` if that is not known, or if more than connections failed.
    answered_at: Option<Instant>,
    /// What was left of the unavailability when the first call failed.
    unavailable_before: Duration,
    /// When the store had returned from an outage before, whose grace period was running.
    recovered_at: Option<Instant>,
}

impl Outage {
    /// Whether, up to `now`, only connections to a store were cut that answers, so that no entry has lapsed. However many
    /// were cut, a store that answered in between was there for the check-ins of endpoints.
    fn is_interruption(&self, now: Instant) -> bool {
        let is_short = |answered_at| now.saturating_duration_since(answered_at) < SHORTEST_LAPSE;
        self.answered_at.is_some_and(is_short) && self.unavailable(now) < SHORTEST_LAPSE
    }

    /// The unavailability at `now`, if the store has not answered yet.
    fn unavailable(&self, now: Instant) -> Duration {
        self.unavailable_before + now.saturating_duration_since(self.first_failed_at)
    }
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Reachability {
    /// No call has failed since the last grace period ended.
    #[default]
    Steady,
    /// Calls failed.
    Unreachable(Outage),
    /// The store has answered again since this moment; the grace period is running.
    RecoveredAt(Instant),
}

impl StoreReachability {
    /// Records a failed call.
    pub(crate) fn on_failure(&mut self, now: Instant, failure: StoreFailure) {
        match failure {
            StoreFailure::ConnectionLost => {
                self.state = Reachability::Unreachable(self.outage(now));
            }
            StoreFailure::Unreachable => {
                let outage = Outage { answered_at: None, ..self.outage(now) };
                self.state = Reachability::Unreachable(outage);
            }
            StoreFailure::RateLimited => {}
        }
    }

    /// The outage to which a call belongs that fails at `now`.
    fn outage(&self, now: Instant) -> Outage {
        let recovered_at = match self.state {
            Reachability::Unreachable(outage) => return Outage { last_failed_at: now, ..outage },
            Reachability::RecoveredAt(recovered_at) => Some(recovered_at),
            Reachability::Steady => None,
        };
        Outage {
            first_failed_at: now,
            last_failed_at: now,
            answered_at: self.last_answer_at,
            unavailable_before: self.unavailability.left(now),
            recovered_at,
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
        self.last_answer_at = self.last_answer_at.max(Some(sent));
    }

    /// Records that an answer of the store arrived.
    pub(crate) fn on_answer(&mut self, now: Instant) {
        self.last_answer_at = self.last_answer_at.max(Some(now));
    }

    /// Ends an outage, or an interruption, at `now`.
    fn end(&mut self, outage: Outage, now: Instant) {
        let accumulated = outage.unavailable(now).min(SHORTEST_LAPSE);
        self.unavailability = Unavailability { accumulated, ended_at: Some(now) };
        self.state = match (outage.is_interruption(now), outage.recovered_at) {
            (false, _) => Reachability::RecoveredAt(now),
            (true, Some(recovered_at)) => Reachability::RecoveredAt(recovered_at),
            (true, None) => Reachability::Steady,
        };
    }

    /// Records that the store answered a call sent at `sent`. Ends an outage only if that was after
    /// the last failed call.
    pub(crate) fn on_reachable(&mut self, sent: Instant) {
        if let Reachability::Unreachable(outage) = self.state
            && sent > outage.last_failed_at
        {
            self.end(outage, sent);
        }
        self.on_answered(sent);
    }

    /// Records that the store answered, and ends an outage even if the call was sent before others
    /// failed.
    pub(crate) fn on_recovered(&mut self, now: Instant) {
        if let Reachability::Unreachable(outage) = self.state {
            self.end(outage, now);
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
            Reachability::Unreachable(outage) if outage.is_interruption(now) => {
                let grace_end = outage.recovered_at.map(|recovered| recovered + LAPSE_GRACE);
                grace_end.map_or(Duration::ZERO, |end| end.saturating_duration_since(now))
            }
            Reachability::Unreachable(_) => LAPSE_GRACE,
            Reachability::RecoveredAt(recovered) => {
                (recovered + LAPSE_GRACE).saturating_duration_since(now)
            }
        }
    }
}
