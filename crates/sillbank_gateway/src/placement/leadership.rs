//! Leader election of a hall by a lease in the store.
//!
//! The holder places layers and updates the other VMs.

use super::lease_reads::{
    LEASE_READ_INTERVAL, LeaseCall, LeaseNeed, LeaseReads, Peeked, is_fit_to_lead,
};
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

/// Term of a hall's lease.
const LEASE_TERM: Duration = Duration::from_millis(2_600);
/// Time after which another VM takes over the lease of a holder that was killed, from its first
/// read: 9/8 of the term.
const TAKEOVER_DELAY: Duration = Duration::from_millis(2_925);
/// Pause after a failed read of a VM in a small hall.
const FAILED_READ_PAUSE: Duration = Duration::from_millis(800);
/// Ratio of leader scores from which the lease is handed over. A smaller gain is not worth the
/// moment in which the new leader polls all engines again.
const HANDOVER_SCORE_RATIO: LeaderScore = 2.0;
/// How long a VM leads before it hands the lease over to a fitter one. By then all VMs of the hall
/// follow it.
const MIN_LEADING_TIME: Duration = Duration::from_millis(1_500);
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
    reads: LeaseReads,
    /// Address of the leader found when this VM last peeked at the lease; `None` after a read.
    recorded_leader: Option<SocketAddr>,
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
            reads: LeaseReads::new(Instant::now(), TAKEOVER_DELAY, gateway.rng.clone()),
            recorded_leader: None,
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
        if let Some((vm, peer)) = self.handover_target(now) {
            self.hand_over(vm, peer).await;
            return;
        }
        let mut write = self.lease.on_tick(moment(), self.rng.next_u64());
        if write.is_none() && self.lease.needs_read() {
            let mut call = self.next_call();
            if call == LeaseCall::Peek {
                self.peek().await;
                call = self.next_call();
            }
            if call == LeaseCall::Read {
                write = self.read().await;
            }
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

    /// Time until the next check of the lease.
    pub(super) fn time_to_check(&self) -> Duration {
        self.reads.time_to_check(Instant::now())
    }

    /// Looks up the recorded leader. Most VMs start, or lose their leader, while another one holds
    /// the lease or is about to, and need not read it.
    async fn peek(&mut self) {
        let own = self.gateway.settings().peer_listen;
        let peeked = match self.gateway.store.peek_lease(&self.name).await {
            Ok(Some(record)) if record.peer == own => Peeked::Own,
            Ok(Some(record)) if record.owner.is_empty() => Peeked::Free,
            Ok(Some(record)) => record.holder_peer().map_or(Peeked::Failed, Peeked::Leader),
            Ok(None) => Peeked::Free,
            Err(error) => {
                tracing::debug!(%error, "lease: The recorded leader could not be read.");
                Peeked::Failed
            }
        };
        let (vms, is_fit) = (self.gateway.hall.max_hall_vms(), self.is_fit());
        if let Some(leader) = self.reads.on_peek(Instant::now(), peeked, vms, is_fit) {
            self.recorded_leader = Some(leader);
        }
    }

    /// Reads the lease and returns the write to make, if any.
    async fn read(&mut self) -> Option<LeaseWrite<Revision>> {
        self.handed_to = None;
        let is_fit = self.is_fit();
        self.reads.on_read_sent(self.gateway.hall.max_hall_vms(), is_fit);
        match self.gateway.store.read_lease(&self.name).await {
            Ok(read) => {
                self.reads.on_read(Instant::now(), LEASE_READ_INTERVAL);
                self.recorded_leader = None;
                self.check_era();
                self.lease.on_read(moment(), read, self.rng.next_u64())
            }
            Err(error) => {
                self.reads.on_read(Instant::now(), self.pause_after_failure());
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

    fn next_call(&mut self) -> LeaseCall {
        let now = Instant::now();
        let need = self.lease_need(now);
        self.reads.next_call(now, need, self.gateway.hall.leader.get())
    }

    fn is_fit(&self) -> bool {
        let link_mbps = self.gateway.settings().link_mbps;
        is_fit_to_lead(self.gateway.leader_score(), link_mbps, self.gateway.hall.max_hall_vms())
    }

    /// What the next call depends on. A VM need not read the lease while its leader holds it, or
    /// while both have lost the store.
    fn lease_need(&self, now: Instant) -> LeaseNeed {
        let hall = &self.gateway.hall;
        LeaseNeed {
            leader_holds_lease: hall.leader_holds_lease(now),
            store_is_unreachable: hall.leader_is_live(now) && !self.gateway.store_is_reached(),
            is_acting: hall.acting_fence.get().is_some(),
            is_nominated: hall.take_nomination(),
            lapses_at: self.lease.lapses_at(),
            vms: hall.max_hall_vms(),
            is_fit: self.is_fit(),
        }
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
        let by_lease = self.recorded_leader.or_else(|| self.lease.holder()?.holder_peer());
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
