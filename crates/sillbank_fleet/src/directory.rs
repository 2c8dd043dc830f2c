//! The endpoints that this VM knows.

use crate::difference::{ChangeNumber, Difference, Tombstones};
use crate::incarnations::{IncarnationOrder, compare_incarnations};
use crate::reachability::{LAPSE_GRACE, StoreFailure, StoreReachability};
use crate::record::{BornMs, EndpointRecord, Listing, Standing, UnreadableEntry};
use crate::restore::RestoreGuard;
use serde::{Deserialize, Serialize};
use sillbank_core::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// A change of one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The entry is new or has changed.
    Put(EndpointRecord),
    /// The entry was removed.
    Removed {
        /// Endpoint of the entry.
        id: EndpointId,
        /// Start of the incarnation that wrote it; `None` if that is not known.
        born_ms: Option<BornMs>,
    },
    /// The entry can no longer be read.
    Unreadable(UnreadableEntry),
    /// The entry is no longer listed, but may only have lapsed, so its endpoint is still used. Only
    /// reported by other VMs.
    Lapsed {
        /// Endpoint of the entry.
        id: EndpointId,
        /// Time left of its grace period at the reporting VM, in milliseconds.
        left_ms: u64,
    },
}

/// Whether an entry is still listed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ListingState {
    /// It is listed.
    Listed,
    /// It may have lapsed, judging by the store's reachability from this VM.
    MayHaveLapsed,
    /// Another VM reported that it may have lapsed; it is evicted at this moment.
    ReportedLapsed(Instant),
}

/// What the removal of an entry means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Removal {
    /// The endpoint has left and gets no more work.
    Gone,
    /// The entry may have lapsed while the store was unreachable; the endpoint stays usable.
    Lapsed,
    /// There was no such entry.
    Unknown,
    /// The entry of an older incarnation was removed from a store that had been restored from a
    /// copy. The store has no entry of the newer incarnation either, so that one counts as lapsed.
    OlderLife,
}

#[derive(Debug, Clone)]
struct Entry {
    record: EndpointRecord,
    /// The newest known incarnation, from the entry or from the endpoint's own report.
    newest_incarnation: Option<BornMs>,
    listing: ListingState,
    /// Number of the last change of this entry.
    number: ChangeNumber,
}

/// Endpoint entries by id, with the changes that other directories need.
#[derive(Debug, Default)]
pub struct Directory {
    entries: BTreeMap<EndpointId, Entry>,
    reachability: StoreReachability,
    newest: ChangeNumber,
    /// Entries by the numbers of their last changes.
    by_number: BTreeMap<ChangeNumber, EndpointId>,
    tombstones: Tombstones,
    /// Endpoints found to have restarted, until they are taken.
    restarted: Vec<EndpointId>,
    /// Set for a while after the store was restored from a copy.
    restored: Option<RestoreGuard>,
    /// Endpoints whose entries were held back, until they are taken.
    held_back: Vec<EndpointId>,
    /// Number of times a full read was required.
    rereads: u64,
}

impl Directory {
    /// Records that a call to the store failed.
    pub fn on_store_failure(&mut self, now: Instant, failure: StoreFailure) {
        self.reachability.on_failure(now, failure);
    }

    /// Records that a call to the store, sent at `sent`, failed; returns whether that is a failure
    /// of the store. It is not if a call that was sent later was answered, to this VM or another
    /// one.
    pub fn on_call_failed(&mut self, sent: Instant, now: Instant, failure: StoreFailure) -> bool {
        let is_store_failure = !self.reachability.is_superseded(sent);
        if is_store_failure {
            self.reachability.on_failure(now, failure);
        }
        is_store_failure
    }

    /// Records that an answer of the store arrived.
    pub fn on_store_answer(&mut self, now: Instant) {
        self.reachability.on_answer(now);
    }

    /// Records that a call to the store, sent at `sent`, was answered.
    pub fn on_call_answered(&mut self, sent: Instant) {
        self.reachability.on_answered(sent);
    }

    /// Records that the store answered a call sent at `sent`, by this VM or by another one that
    /// reports it. Ends an outage only if that was after the last failed call.
    pub fn on_store_reachable(&mut self, sent: Instant) {
        self.reachability.on_reachable(sent);
    }

    /// Records that the store answered this VM. Ends an outage even if the call was sent before
    /// others failed.
    pub fn on_store_recovered(&mut self, now: Instant) {
        self.reachability.on_recovered(now);
    }

    /// Whether an entry that is missing at `now` may have lapsed.
    pub fn may_lapse(&self, now: Instant) -> bool {
        self.reachability.may_lapse(now)
    }

