//! All suspected parts of prompts known to one VM.

use crate::attribution::{Attribution, HoldScope, PartHold, RepeatedCrashes};
use crate::evidence::CrashEvidence;
use crate::fingerprint::Fingerprint;
use crate::good_runs::GoodRuns;
use crate::part_suspect::{PartCrash, PartSuspect};
use crate::part_updates::{PartUpdate, PartUpdates, RequestTag, StoredPart};
use crate::policy::{
    EXONERATION_TIME, ISOLATION_TERM, MAX_PART_SUSPECTS, MAX_STORED_PARTS, OTHER_WRITER_DELAY,
    RETENTION, URGENT_CRASHES,
};
use crate::quarantine::UpdateSource;
use crate::request_traits::{OrganisationTag, PartKey, RequestTraits};
use crate::updates::{ChangeNumber, changes_since};
use sillbank_core::prelude::EndpointId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// A change of whether a part is held back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PartEvent {
    /// Requests with the part are held back from now on.
    Held {
        /// The part.
        key: PartKey,
        /// Incarnations of endpoints that crashed.
        endpoints: Vec<EndpointId>,
        /// Whether requests of all organisations are held back for which the part never ran well, or only those of
        /// organisations under whose own requests enough endpoints crashed.
        is_for_all: bool,
        /// Time after the last crash for which nobody tries the part again.
        term: Duration,
    },
    /// Crashes no longer speak against the part.
    Released {
        /// The part.
        key: PartKey,
    },
}

/// Why a request with a part is held back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PartVerdict {
    pub(crate) key: PartKey,
    /// Crashes that count.
    pub(crate) crashes: usize,
    /// Time of the last of them.
    pub(crate) last_crash: Instant,
    /// Time left until the part may be tried again.
    pub(crate) term_left: Duration,
    /// Time since the end of the term; `None` if it is not over.
    pub(crate) since_term: Option<Duration>,
}

/// Suspected parts known to one VM.
#[derive(Debug, Default)]
pub(crate) struct PartQuarantine {
    suspects: BTreeMap<PartKey, PartSuspect>,
    attribution: Attribution,
    /// Crashes under single requests that came again and again.
    repeated: BTreeSet<RepeatedCrashes>,
    newest_change: ChangeNumber,
    /// Newest change that other VMs should receive without delay.
    newest_urgent: ChangeNumber,
}

/// Hash that distinguishes the requests under which endpoints crashed.
fn request_tag(fingerprint: Fingerprint) -> RequestTag {
    fingerprint as RequestTag
}

impl PartQuarantine {
    /// Records a crash of an endpoint within the suspicion window of a request. Parts that ran well for its organisation
    /// shortly before are no suspects.
    pub(crate) fn on_crash(
        &mut self,
        traits: &RequestTraits,
        crash: CrashEvidence<'_>,
        good_runs: &GoodRuns,
    ) -> Vec<PartEvent> {
        let (mut changed, now) = (Vec::new(), crash.at);
        for key in &traits.parts {
            let last_run = good_runs.last(*key, traits.organisation, now);
            if last_run.is_some_and(|run| now < run + EXONERATION_TIME) {
                continue;
            }
            let suspect = self.suspects.entry(*key).or_default();
            let crash = PartCrash {
                endpoint: crash.endpoint.to_owned(),
                at: now,
                since_send: crash.since_send(),
                ran_for: crash.ran_for,
                request: request_tag(traits.fingerprint),
                organisation: traits.organisation,
            };
            if suspect.add_crash(crash) {
                suspect.store_from = Some(now);
                add_known_runs(*key, suspect, good_runs, now);
                changed.push(*key);
            }
        }
        self.on_changed(&changed, true)
    }

