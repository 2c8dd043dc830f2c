//! The lease of a hall: who places layers and tells the others.

use crate::gateway::{Gateway, Life};
use crate::store::MetadataStore;
use crate::wire::Wire;
use sillbank_lease::{Candidate, Lease, Moment};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

/// Term of a hall's lease. A holder that is killed is followed by another VM after 9/8 of it.
const LEASE_TERM: Duration = Duration::from_millis(2_600);
/// How often a VM that does not hold the lease reads it. Each read is a priced call.
const LEASE_READ_INTERVAL: Duration = Duration::from_millis(800);
/// How often the VM that held the lease last reads it, to take it again once the store is back.
const LEASE_RETAKE_INTERVAL: Duration = Duration::from_millis(400);

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
    lease: Lease,
    name: String,
    read_at: Option<Instant>,
}

impl<W: Wire, S: MetadataStore> Leadership<W, S> {
    pub(super) fn new(gateway: &Rc<Gateway<W, S>>) -> Self {
        let settings = gateway.settings();
        let candidate =
            Candidate { vm: settings.vm.clone(), peer: settings.peer_listen, term: LEASE_TERM };
        Self {
            gateway: gateway.clone(),
            lease: Lease::new(candidate).retaking_own(),
            name: lease_name(&settings.hall),
            read_at: None,
        }
    }

    /// Whether the lease is held at this moment. Ask right before each use.
    pub(super) fn is_held(&self) -> bool {
        self.lease.fence(moment()).is_some()
    }

    /// Takes, renews or frees the lease, whichever is due.
    pub(super) async fn keep(&mut self) {
        let now = Instant::now();
        if self.gateway.life.get() != Life::Serving {
            self.give_up().await;
            return;
        }
        let mut write = self.lease.on_tick(moment(), fastrand::u64(..));
        if write.is_none() && self.lease.wants_read() && self.read_is_due(now) {
            self.read_at = Some(now);
            match self.gateway.store.read_lease(&self.name).await {
                Ok(read) => write = self.lease.on_read(moment(), read, fastrand::u64(..)),
                Err(error) => tracing::debug!(%error, "lease: It could not be read."),
            }
        }
        if let Some(write) = write {
            let end = self.gateway.store.write_lease(&self.name, &write).await;
            self.lease.on_write_end(moment(), end);
        }
        self.note();
    }

    /// A VM whose leader holds the lease need not read it, nor one that has lost the store as its leader
    /// has.
    fn read_is_due(&self, now: Instant) -> bool {
        let hall = &self.gateway.hall;
        let store_is_away = hall.leader_is_live(now) && !self.gateway.store_is_reached();
        if hall.leader_holds_lease(now) || store_is_away {
            return false;
        }
        let interval = match hall.tells.get() {
            Some(_) => LEASE_RETAKE_INTERVAL,
            None => LEASE_READ_INTERVAL * hall.crowd_factor(),
        };
        self.read_at.is_none_or(|at| now.saturating_duration_since(at) >= interval)
    }

    /// Frees the lease of a VM that stops, so that another takes it at once.
    async fn give_up(&mut self) {
        if let Some(write) = self.lease.give_up(moment(), fastrand::u64(..), None) {
            let end = self.gateway.store.write_lease(&self.name, &write).await;
            self.lease.on_write_end(moment(), end);
        }
        self.note();
    }

    fn note(&self) {
        let fence = self.lease.fence(moment());
        let hall = &self.gateway.hall;
        let own = self.gateway.settings().peer_listen;
        let leader = self.lease.holder().map(|record| record.peer);
        hall.leader.set(leader.filter(|leader| *leader != own));
        let held_before = hall.leads.replace(fence).is_some();
        let other_leads = hall.leader.get().is_some();
        match fence {
            Some(fence) => hall.tells.set(Some(fence)),
            None if other_leads || self.gateway.life.get() != Life::Serving => hall.tells.set(None),
            None => {}
        }
        if held_before != fence.is_some() {
            tracing::info!(lease = self.name, holds = fence.is_some(), fence, "lease: Changed.");
        }
    }
}