    /// Records that the store was restored from a copy. Missing entries may be written again, and
    /// entries of endpoints that were known to be leaving are held back.
    pub fn on_restored(&mut self, now: Instant) {
        self.reachability.on_restored(now);
        self.restored = Some(RestoreGuard::new(now, self.newest));
    }

    /// Applies a complete listing; returns what the removal of each missing entry means.
    pub fn on_listing(
        &mut self,
        now: Instant,
        listing: impl Into<Listing>,
    ) -> Vec<(EndpointId, Removal)> {
        let Listing { records, unreadable } = listing.into();
        let ids = records.iter().map(|record| &record.id);
        let ids = ids.chain(unreadable.iter().map(|entry| &entry.id));
        let listed: BTreeSet<EndpointId> = ids.cloned().collect();
        let is_missing = |id: &&EndpointId| !listed.contains(*id);
        let missing: Vec<EndpointId> = self.entries.keys().filter(is_missing).cloned().collect();
        for record in records {
            self.put(record);
        }
        for entry in unreadable {
            self.on_unreadable(&entry.id);
        }
        missing.into_iter().map(|id| (id.clone(), self.remove_unless_lapsed(now, &id))).collect()
    }

    /// Applies a change from a VM that has already decided what lapsed and what is gone; returns
    /// whether an entry was removed.
    pub fn on_replicated_change(&mut self, now: Instant, change: Change) -> bool {
        match change {
            Change::Put(record) => {
                self.put(record);
                false
            }
            Change::Removed { id, born_ms } => match self.is_older_incarnation(&id, born_ms) {
                true => {
                    self.mark_lapsed(&id, ListingState::MayHaveLapsed);
                    false
                }
                false => self.evict(&id),
            },
            Change::Unreadable(entry) => {
                self.on_unreadable(&entry.id);
                false
            }
            Change::Lapsed { id, left_ms } => {
                self.on_reported_lapse(now, &id, left_ms);
                false
            }
        }
    }

