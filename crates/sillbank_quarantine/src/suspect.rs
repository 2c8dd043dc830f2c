//! State of one request whose endpoints crashed.

use crate::fingerprint::Fingerprint;
use crate::policy::{
    MAX_CRASHES, RETENTION, SAME_CRASH_TOLERANCE, SAME_RUN_TOLERANCE, URGENT_CRASHES,
    quarantine_term,
};
use crate::updates::{ChangeNumber, CrashUpdate, SuspectUpdate};
use sillbank_core::prelude::EndpointId;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// A crash of an endpoint that ran the request.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Crash {
    endpoint: EndpointId,
    at: Instant,
    /// Time from sending the request to the crash.
    since_send: Duration,
}

impl Crash {
    /// Whether the request was sent to this endpoint after another one had crashed.
    fn follows(&self, other: &Crash) -> bool {
        self.at.saturating_duration_since(other.at) >= self.since_send
    }
}

/// Keeps only those crashes, ordered by time, that follow the one kept before. Of endpoints that crash at the same
/// time, each with a copy of the request, at most one crashed because of it.
fn keep_causal_chain(crashes: &mut Vec<Crash>) {
    let mut kept: Vec<Crash> = Vec::new();
    for crash in crashes.drain(..) {
        if kept.last().is_none_or(|last| crash.follows(last)) {
            kept.push(crash);
        }
    }
    *crashes = kept;
}

/// Summary of a suspect, to compare the state in the store with that of this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StoredSummary {
    crashes: usize,
    is_cleared: bool,
}

impl StoredSummary {
    pub(crate) fn of(update: &SuspectUpdate) -> Self {
        Self { crashes: update.crashes.len(), is_cleared: update.cleared_age_ms.is_some() }
    }
}

/// A request whose endpoints crashed.
#[derive(Debug, Default)]
pub(crate) struct Suspect {
    /// The newest crashes, at most [`MAX_CRASHES`], each of a send that followed the crash before.
    crashes: Vec<Crash>,
    /// When the request was last seen to run well.
    cleared_at: Option<Instant>,
    /// When the request was last refused.
    pub(crate) refused_at: Option<Instant>,
    /// Newest change that is reported to other VMs; 0 while none needs to be.
    pub(crate) changed: ChangeNumber,
    /// Newest change that this VM observed itself.
    pub(crate) observed: ChangeNumber,
    /// When a first crash is to be reported to other VMs, if it was not yet.
    pub(crate) report_at: Option<Instant>,
    /// Whether the request was announced as quarantined.
    pub(crate) is_quarantined: bool,
    /// State in the store, if any.
    pub(crate) stored: Option<StoredSummary>,
    /// Time from which this VM writes what the store lacks.
    pub(crate) store_from: Option<Instant>,
}

