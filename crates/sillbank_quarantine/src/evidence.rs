//! What a VM observes when an endpoint crashes under a request.

use std::time::{Duration, Instant};

/// A crash of an endpoint within the suspicion window of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashEvidence<'a> {
    /// Incarnation of the endpoint, as far as that is known.
    pub endpoint: &'a str,
    /// When the request was sent to it.
    pub sent_at: Instant,
    /// Time from the first event of the request to the crash; zero without an event.
    pub ran_for: Duration,
    /// When the crash was seen.
    pub at: Instant,
}

impl CrashEvidence<'_> {
    /// Time from sending the request to the crash.
    pub(crate) fn since_send(&self) -> Duration {
        self.at.saturating_duration_since(self.sent_at)
    }
}
