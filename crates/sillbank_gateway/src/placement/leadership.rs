//! Leader election of a hall by a lease in the store.
//!
//! The holder places layers and updates the other VMs.

use crate::gateway::{Gateway, LifecycleState};
use crate::hall::LeaderScore;
use crate::revision::{Era, Revision};
use crate::store::MetadataStore;
use crate::wire::Wire;
use sillbank_core::prelude::*;
use sillbank_lease::{Candidate, Lease, LeaseState, LeaseWrite, Moment, WriteOutcome};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

/// Term of a hall's lease. When its holder is killed, another VM takes over after 9/8 of the term.
const LEASE_TERM: Duration = Duration::from_millis(2_600);
/// Shortest interval between lease reads by a VM, as each read is billed. The last holder reads at
/// this interval, so that it takes the lease again once the store is back.
const LEASE_READ_INTERVAL: Duration = Duration::from_millis(400);
/// Pause after a failed read of a VM in a small hall.
const FAILED_READ_PAUSE: Duration = Duration::from_millis(800);
/// How long a VM that starts waits for a reply of the leader recorded in the store before it reads
/// the lease itself. A live leader replies within 100 ms.
const RECORDED_LEADER_WAIT: Duration = Duration::from_millis(500);
/// Ratio of leader scores from which the lease is handed over. A smaller gain is not worth the
/// moment in which the new leader polls all engines again.
const HANDOVER_SCORE_RATIO: LeaderScore = 2.0;
/// How long a VM leads before it hands the lease over to a fitter one. By then all VMs of the hall
/// follow it.
const MIN_LEADING_TIME: Duration = Duration::from_millis(1_500);
/// The VMs of a hall read a lapsed lease one after the other, so that the first takes it and the
/// others find it taken. This is the time for one VM, which covers a read and a write.
const STAGGER_PER_VM: Duration = Duration::from_millis(10);
/// Shortest time over which the reads of all VMs are spread.
const MIN_STAGGER: Duration = Duration::from_millis(200);

/// Name of the lease of a hall.
pub fn lease_name(hall: &str) -> String {
    format!("hall-{hall}")
}

fn moment() -> Moment {
    Moment::from_clocks(Instant::now(), SystemTime::now())
}

/// The lease of this hall as this VM sees it.
pub(super) struct Leadership<W: Wire, S: MetadataStore> {
    gateway: Rc<Gateway<W, S>>,
    lease: Lease<Revision>,
    /// Era of the store at the last check of the lease.
    era: Option<Era>,
    rng: SharedRng,
    name: String,
    /// Address of the leader recorded in the store at the start. The lease itself takes precedence.
    recorded_leader: Option<SocketAddr>,
    /// Earliest time of the next read, unless the end of the lease is known.
    next_read_at: Instant,
    /// Time after the end of the lease at which this VM reads it.
    stagger: Duration,
    has_looked_up_leader: bool,
    leading_since: Option<Instant>,
    /// VM to which the lease was handed over, until the next read.
    handed_to: Option<SocketAddr>,
}

impl<W: Wire, S: MetadataStore> Leadership<W, S> {
    pub(super) fn new(gateway: &Rc<Gateway<W, S>>) -> Self {
        let settings = gateway.settings();
        let candidate =
            Candidate { vm: settings.vm.clone(), peer: settings.peer_listen, term: LEASE_TERM };
        Self {
            gateway: gateway.clone(),
            lease: Lease::new(candidate).reclaiming_own(),
            era: gateway.store.newest_era(),
            rng: gateway.rng.clone(),
            name: lease_name(&settings.hall),
            recorded_leader: None,
            next_read_at: Instant::now(),
            stagger: Duration::ZERO,
            has_looked_up_leader: false,
            leading_since: None,
            handed_to: None,
        }
    }

    /// Whether the lease is held now. Check right before each use.
    pub(super) fn is_held(&self) -> bool {
        self.lease.fence(moment()).is_some()
    }

    /// Acquires, renews or releases the lease, whichever is due.
    pub(super) async fn tick(&mut self) {
        let now = Instant::now();
        self.check_era();
        if self.gateway.lifecycle.get() != LifecycleState::Serving {
            self.step_down().await;
            return;
        }
        if !self.has_looked_up_leader {
            self.look_up_leader().await;
        }
        if let Some((vm, peer)) = self.handover_target(now) {
            self.hand_over(vm, peer).await;
            return;
        }
        let mut write = self.lease.on_tick(moment(), self.rng.next_u64());
        if write.is_none() && self.lease.needs_read() && self.read_is_due(now) {
            write = self.read().await;
        }
        if let Some(write) = write {
            let end = self.gateway.store.write_lease(&self.name, &write).await;
            self.lease.on_write_outcome(moment(), end);
        }
        self.publish_leader();
    }

    /// Detects a restore of the store from a copy, which may have lost writes of the lease. The
    /// first era seen is no restore.
    fn check_era(&mut self) {
        let era = self.gateway.store.newest_era();
        let before = std::mem::replace(&mut self.era, era);
        if before.is_none() || era <= before {
            return;
        }
        self.lease.on_restored(moment());
        tracing::info!(lease = self.name, holds = self.is_held(), "lease: The store was restored.");
    }

