//! What the VM believes of the platform, and since when.

use crate::freshness::{REWRITTEN_WITHIN, lease_term};
use crate::revision::{Era, Revision};
use crate::store::Snapshot;
use sillbank_catalog::prelude::*;
use sillbank_core::prelude::*;
use sillbank_core::suspension::SuspensionDetector;
use sillbank_fleet::prelude::*;
use sillbank_net::clocks::read_clocks;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};

/// Adds a waker to those to be woken, once for each task: tasks that wait again and again before anything
/// happens would else fill the list.
pub(crate) fn wait_in(waiting: &mut Vec<Waker>, waker: &Waker) {
    if !waiting.iter().any(|known| known.will_wake(waker)) {
        waiting.push(waker.clone());
    }
}

/// Age and version of what a decision was made from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnowledgeStamp {
    /// Version of the configuration.
    pub catalog: Option<CatalogVersion>,
    /// Time since the configuration was last confirmed, in milliseconds.
    pub catalog_age_ms: Option<u64>,
    /// Revision of the list of endpoints.
    pub endpoints_at: Revision,
}

/// Configuration and endpoints as this VM knows them.
#[derive(Debug)]
pub struct Knowledge {
    catalog: RefCell<Option<Rc<Catalog>>>,
    lease: RefCell<KnowledgeLease>,
    directory: RefCell<Directory>,
    catalog_at: Cell<Revision>,
    /// The newest era of the store that was heard of.
    era: Cell<Option<Era>>,
    /// When a restore of the store from a copy was last noticed.
    restored_at: Cell<Option<Instant>>,
    endpoints_at: Cell<Revision>,
    generation: Cell<u64>,
    /// Halls of the endpoints as of a generation.
    halls: RefCell<(u64, Rc<BTreeSet<HallId>>)>,
    confirmations: Cell<u64>,
    parts: RefCell<Option<Rc<CatalogParts>>>,
    waiting: RefCell<Vec<Waker>>,
    waiting_for_confirmation: RefCell<Vec<Waker>>,
    /// How often the store was found to be back or restored.
    store_returns: Cell<u64>,
    waiting_for_store: RefCell<Vec<Waker>>,
    suspension: RefCell<SuspensionDetector>,
    /// When the machine was last found to have been suspended.
    woken_at: Cell<Option<Instant>>,
}

impl Knowledge {
    /// Knows nothing. A key that was taken away is accepted for `key_revocation` at most.
    pub fn new(key_revocation: Duration) -> Self {
        Self {
            catalog: RefCell::default(),
            lease: RefCell::new(KnowledgeLease::new(lease_term(key_revocation))),
            directory: RefCell::default(),
            catalog_at: Cell::new(Revision::NONE),
            era: Cell::new(None),
            restored_at: Cell::new(None),
            endpoints_at: Cell::new(Revision::NONE),
            generation: Cell::new(0),
            halls: RefCell::default(),
            confirmations: Cell::new(0),
            parts: RefCell::default(),
            waiting: RefCell::default(),
            waiting_for_confirmation: RefCell::default(),
            store_returns: Cell::new(0),
            waiting_for_store: RefCell::default(),
            suspension: RefCell::new(SuspensionDetector::new(read_clocks())),
            woken_at: Cell::new(None),
        }
    }

    /// Changes the time within which the revocation of a key must be in force.
    pub fn set_key_revocation(&self, key_revocation: Duration) {
        self.lease.borrow_mut().set_term(lease_term(key_revocation));
    }

    /// The configuration in force.
    pub fn catalog(&self) -> Option<Rc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// What the configuration in force was made of, for other VMs.
    pub fn catalog_parts(&self) -> Option<Rc<CatalogParts>> {
        self.parts.borrow().clone()
    }

    /// Takes a configuration unless a newer one is in force; answers whether it was taken. `parts`
    /// are what it was made of.
    pub fn offer_catalog(&self, catalog: Catalog, parts: CatalogParts) -> bool {
        let mut known = self.catalog.borrow_mut();
        if known.as_ref().is_some_and(|known| known.version() >= catalog.version()) {
            return false;
        }
        *known = Some(Rc::new(catalog));
        *self.parts.borrow_mut() = Some(Rc::new(parts));
        self.change();
        true
    }

