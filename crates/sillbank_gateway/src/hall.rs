//! Who leads this VM's hall, and who asks it if this VM does.

use crate::boards::Boards;
use crate::feed::HallBoard;
use crate::freshness::Freshness;
use crate::knowledge::wait_in;
use crate::revision::Revision;
use crate::vm_limits::others_suffice;
use serde::{Deserialize, Serialize};
use sillbank_core::prelude::*;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};

/// How long news of a leader are relied on. Leaders answer within 400 ms also if nothing is new.
pub const FEED_LIVE: Duration = Duration::from_millis(1_200);
/// How long a VM counts that has asked its leader.
const ASKER_LIVE: Duration = Duration::from_secs(3);

/// VMs of a hall up to which each of them may call the store as if it were alone. Beyond, calls that
/// fail are spread out, so that a hall's calls in an outage do not grow with it.
const FEW_VMS: u32 = 4;

/// Longest pause between calls to a store that does not answer: knowledge is wanted back soon after the
/// store, and each call is priced, also one that fails.
const PAUSE_MAX: Duration = Duration::from_millis(500);
/// Longest pause of a VM of a large hall that nobody tells of the store's return. At 2.5 s VMs refused
/// for 2 s after an outage of the store.
const PAUSE_MAX_ALONE: Duration = Duration::from_millis(1_200);

/// How fit a VM is to lead: its processors times the rate of its link in Mbit/s. What a leader does for
/// a hall takes both; with 60 VMs a link of 20 Mbit/s took 1.8 s to pass a configuration on to all.
pub type Strength = f64;

/// VMs of a hall as its leader knows them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HallVms {
    /// All that ask it, and itself.
    pub vms: u32,
    /// Those of them that are near no limit of theirs and are not stopping.
    pub fit: u32,
}

/// A VM of this hall that asks its leader.
#[derive(Debug, Clone, Copy)]
struct Asker {
    at: Instant,
    peer: SocketAddr,
    strength: Strength,
    /// When its configuration was last confirmed, by its word and the time at which it came. Only a hint:
    /// it may have been on its way for long.
    confirmed: Option<Instant>,
}

/// What the leader of another hall said of itself.
#[derive(Debug, Clone, Copy)]
struct OtherLeader {
    heard: Instant,
    confirmed: Option<Instant>,
    follows_store: bool,
}

/// The hall as one VM sees it.
#[derive(Debug)]
pub struct Hall {
    /// Fence of the hall's lease while this VM holds it.
    pub leads: Cell<Option<Revision>>,
    /// Fence under which this VM led last, until it knows of another leader. It goes on telling what it
    /// knows while the store is away and nobody can hold the lease.
    pub tells: Cell<Option<Revision>>,
    /// Where the leader is asked, if it is another VM.
    pub leader: Cell<Option<SocketAddr>>,
    heard: Cell<Option<Instant>>,
    confirmed: Cell<Option<Instant>>,
    leader_holds_lease: Cell<bool>,
    other_leaders: RefCell<BTreeMap<HallId, OtherLeader>>,
    /// What leaders tell of engines.
    pub boards: Boards,
    chance: SharedRng,
    askers: RefCell<BTreeMap<VmId, Asker>>,
    /// Where the leader is asked by the word of the one before; goes before what was read of the lease.
    redirect: Cell<Option<SocketAddr>>,
    /// Whether the leader before handed its lease to this VM.
    is_nominated: Cell<bool>,
    most_hall_vms: Cell<u32>,
    /// What the leader last told of the hall's VMs.
    told_vms: Cell<HallVms>,
    /// When it is this VM's turn to ask the store if the leader tells too little, from 0 to 1.
    turn: Cell<f64>,
    /// When the leader last asked this VM for what it knows.
    asked_as_source: Cell<Option<Instant>>,
    wakes: Cell<u64>,
    waiting: RefCell<Vec<Waker>>,
}

impl Hall {
    /// A hall of which nothing is known yet; a VM's turns to ask the store are drawn from `chance`.
    pub fn new(chance: SharedRng) -> Self {
        Self {
            told_vms: Cell::default(),
            leads: Cell::default(),
            tells: Cell::default(),
            leader: Cell::default(),
            heard: Cell::default(),
            confirmed: Cell::default(),
            leader_holds_lease: Cell::default(),
            other_leaders: RefCell::default(),
            boards: Boards::default(),
            chance,
            askers: RefCell::default(),
            redirect: Cell::default(),
            is_nominated: Cell::default(),
            most_hall_vms: Cell::default(),
            turn: Cell::default(),
            asked_as_source: Cell::default(),
            wakes: Cell::default(),
            waiting: RefCell::default(),
        }
    }

    /// The leader answered; `confirmed` is when its configuration was last confirmed, `holds_lease`
    /// whether it holds the hall's lease.
    pub fn on_news(&self, now: Instant, confirmed: Option<Instant>, holds_lease: bool) {
        self.heard.set(Some(now));
        if self.confirmed.replace(confirmed) != confirmed {
            // Few VMs draw an early turn: the root of a number drawn evenly from 0 to 1 is seldom small.
            self.turn.set(self.chance.next_f64().sqrt());
        }
        self.leader_holds_lease.set(holds_lease);
    }

