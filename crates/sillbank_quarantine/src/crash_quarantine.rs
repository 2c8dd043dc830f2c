//! The suspected requests and parts of one VM: records crashes and good runs, and decides whether a request may be sent.

use crate::evidence::CrashEvidence;
use crate::fingerprint::Fingerprint;
use crate::good_runs::GoodRuns;
use crate::part_quarantine::{PartEvent, PartQuarantine};
use crate::part_updates::{PartUpdate, PartUpdates};
use crate::policy::{TRIAL_TIMEOUT, TRIAL_TURN};
use crate::quarantine::{Quarantine, QuarantineEvent, UpdateSource};
use crate::request_traits::{PartKey, RequestTraits};
use crate::updates::{ChangeNumber, QuarantineRecord, QuarantineUpdate, SuspectUpdate};
use crate::verdict::{Hold, HoldCause, Verdict};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A change of what is held back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HoldEvent {
    /// Of a request.
    Request(QuarantineEvent),
    /// Of a part of prompts.
    Part(PartEvent),
}

/// What is tried again after its term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum TrialSubject {
    Request(Fingerprint),
    Part(PartKey),
}

/// Which VM may try again what was held back. Only one of the fleet may at a time: each that did would crash an endpoint if
/// the cause still exists. The leaders of halls take turns, as callers of one hall do not reach the VMs of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrialTurns {
    /// Number of halls.
    pub halls: u32,
    /// Position of the hall that this VM leads, from 0; `None` if it leads none.
    pub own: Option<u32>,
}

impl TrialTurns {
    /// Whether it is this VM's turn at a time after the end of a term.
    fn is_own(self, since_term: Duration) -> bool {
        let turn = since_term.as_secs() / TRIAL_TURN.as_secs() % u64::from(self.halls.max(1));
        self.own.is_some_and(|own| u64::from(own) == turn)
    }
}

/// Requests and parts of prompts that are suspected or held back, as one VM knows them.
#[derive(Debug, Default)]
pub struct CrashQuarantine {
    requests: Quarantine,
    parts: PartQuarantine,
    good_runs: GoodRuns,
    /// When each current trial began.
    trials: BTreeMap<TrialSubject, Instant>,
}

impl CrashQuarantine {
    /// Records a crash of an endpoint within the suspicion window of a request.
    pub fn on_crash(&mut self, traits: &RequestTraits, crash: CrashEvidence<'_>) -> Vec<HoldEvent> {
        let CrashEvidence { endpoint, sent_at, at, .. } = crash;
        let of_request = self.requests.on_crash(traits.fingerprint, endpoint, sent_at, at);
        let mut of_parts = self.parts.set_repeated(self.requests.repeated_crashes());
        of_parts.extend(self.parts.on_crash(traits, crash, &self.good_runs));
        self.collect(of_request, of_parts, at)
    }

    /// Records that a request was seen to run well: to its end, or beyond the suspicion window.
    pub fn on_survived(&mut self, traits: &RequestTraits, now: Instant) -> Vec<HoldEvent> {
        for key in &traits.parts {
            self.good_runs.record(*key, traits.organisation, now);
            self.trials.remove(&TrialSubject::Part(*key));
        }
        self.trials.remove(&TrialSubject::Request(traits.fingerprint));
        if self.is_empty() {
            return Vec::new();
        }
        let of_request = self.requests.on_survived(traits.fingerprint, now);
        let of_parts = self.parts.on_survived(traits, now);
        self.collect(of_request, of_parts, now)
    }

    /// Why a request must not be sent, if it must not.
    pub fn hold(&self, traits: &RequestTraits, now: Instant) -> Option<Hold> {
        self.part_hold(traits, now).or_else(|| self.request_hold(traits, now))
    }

    /// Decides on a request that has arrived.
    pub fn admit(&mut self, traits: &RequestTraits, now: Instant, turns: TrialTurns) -> Verdict {
        let Some(hold) = self.hold(traits, now) else {
            return Verdict::Admit;
        };
        let subject = match self.parts.verdict(traits, now) {
            Some(verdict) => TrialSubject::Part(verdict.key),
            None => TrialSubject::Request(traits.fingerprint),
        };
        if self.begins_trial(traits, subject, now, turns) {
            return Verdict::Try;
        }
        match subject {
            TrialSubject::Part(key) => self.parts.on_refused(key, now),
            TrialSubject::Request(fingerprint) => self.requests.on_refused(fingerprint, now),
        }
        Verdict::Hold(hold)
    }

