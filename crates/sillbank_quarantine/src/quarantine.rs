//! All suspects known to one VM.

use crate::fingerprint::Fingerprint;
use crate::policy::{
    CRASHES_TO_QUARANTINE, ISOLATION_TERM, MAX_SUSPECTS, OTHER_WRITER_DELAY, REPORT_DELAY,
    RETENTION, URGENT_CRASHES,
};
use crate::suspect::{StoredSummary, Suspect};
use crate::updates::{
    ChangeNumber, QuarantineRecord, QuarantineUpdate, StoredSuspect, SuspectUpdate, changes_since,
};
use sillbank_core::prelude::EndpointId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Maximum number of requests in the store, of about 300 bytes each: an object may have 1 MB.
const MAX_STORED: usize = 256;

/// Source of an update about suspects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateSource {
    /// A VM of the own hall that observed the crash.
    Member,
    /// A leader.
    Leader,
    /// The platform's store.
    Store,
}

/// A change of the state of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineEvent {
    /// The request is quarantined from now on.
    Quarantined {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Endpoints that crashed while they ran it.
        endpoints: Vec<EndpointId>,
        /// Length of the quarantine.
        term: Duration,
    },
    /// The request is no longer quarantined: its term is over, or it was seen to run well.
    Released {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
    },
}

/// Suspects known to one VM.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// Incarnations of endpoints whose crashes have another cause. They do not count, and are kept in case that proves
    /// wrong.
    explained: BTreeSet<EndpointId>,
    newest_change: ChangeNumber,
    /// Newest change that other VMs should receive without delay.
    newest_urgent: ChangeNumber,
}

impl Quarantine {
    /// Records a crash of an endpoint within the suspicion window of a request that was sent to it at `sent_at`.
    /// `endpoint` identifies one incarnation of the endpoint, as far as that is known.
    pub fn on_crash(
        &mut self,
        fingerprint: Fingerprint,
        endpoint: &str,
        sent_at: Instant,
        now: Instant,
    ) -> Vec<QuarantineEvent> {
        let explained = &self.explained;
        let suspect = self.suspects.entry(fingerprint).or_default();
        let since_send = now.saturating_duration_since(sent_at);
        if !suspect.add_crash(endpoint, now, since_send) {
            return Vec::new();
        }
        suspect.store_from = Some(now);
        if suspect.changed == 0 && suspect.crash_count(explained) < URGENT_CRASHES {
            suspect.report_at.get_or_insert(now + REPORT_DELAY);
        } else {
            self.record_change(fingerprint, true);
        }
        self.drop_excess();
        self.update_state(fingerprint, now)
    }

