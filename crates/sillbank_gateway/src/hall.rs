//! The state of this VM's hall: its leader, and the followers while this VM leads.

use crate::feed::HallReport;
use crate::freshness::{Freshness, MIN_CONFIRMATION_STEP};
use crate::hall_reports::HallReports;
use crate::platform_view::register_waker;
use crate::revision::Revision;
use crate::turns::late_turn;
use crate::vm_limits::others_suffice;
use serde::{Deserialize, Serialize};
use sillbank_core::prelude::*;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};

/// Time after the last update from which a leader counts as lost. Leaders reply within 400 ms also
/// if nothing is new.
pub const LEADER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time after its last request from which a follower is dropped.
const FOLLOWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Size of a hall up to which each VM calls the store as if it were alone. In larger halls the
/// pauses after failed calls grow with the number of VMs, so that the calls of the hall during an
/// outage do not.
const SMALL_HALL_VMS: u32 = 4;

/// Longest pause between calls to a store that does not answer. The VM should be up to date soon
/// after the store is back, but each call is billed, including failed ones.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Longest such pause of a VM in a large hall that has no leader to learn from. At 2.5 s VMs
/// refused requests for 2 s after an outage of the store.
const MAX_LEADERLESS_RETRY_PAUSE: Duration = Duration::from_millis(1_200);

/// Number of VMs of a hall with a live leader whose calls to a store that does not answer are spread
/// over [`Hall::max_retry_pause`]. In a larger hall they are spread over a longer time, so that its
/// calls do not grow with its VMs. If a tenth of them still reach the store, one of 24 does in nine
/// of ten cases.
const RETRYING_VMS: u32 = 24;

/// How fit a VM is to lead: its processors times the rate of its link in Mbit/s, as leading a hall
/// takes both. In a hall of 60 VMs a link of 20 Mbit/s took 1.8 s to pass a configuration on to
/// all.
pub type LeaderScore = f64;

/// Number of VMs of a hall, as its leader knows them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HallVms {
    /// Followers and the leader.
    pub vms: u32,
    /// Those of them that are neither near a limit nor stopping.
    pub fit: u32,
}

/// A VM of this hall that follows this leader.
#[derive(Debug, Clone, Copy)]
struct Follower {
    last_request: Instant,
    peer: SocketAddr,
    leader_score: LeaderScore,
    /// When its configuration was last confirmed, as it reported on arrival of its request. Only a
    /// hint, as the request may have been delayed.
    confirmed: Option<Instant>,
}

/// What the leader of another hall reported about itself.
#[derive(Debug, Clone, Copy)]
struct OtherLeader {
    last_update: Instant,
    confirmed: Option<Instant>,
    follows_store: bool,
}

/// The hall as one VM sees it.
#[derive(Debug)]
pub struct Hall {
    /// Fence of the hall's lease while this VM holds it.
    pub lease_fence: Cell<Option<Revision>>,
    /// Fence under which this VM last held the lease, until it learns of another leader. While it
    /// is set, this VM acts as leader: it keeps updating its followers while the store is
    /// unreachable and no VM can hold the lease.
    pub acting_fence: Cell<Option<Revision>>,
    /// Address of the leader, if that is another VM.
    pub leader: Cell<Option<SocketAddr>>,
    last_update: Cell<Option<Instant>>,
    confirmed: Cell<Option<Instant>>,
    leader_holds_lease: Cell<bool>,
    other_leaders: RefCell<BTreeMap<HallId, OtherLeader>>,
    /// Reports of all halls.
    pub reports: HallReports,
    rng: SharedRng,
    followers: RefCell<BTreeMap<VmId, Follower>>,
    /// Leader named by the previous leader; takes precedence over the lease as read.
    redirect: Cell<Option<SocketAddr>>,
    /// Whether the previous leader handed its lease to this VM.
    is_nominated: Cell<bool>,
    max_hall_vms: Cell<u32>,
    /// Size of the hall as the leader last reported it.
    reported_vms: Cell<HallVms>,
    /// When this VM asks the store if the leader's updates are stale, relative to the other VMs of
    /// the hall: 0 is first, 1 is last.
    stagger: Cell<f64>,
    /// When the leader last used this VM as its source.
    source_requested_at: Cell<Option<Instant>>,
    wake_count: Cell<u64>,
    wakers: RefCell<Vec<Waker>>,
}

