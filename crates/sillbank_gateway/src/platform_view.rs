//! This VM's view of the platform, and how old it is.

use crate::freshness::{MIN_CONFIRMATION_STEP, RESTORE_SETTLE_TIME, catalog_lease_term};
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

/// Registers a waker unless its task is registered already: tasks that wait repeatedly before
/// anything happens would otherwise fill the list.
pub(crate) fn register_waker(wakers: &mut Vec<Waker>, waker: &Waker) {
    if !wakers.iter().any(|known| known.will_wake(waker)) {
        wakers.push(waker.clone());
    }
}

/// Version and age of the view from which a decision was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ViewStamp {
    /// Version of the configuration.
    pub catalog: Option<CatalogVersion>,
    /// Time since the configuration was last confirmed, in milliseconds.
    pub catalog_age_ms: Option<u64>,
    /// Revision of the list of endpoints.
    pub endpoints_at: Revision,
}

/// Configuration and endpoints as this VM knows them.
#[derive(Debug)]
pub struct PlatformView {
    catalog: RefCell<Option<Rc<Catalog>>>,
    catalog_lease: RefCell<CatalogLease>,
    directory: RefCell<Directory>,
    catalog_at: Cell<Revision>,
    /// Newest known era of the store.
    era: Cell<Option<Era>>,
    /// When a restore of the store from a copy was last detected.
    restored_at: Cell<Option<Instant>>,
    endpoints_at: Cell<Revision>,
    change_count: Cell<u64>,
    /// Halls of the endpoints, with the change count at which they were computed.
    halls: RefCell<(u64, Rc<BTreeSet<HallId>>)>,
    /// Number of announced confirmations, and when the newest of them confirmed the configuration.
    confirmation_count: Cell<u64>,
    announced_confirmation: Cell<Option<Instant>>,
    catalog_parts: RefCell<Option<Rc<CatalogParts>>>,
    wakers: RefCell<Vec<Waker>>,
    confirmation_wakers: RefCell<Vec<Waker>>,
    /// How often the store was found to be back or restored.
    store_recoveries: Cell<u64>,
    store_wakers: RefCell<Vec<Waker>>,
    suspension: RefCell<SuspensionDetector>,
    /// When a suspension of the machine was last detected.
    resumed_at: Cell<Option<Instant>>,
}

impl PlatformView {
    /// Creates an empty view. A revoked key is accepted for at most `key_revocation`.
    pub fn new(key_revocation: Duration) -> Self {
        Self {
            catalog: RefCell::default(),
            catalog_lease: RefCell::new(CatalogLease::new(catalog_lease_term(key_revocation))),
            directory: RefCell::default(),
            catalog_at: Cell::new(Revision::NONE),
            era: Cell::new(None),
            restored_at: Cell::new(None),
            endpoints_at: Cell::new(Revision::NONE),
            change_count: Cell::new(0),
            halls: RefCell::default(),
            confirmation_count: Cell::new(0),
            announced_confirmation: Cell::new(None),
            catalog_parts: RefCell::default(),
            wakers: RefCell::default(),
            confirmation_wakers: RefCell::default(),
            store_recoveries: Cell::new(0),
            store_wakers: RefCell::default(),
            suspension: RefCell::new(SuspensionDetector::new(read_clocks())),
            resumed_at: Cell::new(None),
        }
    }

    /// Changes the time within which the revocation of a key must be in force.
    pub fn set_key_revocation(&self, key_revocation: Duration) {
        self.catalog_lease.borrow_mut().set_term(catalog_lease_term(key_revocation));
    }

    /// The configuration in force.
    pub fn catalog(&self) -> Option<Rc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// The parts of the configuration in force, for other VMs.
    pub fn catalog_parts(&self) -> Option<Rc<CatalogParts>> {
        self.catalog_parts.borrow().clone()
    }

    /// Applies a configuration, built from `parts`, unless a newer one is in force. Returns whether
    /// it was applied.
    pub fn offer_catalog(&self, catalog: Catalog, parts: CatalogParts) -> bool {
        let mut known = self.catalog.borrow_mut();
        if known.as_ref().is_some_and(|known| known.version() >= catalog.version()) {
            return false;
        }
        *known = Some(Rc::new(catalog));
        *self.catalog_parts.borrow_mut() = Some(Rc::new(parts));
        self.notify_change();
        true
    }

