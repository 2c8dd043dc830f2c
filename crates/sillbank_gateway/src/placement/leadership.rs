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
            lease: Lease::new(candidate),
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

    /// A VM that is told by the hall's leader need not read the lease: the leader holds it.
    fn read_is_due(&self, now: Instant) -> bool {
        let interval = LEASE_READ_INTERVAL * self.gateway.hall.crowd_factor();
        let is_due = |at: Instant| now.saturating_duration_since(at) >= interval;
        !self.gateway.hall.leader_is_live(now) && self.read_at.is_none_or(is_due)
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
        if held_before != fence.is_some() {
            tracing::info!(lease = self.name, holds = fence.is_some(), fence, "lease: Changed.");
        }
    }
}