    /// Looks up the recorded leader once at the start. Most VMs start while their hall has a leader
    /// and need not read the lease.
    async fn look_up_leader(&mut self) {
        self.has_looked_up_leader = true;
        let own = self.gateway.settings().peer_listen;
        match self.gateway.store.peek_lease(&self.name).await {
            Ok(Some(record)) if !record.owner.is_empty() && record.peer != own => {
                self.recorded_leader = Some(record.peer);
                self.next_read_at = Instant::now() + RECORDED_LEADER_WAIT;
            }
            // The previous process of this VM held the lease and may take it again at once.
            Ok(Some(record)) if record.peer == own => {}
            // Released or never held: the VMs of the hall read it one after the other.
            Ok(_) => self.next_read_at = Instant::now() + MIN_STAGGER.mul_f64(self.rng.next_f64()),
            Err(error) => tracing::debug!(%error, "lease: The recorded leader could not be read."),
        }
    }

    /// Reads the lease and returns the write to make, if any.
    async fn read(&mut self) -> Option<LeaseWrite<Revision>> {
        self.handed_to = None;
        let hall = &self.gateway.hall;
        let max_stagger = (STAGGER_PER_VM * hall.max_hall_vms()).max(MIN_STAGGER);
        // A VM that is not fit to lead comes after all others.
        let before = if self.gateway.leader_score() > 0.0 { Duration::ZERO } else { max_stagger };
        self.stagger = before + max_stagger.mul_f64(self.rng.next_f64());
        match self.gateway.store.read_lease(&self.name).await {
            Ok(read) => {
                self.next_read_at = Instant::now() + LEASE_READ_INTERVAL;
                self.check_era();
                self.lease.on_read(moment(), read, self.rng.next_u64())
            }
            Err(error) => {
                self.next_read_at = Instant::now() + self.pause_after_failure();
                tracing::debug!(%error, "lease: The lease could not be read.");
                None
            }
        }
    }

    fn pause_after_failure(&self) -> Duration {
        let hall = &self.gateway.hall;
        match hall.acting_fence.get() {
            Some(_) => LEASE_READ_INTERVAL,
            None => FAILED_READ_PAUSE * hall.hall_size_factor(),
        }
    }

    /// Whether to read the lease now. A VM need not read it while its leader holds it, or while
    /// both have lost the store. A VM that lost its leader reads the lease at once, and again when
    /// it has lapsed.
    fn read_is_due(&self, now: Instant) -> bool {
        let hall = &self.gateway.hall;
        let store_is_unreachable = hall.leader_is_live(now) && !self.gateway.store_is_reached();
        if hall.take_nomination() {
            return true;
        }
        if hall.leader_holds_lease(now) || store_is_unreachable || now < self.next_read_at {
            return false;
        }
        if hall.acting_fence.get().is_some() {
            return true;
        }
        self.lease.lapses_at().is_none_or(|lapses_at| now >= lapses_at + self.stagger)
    }

    /// The VM of the hall to hand the lease over to, if any.
    fn handover_target(&self, now: Instant) -> Option<(VmId, SocketAddr)> {
        let is_settled = self.is_held() && self.lease.state() != LeaseState::Restored;
        let since = self.leading_since.filter(|_| is_settled)?;
        if now.saturating_duration_since(since) < MIN_LEADING_TIME {
            return None;
        }
        self.gateway.hall.best_follower(now, self.gateway.leader_score() * HANDOVER_SCORE_RATIO)
    }

    async fn hand_over(&mut self, vm: VmId, peer: SocketAddr) {
        let write = self.lease.hand_over(moment(), self.rng.next_u64(), vm.clone(), peer);
        let Some(write) = write else { return };
        let end = self.gateway.store.write_lease(&self.name, &write).await;
        self.lease.on_write_outcome(moment(), end);
        if matches!(end, WriteOutcome::Written(_)) {
            self.handed_to = Some(peer);
        }
        tracing::info!(lease = self.name, to = vm, ?end, "lease: Handed over.");
        self.publish_leader();
        self.gateway.hall.wake_followers();
    }

    /// Releases the lease when this VM stops, so that another VM takes it at once.
    async fn step_down(&mut self) {
        if let Some((vm, peer)) = self.gateway.hall.best_follower(Instant::now(), 0.0)
            && self.is_held()
        {
            self.hand_over(vm, peer).await;
            return;
        }
        if let Some(write) = self.lease.release(moment(), self.rng.next_u64(), None) {
            let end = self.gateway.store.write_lease(&self.name, &write).await;
            self.lease.on_write_outcome(moment(), end);
        }
        self.publish_leader();
    }

    /// Publishes who leads to the other parts of this VM.
    fn publish_leader(&mut self) {
        let fence = self.lease.fence(moment());
        self.leading_since = fence.and(self.leading_since.or_else(|| Some(Instant::now())));
        let hall = &self.gateway.hall;
        let own = self.gateway.settings().peer_listen;
        let by_redirect = hall.redirect().or(self.handed_to);
        let by_lease = self.lease.holder().map(|record| record.peer).or(self.recorded_leader);
        let leader = by_redirect.or(by_lease);
        hall.leader.set(leader.filter(|leader| *leader != own));
        let held_before = hall.lease_fence.replace(fence).is_some();
        let other_leads = hall.leader.get().is_some();
        match fence {
            Some(fence) => hall.acting_fence.set(Some(fence)),
            None if other_leads || self.gateway.lifecycle.get() != LifecycleState::Serving => {
                hall.acting_fence.set(None)
            }
            None => {}
        }
        if held_before != fence.is_some() {
            tracing::info!(
                lease = self.name,
                holds = fence.is_some(),
                fence = fence.map(tracing::field::display),
                "lease: Changed."
            );
        }
    }
}
