//! Divides the rate limits of endpoints among VMs by rate leases.
//!
//! The leader of an endpoint's hall allocates its limit to the VMs of that hall and the leaders of
//! other halls, which allocate their lease to their VMs. A VM that wants to send states its rate in
//! its feed requests, and gets its lease with the reply.

use crate::feed::FeedRequest;
use crate::gateway::Gateway;
use crate::wire::Wire;
use sillbank_core::prelude::*;
use sillbank_pushback::RATE_LEASE_TERM;
use sillbank_pushback::prelude::*;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Allocation of rate limits while this VM leads.
#[derive(Debug, Default)]
pub struct RateLeases {
    allocator: RefCell<LimitAllocator>,
    /// This hall's leases for endpoints in other halls.
    hall_leases: RefCell<BTreeMap<EndpointId, RateLease>>,
}

/// Who grants rate leases in reply to a feed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseGrantor {
    /// The leader of this VM's hall.
    OwnLeader,
    /// The leader of another hall.
    Hall(HallId),
}

impl<W: Wire, S> Gateway<W, S> {
    /// Starts to allocate limits when this VM begins to act as leader, and stops when it no longer
    /// does.
    pub fn update_allocator(&self, now: Instant) {
        let mut allocator = self.rate_leases.allocator.borrow_mut();
        if self.hall.acting_fence.get().is_none() {
            allocator.stop();
            self.rate_leases.hall_leases.borrow_mut().clear();
            return;
        }
        allocator.start(now);
        let pushback = self.pushback.borrow();
        allocator.retain(|endpoint| pushback.limit_per_s(endpoint).is_some(), now);
        let mut hall_leases = self.rate_leases.hall_leases.borrow_mut();
        hall_leases.retain(|_, lease| now < lease.until);
    }

    /// What this VM may allocate of an endpoint's limit while it leads.
    fn total(&self, endpoint: &str, now: Instant) -> Option<RateLease> {
        let limit_per_s = self.pushback.borrow().limit_per_s(endpoint)?;
        if self.hall_of(endpoint)? == self.settings.borrow().hall {
            return Some(RateLease { per_s: limit_per_s, until: now + RATE_LEASE_TERM });
        }
        let hall_leases = self.rate_leases.hall_leases.borrow().get(endpoint).copied();
        hall_leases.filter(|lease| now < lease.until)
    }

    /// Who requests a rate lease; `None` if another leader allocates that limit.
    fn requester(&self, request: &FeedRequest, endpoint: &str) -> Option<Requester> {
        let own = self.settings.borrow().hall.clone();
        if request.hall == own {
            return Some(Requester::Vm(request.vm.clone()));
        }
        (self.hall_of(endpoint)? == own).then(|| Requester::Hall(request.hall.clone()))
    }

    /// Whether a feed request demands a rate lease that is available and not granted yet.
    pub fn owes_lease(&self, request: &FeedRequest, now: Instant) -> bool {
        let allocator = self.rate_leases.allocator.borrow();
        allocator.is_active(now)
            && request.rate_demands.iter().any(|demand| {
                let requester = self.requester(request, &demand.endpoint);
                let is_granted =
                    |requester| allocator.has_allocated(&demand.endpoint, &requester, now);
                self.total(&demand.endpoint, now).is_some()
                    && requester.is_some_and(|requester| !is_granted(requester))
            })
    }

    /// Records the rate demands of a feed request, and grants leases for them.
    pub fn grant_leases(&self, request: &FeedRequest, now: Instant) -> Vec<RateLeaseGrant> {
        if self.hall.acting_fence.get().is_none() {
            return Vec::new();
        }
        let grant = |demand: &RateDemand| {
            let requester = self.requester(request, &demand.endpoint)?;
            let lease = self.allocate(&demand.endpoint, &requester, demand.per_s, now)?;
            let valid_ms = lease.until.saturating_duration_since(now).as_millis() as u64;
            Some(RateLeaseGrant { endpoint: demand.endpoint.clone(), per_s: lease.per_s, valid_ms })
        };
        request.rate_demands.iter().filter_map(grant).collect()
    }

    fn allocate(
        &self,
        endpoint: &str,
        requester: &Requester,
        demand_per_s: f64,
        now: Instant,
    ) -> Option<RateLease> {
        let total = self.total(endpoint, now);
        let mut allocator = self.rate_leases.allocator.borrow_mut();
        match total {
            Some(total) => allocator.allocate(endpoint, requester, demand_per_s, total, now),
            None => {
                allocator.record_demand(endpoint, requester, demand_per_s, now);
                None
            }
        }
    }

    /// While this VM leads, it grants itself leases like others.
    pub(crate) fn grant_own_leases(&self, now: Instant) {
        if self.hall.acting_fence.get().is_none() {
            return;
        }
        let requester = Requester::Vm(self.settings.borrow().vm.clone());
        let demands = self.pushback.borrow().rate_demands(now);
        for demand in demands {
            if let Some(lease) = self.allocate(&demand.endpoint, &requester, demand.per_s, now) {
                self.pushback.borrow_mut().set_lease(&demand.endpoint, lease);
            }
        }
    }

    /// The rates that this VM, or as a leader its hall, would send.
    pub(crate) fn rate_demands_of(&self, from: &LeaseGrantor, now: Instant) -> Vec<RateDemand> {
        let pushback = self.pushback.borrow();
        match from {
            _ if pushback.limited_count() == 0 => Vec::new(),
            LeaseGrantor::OwnLeader => pushback.rate_demands(now),
            LeaseGrantor::Hall(hall) => {
                let allocator = self.rate_leases.allocator.borrow();
                let limited = pushback.limited_endpoints();
                let limited = limited.filter(|id| self.hall_of(id).as_ref() == Some(hall));
                let demands = limited.map(|id| RateDemand {
                    endpoint: id.clone(),
                    per_s: allocator.demand_per_s(id, now),
                });
                demands.filter(|demand| demand.per_s > 0.0).collect()
            }
        }
    }

    /// Applies the leases granted in a leader's reply that was created at `granted_at` or later.
    pub fn apply_grants(
        &self,
        grants: &[RateLeaseGrant],
        from: &LeaseGrantor,
        granted_at: Instant,
    ) {
        if grants.is_empty() || self.platform.was_suspended_since(granted_at) {
            return;
        }
        for grant in grants {
            let valid = Duration::from_millis(grant.valid_ms).min(RATE_LEASE_TERM);
            if !(grant.per_s.is_finite() && grant.per_s >= 0.0) {
                let (endpoint, per_s) = (&grant.endpoint, grant.per_s);
                tracing::warn!(endpoint, per_s, "pushback: An invalid rate lease was ignored.");
                continue;
            }
            let Some(until) = granted_at.checked_add(valid) else { continue };
            let lease = RateLease { per_s: grant.per_s, until };
            match from {
                LeaseGrantor::OwnLeader => {
                    self.pushback.borrow_mut().set_lease(&grant.endpoint, lease);
                }
                LeaseGrantor::Hall(_) => {
                    self.rate_leases.hall_leases.borrow_mut().insert(grant.endpoint.clone(), lease);
                }
            }
        }
        if matches!(from, LeaseGrantor::Hall(_)) {
            self.grant_own_leases(Instant::now());
            self.hall.wake_followers();
        }
    }
}
