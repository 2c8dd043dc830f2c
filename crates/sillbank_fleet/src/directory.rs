//! The endpoints this VM believes in.

use crate::difference::{ChangeNumber, Difference, Removals};
use crate::lives::{LifeOrder, compare_lives};
use crate::reach::{LAPSE_GRACE, StoreReach, StoreTrouble};
use crate::record::{BornMs, EndpointRecord, Listing, Standing, UnreadableEntry};
use crate::restore::RestoreGuard;
use serde::{Deserialize, Serialize};
use sillbank_core::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// A change of one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The entry is new or says something else.
    Put(EndpointRecord),
    /// The entry is gone.
    Removed {
        /// Whose entry it was.
        id: EndpointId,
        /// Life that had written it; `None` if that is not known.
        born_ms: Option<BornMs>,
    },
    /// The entry cannot be read any more.
    Unreadable(UnreadableEntry),
    /// The entry is not listed any more and its endpoint is still used, as the entry may have lapsed. Only told by other VMs.
    Lapsed {
        /// Whose entry it was.
        id: EndpointId,
        /// What is left of its grace at the VM that reports it, in milliseconds.
        left_ms: u64,
    },
}

/// Whether an entry is still listed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Lapse {
    /// It is.
    Listed,
    /// It may have lapsed, by what this VM knows of the store.
    Own,
    /// Another VM reported that it may have lapsed; evicted at this moment.
    Reported(Instant),
}

/// What the removal of an entry means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Removal {
    /// The endpoint has left: no more work for it.
    Gone,
    /// The entry may have lapsed while the store was out of reach; the endpoint stays usable.
    Lapsed,
    /// Nothing was known of it.
    Unknown,
    /// The entry of an older life was removed from a store that had been restored from a copy. The store holds none of the newer
    /// life either, so that one counts as lapsed.
    OlderLife,
}

#[derive(Debug, Clone)]
struct Known {
    record: EndpointRecord,
    /// The newest life that was heard of, by the entry or by the endpoint's own report.
    newest_life: Option<BornMs>,
    lapse: Lapse,
    /// Number of the change that made the record what it is.
    number: ChangeNumber,
}

/// Endpoints by their ids.
#[derive(Debug, Default)]
pub struct Directory {
    entries: BTreeMap<EndpointId, Known>,
    reach: StoreReach,
    newest: ChangeNumber,
    /// Entries by the numbers of the changes that made them what they are.
    by_number: BTreeMap<ChangeNumber, EndpointId>,
    removals: Removals,
    /// Endpoints that were found to have started again, until somebody asks.
    renewed: Vec<EndpointId>,
    /// Since the store was last restored from a copy, for a while.
    restored: Option<RestoreGuard>,
    /// Endpoints whose entries were held back, until somebody asks.
    held_back: Vec<EndpointId>,
    /// How often everything was to be read again.
    rereads: u64,
}

impl Directory {
    /// A call to the store failed.
    pub fn on_store_trouble(&mut self, now: Instant, trouble: StoreTrouble) {
        self.reach.on_trouble(now, trouble);
    }

    /// A call to the store that was sent at a moment failed. It is no trouble of the store if one that was sent later was
    /// answered, to this VM or another one; answers whether it is.
    pub fn on_call_failed(&mut self, sent: Instant, now: Instant, trouble: StoreTrouble) -> bool {
        let is_trouble = !self.reach.is_outdated(sent);
        if is_trouble {
            self.reach.on_trouble(now, trouble);
        }
        is_trouble
    }

    /// A call to the store that was sent at a moment was answered.
    pub fn on_call_answered(&mut self, sent: Instant) {
        self.reach.on_answered(sent);
    }

    /// The store answered this VM or another one that tells of it, to a call that was sent at a moment.
    /// Only what was sent after the last failed call ends an outage.
    pub fn on_store_seen(&mut self, sent: Instant) {
        self.reach.on_seen(sent);
    }

    /// The store answered this VM, to a call that may have been sent before others failed.
    pub fn on_store_back(&mut self, now: Instant) {
        self.reach.on_back(now);
    }