    /// The leader is lost or leads no more.
    pub fn on_leader_lost(&self) {
        self.heard.set(None);
    }

    /// Whether the leader has been heard of lately.
    pub fn leader_is_live(&self, now: Instant) -> bool {
        let is_live = |at: Instant| now.saturating_duration_since(at) < FEED_LIVE;
        self.tells.get().is_none() && self.heard.get().is_some_and(is_live)
    }

    /// Whether this VM leads or hears of the VM that does.
    pub fn has_leader(&self, now: Instant) -> bool {
        self.tells.get().is_some() || self.leader_is_live(now)
    }

    /// Whether the leader has said lately that it holds the hall's lease.
    pub fn leader_holds_lease(&self, now: Instant) -> bool {
        self.leader_is_live(now) && self.leader_holds_lease.get()
    }

    /// Whether the leader tells enough for this VM not to ask the store itself.
    pub fn leader_suffices(&self, now: Instant, freshness: Freshness) -> bool {
        let enough_for = freshness.enough_for_member(self.most_hall_vms.get(), self.turn.get());
        let is_fresh = |age: Duration| age < enough_for;
        self.leader_is_live(now) && self.confirmation_age(now).is_some_and(is_fresh)
    }

    /// The leader of another hall answered; `confirmed` is when its configuration was last confirmed,
    /// `follows_store` whether it asks the store itself.
    pub fn on_other_news(
        &self,
        hall: &str,
        now: Instant,
        confirmed: Option<Instant>,
        follows_store: bool,
    ) {
        let told = OtherLeader { heard: now, confirmed, follows_store };
        self.other_leaders.borrow_mut().insert(hall.to_owned(), told);
    }

    /// The leader of another hall is lost or leads no more.
    pub fn on_other_lost(&self, hall: &str) {
        self.other_leaders.borrow_mut().remove(hall);
    }

    /// Whether this VM leads the hall `own` and the leader of a hall that comes before it by name follows the
    /// store and tells enough. By the order of names no two leaders rely on each other. One follower saves calls:
    /// 0.08 of all worth in a fleet of 23 VMs in five halls.
    pub fn senior_suffices(&self, own: &str, now: Instant, freshness: Freshness) -> bool {
        let since = |at: Instant| now.saturating_duration_since(at);
        let suffices = |told: &OtherLeader| {
            let is_fresh = told.confirmed.is_some_and(|at| since(at) < freshness.enough_for);
            told.follows_store && since(told.heard) < FEED_LIVE && is_fresh
        };
        let others = self.other_leaders.borrow();
        let mut seniors = others.iter().filter(|(hall, _)| hall.as_str() < own);
        self.tells.get().is_some() && seniors.any(|(_, told)| suffices(told))
    }

    /// Time since the leader's configuration was last confirmed, as far as it told.
    pub fn confirmation_age(&self, now: Instant) -> Option<Duration> {
        self.confirmed.get().map(|at| now.saturating_duration_since(at))
    }

    /// Notes that a VM of this hall asked, whose configuration was confirmed `confirmed_age` ago; answers how
    /// many did lately, this VM included.
    pub fn on_asker(
        &self,
        vm: &str,
        peer: SocketAddr,
        strength: Strength,
        confirmed_age: Option<Duration>,
        now: Instant,
    ) -> u32 {
        let confirmed = confirmed_age.and_then(|age| now.checked_sub(age));
        let asker = Asker { at: now, peer, strength, confirmed };
        if self.askers.borrow_mut().insert(vm.to_owned(), asker).is_none() {
            tracing::info!(vm, %peer, "feed: A VM asks this leader.");
        }
        self.vms(now)
    }

    /// VMs of this hall that asked lately, and this one.
    pub fn vms(&self, now: Instant) -> u32 {
        let mut askers = self.askers.borrow_mut();
        askers.retain(|_, asker| now.saturating_duration_since(asker.at) < ASKER_LIVE);
        askers.len() as u32 + 1
    }

    /// VMs of this hall by what they told this leader; `own` is its own strength.
    pub fn vm_count(&self, now: Instant, own: Strength) -> HallVms {
        let vms = self.vms(now);
        let askers = self.askers.borrow();
        let fit = askers.values().filter(|asker| asker.strength > 0.0).count() as u32;
        HallVms { vms, fit: fit + u32::from(own > 0.0) }
    }

    /// The leader told how many VMs of the hall there are.
    pub fn on_told_vms(&self, told: HallVms) {
        self.told_vms.set(told);
    }

