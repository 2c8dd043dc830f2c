//! The endpoints this VM believes in.

use crate::difference::{ChangeNumber, Difference, Removals};
use crate::record::{EndpointRecord, Standing};
use serde::{Deserialize, Serialize};
use sillbank_core::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// How long after the store's return a missing entry may still come back. The platform names about
/// two seconds; the rest is for the way of the news.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2300);

/// A change of one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The entry is new or says something else.
    Put(EndpointRecord),
    /// The entry is gone.
    Removed(EndpointId),
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
}

/// Why a call to the store failed, as far as it bears on the entries of endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreTrouble {
    /// The store may be out of reach for endpoints too: their entries may lapse.
    Away,
    /// The store refuses this VM for the rate of calls. Endpoints go on writing their entries, so one
    /// that is missing is gone.
    TurnsAway,
}

#[derive(Debug, Clone)]
struct Known {
    record: EndpointRecord,
    lapsed: bool,
    /// Number of the change that made the record what it is.
    number: ChangeNumber,
}

/// What this VM knows of the store's reachability.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoreReach {
    Steady,
    /// Calls failed, the last one at this moment.
    Away(Instant),
    BackSince(Instant),
}

/// Endpoints by their ids.
#[derive(Debug)]
pub struct Directory {
    entries: BTreeMap<EndpointId, Known>,
    reach: StoreReach,
    newest: ChangeNumber,
    /// Entries by the numbers of the changes that made them what they are.
    by_number: BTreeMap<ChangeNumber, EndpointId>,
    removals: Removals,
}

impl Default for Directory {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
            reach: StoreReach::Steady,
            newest: 0,
            by_number: BTreeMap::new(),
            removals: Removals::default(),
        }
    }
}

impl Directory {
    /// A call to the store failed.
    pub fn on_store_trouble(&mut self, now: Instant, trouble: StoreTrouble) {
        match trouble {
            StoreTrouble::Away => self.reach = StoreReach::Away(now),
            StoreTrouble::TurnsAway => {}
        }
    }

    /// The store answered this VM or another one that tells of it, to a call that was sent at a moment.
    /// Only what was sent after the last failed call ends an outage.
    pub fn on_store_seen(&mut self, sent: Instant) {
        if matches!(self.reach, StoreReach::Away(since) if sent > since) {
            self.reach = StoreReach::BackSince(sent);
        }
    }

    /// The store answered this VM, to a call that may have been sent before others failed.
    pub fn on_store_back(&mut self, now: Instant) {
        if matches!(self.reach, StoreReach::Away(_)) {
            self.reach = StoreReach::BackSince(now);
        }
    }

    /// Takes a whole listing; answers what became of each entry that is missing in it.
    pub fn on_listing(
        &mut self,
        now: Instant,
        records: Vec<EndpointRecord>,
    ) -> Vec<(EndpointId, Removal)> {
        let listed: BTreeSet<EndpointId> = records.iter().map(|record| record.id.clone()).collect();
        let is_missing = |id: &&EndpointId| !listed.contains(*id);
        let missing: Vec<EndpointId> = self.entries.keys().filter(is_missing).cloned().collect();
        for record in records {
            self.put(record);
        }
        missing.into_iter().map(|id| (id.clone(), self.remove(now, &id))).collect()
    }

    /// Takes a change from a VM that has decided what lapsed and what is gone; answers whether an entry
    /// went.
    pub fn on_told_change(&mut self, change: Change) -> bool {
        match change {
            Change::Put(record) => {
                self.put(record);
                false
            }
            Change::Removed(id) => self.take_out(&id),
        }
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
    pub fn difference(&self, since: ChangeNumber, most: usize) -> Difference {
        let is_unknown = since == 0 || since > self.newest;
        let begins_anew = is_unknown || self.removals.are_forgotten_after(since);
        let since = if begins_anew { 0 } else { since };
        // One more than wanted tells whether there are more.
        let mut numbered: Vec<(ChangeNumber, Change)> =
            self.puts_since(since).take(most + 1).collect();
        if !begins_anew {
            let gone = self.removals.since(since).take(most + 1);
            numbered.extend(gone.map(|(number, id)| (number, Change::Removed(id.clone()))));
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
            Change::Removed(id) => Some(self.remove(now, &id)),
        }
    }

    /// Ends the grace of lapsed entries that did not come back; answers their ids.
    pub fn on_time(&mut self, now: Instant) -> Vec<EndpointId> {
        if self.may_lapse(now) {
            return Vec::new();
        }
        if matches!(self.reach, StoreReach::BackSince(_)) {
            self.reach = StoreReach::Steady;
        }
        let over: Vec<EndpointId> = self
            .entries
            .iter()
            .filter(|(_, known)| known.lapsed)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &over {
            self.take_out(id);
        }
        over
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

    fn puts_since(&self, since: ChangeNumber) -> impl Iterator<Item = (ChangeNumber, Change)> {
        self.by_number.range(since.saturating_add(1)..).filter_map(|(number, id)| {
            let known = self.entries.get(id)?;
            Some((*number, Change::Put(known.record.clone())))
        })
    }

    fn put(&mut self, record: EndpointRecord) {
        if let Some(known) = self.entries.get_mut(&record.id)
            && known.record == record
        {
            known.lapsed = false;
            return;
        }
        self.newest += 1;
        self.removals.forget(&record.id);
        self.by_number.insert(self.newest, record.id.clone());
        let known = Known { lapsed: false, number: self.newest, record };
        if let Some(before) = self.entries.insert(known.record.id.clone(), known) {
            self.by_number.remove(&before.number);
        }
    }

    /// Takes an entry out and remembers that it went; answers whether there was one.
    fn take_out(&mut self, id: &str) -> bool {
        let Some((id, known)) = self.entries.remove_entry(id) else {
            return false;
        };
        self.by_number.remove(&known.number);
        self.newest += 1;
        self.removals.note(self.newest, id);
        true
    }

    fn remove(&mut self, now: Instant, id: &str) -> Removal {
        let may_lapse = self.may_lapse(now);
        let Some(known) = self.entries.get_mut(id) else {
            return Removal::Unknown;
        };
        if may_lapse && known.record.standing == Standing::Ready {
            known.lapsed = true;
            return Removal::Lapsed;
        }
        self.take_out(id);
        Removal::Gone
    }

    fn may_lapse(&self, now: Instant) -> bool {
        match self.reach {
            StoreReach::Steady => false,
            StoreReach::Away(_) => true,
            StoreReach::BackSince(back) => now.saturating_duration_since(back) < LAPSE_GRACE,
        }
    }
}