impl Hall {
    /// Creates an empty state. The stagger of this VM's calls to the store is drawn from `rng`.
    pub fn new(rng: SharedRng) -> Self {
        Self {
            reported_vms: Cell::default(),
            lease_fence: Cell::default(),
            acting_fence: Cell::default(),
            leader: Cell::default(),
            last_update: Cell::default(),
            confirmed: Cell::default(),
            leader_holds_lease: Cell::default(),
            other_leaders: RefCell::default(),
            reports: HallReports::default(),
            rng,
            followers: RefCell::default(),
            redirect: Cell::default(),
            is_nominated: Cell::default(),
            max_hall_vms: Cell::default(),
            stagger: Cell::default(),
            source_requested_at: Cell::default(),
            wake_count: Cell::default(),
            wakers: RefCell::default(),
        }
    }

    /// Records an update of the leader. `confirmed` is when its configuration was last confirmed,
    /// `holds_lease` whether it holds the hall's lease.
    pub fn on_leader_update(&self, now: Instant, confirmed: Option<Instant>, holds_lease: bool) {
        self.last_update.set(Some(now));
        if self.confirmed.replace(confirmed) != confirmed {
            self.stagger.set(late_turn(self.max_hall_vms.get(), self.rng.next_f64()));
        }
        self.leader_holds_lease.set(holds_lease);
    }

    /// The leader does not answer or no longer leads.
    pub fn on_leader_lost(&self) {
        self.last_update.set(None);
    }

    /// Whether the leader sent an update recently.
    pub fn leader_is_live(&self, now: Instant) -> bool {
        let is_live = |at: Instant| now.saturating_duration_since(at) < LEADER_TIMEOUT;
        self.acting_fence.get().is_none() && self.last_update.get().is_some_and(is_live)
    }

    /// Whether this VM acts as leader or receives updates from one.
    pub fn has_leader(&self, now: Instant) -> bool {
        self.acting_fence.get().is_some() || self.leader_is_live(now)
    }

    /// Whether the leader recently reported that it holds the hall's lease.
    pub fn leader_holds_lease(&self, now: Instant) -> bool {
        self.leader_is_live(now) && self.leader_holds_lease.get()
    }

    /// Whether the leader's updates are fresh enough for this VM not to ask the store itself.
    pub fn leader_is_fresh(&self, now: Instant, freshness: Freshness) -> bool {
        let max_staleness =
            freshness.max_staleness_for_member(self.max_hall_vms.get(), self.stagger.get());
        let is_fresh = |age: Duration| age < max_staleness;
        self.leader_is_live(now) && self.confirmation_age(now).is_some_and(is_fresh)
    }

    /// Records an update of the leader of another hall. `confirmed` is when its configuration was
    /// last confirmed, `follows_store` whether it asks the store itself.
    pub fn on_other_leader_update(
        &self,
        hall: &str,
        now: Instant,
        confirmed: Option<Instant>,
        follows_store: bool,
    ) {
        let reported = OtherLeader { last_update: now, confirmed, follows_store };
        self.other_leaders.borrow_mut().insert(hall.to_owned(), reported);
    }

    /// The leader of another hall does not answer or no longer leads.
    pub fn on_other_leader_lost(&self, hall: &str) {
        self.other_leaders.borrow_mut().remove(hall);
    }

    /// Whether this VM leads the hall `own` and can rely on an upstream leader: the leader of a
    /// hall with a smaller name that follows the store and whose updates are fresh. The order of
    /// names keeps leaders from relying on each other. A single follower of the store saves billed
    /// calls: 0.08 of the total value in a fleet of 23 VMs in five halls.
    pub fn upstream_is_fresh(&self, own: &str, now: Instant, freshness: Freshness) -> bool {
        let since = |at: Instant| now.saturating_duration_since(at);
        let suffices = |reported: &OtherLeader| {
            let is_fresh = reported.confirmed.is_some_and(|at| since(at) < freshness.max_staleness);
            reported.follows_store && since(reported.last_update) < LEADER_TIMEOUT && is_fresh
        };
        let others = self.other_leaders.borrow();
        let mut upstream = others.iter().filter(|(hall, _)| hall.as_str() < own);
        self.acting_fence.get().is_some() && upstream.any(|(_, reported)| suffices(reported))
    }