    /// Whether enough other VMs of the hall are fit, by what is known of them. One that the leader does not
    /// know to be unfit yet may count itself, so one is left out.
    pub fn others_suffice(&self, now: Instant) -> bool {
        let known = match self.tells.get() {
            Some(_) => {
                let HallVms { vms, fit } = self.vm_count(now, 0.0);
                HallVms { vms, fit: fit + 1 }
            }
            None if self.leader_is_live(now) => self.told_vms.get(),
            None => return false,
        };
        others_suffice(known.fit.saturating_sub(1), known.vms)
    }

    /// The strongest VM that asked just now and is at least as strong as wanted, and where it is asked. Of those
    /// that are alike one is drawn.
    pub fn strongest_asker(&self, now: Instant, least: Strength) -> Option<(VmId, SocketAddr)> {
        let askers = self.askers.borrow();
        let is_here = |asker: &Asker| now.saturating_duration_since(asker.at) < FEED_LIVE;
        let is_fit = |asker: &Asker| asker.strength > 0.0 && asker.strength >= least;
        let fit = askers.iter().filter(|(_, asker)| is_here(asker) && is_fit(asker));
        let drawn = fit.map(|(vm, asker)| (asker.strength, self.chance.next_u64(), vm, asker.peer));
        let strongest = drawn.max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))?;
        Some((strongest.2.clone(), strongest.3))
    }

    /// The VM of this hall whose configuration was confirmed last, if that was after `since`.
    pub fn best_informed_asker(&self, now: Instant, since: Instant) -> Option<SocketAddr> {
        let askers = self.askers.borrow();
        let is_here = |asker: &&Asker| now.saturating_duration_since(asker.at) < FEED_LIVE;
        let informed =
            askers.values().filter(is_here).filter(|asker| asker.confirmed > Some(since));
        informed.max_by_key(|asker| (asker.confirmed, asker.peer)).map(|asker| asker.peer)
    }

    /// The leader asked this VM for what it knows, as it has lost the store.
    pub fn on_asked_as_source(&self, now: Instant) {
        self.asked_as_source.set(Some(now));
    }

    /// Whether the leader has lately asked this VM for what it knows, and so relies on it.
    pub fn is_source(&self, now: Instant) -> bool {
        let is_late = |at: Instant| now.saturating_duration_since(at) < FEED_LIVE;
        self.asked_as_source.get().is_some_and(is_late)
    }

    /// The leader named another that leads now; `own` is where this VM is asked.
    pub fn on_redirect(&self, leader: SocketAddr, own: SocketAddr) {
        if leader == own {
            self.is_nominated.set(true);
            self.leader.set(None);
            return;
        }
        self.redirect.set(Some(leader));
        self.leader.set(Some(leader));
    }

    /// The VM that was named does not lead.
    pub fn on_redirect_failed(&self) {
        self.redirect.set(None);
    }

    /// Where the leader is asked by the word of the one before.
    pub fn redirect(&self) -> Option<SocketAddr> {
        self.redirect.get()
    }

    /// Whether the leader before handed its lease to this VM, since this was last asked.
    pub fn take_nomination(&self) -> bool {
        self.is_nominated.take()
    }

    /// Wakes the VMs that wait for news: this VM leads no more, or told of a board.
    pub fn wake_askers(&self) {
        self.wakes.set(self.wakes.get() + 1);
        for waker in self.waiting.take() {
            waker.wake();
        }
    }

    /// The most VMs that this hall was known to have at a time.
    pub fn most_hall_vms(&self) -> u32 {
        self.most_hall_vms.get()
    }

    /// How many times longer than alone a VM of this hall pauses between calls that many VMs make for
    /// the same reason.
    pub fn crowd_factor(&self) -> u32 {
        (self.most_hall_vms.get() / FEW_VMS).max(1)
    }

    /// The longest pause between this VM's calls to a store that does not answer. The VM that tells the
    /// others calls most often: all of them wait for it. One whose leader can be asked need not be the first to
    /// hear of the store's return; but where the leader alone stays cut from it, nobody else looks, and a new
    /// configuration must be in force in time.
    pub fn longest_pause(&self, now: Instant, freshness: Freshness) -> Duration {
        let alone = (PAUSE_MAX * self.crowd_factor()).min(PAUSE_MAX_ALONE);
        match self.tells.get() {
            Some(_) => PAUSE_MAX,
            None if self.leader_is_live(now) => freshness.enough_for.max(alone),
            None => alone,
        }
    }

    /// Notes how many VMs a leader of this hall tells of.
    pub fn note_hall_vms(&self, vms: u32) {
        self.most_hall_vms.set(self.most_hall_vms.get().max(vms));
    }

    /// Keeps what this VM found out about its own hall, and tells those that wait for it.
    pub fn post_board(&self, now: Instant, board: HallBoard) {
        self.boards.keep(now, board);
        self.wake_askers();
    }

    /// Waits until this VM posts a board or leads no more.
    pub async fn posted(&self) {
        let seen = self.wakes.get();
        std::future::poll_fn(|context| {
            if self.wakes.get() != seen {
                return Poll::Ready(());
            }
            wait_in(&mut self.waiting.borrow_mut(), context.waker());
            Poll::Pending
        })
        .await;
    }
}