    /// Records that a request was seen to run well: to its end, or beyond the suspicion window.
    pub fn on_survived(&mut self, fingerprint: Fingerprint, now: Instant) -> Vec<QuarantineEvent> {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return Vec::new();
        };
        if !suspect.has_crashes() || !suspect.clear(now) {
            return Vec::new();
        }
        suspect.store_from = Some(now);
        let is_unreported = suspect.changed == 0;
        let events = self.update_state(fingerprint, now);
        match is_unreported {
            true => drop(self.suspects.remove(&fingerprint)),
            false => self.record_change(fingerprint, true),
        }
        events
    }

    /// Remaining time of a request's quarantine; `None` if it is not quarantined.
    pub fn quarantined_for(&self, fingerprint: Fingerprint, now: Instant) -> Option<Duration> {
        self.suspects.get(&fingerprint)?.quarantined_for(&self.explained, now)
    }

    /// Time since the end of a request's term; `None` inside if it is not over. `None` if the request has not been
    /// quarantined, or has run well since.
    pub fn since_term(&self, fingerprint: Fingerprint, now: Instant) -> Option<Option<Duration>> {
        self.suspects.get(&fingerprint)?.since_term(&self.explained, now)
    }

    /// Records that a request was refused, so that it is remembered while it comes.
    pub fn on_refused(&mut self, fingerprint: Fingerprint, now: Instant) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.refused_at = Some(now);
        }
    }

    /// Sets the incarnations of endpoints whose crashes have another cause than the requests that they ran.
    pub fn set_explained(
        &mut self,
        explained: &BTreeSet<EndpointId>,
        now: Instant,
    ) -> Vec<QuarantineEvent> {
        if self.explained == *explained {
            return Vec::new();
        }
        self.explained.clone_from(explained);
        let all: Vec<Fingerprint> = self.suspects.keys().copied().collect();
        all.into_iter().flat_map(|fingerprint| self.update_state(fingerprint, now)).collect()
    }

    /// Remaining time for which a request is isolated from others: an endpoint that ran it crashed recently, and it has
    /// not run well since.
    pub fn isolated_for(&self, fingerprint: Fingerprint, now: Instant) -> Option<Duration> {
        let (_, last_crash) = self.last_crash(fingerprint)?;
        let left = ISOLATION_TERM.checked_sub(now.saturating_duration_since(last_crash));
        left.filter(|left| !left.is_zero())
    }

    /// The incarnation of the endpoint that crashed last under a request, and when.
    pub fn last_crash(&self, fingerprint: Fingerprint) -> Option<(&str, Instant)> {
        self.suspects.get(&fingerprint)?.last_crash(&self.explained)
    }

    /// Number of crashes of a request that count.
    pub fn crash_count(&self, fingerprint: Fingerprint) -> usize {
        let suspect = self.suspects.get(&fingerprint);
        suspect.map_or(0, |suspect| suspect.crash_count(&self.explained))
    }

    /// Incarnations of endpoints that crashed under each request that would be quarantined if no crash had another cause.
    pub(crate) fn repeated_crashes(&self) -> BTreeSet<BTreeSet<EndpointId>> {
        let endpoints = self.suspects.values().map(Suspect::endpoints);
        let repeated = endpoints.filter(|endpoints| endpoints.len() >= CRASHES_TO_QUARANTINE);
        repeated.map(BTreeSet::from_iter).collect()
    }

    /// Whether there is no suspect.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Number of quarantined requests and of all suspects.
    pub fn counts(&self) -> (usize, usize) {
        (
            self.suspects.values().filter(|suspect| suspect.is_quarantined).count(),
            self.suspects.len(),
        )
    }

    /// Advances time: first crashes become due for reporting, terms end, and old suspects are removed.
    pub fn on_tick(&mut self, now: Instant) -> Vec<QuarantineEvent> {
        let is_due = |suspect: &Suspect| suspect.report_at.is_some_and(|at| at <= now);
        let due = self.suspects.iter().filter(|(_, suspect)| is_due(suspect));
        for fingerprint in due.map(|(fingerprint, _)| *fingerprint).collect::<Vec<_>>() {
            self.record_change(fingerprint, true);
        }
        let has_ended = |suspect: &Suspect| {
            suspect.is_quarantined && suspect.quarantined_for(&self.explained, now).is_none()
        };
        let ended = self.suspects.iter().filter(|(_, suspect)| has_ended(suspect));
        let ended: Vec<Fingerprint> = ended.map(|(fingerprint, _)| *fingerprint).collect();
        let events = ended.into_iter().flat_map(|fingerprint| self.update_state(fingerprint, now));
        let events = events.collect();
        self.suspects.retain(|_, suspect| !suspect.is_expired(now));
        events
    }

    /// Merges updates from a VM or the store.
    pub fn on_updates(
        &mut self,
        updates: &[SuspectUpdate],
        source: UpdateSource,
        now: Instant,
    ) -> Vec<QuarantineEvent> {
        let mut events = Vec::new();
        for update in updates.iter().filter(|update| is_recent(update)) {
            let suspect = self.suspects.entry(update.fingerprint).or_default();
            if !suspect.merge(update, now) {
                continue;
            }
            suspect.store_from = Some(match source {
                UpdateSource::Member => now,
                UpdateSource::Leader | UpdateSource::Store => now + OTHER_WRITER_DELAY,
            });
            self.record_change(update.fingerprint, false);
            events.extend(self.update_state(update.fingerprint, now));
        }
        self.drop_excess();
        events
    }

    /// Merges the record of the store, read at a time of day.
    pub fn on_stored(
        &mut self,
        record: &QuarantineRecord,
        now: Instant,
        now_unix_ms: u64,
    ) -> Vec<QuarantineEvent> {
        let stored = record.suspects.iter().filter_map(|stored| stored.to_update(now_unix_ms));
        let stored: Vec<SuspectUpdate> = stored.collect();
        let events = self.on_updates(&stored, UpdateSource::Store, now);
        self.record_stored(&stored);
        events
    }

    /// The record that the store should keep, if it lacks anything that this VM is due to write.
    pub fn due_record(&self, now: Instant, now_unix_ms: u64) -> Option<QuarantineRecord> {
        self.is_write_due(now).then(|| self.record(now, now_unix_ms))
    }

    /// Whether the store lacks anything that this VM is due to write.
    pub fn is_write_due(&self, now: Instant) -> bool {
        let is_due = |suspect: &Suspect| {
            suspect.needs_store() && suspect.store_from.is_some_and(|at| at <= now)
        };
        self.suspects.values().any(is_due)
    }

    /// The record that the store should keep.
    pub fn record(&self, now: Instant, now_unix_ms: u64) -> QuarantineRecord {
        let mut kept: Vec<_> =
            self.suspects.iter().filter(|(_, suspect)| suspect.is_kept()).collect();
        kept.sort_by_key(|(_, suspect)| {
            std::cmp::Reverse((suspect.is_quarantined, suspect.newest()))
        });
        kept.truncate(MAX_STORED);
        let to_stored = |(fingerprint, suspect): (&Fingerprint, &Suspect)| {
            StoredSuspect::from_update(&suspect.to_update(*fingerprint, now), now_unix_ms)
        };
        let suspects = kept.into_iter().map(to_stored).collect();
        QuarantineRecord { suspects, parts: Vec::new() }
    }

    /// Records that the store accepted a record.
    pub fn on_written(&mut self, record: &QuarantineRecord, now_unix_ms: u64) {
        let stored: Vec<SuspectUpdate> =
            record.suspects.iter().filter_map(|stored| stored.to_update(now_unix_ms)).collect();
        self.record_stored(&stored);
        if record.suspects.len() < MAX_STORED {
            return;
        }
        // Suspects that did not fit are written with their next change.
        for suspect in self.suspects.values_mut() {
            suspect.store_from = None;
        }
    }

    fn record_stored(&mut self, stored: &[SuspectUpdate]) {
        self.suspects.values_mut().for_each(|suspect| suspect.stored = None);
        for update in stored {
            if let Some(suspect) = self.suspects.get_mut(&update.fingerprint) {
                suspect.stored = Some(StoredSummary::of(update));
            }
        }
    }

    /// Newest change that other VMs should receive without delay.
    pub fn newest_urgent(&self) -> ChangeNumber {
        self.newest_urgent
    }

    /// Changes after `since`, at most `max` of them, the oldest first.
    pub fn updates_since(&self, since: ChangeNumber, max: usize, now: Instant) -> QuarantineUpdate {
        self.updates(since, max, now, |suspect| suspect.changed)
    }

    /// As [`Self::updates_since`], restricted to changes that this VM observed itself.
    pub fn observed_updates_since(
        &self,
        since: ChangeNumber,
        max: usize,
        now: Instant,
    ) -> QuarantineUpdate {
        self.updates(since, max, now, |suspect| suspect.observed)
    }

    fn updates(
        &self,
        since: ChangeNumber,
        max: usize,
        now: Instant,
        change_of: impl Fn(&Suspect) -> ChangeNumber,
    ) -> QuarantineUpdate {
        let changes = self.suspects.iter();
        let changes = changes.map(|(fingerprint, suspect)| (change_of(suspect), *fingerprint));
        let (up_to, included) = changes_since(changes, since, self.newest_change, max);
        let suspects = included.iter().filter_map(|fingerprint| {
            Some(self.suspects.get(fingerprint)?.to_update(*fingerprint, now))
        });
        QuarantineUpdate { up_to, suspects: suspects.collect() }
    }

    /// Numbers a change. It is urgent if one more crash quarantines the request, or it is quarantined already.
    fn record_change(&mut self, fingerprint: Fingerprint, is_observed: bool) {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else { return };
        self.newest_change += 1;
        suspect.changed = self.newest_change;
        let is_urgent = suspect.crash_count(&self.explained) >= URGENT_CRASHES;
        if is_urgent {
            self.newest_urgent = self.newest_change;
        }
        // A crash that was observed here and waits to be reported is reported together with others.
        if is_observed || (is_urgent && suspect.report_at.is_some()) {
            suspect.observed = self.newest_change;
            suspect.report_at = None;
        }
    }

    /// Updates whether a request is quarantined and returns an event if that changed.
    fn update_state(&mut self, fingerprint: Fingerprint, now: Instant) -> Vec<QuarantineEvent> {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return Vec::new();
        };
        let quarantined_for = suspect.quarantined_for(&self.explained, now);
        let was_quarantined =
            std::mem::replace(&mut suspect.is_quarantined, quarantined_for.is_some());
        match (was_quarantined, quarantined_for) {
            (false, Some(term)) => {
                let endpoints = suspect.endpoints();
                vec![QuarantineEvent::Quarantined { fingerprint, endpoints, term }]
            }
            (true, None) => vec![QuarantineEvent::Released { fingerprint }],
            _ => Vec::new(),
        }
    }

    /// Removes the suspects with the fewest and oldest crashes beyond the maximum.
    fn drop_excess(&mut self) {
        while self.suspects.len() > MAX_SUSPECTS {
            let least = self
                .suspects
                .iter()
                .min_by_key(|(_, s)| (s.crash_count(&self.explained), s.newest()));
            let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) else { return };
            self.suspects.remove(&fingerprint);
        }
    }
}

/// Whether an update contains anything within the retention time.
fn is_recent(update: &SuspectUpdate) -> bool {
    let retention_ms = RETENTION.as_millis() as u64;
    let ages = update.crashes.iter().map(|crash| crash.age_ms).chain(update.cleared_age_ms);
    ages.min().is_some_and(|age_ms| age_ms < retention_ms)
}