    /// Time since the leader's configuration was last confirmed, as far as it reported.
    pub fn confirmation_age(&self, now: Instant) -> Option<Duration> {
        self.confirmed.get().map(|at| now.saturating_duration_since(at))
    }

    /// Records a request of a follower whose configuration was confirmed `confirmed_age` ago.
    /// Returns the current number of VMs of the hall, including this one.
    pub fn on_follower(
        &self,
        vm: &str,
        peer: SocketAddr,
        leader_score: LeaderScore,
        confirmed_age: Option<Duration>,
        now: Instant,
    ) -> u32 {
        let confirmed = confirmed_age.and_then(|age| now.checked_sub(age));
        let follower = Follower { last_request: now, peer, leader_score, confirmed };
        if self.followers.borrow_mut().insert(vm.to_owned(), follower).is_none() {
            tracing::info!(vm, %peer, "feed: A VM asks this leader.");
        }
        self.live_vms(now)
    }

    /// Followers with a recent request, and this VM.
    pub fn live_vms(&self, now: Instant) -> u32 {
        let mut followers = self.followers.borrow_mut();
        followers.retain(|_, follower| {
            now.saturating_duration_since(follower.last_request) < FOLLOWER_TIMEOUT
        });
        followers.len() as u32 + 1
    }

    /// VMs of this hall as reported to this leader. `own_score` is that of this VM.
    pub fn vm_count(&self, now: Instant, own_score: LeaderScore) -> HallVms {
        let vms = self.live_vms(now);
        let followers = self.followers.borrow();
        let fit = followers.values().filter(|follower| follower.leader_score > 0.0).count() as u32;
        HallVms { vms, fit: fit + u32::from(own_score > 0.0) }
    }

    /// Records the size of the hall as reported by the leader.
    pub fn on_hall_vms(&self, reported: HallVms) {
        self.reported_vms.set(reported);
    }

    /// Number of VMs of this hall, as far as this VM knows.
    pub fn known_vms(&self, now: Instant) -> u32 {
        match self.acting_fence.get() {
            Some(_) => self.live_vms(now),
            None => self.reported_vms.get().vms,
        }
    }

    /// Whether enough other VMs of the hall are known to be fit.
    pub fn others_suffice(&self, now: Instant) -> bool {
        let others = self.fit_others(now, true);
        others.is_some_and(|others| others_suffice(others.fit, others.vms))
    }

    /// The VMs of the hall, and those others than this one that are fit; `None` if they are not known. `may_be_counted`:
    /// whether the leader may not know yet that this VM is unfit, and count it.
    pub fn fit_others(&self, now: Instant, may_be_counted: bool) -> Option<HallVms> {
        match self.acting_fence.get() {
            Some(_) => Some(self.vm_count(now, 0.0)),
            None if self.leader_is_live(now) => {
                let HallVms { vms, fit } = self.reported_vms.get();
                Some(HallVms { vms, fit: fit.saturating_sub(u32::from(may_be_counted)) })
            }
            None => None,
        }
    }