    /// Notes that a call sent at this moment, by this VM or one that tells of it, confirmed the
    /// configuration as of a revision. It also shows that the store was there.
    pub fn confirm_catalog(&self, sent: Instant, at: Revision) {
        self.note_era(at);
        self.confirmations.set(self.confirmations.get() + 1);
        for waker in self.waiting_for_confirmation.take() {
            waker.wake();
        }
        let was_fresh = self.is_fresh(Instant::now());
        self.lease.borrow_mut().confirm(sent);
        self.directory.borrow_mut().on_store_seen(sent);
        if !was_fresh {
            // Others that are told by this VM wait for it too.
            self.change();
        }
        self.catalog_at.set(self.catalog_at.get().max(at));
    }

    /// Notes that the store confirmed the configuration, as [`Self::confirm_catalog`], unless it was restored from a copy
    /// so lately that the operator may not have written a newer configuration again.
    pub fn confirm_catalog_by_store(&self, confirmed: Instant, at: Revision) {
        self.note_era(at);
        let is_unsettled = |restored: Instant| confirmed < restored + REWRITTEN_WITHIN;
        if self.restored_at.get().is_some_and(is_unsettled) {
            self.directory.borrow_mut().on_store_seen(confirmed);
            self.catalog_at.set(self.catalog_at.get().max(at));
            return;
        }
        self.confirm_catalog(confirmed, at);
    }

    /// Notes a restore of the store from a copy. The first era that is heard of is none.
    fn note_era(&self, at: Revision) {
        let before = self.era.get();
        if before.is_some_and(|before| at.era > before) {
            self.restored_at.set(Some(Instant::now()));
            self.wake_for_store();
        }
        self.era.set(before.max(Some(at.era)));
    }

    /// Waits until the store is found to be back or restored. Calls that were sent before may never be answered.
    pub async fn store_returned(&self) {
        let seen = self.store_returns.get();
        std::future::poll_fn(|context| {
            if self.store_returns.get() != seen {
                return Poll::Ready(());
            }
            wait_in(&mut self.waiting_for_store.borrow_mut(), context.waker());
            Poll::Pending
        })
        .await;
    }

    fn wake_for_store(&self) {
        self.store_returns.set(self.store_returns.get() + 1);
        for waker in self.waiting_for_store.take() {
            waker.wake();
        }
    }

    /// Finds out whether the machine was suspended since this was last asked. The steady clock does not count
    /// that time: a key that was taken away meanwhile was still accepted.
    fn note_suspension(&self) {
        let suspended = self.suspension.borrow_mut().on_reading(read_clocks());
        if let Some(suspended) = suspended {
            self.on_suspended(suspended, Instant::now());
        }
    }

    /// The machine was suspended: what was confirmed is so much older than the steady clock says.
    pub fn on_suspended(&self, suspended: Duration, now: Instant) {
        self.lease.borrow_mut().on_suspended(suspended);
        self.woken_at.set(Some(now));
        tracing::warn!(
            suspended_ms = suspended.as_millis() as u64,
            "program: The machine was suspended."
        );
    }

    /// Whether the machine was suspended after a moment. An answer to what was asked before says nothing of how
    /// old it is.
    pub fn was_suspended_since(&self, moment: Instant) -> bool {
        self.note_suspension();
        self.woken_at.get().is_some_and(|woken_at| woken_at >= moment)
    }

    /// When the configuration was last confirmed; `None` if it never was.
    pub fn catalog_confirmed(&self) -> Option<Instant> {
        self.note_suspension();
        self.lease.borrow().confirmed()
    }

    /// Revision of the store up to which the configuration was confirmed; none if it never was.
    pub fn catalog_at(&self) -> Revision {
        self.catalog_at.get()
    }