    /// Records the incarnation that an endpoint reported itself. If it is newer than the one that
    /// wrote the entry, the layers of the entry are dropped; the rest stays valid until the newer
    /// incarnation writes its own entry.
    pub fn on_incarnation(&mut self, id: &str, born_ms: BornMs) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        let order = compare_incarnations(Some(born_ms), entry.newest_incarnation);
        if order == IncarnationOrder::Older {
            return;
        }
        entry.newest_incarnation = Some(born_ms);
        if order == IncarnationOrder::Same {
            return;
        }
        let (record, listing) = (entry.record.clone(), entry.listing);
        self.restarted.push(id.to_owned());
        self.upsert(EndpointRecord { layers: None, ..record }, Some(born_ms), listing);
    }

    /// The newest known incarnation of an endpoint.
    pub fn newest_incarnation(&self, id: &str) -> Option<BornMs> {
        self.entries.get(id)?.newest_incarnation
    }

    /// Takes the endpoints found to have restarted since the last call.
    pub fn take_restarted(&mut self) -> Vec<EndpointId> {
        std::mem::take(&mut self.restarted)
    }

    /// Takes the endpoints that a restored store listed again and that were held back since the
    /// last call.
    pub fn take_held_back(&mut self) -> Vec<EndpointId> {
        std::mem::take(&mut self.held_back)
    }

    /// Number of times so far that a full read was required, from the store or from the VM whose
    /// directory is replicated.
    pub fn rereads(&self) -> u64 {
        self.rereads
    }

    /// Removes all entries but the listed ones; returns the ids of the removed ones.
    pub fn retain_listed(&mut self, listed: &BTreeSet<EndpointId>) -> Vec<EndpointId> {
        let is_missing = |id: &&EndpointId| !listed.contains(*id);
        let missing: Vec<EndpointId> = self.entries.keys().filter(is_missing).cloned().collect();
        for id in &missing {
            self.evict(id);
        }
        missing
    }

    /// Number of the newest change; 0 if there was none.
    pub fn newest_change(&self) -> ChangeNumber {
        self.newest
    }

    /// The next `limit` changes, by number, for a directory that has seen the changes up to
    /// `since`. A snapshot of all entries is started if tombstones after `since` were dropped, or
    /// if there was no such change.
    pub fn difference(&self, now: Instant, since: ChangeNumber, limit: usize) -> Difference {
        let is_unknown = since == 0 || since > self.newest;
        let starts_snapshot = is_unknown || self.tombstones.are_incomplete_after(since);
        let since = if starts_snapshot { 0 } else { since };
        // One more than the limit shows whether there are more.
        let mut numbered: Vec<(ChangeNumber, Change)> =
            self.entries_since(now, since).take(limit + 1).collect();
        if !starts_snapshot {
            let removed = self.tombstones.since(since).take(limit + 1);
            numbered.extend(removed);
            numbered.sort_unstable_by_key(|(number, _)| *number);
        }
        let has_more = numbered.len() > limit;
        numbered.truncate(limit);
        let seen = match numbered.last() {
            Some((number, _)) if has_more => *number,
            _ => self.newest,
        };
        let changes = numbered.into_iter().map(|(_, change)| change).collect();
        Difference { starts_snapshot, changes, has_more, seen }
    }

    /// Applies one change read from the store; returns what a removal means.
    pub fn on_change(&mut self, now: Instant, change: Change) -> Option<Removal> {
        match change {
            Change::Put(record) => {
                self.put(record);
                None
            }
            Change::Removed { id, born_ms } => match self.is_older_incarnation(&id, born_ms) {
                true => {
                    self.mark_lapsed(&id, ListingState::MayHaveLapsed);
                    Some(Removal::OlderLife)
                }
                false => Some(self.remove_unless_lapsed(now, &id)),
            },
            Change::Unreadable(entry) => {
                self.on_unreadable(&entry.id);
                None
            }
            Change::Lapsed { id, left_ms } => {
                self.on_reported_lapse(now, &id, left_ms);
                None
            }
        }
    }

    /// Evicts lapsed entries whose grace period is over; returns their ids. Requires a full read
    /// once the hold after a restore of the store has ended, if entries were held back.
    pub fn on_tick(&mut self, now: Instant) -> Vec<EndpointId> {
        if let Some(guard) = self.restored.take_if(|guard| guard.is_expired(now)) {
            self.rereads += u64::from(guard.has_held_back());
        }
        let may_lapse = self.reachability.may_lapse(now);
        if !may_lapse {
            self.reachability.end_grace();
        }
        let mut expired: Vec<EndpointId> = Vec::new();
        for (id, entry) in &self.entries {
            let is_expired = match entry.listing {
                ListingState::Listed => false,
                ListingState::MayHaveLapsed => !may_lapse,
                ListingState::ReportedLapsed(until) => now >= until,
            };
            if is_expired {
                expired.push(id.clone());
            }
        }
        for id in &expired {
            self.evict(id);
        }
        expired
    }

    /// When the next lapsed entry is evicted; `None` if there is none or the store is unreachable.
    pub fn next_eviction(&self) -> Option<Instant> {
        let ends = self.entries.values().filter_map(|entry| match entry.listing {
            ListingState::Listed => None,
            ListingState::MayHaveLapsed => self.reachability.grace_end(),
            ListingState::ReportedLapsed(until) => Some(until),
        });
        ends.min()
    }

    /// An entry, whether or not its endpoint accepts new work.
    pub fn get(&self, id: &str) -> Option<&EndpointRecord> {
        self.entries.get(id).map(|entry| &entry.record)
    }

    /// An entry whose endpoint accepts new work.
    pub fn usable(&self, id: &str) -> Option<&EndpointRecord> {
        self.get(id).filter(|record| record.standing == Standing::Ready)
    }

    /// All entries, sorted by id.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// The endpoints of a service that accept new work, sorted by id.
    pub fn usable_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a EndpointRecord> {
        let is_usable = move |record: &&EndpointRecord| {
            record.service == service && record.standing == Standing::Ready
        };
        self.iter().filter(is_usable)
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn entries_since(
        &self,
        now: Instant,
        since: ChangeNumber,
    ) -> impl Iterator<Item = (ChangeNumber, Change)> {
        let lapsed = |id: &EndpointId, left: Duration| Change::Lapsed {
            id: id.clone(),
            left_ms: left.as_millis() as u64,
        };
        self.by_number.range(since.saturating_add(1)..).filter_map(move |(number, id)| {
            let entry = self.entries.get(id)?;
            let change = match entry.listing {
                ListingState::Listed => Change::Put(entry.record.clone()),
                ListingState::MayHaveLapsed => lapsed(id, self.reachability.grace_left(now)),
                ListingState::ReportedLapsed(until) => {
                    lapsed(id, until.saturating_duration_since(now))
                }
            };
            Some((*number, change))
        })
    }

    /// Whether an entry is outdated because the store was restored from a copy that does not know
    /// yet that the endpoint is leaving or has left.
    fn is_undone_by_restore(&self, record: &EndpointRecord) -> bool {
        let Some(guard) = &self.restored else { return false };
        if record.standing != Standing::Ready {
            return false;
        }
        let (has_left, newest_incarnation) = match self.entries.get(&record.id) {
            Some(entry) => (entry.record.standing == Standing::Leaving, entry.newest_incarnation),
            None => {
                let removal = self.tombstones.number_of(&record.id);
                let was_removed = removal.is_some_and(|number| number <= guard.newest_before);
                (was_removed, self.tombstones.newest_incarnation(&record.id))
            }
        };
        has_left
            && compare_incarnations(record.born_ms, newest_incarnation) != IncarnationOrder::Newer
    }

    /// Applies an entry unless an older incarnation wrote it or it is held back.
    fn put(&mut self, mut record: EndpointRecord) {
        let is_undone = self.is_undone_by_restore(&record);
        if let Some(guard) = self.restored.as_mut().filter(|_| is_undone) {
            if guard.hold_back(&record.id) {
                self.held_back.push(record.id);
            }
            return;
        }
        let entry = self.entries.get(&record.id);
        let written_by = entry.and_then(|entry| entry.record.born_ms);
        let newest_incarnation = match entry {
            Some(entry) => entry.newest_incarnation,
            None => self.tombstones.newest_incarnation(&record.id),
        };
        // Without an entry, only the incarnation in the tombstone is known.
        let known_incarnation = if entry.is_some() { written_by } else { newest_incarnation };
        if compare_incarnations(record.born_ms, known_incarnation) == IncarnationOrder::Older {
            return;
        }
        record.born_ms = record.born_ms.or(written_by);
        match compare_incarnations(record.born_ms, newest_incarnation) {
            IncarnationOrder::Newer => self.restarted.push(record.id.clone()),
            IncarnationOrder::Older => record.layers = None,
            IncarnationOrder::Same => {}
        }
        let newest_incarnation = record.born_ms.max(newest_incarnation);
        self.upsert(record, newest_incarnation, ListingState::Listed);
    }

    fn upsert(
        &mut self,
        record: EndpointRecord,
        newest_incarnation: Option<BornMs>,
        listing: ListingState,
    ) {
        if let Some(entry) = self.entries.get_mut(&record.id)
            && entry.record == record
            && entry.listing == listing
        {
            entry.newest_incarnation = newest_incarnation;
            return;
        }
        self.newest += 1;
        self.tombstones.remove(&record.id);
        self.by_number.insert(self.newest, record.id.clone());
        let entry = Entry { listing, newest_incarnation, number: self.newest, record };
        if let Some(before) = self.entries.insert(entry.record.id.clone(), entry) {
            self.by_number.remove(&before.number);
        }
    }

    /// Marks an endpoint whose entry cannot be read as leaving: it gets no new work until the entry
    /// can be read again.
    fn on_unreadable(&mut self, id: &str) {
        if let Some(entry) = self.entries.get(id) {
            let newest_incarnation = entry.newest_incarnation;
            let record = EndpointRecord { standing: Standing::Leaving, ..entry.record.clone() };
            self.upsert(record, newest_incarnation, ListingState::Listed);
        }
    }

    /// Records that another VM reports an entry as possibly lapsed. This does not add the endpoint:
    /// a VM without its entry has seen the removal, or has not seen the endpoint yet. The grace
    /// period is not restarted, since the reporting VM may be lost before it ends.
    fn on_reported_lapse(&mut self, now: Instant, id: &str, left_ms: u64) {
        let is_listed = |entry: &Entry| entry.listing == ListingState::Listed;
        if self.entries.get(id).is_some_and(is_listed) {
            let left = Duration::from_millis(left_ms).min(LAPSE_GRACE);
            self.mark_lapsed(id, ListingState::ReportedLapsed(now + left));
        }
    }

    /// Marks an entry as possibly lapsed. This is a change that other directories receive.
    fn mark_lapsed(&mut self, id: &str, listing: ListingState) {
        if let Some(entry) = self.entries.get(id) {
            let (record, newest_incarnation) = (entry.record.clone(), entry.newest_incarnation);
            self.upsert(record, newest_incarnation, listing);
        }
    }

    /// Whether an update is about an older incarnation than the one that wrote the entry.
    fn is_older_incarnation(&self, id: &str, born_ms: Option<BornMs>) -> bool {
        let written_by = self.get(id).and_then(|record| record.born_ms);
        compare_incarnations(born_ms, written_by) == IncarnationOrder::Older
    }

    /// Removes an entry and leaves a tombstone; returns whether there was one.
    fn evict(&mut self, id: &str) -> bool {
        let Some((id, entry)) = self.entries.remove_entry(id) else {
            return false;
        };
        self.by_number.remove(&entry.number);
        self.newest += 1;
        self.tombstones.insert(self.newest, id, entry.newest_incarnation);
        true
    }

    fn remove_unless_lapsed(&mut self, now: Instant, id: &str) -> Removal {
        let may_lapse = self.reachability.may_lapse(now);
        let Some(entry) = self.entries.get(id) else {
            return Removal::Unknown;
        };
        if may_lapse && entry.record.standing == Standing::Ready {
            self.mark_lapsed(id, ListingState::MayHaveLapsed);
            return Removal::Lapsed;
        }
        self.evict(id);
        Removal::Gone
    }
}