    /// Remaining time for which a request is isolated from others: an endpoint that ran it, or another request with one
    /// of its parts, crashed recently, and neither has run well since.
    pub fn isolated_for(&self, traits: &RequestTraits, now: Instant) -> Option<Duration> {
        let of_parts = self.parts.isolated_for(traits, now);
        of_parts.max(self.request_isolated_for(traits, now))
    }

    /// Number of crashes of a request, as it is, that count.
    pub fn crash_count(&self, fingerprint: Fingerprint) -> usize {
        self.requests.crash_count(fingerprint)
    }

    /// Whether nothing is suspected.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty() && self.parts.is_empty()
    }

    /// Number of quarantined requests and of all suspected ones.
    pub fn request_counts(&self) -> (usize, usize) {
        self.requests.counts()
    }

    /// Number of parts that are held back and of all suspected ones.
    pub fn part_counts(&self) -> (usize, usize) {
        self.parts.counts()
    }

    /// Advances time.
    pub fn on_tick(&mut self, now: Instant) -> Vec<HoldEvent> {
        self.trials.retain(|_, began_at| now.saturating_duration_since(*began_at) < TRIAL_TIMEOUT);
        let of_requests = self.requests.on_tick(now);
        let of_parts = self.parts.on_tick(now);
        self.collect(of_requests, of_parts, now)
    }

    /// Merges updates about requests from a VM.
    pub fn on_request_updates(
        &mut self,
        updates: &[SuspectUpdate],
        source: UpdateSource,
        now: Instant,
    ) -> Vec<HoldEvent> {
        let events = self.requests.on_updates(updates, source, now);
        self.collect(events, Vec::new(), now)
    }

    /// Merges updates about parts from a VM.
    pub fn on_part_updates(
        &mut self,
        updates: &[PartUpdate],
        source: UpdateSource,
        now: Instant,
    ) -> Vec<HoldEvent> {
        let events = self.parts.on_updates(updates, source, now, &self.good_runs);
        self.collect(Vec::new(), events, now)
    }

    /// Merges the record of the store, read at a time of day.
    pub fn on_stored(
        &mut self,
        record: &QuarantineRecord,
        now: Instant,
        now_unix_ms: u64,
    ) -> Vec<HoldEvent> {
        let of_requests = self.requests.on_stored(record, now, now_unix_ms);
        let stored = part_updates(record, now_unix_ms);
        let of_parts = self.parts.on_updates(&stored, UpdateSource::Store, now, &self.good_runs);
        self.parts.record_stored(&stored);
        self.collect(of_requests, of_parts, now)
    }

    /// The record that the store should keep, if it lacks anything that this VM is due to write.
    pub fn due_record(&self, now: Instant, now_unix_ms: u64) -> Option<QuarantineRecord> {
        if !self.requests.is_write_due(now) && !self.parts.is_write_due(now) {
            return None;
        }
        let parts = self.parts.stored_parts(now, now_unix_ms);
        Some(QuarantineRecord { parts, ..self.requests.record(now, now_unix_ms) })
    }

    /// Records that the store accepted a record.
    pub fn on_written(&mut self, record: &QuarantineRecord, now_unix_ms: u64) {
        self.requests.on_written(record, now_unix_ms);
        self.parts.on_written(&part_updates(record, now_unix_ms));
    }

    /// Newest changes of requests and of parts that other VMs should receive without delay.
    pub fn newest_urgent(&self) -> (ChangeNumber, ChangeNumber) {
        (self.requests.newest_urgent(), self.parts.newest_urgent())
    }

    /// Changes of requests after `since`, at most `max` of them, the oldest first.
    pub fn request_updates_since(
        &self,
        since: ChangeNumber,
        max: usize,
        now: Instant,
    ) -> QuarantineUpdate {
        self.requests.updates_since(since, max, now)
    }

    /// As [`Self::request_updates_since`], restricted to changes that this VM observed itself.
    pub fn observed_request_updates_since(
        &self,
        since: ChangeNumber,
        max: usize,
        now: Instant,
    ) -> QuarantineUpdate {
        self.requests.observed_updates_since(since, max, now)
    }

    /// Changes of parts after `since`, at most `max` of them, the oldest first.
    pub fn part_updates_since(&self, since: ChangeNumber, max: usize, now: Instant) -> PartUpdates {
        self.parts.updates_since(since, max, now)
    }

    /// As [`Self::part_updates_since`], restricted to changes that this VM observed itself.
    pub fn observed_part_updates_since(
        &self,
        since: ChangeNumber,
        max: usize,
        now: Instant,
    ) -> PartUpdates {
        self.parts.observed_updates_since(since, max, now)
    }

    fn part_hold(&self, traits: &RequestTraits, now: Instant) -> Option<Hold> {
        let verdict = self.parts.verdict(traits, now)?;
        Some(Hold {
            cause: HoldCause::Part(verdict.key.part),
            crashes: verdict.crashes,
            last_crash_age: now.saturating_duration_since(verdict.last_crash),
            retry_after: retry_after(verdict.term_left),
        })
    }

    fn request_hold(&self, traits: &RequestTraits, now: Instant) -> Option<Hold> {
        let fingerprint = traits.fingerprint;
        let term_left = match self.requests.quarantined_for(fingerprint, now) {
            Some(left) => left,
            None => {
                self.requests.since_term(fingerprint, now)?;
                Duration::ZERO
            }
        };
        let (_, last_crash) = self.requests.last_crash(fingerprint)?;
        Some(Hold {
            cause: HoldCause::Request,
            crashes: self.requests.crash_count(fingerprint),
            last_crash_age: now.saturating_duration_since(last_crash),
            retry_after: retry_after(term_left),
        })
    }

    /// Begins a trial if all terms that concern the request are over, it is this VM's turn, and its cause is not being tried.
    fn begins_trial(
        &mut self,
        traits: &RequestTraits,
        subject: TrialSubject,
        now: Instant,
        turns: TrialTurns,
    ) -> bool {
        let of_part = self.parts.verdict(traits, now).map(|verdict| verdict.since_term);
        let of_request = self.requests.since_term(traits.fingerprint, now);
        // A term that is not over yet has no time since its end.
        let Some(since_term) = of_part.or(of_request).flatten() else {
            return false;
        };
        let is_request_over = of_request.is_none_or(|since| since.is_some());
        let is_running =
            |began_at: &Instant| now.saturating_duration_since(*began_at) < TRIAL_TIMEOUT;
        if !is_request_over
            || !turns.is_own(since_term)
            || self.trials.get(&subject).is_some_and(is_running)
        {
            return false;
        }
        self.trials.insert(subject, now);
        true
    }

    fn request_isolated_for(&self, traits: &RequestTraits, now: Instant) -> Option<Duration> {
        let left = self.requests.isolated_for(traits.fingerprint, now)?;
        let (endpoint, _) = self.requests.last_crash(traits.fingerprint)?;
        let crashes = self.requests.crash_count(traits.fingerprint);
        let has_likelier_cause = self.parts.has_likelier_cause(traits, endpoint, crashes);
        (!has_likelier_cause).then_some(left)
    }

    fn collect(
        &mut self,
        of_requests: Vec<QuarantineEvent>,
        mut of_parts: Vec<PartEvent>,
        now: Instant,
    ) -> Vec<HoldEvent> {
        of_parts.extend(self.parts.set_repeated(self.requests.repeated_crashes()));
        let follows = self.requests.set_explained(self.parts.explained(), now);
        let of_requests = of_requests.into_iter().chain(follows).map(HoldEvent::Request);
        of_requests.chain(of_parts.into_iter().map(HoldEvent::Part)).collect()
    }
}

/// Time after which a request that is held back may come again. After the term it waits for the result of a trial.
fn retry_after(term_left: Duration) -> Duration {
    if term_left.is_zero() { TRIAL_TIMEOUT } else { term_left }
}

fn part_updates(record: &QuarantineRecord, now_unix_ms: u64) -> Vec<PartUpdate> {
    record.parts.iter().filter_map(|stored| stored.to_update(now_unix_ms)).collect()
}
