//! Divides the rate limits of endpoints among VMs.
//!
//! The leader of an endpoint's hall divides its limit among the VMs of that hall and the leaders of
//! other halls, which divide their part among their VMs. A VM that wants to send states its rate in
//! its feed requests, and gets its part with the reply.

use crate::feed::FeedRequest;
use crate::gateway::Gateway;
use crate::wire::Wire;
use sillbank_core::prelude::*;
use sillbank_pushback::RATE_LEASE_TERM;
use sillbank_pushback::prelude::*;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Rate limits that this VM divides while it leads.
#[derive(Debug, Default)]
pub struct LimitParts {
    divider: RefCell<LimitAllocator>,
    /// This hall's parts of the limits of endpoints in other halls.
    of_hall: RefCell<BTreeMap<EndpointId, RateLease>>,
}

/// Who hands out parts in reply to a feed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PartsFrom {
    /// The leader of this VM's hall.
    OwnLeader,
    /// The leader of another hall.
    Hall(HallId),
}

impl<W: Wire, S> Gateway<W, S> {
    /// Starts to divide limits when this VM begins to act as leader, and stops with that.
    pub fn update_divider(&self, now: Instant) {
        let mut divider = self.limit_parts.divider.borrow_mut();
        if self.hall.acting_fence.get().is_none() {
            divider.stop();
            self.limit_parts.of_hall.borrow_mut().clear();
            return;
        }
        divider.start(now);
        let pushback = self.pushback.borrow();
        divider.retain(|endpoint| pushback.limit_per_s(endpoint).is_some(), now);
        let mut of_hall = self.limit_parts.of_hall.borrow_mut();
        of_hall.retain(|_, part| now < part.until);
    }

    fn hall_of(&self, endpoint: &str) -> Option<HallId> {
        self.platform.endpoints(|directory| Some(directory.get(endpoint)?.hall.clone()))
    }

    /// What this VM may divide of an endpoint's limit while it leads.
    fn total(&self, endpoint: &str, now: Instant) -> Option<RateLease> {
        let limit_per_s = self.pushback.borrow().limit_per_s(endpoint)?;
        if self.hall_of(endpoint)? == self.settings.borrow().hall {
            return Some(RateLease { per_s: limit_per_s, until: now + RATE_LEASE_TERM });
        }
        let of_hall = self.limit_parts.of_hall.borrow().get(endpoint).copied();
        of_hall.filter(|part| now < part.until)
    }

    /// Who requests a part; `None` if another leader divides that limit.
    fn requester(&self, request: &FeedRequest, endpoint: &str) -> Option<Requester> {
        let own = self.settings.borrow().hall.clone();
        if request.hall == own {
            return Some(Requester::Vm(request.vm.clone()));
        }
        (self.hall_of(endpoint)? == own).then(|| Requester::Hall(request.hall.clone()))
    }

    /// Whether a feed request wants a part that is available and has not been handed out yet.
    pub fn owes_part(&self, request: &FeedRequest, now: Instant) -> bool {
        let divider = self.limit_parts.divider.borrow();
        divider.is_active(now)
            && request.wants.iter().any(|want| {
                let requester = self.requester(request, &want.endpoint);
                let is_given = |requester| divider.has_allocated(&want.endpoint, &requester, now);
                self.total(&want.endpoint, now).is_some()
                    && requester.is_some_and(|requester| !is_given(requester))
            })
    }

    /// Records the rates that a feed request wants, and returns the parts that it gets.
    pub fn give_parts(&self, request: &FeedRequest, now: Instant) -> Vec<RateLeaseGrant> {
        if self.hall.acting_fence.get().is_none() {
            return Vec::new();
        }
        let give = |want: &RateDemand| {
            let requester = self.requester(request, &want.endpoint)?;
            let part = self.divide(&want.endpoint, &requester, want.per_s, now)?;
            let valid_ms = part.until.saturating_duration_since(now).as_millis() as u64;
            Some(RateLeaseGrant { endpoint: want.endpoint.clone(), per_s: part.per_s, valid_ms })
        };
        request.wants.iter().filter_map(give).collect()
    }

    fn divide(
        &self,
        endpoint: &str,
        requester: &Requester,
        wanted_per_s: f64,
        now: Instant,
    ) -> Option<RateLease> {
        let total = self.total(endpoint, now);
        let mut divider = self.limit_parts.divider.borrow_mut();
        match total {
            Some(total) => divider.allocate(endpoint, requester, wanted_per_s, total, now),
            None => {
                divider.record_demand(endpoint, requester, wanted_per_s, now);
                None
            }
        }
    }

    /// While this VM leads, it takes its own parts like those of others.
    pub(crate) fn take_own_parts(&self, now: Instant) {
        if self.hall.acting_fence.get().is_none() {
            return;
        }
        let requester = Requester::Vm(self.settings.borrow().vm.clone());
        let wants = self.pushback.borrow().rate_demands(now);
        for want in wants {
            if let Some(part) = self.divide(&want.endpoint, &requester, want.per_s, now) {
                self.pushback.borrow_mut().set_lease(&want.endpoint, part);
            }
        }
    }

    /// The rates that this VM, or as a leader its hall, would send.
    pub(crate) fn wants_of(&self, from: &PartsFrom, now: Instant) -> Vec<RateDemand> {
        let pushback = self.pushback.borrow();
        match from {
            _ if pushback.limited_count() == 0 => Vec::new(),
            PartsFrom::OwnLeader => pushback.rate_demands(now),
            PartsFrom::Hall(hall) => {
                let divider = self.limit_parts.divider.borrow();
                let limited = pushback.limited_endpoints();
                let limited = limited.filter(|id| self.hall_of(id).as_ref() == Some(hall));
                let wants = limited.map(|id| RateDemand {
                    endpoint: id.clone(),
                    per_s: divider.demand_per_s(id, now),
                });
                wants.filter(|want| want.per_s > 0.0).collect()
            }
        }
    }

    /// Applies the parts in a reply of a leader that was created at `given_at` or later.
    pub fn apply_parts(&self, parts: &[RateLeaseGrant], from: &PartsFrom, given_at: Instant) {
        if parts.is_empty() || self.platform.was_suspended_since(given_at) {
            return;
        }
        for update in parts {
            let valid = Duration::from_millis(update.valid_ms).min(RATE_LEASE_TERM);
            if !(update.per_s.is_finite() && update.per_s >= 0.0) {
                let (endpoint, per_s) = (&update.endpoint, update.per_s);
                tracing::warn!(
                    endpoint,
                    per_s,
                    "pushback: A part of a rate limit is invalid and was ignored."
                );
                continue;
            }
            let Some(until) = given_at.checked_add(valid) else { continue };
            let part = RateLease { per_s: update.per_s, until };
            match from {
                PartsFrom::OwnLeader => {
                    self.pushback.borrow_mut().set_lease(&update.endpoint, part);
                }
                PartsFrom::Hall(_) => {
                    self.limit_parts.of_hall.borrow_mut().insert(update.endpoint.clone(), part);
                }
            }
        }
        if matches!(from, PartsFrom::Hall(_)) {
            self.take_own_parts(Instant::now());
            self.hall.wake_followers();
        }
    }
}
