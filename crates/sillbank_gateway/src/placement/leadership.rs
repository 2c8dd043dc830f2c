//! The lease of a hall: who places layers and tells the others.

use crate::gateway::{Gateway, Life};
use crate::hall::Strength;
use crate::revision::{Era, Revision};
use crate::store::MetadataStore;
use crate::wire::Wire;
use sillbank_core::prelude::*;
use sillbank_lease::{Candidate, Lease, LeaseState, LeaseWrite, Moment, WriteEnd};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

/// Term of a hall's lease. A holder that is killed is followed by another VM after 9/8 of it.
const LEASE_TERM: Duration = Duration::from_millis(2_600);
/// Shortest time between reads of the lease by a VM. One that held it last reads so often, to take it
/// again once the store is back. Each read is a priced call.
const LEASE_READ_INTERVAL: Duration = Duration::from_millis(400);
/// Pause after a read that failed, of a VM whose hall has few VMs.
const FAILED_READ_PAUSE: Duration = Duration::from_millis(800);
/// How long a VM that has begun waits for an answer of the leader that the store names before it reads the
/// lease in earnest. An ask is answered within 100 ms where the leader is there.
const NAMED_LEADER_WAIT: Duration = Duration::from_millis(500);
/// How many times stronger another VM must be that this one hands the lease over to. Less than that is
/// not worth the moment in which engines are asked anew.
const MUCH_STRONGER: Strength = 2.0;
/// How long a VM leads before it hands the lease over to a stronger one: by then all VMs of its hall ask it.
const LED_FOR: Duration = Duration::from_millis(1_500);
/// VMs of a hall read a lease that has lapsed one after the other, so that the first of them takes it and
/// the others find it taken: time for one VM, in which it reads and writes, and least time for all.
const TURN_OF_VM: Duration = Duration::from_millis(10);
const LEAST_TURNS: Duration = Duration::from_millis(200);

/// Name of the lease of a hall.
pub fn lease_name(hall: &str) -> String {
    format!("hall-{hall}")
}

fn moment() -> Moment {
    Moment::from_clocks(Instant::now(), SystemTime::now())
}

/// The hall's lease as this VM sees it.
pub(super) struct Leadership<W: Wire, S: MetadataStore> {
    gateway: Rc<Gateway<W, S>>,
    lease: Lease<Revision>,
    /// Era of the store in which the lease was last looked at.
    era: Option<Era>,
    chance: SharedRng,
    name: String,
    /// Where the leader is asked by what the store told at the start; the lease itself goes before it.
    named: Option<SocketAddr>,
    /// Earliest time of the next read, unless it is known when the lease lapses.
    read_from: Instant,
    /// Time after the lease has lapsed at which it is this VM's turn to read it.
    turn: Duration,
    was_looked_up: bool,
    leads_since: Option<Instant>,
    /// Whom this VM handed the lease to, until it reads it again.
    handed_to: Option<SocketAddr>,
}

impl<W: Wire, S: MetadataStore> Leadership<W, S> {
    pub(super) fn new(gateway: &Rc<Gateway<W, S>>) -> Self {
        let settings = gateway.settings();
        let candidate =
            Candidate { vm: settings.vm.clone(), peer: settings.peer_listen, term: LEASE_TERM };
        Self {
            gateway: gateway.clone(),
            lease: Lease::new(candidate).retaking_own(),
            era: gateway.store.newest_era(),
            chance: gateway.chance.clone(),
            name: lease_name(&settings.hall),
            named: None,
            read_from: Instant::now(),
            turn: Duration::ZERO,
            was_looked_up: false,
            leads_since: None,
            handed_to: None,
        }
    }

    /// Whether the lease is held at this moment. Ask right before each use.
    pub(super) fn is_held(&self) -> bool {
        self.lease.fence(moment()).is_some()
    }

    /// Takes, renews or frees the lease, whichever is due.
    pub(super) async fn keep(&mut self) {
        let now = Instant::now();
        self.note_era();
        if self.gateway.life.get() != Life::Serving {
            self.give_up().await;
            return;
        }
        if !self.was_looked_up {
            self.look_up().await;
        }
        if let Some((vm, peer)) = self.stronger(now) {
            self.hand_over(vm, peer).await;
            return;
        }
        let mut write = self.lease.on_tick(moment(), self.chance.next_u64());
        if write.is_none() && self.lease.wants_read() && self.read_is_due(now) {
            write = self.read().await;
        }
        if let Some(write) = write {
            let end = self.gateway.store.write_lease(&self.name, &write).await;
            self.lease.on_write_end(moment(), end);
        }
        self.note();
    }

    /// Notes whether the store was restored from a copy, which may have lost what was written of the lease. The first era
    /// that is seen tells nothing.
    fn note_era(&mut self) {
        let era = self.gateway.store.newest_era();
        let before = std::mem::replace(&mut self.era, era);
        if before.is_none() || era <= before {
            return;
        }
        self.lease.on_restored(moment());
        tracing::info!(lease = self.name, holds = self.is_held(), "lease: The store was restored.");
    }