impl Suspect {
    /// Crashes without those of the endpoints in `explained`, which have another cause.
    fn counted<'a>(
        &'a self,
        explained: &'a BTreeSet<EndpointId>,
    ) -> impl Iterator<Item = &'a Crash> {
        self.crashes.iter().filter(|crash| !explained.contains(&crash.endpoint))
    }

    /// Number of crashes that count.
    pub(crate) fn crash_count(&self, explained: &BTreeSet<EndpointId>) -> usize {
        self.counted(explained).count()
    }

    /// Whether any crash is remembered.
    pub(crate) fn has_crashes(&self) -> bool {
        !self.crashes.is_empty()
    }

    /// Endpoints that crashed.
    pub(crate) fn endpoints(&self) -> Vec<EndpointId> {
        self.crashes.iter().map(|crash| crash.endpoint.clone()).collect()
    }

    /// Whether the store should keep the suspect: one more crash quarantines it, or the store already has it, so that
    /// a clearing is written too.
    pub(crate) fn is_kept(&self) -> bool {
        self.crashes.len() >= URGENT_CRASHES || self.stored.is_some()
    }

    /// Whether the state in the store differs from the one that it should keep.
    pub(crate) fn needs_store(&self) -> bool {
        let summary =
            StoredSummary { crashes: self.crashes.len(), is_cleared: self.cleared_at.is_some() };
        self.is_kept() && self.stored != Some(summary)
    }

    /// Time of the last crash or of the last clearing, whichever is later.
    pub(crate) fn newest(&self) -> Option<Instant> {
        self.crashes.iter().map(|crash| crash.at).max().max(self.cleared_at)
    }

    /// The endpoint that crashed last, of those that count, and when.
    pub(crate) fn last_crash<'a>(
        &'a self,
        explained: &'a BTreeSet<EndpointId>,
    ) -> Option<(&'a str, Instant)> {
        let last = self.counted(explained).max_by_key(|crash| crash.at)?;
        Some((&last.endpoint, last.at))
    }

    /// Adds a crash and returns whether it was unknown.
    pub(crate) fn add_crash(&mut self, endpoint: &str, at: Instant, since_send: Duration) -> bool {
        let is_same = |crash: &Crash| {
            let distance = at.max(crash.at).saturating_duration_since(at.min(crash.at));
            crash.endpoint == endpoint && distance < SAME_CRASH_TOLERANCE
        };
        if self.cleared_at.is_some_and(|cleared| at <= cleared) || self.crashes.iter().any(is_same)
        {
            return false;
        }
        let before = self.crashes.clone();
        self.crashes.push(Crash { endpoint: endpoint.to_owned(), at, since_send });
        self.crashes.sort_by_key(|crash| crash.at);
        keep_causal_chain(&mut self.crashes);
        let excess = self.crashes.len().saturating_sub(MAX_CRASHES);
        self.crashes.drain(..excess);
        self.crashes != before
    }

    /// Records that the request ran well and returns whether that was unknown. Times that VMs exchange become slightly
    /// later with each exchange, so close times are treated as equal.
    pub(crate) fn clear(&mut self, at: Instant) -> bool {
        let is_known = |cleared: Instant| at < cleared + SAME_RUN_TOLERANCE;
        if self.cleared_at.is_some_and(is_known) && self.crashes.iter().all(|crash| crash.at > at) {
            return false;
        }
        self.cleared_at = self.cleared_at.max(Some(at));
        self.crashes.retain(|crash| crash.at > at);
        true
    }

    /// Remaining time of the quarantine; `None` if the request is not quarantined.
    pub(crate) fn quarantined_for(
        &self,
        explained: &BTreeSet<EndpointId>,
        now: Instant,
    ) -> Option<Duration> {
        let (term, elapsed) = self.term_and_elapsed(explained, now)?;
        term.checked_sub(elapsed).filter(|left| !left.is_zero())
    }

    /// Time since the end of the quarantine; `None` inside if it is not over. `None` if there was none.
    pub(crate) fn since_term(
        &self,
        explained: &BTreeSet<EndpointId>,
        now: Instant,
    ) -> Option<Option<Duration>> {
        let (term, elapsed) = self.term_and_elapsed(explained, now)?;
        Some(elapsed.checked_sub(term))
    }

    /// Length of the quarantine, and the time since its start.
    fn term_and_elapsed(
        &self,
        explained: &BTreeSet<EndpointId>,
        now: Instant,
    ) -> Option<(Duration, Duration)> {
        let term = quarantine_term(self.crash_count(explained))?;
        Some((term, now.saturating_duration_since(self.newest()?)))
    }

    /// Whether the retention time is over.
    pub(crate) fn is_expired(&self, now: Instant) -> bool {
        let newest = self.newest().max(self.refused_at);
        newest.is_none_or(|newest| now.saturating_duration_since(newest) >= RETENTION)
    }

    /// Converts to an update for other VMs.
    pub(crate) fn to_update(&self, fingerprint: Fingerprint, now: Instant) -> SuspectUpdate {
        let age_ms = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        let to_update = |crash: &Crash| CrashUpdate {
            endpoint: crash.endpoint.clone(),
            age_ms: age_ms(crash.at),
            since_send_ms: crash.since_send.as_millis() as u64,
        };
        let crashes = self.crashes.iter().map(to_update).collect();
        SuspectUpdate { fingerprint, crashes, cleared_age_ms: self.cleared_at.map(age_ms) }
    }

    /// Merges an update from another VM or the store and returns whether it changed anything.
    pub(crate) fn merge(&mut self, update: &SuspectUpdate, now: Instant) -> bool {
        let at = |age_ms: u64| now.checked_sub(Duration::from_millis(age_ms)).unwrap_or(now);
        let mut has_changed = update.cleared_age_ms.is_some_and(|age_ms| self.clear(at(age_ms)));
        for crash in update.crashes.iter().take(MAX_CRASHES) {
            let since_send = Duration::from_millis(crash.since_send_ms);
            has_changed |= self.add_crash(&crash.endpoint, at(crash.age_ms), since_send);
        }
        has_changed
    }
}