    /// Records that a call sent at `sent`, by this VM or one that reported it, confirmed the
    /// configuration as of revision `at`. It also shows that the store was reachable.
    pub fn confirm_catalog(&self, sent: Instant, at: Revision) {
        self.check_era(at);
        self.announce_confirmation(sent);
        let was_fresh = self.is_fresh(Instant::now());
        self.catalog_lease.borrow_mut().confirm(sent);
        self.directory.borrow_mut().on_store_reachable(sent);
        if !was_fresh {
            // VMs that follow this one wait for it too.
            self.notify_change();
        }
        self.catalog_at.set(self.catalog_at.get().max(at));
    }

    /// Wakes the tasks that wait for a confirmation if this one is newer than the last announced.
    fn announce_confirmation(&self, confirmed: Instant) {
        let is_known = |announced: Instant| confirmed < announced + MIN_CONFIRMATION_STEP;
        if self.announced_confirmation.get().is_some_and(is_known) {
            return;
        }
        self.announced_confirmation.set(Some(confirmed));
        self.confirmation_count.set(self.confirmation_count.get() + 1);
        for waker in self.confirmation_wakers.take() {
            waker.wake();
        }
    }

    /// Records a confirmation by the store itself, as [`Self::confirm_catalog`] does. It is ignored
    /// shortly after a restore from a copy, as the operator may not have written the newest
    /// configuration again yet.
    pub fn confirm_catalog_by_store(&self, confirmed: Instant, at: Revision) {
        self.check_era(at);
        let is_unsettled = |restored: Instant| confirmed < restored + RESTORE_SETTLE_TIME;
        if self.restored_at.get().is_some_and(is_unsettled) {
            self.directory.borrow_mut().on_store_reachable(confirmed);
            self.catalog_at.set(self.catalog_at.get().max(at));
            return;
        }
        self.confirm_catalog(confirmed, at);
    }

    /// Detects a restore of the store from a copy. The first known era is no restore.
    fn check_era(&self, at: Revision) {
        let before = self.era.get();
        if before.is_some_and(|before| at.era > before) {
            self.restored_at.set(Some(Instant::now()));
            self.wake_store_waiters();
        }
        self.era.set(before.max(Some(at.era)));
    }

    /// Waits until the store is found to be back or restored. Calls sent before may never be
    /// answered.
    pub async fn store_recovered(&self) {
        let seen = self.store_recoveries.get();
        std::future::poll_fn(|context| {
            if self.store_recoveries.get() != seen {
                return Poll::Ready(());
            }
            register_waker(&mut self.store_wakers.borrow_mut(), context.waker());
            Poll::Pending
        })
        .await;
    }

    fn wake_store_waiters(&self) {
        self.store_recoveries.set(self.store_recoveries.get() + 1);
        for waker in self.store_wakers.take() {
            waker.wake();
        }
    }

    /// Checks whether the machine was suspended since the last check. The monotonic clock does not
    /// count that time, so a key that was revoked meanwhile would still be accepted.
    fn check_suspension(&self) {
        let suspended = self.suspension.borrow_mut().on_reading(read_clocks());
        if let Some(suspended) = suspended {
            self.on_suspended(suspended, Instant::now());
        }
    }

    /// Records a suspension of the machine: confirmations are older by it than the monotonic clock
    /// says.
    pub fn on_suspended(&self, suspended: Duration, now: Instant) {
        self.catalog_lease.borrow_mut().on_suspended(suspended);
        self.resumed_at.set(Some(now));
        tracing::warn!(
            suspended_ms = suspended.as_millis() as u64,
            "program: The machine was suspended."
        );
    }

    /// Whether the machine was suspended after `moment`. The age of an answer to an earlier request
    /// is then unknown.
    pub fn was_suspended_since(&self, moment: Instant) -> bool {
        self.check_suspension();
        self.resumed_at.get().is_some_and(|resumed_at| resumed_at >= moment)
    }

    /// When the configuration was last confirmed; `None` if it never was.
    pub fn catalog_confirmed(&self) -> Option<Instant> {
        self.check_suspension();
        self.catalog_lease.borrow().confirmed()
    }

