//! Whether the store is out of reach, so that entries may lapse.

use std::time::{Duration, Instant};

/// How long after the store's return a missing entry may still come back. The platform names about
/// two seconds; the rest is for the way of the news.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2300);

/// Why a call to the store failed, as far as it bears on the entries of endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreTrouble {
    /// The store may be out of reach for endpoints too: their entries may lapse.
    Away,
    /// The store refuses this VM for the rate of calls. Endpoints go on writing their entries, so one
    /// that is missing is gone.
    TurnsAway,
}

/// What this VM knows of the store's reachability.
#[derive(Debug, Default)]
pub(crate) struct StoreReach {
    state: ReachState,
    /// When the newest call was sent that is known to have been answered.
    answered: Option<Instant>,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum ReachState {
    #[default]
    Steady,
    /// Calls failed, the last one at this moment.
    Away(Instant),
    BackSince(Instant),
}

impl StoreReach {
    /// A call failed.
    pub(crate) fn on_trouble(&mut self, now: Instant, trouble: StoreTrouble) {
        match trouble {
            StoreTrouble::Away => self.state = ReachState::Away(now),
            StoreTrouble::TurnsAway => {}
        }
    }

    /// Whether a call that was sent at a moment tells nothing of the store when it fails: one that was sent later was
    /// answered, so the connection failed.
    pub(crate) fn is_outdated(&self, sent: Instant) -> bool {
        self.answered.is_some_and(|answered| answered > sent)
    }

    /// A call that was sent at a moment was answered.
    pub(crate) fn on_answered(&mut self, sent: Instant) {
        self.answered = self.answered.max(Some(sent));
    }

    /// The store answered a call that was sent at a moment. Only what was sent after the last failed call
    /// ends an outage.
    pub(crate) fn on_seen(&mut self, sent: Instant) {
        self.on_answered(sent);
        if matches!(self.state, ReachState::Away(since) if sent > since) {
            self.state = ReachState::BackSince(sent);
        }
    }

    /// The store answered a call that may have been sent before others failed.
    pub(crate) fn on_back(&mut self, now: Instant) {
        if matches!(self.state, ReachState::Away(_)) {
            self.state = ReachState::BackSince(now);
        }
    }

    /// The store was restored from a copy: it was away, also if no call failed.
    pub(crate) fn on_restored(&mut self, now: Instant) {
        self.state = ReachState::BackSince(now);
    }

    /// The grace after the store's return is over.
    pub(crate) fn end_grace(&mut self) {
        if matches!(self.state, ReachState::BackSince(_)) {
            self.state = ReachState::Steady;
        }
    }

    /// Whether an entry that is missing may have lapsed.
    pub(crate) fn may_lapse(&self, now: Instant) -> bool {
        !self.grace_left(now).is_zero()
    }

    /// End of the grace for missing entries; `None` if none has begun.
    pub(crate) fn grace_end(&self) -> Option<Instant> {
        match self.state {
            ReachState::Steady | ReachState::Away(_) => None,
            ReachState::BackSince(back) => Some(back + LAPSE_GRACE),
        }
    }

    /// What is left of the grace for missing entries; all of it while the store is away.
    pub(crate) fn grace_left(&self, now: Instant) -> Duration {
        match self.state {
            ReachState::Steady => Duration::ZERO,
            ReachState::Away(_) => LAPSE_GRACE,
            ReachState::BackSince(back) => (back + LAPSE_GRACE).saturating_duration_since(now),
        }
    }
}