    /// Looks up who leads when this VM begins: most begin while somebody does, and need not read the lease.
    async fn look_up(&mut self) {
        self.was_looked_up = true;
        let own = self.gateway.settings().peer_listen;
        match self.gateway.store.peek_lease(&self.name).await {
            Ok(Some(record)) if !record.owner.is_empty() && record.peer != own => {
                self.named = Some(record.peer);
                self.read_from = Instant::now() + NAMED_LEADER_WAIT;
            }
            // It was held by the process before this one, which may take it again at once.
            Ok(Some(record)) if record.peer == own => {}
            // Free or never held: the VMs of the hall read it one after the other.
            Ok(_) => self.read_from = Instant::now() + LEAST_TURNS.mul_f64(self.chance.next_f64()),
            Err(error) => tracing::debug!(%error, "lease: It could not be looked up."),
        }
    }

    /// Reads the lease; answers the write to make, if any.
    async fn read(&mut self) -> Option<LeaseWrite<Revision>> {
        self.handed_to = None;
        let hall = &self.gateway.hall;
        let turns = (TURN_OF_VM * hall.most_hall_vms()).max(LEAST_TURNS);
        // A VM that is not fit to lead comes after all others.
        let before = if self.gateway.strength() > 0.0 { Duration::ZERO } else { turns };
        self.turn = before + turns.mul_f64(self.chance.next_f64());
        match self.gateway.store.read_lease(&self.name).await {
            Ok(read) => {
                self.read_from = Instant::now() + LEASE_READ_INTERVAL;
                self.note_era();
                self.lease.on_read(moment(), read, self.chance.next_u64())
            }
            Err(error) => {
                self.read_from = Instant::now() + self.pause_after_failure();
                tracing::debug!(%error, "lease: It could not be read.");
                None
            }
        }
    }

    fn pause_after_failure(&self) -> Duration {
        let hall = &self.gateway.hall;
        match hall.tells.get() {
            Some(_) => LEASE_READ_INTERVAL,
            None => FAILED_READ_PAUSE * hall.crowd_factor(),
        }
    }

    /// A VM whose leader holds the lease need not read it, nor one that has lost the store as its leader
    /// has. One that has lost its leader reads the lease, and again when it will have lapsed.
    fn read_is_due(&self, now: Instant) -> bool {
        let hall = &self.gateway.hall;
        let store_is_away = hall.leader_is_live(now) && !self.gateway.store_is_reached();
        if hall.take_nomination() {
            return true;
        }
        if hall.leader_holds_lease(now) || store_is_away || now < self.read_from {
            return false;
        }
        if hall.tells.get().is_some() {
            return true;
        }
        self.lease.lapses_at().is_none_or(|lapses_at| now >= lapses_at + self.turn)
    }

    /// A VM of the hall that is to lead in place of this one.
    fn stronger(&self, now: Instant) -> Option<(VmId, SocketAddr)> {
        let is_settled = self.is_held() && self.lease.state() != LeaseState::Restored;
        let since = self.leads_since.filter(|_| is_settled)?;
        if now.saturating_duration_since(since) < LED_FOR {
            return None;
        }
        self.gateway.hall.strongest_asker(now, self.gateway.strength() * MUCH_STRONGER)
    }

    async fn hand_over(&mut self, vm: VmId, peer: SocketAddr) {
        let write = self.lease.hand_over(moment(), self.chance.next_u64(), vm.clone(), peer);
        let Some(write) = write else { return };
        let end = self.gateway.store.write_lease(&self.name, &write).await;
        self.lease.on_write_end(moment(), end);
        if matches!(end, WriteEnd::Written(_)) {
            self.handed_to = Some(peer);
        }
        tracing::info!(lease = self.name, to = vm, ?end, "lease: Handed over.");
        self.note();
        self.gateway.hall.wake_askers();
    }

    /// Ends the lease of a VM that stops, so that another takes it at once.
    async fn give_up(&mut self) {
        if let Some((vm, peer)) = self.gateway.hall.strongest_asker(Instant::now(), 0.0)
            && self.is_held()
        {
            self.hand_over(vm, peer).await;
            return;
        }
        if let Some(write) = self.lease.give_up(moment(), self.chance.next_u64(), None) {
            let end = self.gateway.store.write_lease(&self.name, &write).await;
            self.lease.on_write_end(moment(), end);
        }
        self.note();
    }

    /// Notes who leads, for the other parts of this VM.
    fn note(&mut self) {
        let fence = self.lease.fence(moment());
        self.leads_since = fence.and(self.leads_since.or_else(|| Some(Instant::now())));
        let hall = &self.gateway.hall;
        let own = self.gateway.settings().peer_listen;
        let by_word = hall.redirect().or(self.handed_to);
        let by_lease = self.lease.holder().map(|record| record.peer).or(self.named);
        let leader = by_word.or(by_lease);
        hall.leader.set(leader.filter(|leader| *leader != own));
        let held_before = hall.leads.replace(fence).is_some();
        let other_leads = hall.leader.get().is_some();
        match fence {
            Some(fence) => hall.tells.set(Some(fence)),
            None if other_leads || self.gateway.life.get() != Life::Serving => hall.tells.set(None),
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