    /// Whether the configuration is fresh enough to accept keys and to deny requests.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.note_suspension();
        self.catalog.borrow().is_some() && self.lease.borrow().holds(now)
    }

    /// Whether the list of endpoints was read at least once.
    pub fn knows_endpoints(&self) -> bool {
        self.endpoints_at.get() > Revision::NONE
    }

    /// Takes a whole list of endpoints unless it is older than what is known; answers what became of each
    /// that is missing in it.
    pub fn take_endpoints(
        &self,
        now: Instant,
        list: Snapshot<impl Into<Listing>>,
    ) -> Vec<(String, Removal)> {
        if list.at < self.endpoints_at.get() {
            tracing::info!(at = %list.at, "endpoint: A list was late; newer entries are known.");
            return Vec::new();
        }
        self.note_endpoints_era(now, list.at);
        self.endpoints_at.set(list.at);
        self.change();
        self.directory.borrow_mut().on_listing(now, list.value)
    }

    /// Lets the directory know of a restore of the store before what was read after it is taken.
    fn note_endpoints_era(&self, now: Instant, at: Revision) {
        self.note_era(at);
        let known = self.endpoints_at.get();
        if known == Revision::NONE || at.era <= known.era {
            return;
        }
        tracing::info!(%at, %known, "endpoint: Entries of the restored store are taken.");
        // It was away until it was first heard of, by whichever call.
        self.directory.borrow_mut().on_restored(self.restored_at.get().unwrap_or(now));
        // A list that another VM tells may come in pieces: the restore is noted with the first.
        self.endpoints_at.set(Revision::new(at.era, 0));
    }

    /// Takes a difference from a VM that follows the store, unless it is older than what is known or
    /// `is_wanted` is false; answers the ids of the entries that went.
    pub fn take_told(
        &self,
        replication: &mut Replication,
        at: Revision,
        difference: Difference,
        is_wanted: bool,
    ) -> Vec<EndpointId> {
        let now = Instant::now();
        if is_wanted {
            self.note_endpoints_era(now, at);
        }
        let recency = match is_wanted && at >= self.endpoints_at.get() {
            true => Recency::Newer,
            false => Recency::Older,
        };
        let mut directory = self.directory.borrow_mut();
        let before = directory.newest_change();
        let gone = replication.on_difference(&mut directory, now, difference, recency);
        let has_changed = directory.newest_change() != before;
        drop(directory);
        if recency == Recency::Newer && replication.is_complete() {
            self.endpoints_at.set(at);
        }
        if has_changed {
            self.change();
        }
        gone
    }

    /// Revision of the list of endpoints; none if none is known.
    pub fn endpoints_at(&self) -> Revision {
        self.endpoints_at.get()
    }

    /// Waits until configuration or endpoints change, or the configuration is confirmed after it could not
    /// be relied on.
    pub async fn changed(&self) {
        let seen = self.generation.get();
        std::future::poll_fn(|context| {
            if self.generation.get() != seen {
                return Poll::Ready(());
            }
            wait_in(&mut self.waiting.borrow_mut(), context.waker());
            Poll::Pending
        })
        .await;
    }

    /// Waits until the configuration is confirmed.
    pub async fn confirmed(&self) {
        let seen = self.confirmations.get();
        std::future::poll_fn(|context| {
            if self.confirmations.get() != seen {
                return Poll::Ready(());
            }
            wait_in(&mut self.waiting_for_confirmation.borrow_mut(), context.waker());
            Poll::Pending
        })
        .await;
    }

    /// Wakes those who wait for a change: what they wait for beside it is known now.
    pub(crate) fn wake(&self) {
        self.change();
    }

    /// Takes changes of endpoints unless they are older than what is known; answers what each removal means.
    pub fn take_changes(
        &self,
        now: Instant,
        changes: Snapshot<Vec<Change>>,
    ) -> Vec<(String, Removal)> {
        if changes.at < self.endpoints_at.get() {
            tracing::info!(
                at = %changes.at,
                "endpoint: Changes were late; newer entries are known."
            );
            return Vec::new();
        }
        self.note_endpoints_era(now, changes.at);
        self.endpoints_at.set(changes.at);
        if changes.value.is_empty() {
            return Vec::new();
        }
        self.change();
        let mut directory = self.directory.borrow_mut();
        let mut removals = Vec::new();
        for change in changes.value {
            let id = match &change {
                Change::Put(record) => record.id.clone(),
                Change::Removed { id, .. } | Change::Lapsed { id, .. } => id.clone(),
                Change::Unreadable(entry) => entry.id.clone(),
            };
            if let Some(removal) = directory.on_change(now, change) {
                removals.push((id, removal));
            }
        }
        removals
    }

    /// An endpoint told of its life itself.
    pub fn hear_life(&self, id: &str, born_ms: BornMs) {
        let mut directory = self.directory.borrow_mut();
        let before = directory.newest_change();
        directory.on_life(id, born_ms);
        let has_changed = directory.newest_change() != before;
        drop(directory);
        if has_changed {
            self.change();
        }
    }

    /// Endpoints that were found to have started again since this was last asked.
    pub fn take_renewed(&self) -> Vec<EndpointId> {
        self.directory.borrow_mut().take_renewed()
    }

    /// Endpoints that a restored store listed again and that were held back since this was last asked.
    pub fn take_held_back(&self) -> Vec<EndpointId> {
        self.directory.borrow_mut().take_held_back()
    }

    /// How often all endpoints were to be read again so far.
    pub fn rereads(&self) -> u64 {
        self.directory.borrow().rereads()
    }

    /// The store answered again.
    pub fn on_store_back(&self, now: Instant) {
        self.directory.borrow_mut().on_store_back(now);
        self.wake_for_store();
    }

    /// A call to the store that was sent at a moment was answered.
    pub fn on_call_answered(&self, sent: Instant) {
        self.directory.borrow_mut().on_call_answered(sent);
    }

    /// A call to the store that was sent at a moment failed; answers whether that is trouble of the store. It is none if a
    /// call that was sent later was answered, to this VM or another one.
    pub fn on_call_failed(&self, sent: Instant, now: Instant, trouble: StoreTrouble) -> bool {
        self.directory.borrow_mut().on_call_failed(sent, now, trouble)
    }

    /// When the next lapsed entry is to be evicted; `None` if there is none or the store is away.
    pub fn next_lapse_end(&self) -> Option<Instant> {
        self.directory.borrow().next_lapse_end()
    }

    /// Ends the grace of lapsed entries; answers the ids of those that did not come back.
    pub fn on_time(&self, now: Instant) -> Vec<String> {
        let mut directory = self.directory.borrow_mut();
        let before = directory.newest_change();
        let over = directory.on_time(now);
        let has_changed = directory.newest_change() != before;
        drop(directory);
        if has_changed {
            self.change();
        }
        over
    }

    /// Halls in which endpoints are listed whose service is configured. Entries that another writer left may
    /// name any hall, and nobody serves there.
    pub fn halls(&self) -> Rc<BTreeSet<HallId>> {
        let generation = self.generation.get();
        let known = self.halls.borrow().clone();
        if known.0 == generation {
            return known.1;
        }
        let catalog = self.catalog.borrow();
        let is_served = |record: &&EndpointRecord| {
            catalog.as_ref().is_some_and(|catalog| catalog.service(&record.service).is_some())
        };
        let directory = self.directory.borrow();
        let served = directory.iter().filter(is_served);
        let halls = Rc::new(served.map(|record| record.hall.clone()).collect());
        *self.halls.borrow_mut() = (generation, Rc::clone(&halls));
        halls
    }

    /// Looks at the endpoints.
    pub fn endpoints<T>(&self, look: impl FnOnce(&Directory) -> T) -> T {
        look(&self.directory.borrow())
    }

    /// Age and version, for logs.
    pub fn stamp(&self, now: Instant) -> KnowledgeStamp {
        self.note_suspension();
        KnowledgeStamp {
            catalog: self.catalog.borrow().as_ref().map(|catalog| catalog.version()),
            catalog_age_ms: self.lease.borrow().age(now).map(|age| age.as_millis() as u64),
            endpoints_at: self.endpoints_at.get(),
        }
    }

    fn change(&self) {
        self.generation.set(self.generation.get() + 1);
        for waker in self.waiting.borrow_mut().drain(..) {
            waker.wake();
        }
    }
}