    /// Records that a request was seen to run well, for those of its parts that are suspected.
    pub(crate) fn on_survived(&mut self, traits: &RequestTraits, now: Instant) -> Vec<PartEvent> {
        let mut changed = Vec::new();
        for key in &traits.parts {
            let Some(suspect) = self.suspects.get_mut(key) else { continue };
            if suspect.add_good_run(traits.organisation, now) {
                suspect.store_from = Some(now);
                changed.push(*key);
            }
        }
        self.on_changed(&changed, true)
    }

    /// Merges updates from a VM or the store, and adds the good runs that this VM remembers.
    pub(crate) fn on_updates(
        &mut self,
        updates: &[PartUpdate],
        source: UpdateSource,
        now: Instant,
        good_runs: &GoodRuns,
    ) -> Vec<PartEvent> {
        let (mut merged, mut refuted) = (Vec::new(), Vec::new());
        for update in updates.iter().filter(|update| is_recent(update)) {
            let suspect = self.suspects.entry(update.key).or_default();
            if suspect.merge(update, now) {
                suspect.store_from = Some(match source {
                    UpdateSource::Member => now,
                    UpdateSource::Leader | UpdateSource::Store => now + OTHER_WRITER_DELAY,
                });
                merged.push(update.key);
            }
            if add_known_runs(update.key, suspect, good_runs, now) {
                refuted.push(update.key);
            }
        }
        let mut events = self.on_changed(&merged, false);
        events.extend(self.on_changed(&refuted, true));
        events
    }

    /// Removes old suspects.
    pub(crate) fn on_tick(&mut self, now: Instant) -> Vec<PartEvent> {
        let before = self.suspects.len();
        self.suspects.retain(|_, suspect| !suspect.is_expired(now));
        match self.suspects.len() == before {
            true => Vec::new(),
            false => self.update_attribution(),
        }
    }

    /// The part for which a request is held back.
    pub(crate) fn verdict(&self, traits: &RequestTraits, now: Instant) -> Option<PartVerdict> {
        let held = traits.parts.iter().filter_map(|key| {
            let (hold, suspect) = (self.attribution.holds.get(key)?, self.suspects.get(key)?);
            applies(hold, suspect, traits.organisation).then_some((*key, hold))
        });
        let verdicts = held.map(|(key, hold)| {
            let age = now.saturating_duration_since(hold.last_crash);
            PartVerdict {
                key,
                crashes: hold.crashes,
                last_crash: hold.last_crash,
                term_left: hold.term.saturating_sub(age),
                since_term: age.checked_sub(hold.term),
            }
        });
        verdicts.max_by_key(|verdict| (verdict.term_left, verdict.crashes))
    }

    /// Records that a request was refused because of a part, so that the part is remembered while such requests come.
    pub(crate) fn on_refused(&mut self, key: PartKey, now: Instant) {
        if let Some(suspect) = self.suspects.get_mut(&key) {
            suspect.refused_at = Some(now);
        }
    }

    /// Remaining time for which a request is isolated from others: an endpoint crashed recently under a part of it that
    /// has not run well, and no other part explains the crash.
    pub(crate) fn isolated_for(&self, traits: &RequestTraits, now: Instant) -> Option<Duration> {
        let suspects = traits.parts.iter().filter_map(|key| Some((key, self.suspects.get(key)?)));
        let crashes = suspects.flat_map(|(key, suspect)| {
            let is_held = self.attribution.holds.contains_key(key);
            let is_explained =
                move |endpoint: &str| !is_held && self.attribution.explained.contains(endpoint);
            suspect.unrefuted_crashes().filter(move |crash| !is_explained(&crash.endpoint))
        });
        let last_crash = crashes.map(|crash| crash.at).max()?;
        let left = ISOLATION_TERM.checked_sub(now.saturating_duration_since(last_crash));
        left.filter(|left| !left.is_zero())
    }

    /// Whether a part that a request does not have is more likely the cause of a crash than the request: more endpoints
    /// crashed under it.
    pub(crate) fn has_likelier_cause(
        &self,
        traits: &RequestTraits,
        endpoint: &str,
        crashes_of_request: usize,
    ) -> bool {
        self.suspects.iter().any(|(key, suspect)| {
            !traits.parts.contains(key)
                && suspect.unrefuted_crashes().any(|crash| crash.endpoint == endpoint)
                && suspect.endpoint_count() > crashes_of_request
        })
    }