    /// The store was found to be restored from a copy. Entries that are missing may be written again, and
    /// those of endpoints that were known to leave are held back.
    pub fn on_restored(&mut self, now: Instant) {
        self.reach.on_restored(now);
        self.restored = Some(RestoreGuard::new(now, self.newest));
    }

    /// Takes a whole listing; answers what became of each entry that is missing in it.
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
        missing.into_iter().map(|id| (id.clone(), self.remove(now, &id))).collect()
    }

    /// Takes a change from a VM that has decided what lapsed and what is gone; answers whether an entry
    /// went.
    pub fn on_told_change(&mut self, now: Instant, change: Change) -> bool {
        match change {
            Change::Put(record) => {
                self.put(record);
                false
            }
            Change::Removed { id, born_ms } => match self.is_of_older_life(&id, born_ms) {
                true => {
                    self.lapse(&id, Lapse::Own);
                    false
                }
                false => self.take_out(&id),
            },
            Change::Unreadable(entry) => {
                self.on_unreadable(&entry.id);
                false
            }
            Change::Lapsed { id, left_ms } => {
                self.on_told_lapse(now, &id, left_ms);
                false
            }
        }
    }

    /// An endpoint told of its life itself. What its entry says of layers is believed no more if that was
    /// written by an older one; all else of the entry holds until the newer life writes its own.
    pub fn on_life(&mut self, id: &str, born_ms: BornMs) {
        let Some(known) = self.entries.get_mut(id) else {
            return;
        };
        let order = compare_lives(Some(born_ms), known.newest_life);
        if order == LifeOrder::Older {
            return;
        }
        known.newest_life = Some(born_ms);
        if order == LifeOrder::Same {
            return;
        }
        let (record, lapse) = (known.record.clone(), known.lapse);
        self.renewed.push(id.to_owned());
        self.keep(EndpointRecord { layers: None, ..record }, Some(born_ms), lapse);
    }

    /// The newest life of an endpoint that was heard of.
    pub fn newest_life(&self, id: &str) -> Option<BornMs> {
        self.entries.get(id)?.newest_life
    }

    /// Endpoints that were found to have started again since this was last asked.
    pub fn take_renewed(&mut self) -> Vec<EndpointId> {
        std::mem::take(&mut self.renewed)
    }

    /// Endpoints that a restored store listed again and that were held back since this was last asked.
    pub fn take_held_back(&mut self) -> Vec<EndpointId> {
        std::mem::take(&mut self.held_back)
    }

    /// How often everything was to be read again so far, from the store or from whoever tells of it.
    pub fn rereads(&self) -> u64 {
        self.rereads
    }

    /// Ends all entries but those that a VM has told of; answers the ids of those that went.
    pub fn retain_told(&mut self, told: &BTreeSet<EndpointId>) -> Vec<EndpointId> {
        let is_missing = |id: &&EndpointId| !told.contains(*id);
        let missing: Vec<EndpointId> = self.entries.keys().filter(is_missing).cloned().collect();
        for id in &missing {
            self.take_out(id);
        }
        missing
    }

    /// Number of the newest change; 0 if there was none.
    pub fn newest_change(&self) -> ChangeNumber {
        self.newest
    }

    /// What another directory lacks that has seen the changes up to `since`: at most `most` changes, in
    /// the order of their numbers. One that has seen less than what is still remembered of removals, or a
    /// change that there was not, is told everything anew.
    pub fn difference(&self, now: Instant, since: ChangeNumber, most: usize) -> Difference {
        let is_unknown = since == 0 || since > self.newest;
        let begins_anew = is_unknown || self.removals.are_forgotten_after(since);
        let since = if begins_anew { 0 } else { since };
        // One more than wanted tells whether there are more.
        let mut numbered: Vec<(ChangeNumber, Change)> =
            self.puts_since(now, since).take(most + 1).collect();
        if !begins_anew {
            let gone = self.removals.since(since).take(most + 1);
            numbered.extend(gone);
            numbered.sort_unstable_by_key(|(number, _)| *number);
        }
        let goes_on = numbered.len() > most;
        numbered.truncate(most);
        let seen = match numbered.last() {
            Some((number, _)) if goes_on => *number,
            _ => self.newest,
        };
        let changes = numbered.into_iter().map(|(_, change)| change).collect();
        Difference { begins_anew, changes, goes_on, seen }
    }

    /// Takes one change; answers what a removal means.
    pub fn on_change(&mut self, now: Instant, change: Change) -> Option<Removal> {
        match change {
            Change::Put(record) => {
                self.put(record);
                None
            }
            Change::Removed { id, born_ms } => match self.is_of_older_life(&id, born_ms) {
                true => {
                    self.lapse(&id, Lapse::Own);
                    Some(Removal::OlderLife)
                }
                false => Some(self.remove(now, &id)),
            },
            Change::Unreadable(entry) => {
                self.on_unreadable(&entry.id);
                None
            }
            Change::Lapsed { id, left_ms } => {
                self.on_told_lapse(now, &id, left_ms);
                None
            }
        }
    }

    /// Ends the grace of lapsed entries that did not come back; answers their ids. What was held back after a
    /// restore of the store is to be read again when the hold is over.
    pub fn on_time(&mut self, now: Instant) -> Vec<EndpointId> {
        if let Some(guard) = self.restored.take_if(|guard| guard.is_over(now)) {
            self.rereads += u64::from(guard.has_held());
        }
        let may_lapse = self.reach.may_lapse(now);
        if !may_lapse {
            self.reach.end_grace();
        }
        let mut over: Vec<EndpointId> = Vec::new();
        for (id, known) in &self.entries {
            let is_over = match known.lapse {
                Lapse::Listed => false,
                Lapse::Own => !may_lapse,
                Lapse::Reported(until) => now >= until,
            };
            if is_over {
                over.push(id.clone());
            }
        }
        for id in &over {
            self.take_out(id);
        }
        over
    }

    /// When the next lapsed entry is to be evicted; `None` if there is none or the store is away.
    pub fn next_lapse_end(&self) -> Option<Instant> {
        let ends = self.entries.values().filter_map(|known| match known.lapse {
            Lapse::Listed => None,
            Lapse::Own => self.reach.grace_end(),
            Lapse::Reported(until) => Some(until),
        });
        ends.min()
    }

    /// An entry, whether or not it takes work.
    pub fn get(&self, id: &str) -> Option<&EndpointRecord> {
        self.entries.get(id).map(|known| &known.record)
    }

    /// An endpoint that takes new work.
    pub fn usable(&self, id: &str) -> Option<&EndpointRecord> {
        self.get(id).filter(|record| record.standing == Standing::Ready)
    }

    /// All entries, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.entries.values().map(|known| &known.record)
    }

    /// The endpoints of a service that take new work, in the order of their ids.
    pub fn usable_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a EndpointRecord> {
        let takes = move |record: &&EndpointRecord| {
            record.service == service && record.standing == Standing::Ready
        };
        self.iter().filter(takes)
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn puts_since(
        &self,
        now: Instant,
        since: ChangeNumber,
    ) -> impl Iterator<Item = (ChangeNumber, Change)> {
        let lapsed = |id: &EndpointId, left: Duration| Change::Lapsed {
            id: id.clone(),
            left_ms: left.as_millis() as u64,
        };
        self.by_number.range(since.saturating_add(1)..).filter_map(move |(number, id)| {
            let known = self.entries.get(id)?;
            let change = match known.lapse {
                Lapse::Listed => Change::Put(known.record.clone()),
                Lapse::Own => lapsed(id, self.reach.grace_left(now)),
                Lapse::Reported(until) => lapsed(id, until.saturating_duration_since(now)),
            };
            Some((*number, change))
        })
    }

    /// Whether an entry may come from a restored store that has not heard yet that its endpoint leaves or has left.
    fn is_undone_by_restore(&self, record: &EndpointRecord) -> bool {
        let Some(guard) = &self.restored else { return false };
        if record.standing != Standing::Ready {
            return false;
        }
        let (has_left, newest_life) = match self.entries.get(&record.id) {
            Some(known) => (known.record.standing == Standing::Leaving, known.newest_life),
            None => {
                let went = self.removals.number_of(&record.id);
                let went_before = went.is_some_and(|number| number <= guard.before);
                (went_before, self.removals.newest_life(&record.id))
            }
        };
        has_left && compare_lives(record.born_ms, newest_life) != LifeOrder::Newer
    }

    /// Takes an entry unless an older life wrote it.
    fn put(&mut self, mut record: EndpointRecord) {
        let is_undone = self.is_undone_by_restore(&record);
        if let Some(guard) = self.restored.as_mut().filter(|_| is_undone) {
            if guard.hold(&record.id) {
                self.held_back.push(record.id);
            }
            return;
        }
        let known = self.entries.get(&record.id);
        let written_by = known.and_then(|known| known.record.born_ms);
        let newest_life = match known {
            Some(known) => known.newest_life,
            None => self.removals.newest_life(&record.id),
        };
        // Of an endpoint without an entry the newest life that went is all that is known.
        let known_life = if known.is_some() { written_by } else { newest_life };
        if compare_lives(record.born_ms, known_life) == LifeOrder::Older {
            return;
        }
        record.born_ms = record.born_ms.or(written_by);
        match compare_lives(record.born_ms, newest_life) {
            LifeOrder::Newer => self.renewed.push(record.id.clone()),
            LifeOrder::Older => record.layers = None,
            LifeOrder::Same => {}
        }
        let newest_life = record.born_ms.max(newest_life);
        self.keep(record, newest_life, Lapse::Listed);
    }

    fn keep(&mut self, record: EndpointRecord, newest_life: Option<BornMs>, lapse: Lapse) {
        if let Some(known) = self.entries.get_mut(&record.id)
            && known.record == record
            && known.lapse == lapse
        {
            known.newest_life = newest_life;
            return;
        }
        self.newest += 1;
        self.removals.forget(&record.id);
        self.by_number.insert(self.newest, record.id.clone());
        let known = Known { lapse, newest_life, number: self.newest, record };
        if let Some(before) = self.entries.insert(known.record.id.clone(), known) {
            self.by_number.remove(&before.number);
        }
    }

    /// An endpoint whose entry cannot be read takes no new work until it can be read again.
    fn on_unreadable(&mut self, id: &str) {
        if let Some(known) = self.entries.get(id) {
            let newest_life = known.newest_life;
            let record = EndpointRecord { standing: Standing::Leaving, ..known.record.clone() };
            self.keep(record, newest_life, Lapse::Listed);
        }
    }

    /// Another VM told of an entry that may have lapsed. It brings no endpoint back: who has none of its entries has seen it
    /// go, or has not seen it yet. The grace is not begun anew: the reporting VM may be lost before it ends.
    fn on_told_lapse(&mut self, now: Instant, id: &str, left_ms: u64) {
        let is_listed = |known: &Known| known.lapse == Lapse::Listed;
        if self.entries.get(id).is_some_and(is_listed) {
            let left = Duration::from_millis(left_ms).min(LAPSE_GRACE);
            self.lapse(id, Lapse::Reported(now + left));
        }
    }

    /// Marks an entry as one that may have lapsed; whoever is told of this directory hears of it.
    fn lapse(&mut self, id: &str, lapse: Lapse) {
        if let Some(known) = self.entries.get(id) {
            let (record, newest_life) = (known.record.clone(), known.newest_life);
            self.keep(record, newest_life, lapse);
        }
    }

    /// Whether news are of a life that is older than the one that wrote the entry.
    fn is_of_older_life(&self, id: &str, born_ms: Option<BornMs>) -> bool {
        let written_by = self.get(id).and_then(|record| record.born_ms);
        compare_lives(born_ms, written_by) == LifeOrder::Older
    }

    /// Takes an entry out and remembers that it went; answers whether there was one.
    fn take_out(&mut self, id: &str) -> bool {
        let Some((id, known)) = self.entries.remove_entry(id) else {
            return false;
        };
        self.by_number.remove(&known.number);
        self.newest += 1;
        self.removals.note(self.newest, id, known.newest_life);
        true
    }

    fn remove(&mut self, now: Instant, id: &str) -> Removal {
        let may_lapse = self.reach.may_lapse(now);
        let Some(known) = self.entries.get(id) else {
            return Removal::Unknown;
        };
        if may_lapse && known.record.standing == Standing::Ready {
            self.lapse(id, Lapse::Own);
            return Removal::Lapsed;
        }
        self.take_out(id);
        Removal::Gone
    }
}