    /// Revision of the store as of which the configuration was confirmed; [`Revision::NONE`] if it
    /// never was.
    pub fn catalog_at(&self) -> Revision {
        self.catalog_at.get()
    }

    /// Whether the configuration is fresh enough to accept keys and to reject requests.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.check_suspension();
        self.catalog.borrow().is_some() && self.catalog_lease.borrow().holds(now)
    }

    /// Whether a list of endpoints was received.
    pub fn knows_endpoints(&self) -> bool {
        self.endpoints_at.get() > Revision::NONE
    }

    /// Applies a complete list of endpoints unless it is older than the known one. Returns the
    /// removal of each endpoint that is missing in it.
    pub fn apply_listing(
        &self,
        now: Instant,
        list: Snapshot<impl Into<Listing>>,
    ) -> Vec<(String, Removal)> {
        if list.at < self.endpoints_at.get() {
            tracing::info!(at = %list.at, "endpoint: An outdated list was ignored.");
            return Vec::new();
        }
        self.check_endpoints_era(now, list.at);
        self.endpoints_at.set(list.at);
        self.notify_change();
        self.directory.borrow_mut().on_listing(now, list.value)
    }

    /// Announces a restore of the store to the directory before newer entries are applied.
    fn check_endpoints_era(&self, now: Instant, at: Revision) {
        self.check_era(at);
        let known = self.endpoints_at.get();
        if known == Revision::NONE || at.era <= known.era {
            return;
        }
        tracing::info!(%at, %known, "endpoint: Entries of the restored store are taken.");
        // The store counts as unreachable until any call first revealed the restore.
        self.directory.borrow_mut().on_restored(self.restored_at.get().unwrap_or(now));
        // A list from another VM may come in pieces; the restore counts from the first.
        self.endpoints_at.set(Revision::new(at.era, 0));
    }

    /// Applies a difference from a VM that follows the store, unless it is older than the known
    /// entries or `is_wanted` is false. Returns the ids of removed entries.
    pub fn apply_difference(
        &self,
        replication: &mut Replication,
        at: Revision,
        difference: Difference,
        is_wanted: bool,
    ) -> Vec<EndpointId> {
        let now = Instant::now();
        if is_wanted {
            self.check_endpoints_era(now, at);
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
            self.notify_change();
        }
        gone
    }

    /// Revision of the list of endpoints; [`Revision::NONE`] if none is known.
    pub fn endpoints_at(&self) -> Revision {
        self.endpoints_at.get()
    }

    /// Waits until the configuration or the endpoints change, or a stale configuration is confirmed
    /// again.
    pub async fn changed(&self) {
        let seen = self.change_count.get();
        std::future::poll_fn(|context| {
            if self.change_count.get() != seen {
                return Poll::Ready(());
            }
            register_waker(&mut self.wakers.borrow_mut(), context.waker());
            Poll::Pending
        })
        .await;
    }

    /// Number of confirmations announced so far.
    pub fn confirmations(&self) -> u64 {
        self.confirmation_count.get()
    }

    /// Waits until more than `seen` confirmations have been announced.
    pub async fn confirmed_after(&self, seen: u64) {
        std::future::poll_fn(|context| {
            if self.confirmation_count.get() != seen {
                return Poll::Ready(());
            }
            register_waker(&mut self.confirmation_wakers.borrow_mut(), context.waker());
            Poll::Pending
        })
        .await;
    }

    /// Wakes all tasks that wait for a change, after something else that they wait for has become
    /// known.
    pub(crate) fn wake(&self) {
        self.notify_change();
    }

    /// Applies changes of endpoints unless they are older than the known entries. Returns the
    /// removals.
    pub fn apply_changes(
        &self,
        now: Instant,
        changes: Snapshot<Vec<Change>>,
    ) -> Vec<(String, Removal)> {
        if changes.at < self.endpoints_at.get() {
            tracing::info!(
                at = %changes.at,
                "endpoint: Outdated changes were ignored."
            );
            return Vec::new();
        }
        self.check_endpoints_era(now, changes.at);
        self.endpoints_at.set(changes.at);
        if changes.value.is_empty() {
            return Vec::new();
        }
        self.notify_change();
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

    /// Records an incarnation that an endpoint itself reported.
    pub fn on_reported_incarnation(&self, id: &str, born_ms: BornMs) {
        let mut directory = self.directory.borrow_mut();
        let before = directory.newest_change();
        directory.on_incarnation(id, born_ms);
        let has_changed = directory.newest_change() != before;
        drop(directory);
        if has_changed {
            self.notify_change();
        }
    }

    /// Endpoints found to have restarted since the last call.
    pub fn take_restarted(&self) -> Vec<EndpointId> {
        self.directory.borrow_mut().take_restarted()
    }

    /// Endpoints whose entries in a restored store were ignored since the last call.
    pub fn take_held_back(&self) -> Vec<EndpointId> {
        self.directory.borrow_mut().take_held_back()
    }

    /// How often a full read of all endpoints has been requested.
    pub fn rereads(&self) -> u64 {
        self.directory.borrow().rereads()
    }

    /// Records that the store answers again.
    pub fn on_store_recovered(&self, now: Instant) {
        self.directory.borrow_mut().on_store_recovered(now);
        self.wake_store_waiters();
    }

    /// Records that an answer of the store arrived.
    pub fn on_store_answer(&self, now: Instant) {
        self.directory.borrow_mut().on_store_answer(now);
    }

    /// Records that the store answered a call sent at `sent`.
    pub fn on_call_answered(&self, sent: Instant) {
        self.directory.borrow_mut().on_call_answered(sent);
    }

    /// Records that a call to the store sent at `sent` failed. Returns whether this counts as a
    /// failure of the store; it does not if a call that was sent later was answered, to this VM or
    /// another one.
    pub fn on_call_failed(&self, sent: Instant, now: Instant, failure: StoreFailure) -> bool {
        self.directory.borrow_mut().on_call_failed(sent, now, failure)
    }

    /// Whether an entry that is missing at `now` may have lapsed.
    pub fn may_lapse(&self, now: Instant) -> bool {
        self.directory.borrow().may_lapse(now)
    }

    /// When the next lapsed entry is evicted; `None` if there is none or the store is unreachable.
    pub fn next_eviction(&self) -> Option<Instant> {
        self.directory.borrow().next_eviction()
    }

    /// Evicts lapsed entries whose grace period is over and returns their ids.
    pub fn on_tick(&self, now: Instant) -> Vec<String> {
        let mut directory = self.directory.borrow_mut();
        let before = directory.newest_change();
        let over = directory.on_tick(now);
        let has_changed = directory.newest_change() != before;
        drop(directory);
        if has_changed {
            self.notify_change();
        }
        over
    }

    /// Halls of the listed endpoints whose service is configured. Stray entries may name any hall,
    /// and nobody serves there.
    pub fn halls(&self) -> Rc<BTreeSet<HallId>> {
        let change_count = self.change_count.get();
        let known = self.halls.borrow().clone();
        if known.0 == change_count {
            return known.1;
        }
        let catalog = self.catalog.borrow();
        let is_served = |record: &&EndpointRecord| {
            catalog.as_ref().is_some_and(|catalog| catalog.service(&record.service).is_some())
        };
        let directory = self.directory.borrow();
        let served = directory.iter().filter(is_served);
        let halls = Rc::new(served.map(|record| record.hall.clone()).collect());
        *self.halls.borrow_mut() = (change_count, Rc::clone(&halls));
        halls
    }

    /// Reads the directory of endpoints.
    pub fn endpoints<T>(&self, read: impl FnOnce(&Directory) -> T) -> T {
        read(&self.directory.borrow())
    }

    /// Version and age of the view, for logs.
    pub fn stamp(&self, now: Instant) -> ViewStamp {
        self.check_suspension();
        ViewStamp {
            catalog: self.catalog.borrow().as_ref().map(|catalog| catalog.version()),
            catalog_age_ms: self.catalog_lease.borrow().age(now).map(|age| age.as_millis() as u64),
            endpoints_at: self.endpoints_at.get(),
        }
    }

    fn notify_change(&self) {
        self.change_count.set(self.change_count.get() + 1);
        for waker in self.wakers.borrow_mut().drain(..) {
            waker.wake();
        }
    }
}