    /// Incarnations of endpoints that crashed under parts that are held back.
    pub(crate) fn explained(&self) -> &BTreeSet<EndpointId> {
        &self.attribution.explained
    }

    /// Whether no part is suspected.
    pub(crate) fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Number of parts that are held back and of all suspects.
    pub(crate) fn counts(&self) -> (usize, usize) {
        (self.attribution.holds.len(), self.suspects.len())
    }

    /// Newest change that other VMs should receive without delay.
    pub(crate) fn newest_urgent(&self) -> ChangeNumber {
        self.newest_urgent
    }

    /// Changes after `since`, at most `max` of them, the oldest first.
    pub(crate) fn updates_since(
        &self,
        since: ChangeNumber,
        max: usize,
        now: Instant,
    ) -> PartUpdates {
        self.updates(since, max, now, |suspect| suspect.changed)
    }

    /// As [`Self::updates_since`], restricted to changes that this VM observed itself.
    pub(crate) fn observed_updates_since(
        &self,
        since: ChangeNumber,
        max: usize,
        now: Instant,
    ) -> PartUpdates {
        self.updates(since, max, now, |suspect| suspect.observed)
    }

    fn updates(
        &self,
        since: ChangeNumber,
        max: usize,
        now: Instant,
        change_of: impl Fn(&PartSuspect) -> ChangeNumber,
    ) -> PartUpdates {
        let changes = self.suspects.iter().map(|(key, suspect)| (change_of(suspect), *key));
        let (up_to, included) = changes_since(changes, since, self.newest_change, max);
        let parts =
            included.iter().filter_map(|key| Some(self.suspects.get(key)?.to_update(*key, now)));
        PartUpdates { up_to, parts: parts.collect() }
    }

    /// Whether the store lacks anything that this VM is due to write.
    pub(crate) fn is_write_due(&self, now: Instant) -> bool {
        self.suspects.values().any(|suspect| {
            suspect.store_from.is_some_and(|from| from <= now)
                && is_kept(suspect)
                && suspect.stored != Some(suspect.summary())
        })
    }

    /// The parts that the store should keep: one more crash may hold them back, or the store has them already.
    pub(crate) fn stored_parts(&self, now: Instant, now_unix_ms: u64) -> Vec<StoredPart> {
        let mut kept: Vec<_> =
            self.suspects.iter().filter(|(_, suspect)| is_kept(suspect)).collect();
        let is_held = |key: &PartKey| self.attribution.holds.contains_key(key);
        kept.sort_by_key(|(key, suspect)| {
            std::cmp::Reverse((is_held(key), suspect.endpoint_count(), suspect.last_crash()))
        });
        kept.truncate(MAX_STORED_PARTS);
        let to_stored = |(key, suspect): (&PartKey, &PartSuspect)| {
            StoredPart::from_update(&suspect.to_update(*key, now), now_unix_ms)
        };
        kept.into_iter().map(to_stored).collect()
    }

    /// Records which parts the store has.
    pub(crate) fn record_stored(&mut self, stored: &[PartUpdate]) {
        self.suspects.values_mut().for_each(|suspect| suspect.stored = None);
        for update in stored {
            if let Some(suspect) = self.suspects.get_mut(&update.key) {
                suspect.stored = Some((update.crashes.len(), update.good_runs.len()));
            }
        }
    }

    /// Records that the store accepted these parts. Those that did not fit are written with their next change.
    pub(crate) fn on_written(&mut self, stored: &[PartUpdate]) {
        self.record_stored(stored);
        if stored.len() < MAX_STORED_PARTS {
            return;
        }
        self.suspects.values_mut().for_each(|suspect| suspect.store_from = None);
    }