    /// The recent follower with the highest leader score of at least `min_score`, and its address.
    /// Among equals one is drawn at random.
    pub fn best_follower(
        &self,
        now: Instant,
        min_score: LeaderScore,
    ) -> Option<(VmId, SocketAddr)> {
        let followers = self.followers.borrow();
        let is_recent = |follower: &Follower| {
            now.saturating_duration_since(follower.last_request) < LEADER_TIMEOUT
        };
        let is_fit =
            |follower: &Follower| follower.leader_score > 0.0 && follower.leader_score >= min_score;
        let fit = followers.iter().filter(|(_, follower)| is_recent(follower) && is_fit(follower));
        let drawn = fit
            .map(|(vm, follower)| (follower.leader_score, self.rng.next_u64(), vm, follower.peer));
        let fittest = drawn.max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))?;
        Some((fittest.2.clone(), fittest.3))
    }

    /// Addresses of the recent followers that are fit.
    pub fn fit_followers(&self, now: Instant) -> Vec<SocketAddr> {
        let is_fit = |follower: &&Follower| {
            now.saturating_duration_since(follower.last_request) < LEADER_TIMEOUT
                && follower.leader_score > 0.0
        };
        let followers = self.followers.borrow();
        followers.values().filter(is_fit).map(|follower| follower.peer).collect()
    }

    /// The follower whose configuration was confirmed last, if that was another confirmation than
    /// that of `since`.
    pub fn freshest_follower(&self, now: Instant, since: Instant) -> Option<SocketAddr> {
        let followers = self.followers.borrow();
        let is_recent = |follower: &&Follower| {
            now.saturating_duration_since(follower.last_request) < LEADER_TIMEOUT
        };
        let fresher = followers
            .values()
            .filter(is_recent)
            .filter(|follower| follower.confirmed >= Some(since + MIN_CONFIRMATION_STEP));
        fresher
            .max_by_key(|follower| (follower.confirmed, follower.peer))
            .map(|follower| follower.peer)
    }

    /// The leader lost the store and asked this VM for what it knows.
    pub fn on_source_request(&self, now: Instant) {
        self.source_requested_at.set(Some(now));
    }

    /// Whether the leader recently used this VM as its source and thus relies on it.
    pub fn is_source(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < LEADER_TIMEOUT;
        self.source_requested_at.get().is_some_and(is_recent)
    }

    /// The previous leader named the VM that leads now. `own` is the address of this VM.
    pub fn on_redirect(&self, leader: SocketAddr, own: SocketAddr) {
        if leader == own {
            self.is_nominated.set(true);
            self.leader.set(None);
            return;
        }
        self.redirect.set(Some(leader));
        self.leader.set(Some(leader));
    }

    /// The VM named by the redirect does not lead.
    pub fn on_redirect_failed(&self) {
        self.redirect.set(None);
    }

    /// Address of the leader named by the previous one.
    pub fn redirect(&self) -> Option<SocketAddr> {
        self.redirect.get()
    }

    /// Whether the previous leader handed its lease to this VM since the last call.
    pub fn take_nomination(&self) -> bool {
        self.is_nominated.take()
    }

    /// Wakes the followers that wait for updates: this VM published a report or no longer leads.
    pub fn wake_followers(&self) {
        self.wake_count.set(self.wake_count.get() + 1);
        for waker in self.wakers.take() {
            waker.wake();
        }
    }

    /// Largest known number of VMs of this hall at a time.
    pub fn max_hall_vms(&self) -> u32 {
        self.max_hall_vms.get()
    }

    /// Factor on the pause between calls that all VMs of this hall make for the same reason.
    pub fn hall_size_factor(&self) -> u32 {
        (self.max_hall_vms.get() / SMALL_HALL_VMS).max(1)
    }

    /// Longest pause between this VM's calls to a store that does not answer. The VM that acts as
    /// leader pauses least, as all others wait for it. A follower need not notice the return of the
    /// store first; but if only its leader stays cut off from the store, no other VM checks, and a
    /// new configuration must still be in force in time.
    pub fn max_retry_pause(&self, now: Instant, freshness: Freshness) -> Duration {
        let leaderless =
            (MAX_RETRY_PAUSE * self.hall_size_factor()).min(MAX_LEADERLESS_RETRY_PAUSE);
        match self.acting_fence.get() {
            Some(_) => MAX_RETRY_PAUSE,
            None if self.leader_is_live(now) => freshness.max_staleness.max(leaderless),
            None => leaderless,
        }
    }

    /// Factor on the time over which the VMs of this hall spread their calls to a store that does
    /// not answer, while they have a live leader: any of them that is answered updates the others.
    pub fn retry_spread(&self, now: Instant) -> f64 {
        match self.leader_is_live(now) {
            true => f64::from(self.max_hall_vms.get().max(RETRYING_VMS)) / f64::from(RETRYING_VMS),
            false => 1.0,
        }
    }

    /// Records the number of VMs that a leader of this hall reported.
    pub fn record_hall_vms(&self, vms: u32) {
        self.max_hall_vms.set(self.max_hall_vms.get().max(vms));
    }

    /// Stores this VM's report on its own hall and wakes the followers.
    pub fn publish_report(&self, now: Instant, report: HallReport) {
        self.reports.insert(now, report);
        self.wake_followers();
    }

    /// Waits until this VM publishes a report or no longer leads.
    pub async fn report_published(&self) {
        let seen = self.wake_count.get();
        std::future::poll_fn(|context| {
            if self.wake_count.get() != seen {
                return Poll::Ready(());
            }
            register_waker(&mut self.wakers.borrow_mut(), context.waker());
            Poll::Pending
        })
        .await;
    }
}