    /// Numbers the changes of parts, and attributes crashes anew.
    fn on_changed(&mut self, changed: &[PartKey], is_observed: bool) -> Vec<PartEvent> {
        if changed.is_empty() {
            return Vec::new();
        }
        for key in changed {
            let Some(suspect) = self.suspects.get_mut(key) else { continue };
            self.newest_change += 1;
            suspect.changed = self.newest_change;
            if is_observed {
                suspect.observed = self.newest_change;
            }
            if suspect.endpoint_count() >= URGENT_CRASHES {
                self.newest_urgent = self.newest_change;
            }
        }
        self.drop_excess();
        self.update_attribution()
    }

    /// Sets the crashes under single requests that came again and again.
    pub(crate) fn set_repeated(&mut self, repeated: BTreeSet<RepeatedCrashes>) -> Vec<PartEvent> {
        match std::mem::replace(&mut self.repeated, repeated) == self.repeated {
            true => Vec::new(),
            false => self.update_attribution(),
        }
    }

    fn update_attribution(&mut self) -> Vec<PartEvent> {
        let attribution = Attribution::new(&self.suspects, &self.repeated);
        let before = std::mem::replace(&mut self.attribution, attribution);
        let holds = &self.attribution.holds;
        let released = before.holds.keys().filter(|key| !holds.contains_key(key));
        let released = released.map(|key| PartEvent::Released { key: *key });
        let held = holds.iter().filter(|(key, _)| !before.holds.contains_key(key));
        let held = held.map(|(key, hold)| self.held_event(*key, hold));
        released.chain(held).collect()
    }

    fn held_event(&self, key: PartKey, hold: &PartHold) -> PartEvent {
        let crashes = self.suspects.get(&key).into_iter().flat_map(PartSuspect::crashes);
        let endpoints: BTreeSet<EndpointId> = crashes.map(|crash| crash.endpoint.clone()).collect();
        PartEvent::Held {
            key,
            endpoints: endpoints.into_iter().collect(),
            is_for_all: matches!(hold.scope, HoldScope::All(_)),
            term: hold.term,
        }
    }

    /// Removes the suspects with the fewest and oldest crashes beyond the maximum.
    fn drop_excess(&mut self) {
        let excess = self.suspects.len().saturating_sub(MAX_PART_SUSPECTS);
        if excess == 0 {
            return;
        }
        let mut ranked: Vec<_> = self
            .suspects
            .iter()
            .map(|(key, suspect)| (suspect.endpoint_count(), suspect.last_crash(), *key))
            .collect();
        ranked.sort_unstable();
        for (_, _, key) in ranked.into_iter().take(excess) {
            self.suspects.remove(&key);
        }
    }
}

/// Whether a hold concerns an organisation. One for which the part ran well is held back by crashes under its own requests
/// only, so that no organisation can have another's requests refused.
fn applies(hold: &PartHold, suspect: &PartSuspect, organisation: OrganisationTag) -> bool {
    match &hold.scope {
        HoldScope::Organisations(held) => held.contains(&organisation),
        HoldScope::All(held) => held.contains(&organisation) || !suspect.ran_well_for(organisation),
    }
}

/// Adds the remembered good runs of a part and returns whether any was unknown.
fn add_known_runs(
    key: PartKey,
    suspect: &mut PartSuspect,
    good_runs: &GoodRuns,
    now: Instant,
) -> bool {
    let known = good_runs.of_part(key, now);
    known.fold(false, |has_changed, (tag, at)| suspect.add_good_run(tag, at) || has_changed)
}

fn is_kept(suspect: &PartSuspect) -> bool {
    suspect.endpoint_count() >= URGENT_CRASHES || suspect.stored.is_some()
}

/// Whether an update contains a crash within the retention time.
fn is_recent(update: &PartUpdate) -> bool {
    let retention_ms = RETENTION.as_millis() as u64;
    update.crashes.iter().any(|crash| crash.age_ms < retention_ms)
}
