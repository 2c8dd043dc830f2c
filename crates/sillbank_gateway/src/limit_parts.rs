//! Divides the limits of endpoints among VMs.
//!
//! The leader of an endpoint's hall divides its limit among the VMs of that hall and the leaders of others; these divide
//! their part among their VMs. Who wants to send says so with its asks, and gets its part with the answer.

use crate::feed::FeedAsk;
use crate::gateway::Gateway;
use crate::wire::Wire;
use sillbank_core::prelude::*;
use sillbank_pushback::RATE_LEASE_TERM;
use sillbank_pushback::prelude::*;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// What a VM divides while it leads.
#[derive(Debug, Default)]
pub struct LimitParts {
    divider: RefCell<LimitAllocator>,
    /// This hall's parts of the limits of endpoints in other halls.
    of_hall: RefCell<BTreeMap<EndpointId, RateLease>>,
}

/// Whom an ask for parts goes to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PartsFrom {
    /// The leader of this VM's hall.
    OwnLeader,
    /// The leader of another hall.
    Hall(HallId),
}

impl<W: Wire, S> Gateway<W, S> {
    /// Begins to divide when this VM begins to tell its hall, and ends with that.
    pub fn keep_divider(&self, now: Instant) {
        let mut divider = self.limit_parts.divider.borrow_mut();
        if self.hall.tells.get().is_none() {
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
        self.knowledge.endpoints(|directory| Some(directory.get(endpoint)?.hall.clone()))
    }

    /// What this VM has to divide of an endpoint's limit while it leads.
    fn total(&self, endpoint: &str, now: Instant) -> Option<RateLease> {
        let limit_per_s = self.pushback.borrow().limit_per_s(endpoint)?;
        if self.hall_of(endpoint)? == self.settings.borrow().hall {
            return Some(RateLease { per_s: limit_per_s, until: now + RATE_LEASE_TERM });
        }
        let of_hall = self.limit_parts.of_hall.borrow().get(endpoint).copied();
        of_hall.filter(|part| now < part.until)
    }

    /// Who asks; `None` if it asks for what another leader divides.
    fn asker(&self, ask: &FeedAsk, endpoint: &str) -> Option<Requester> {
        let own = self.settings.borrow().hall.clone();
        if ask.hall == own {
            return Some(Requester::Vm(ask.vm.clone()));
        }
        (self.hall_of(endpoint)? == own).then(|| Requester::Hall(ask.hall.clone()))
    }

    /// Whether an ask wants a part that it can be given and has not been given yet.
    pub fn owes_part(&self, ask: &FeedAsk, now: Instant) -> bool {
        let divider = self.limit_parts.divider.borrow();
        divider.is_active(now)
            && ask.wants.iter().any(|want| {
                let asker = self.asker(ask, &want.endpoint);
                let is_given = |asker| divider.has_allocated(&want.endpoint, &asker, now);
                self.total(&want.endpoint, now).is_some()
                    && asker.is_some_and(|asker| !is_given(asker))
            })
    }

    /// Notes what an ask wants, and answers the parts that it gets.
    pub fn give_parts(&self, ask: &FeedAsk, now: Instant) -> Vec<RateLeaseGrant> {
        if self.hall.tells.get().is_none() {
            return Vec::new();
        }
        let give = |want: &RateDemand| {
            let asker = self.asker(ask, &want.endpoint)?;
            let part = self.divide(&want.endpoint, &asker, want.per_s, now)?;
            let valid_ms = part.until.saturating_duration_since(now).as_millis() as u64;
            Some(RateLeaseGrant { endpoint: want.endpoint.clone(), per_s: part.per_s, valid_ms })
        };
        ask.wants.iter().filter_map(give).collect()
    }

    fn divide(
        &self,
        endpoint: &str,
        asker: &Requester,
        wanted_per_s: f64,
        now: Instant,
    ) -> Option<RateLease> {
        let total = self.total(endpoint, now);
        let mut divider = self.limit_parts.divider.borrow_mut();
        match total {
            Some(total) => divider.allocate(endpoint, asker, wanted_per_s, total, now),
            None => {
                divider.record_demand(endpoint, asker, wanted_per_s, now);
                None
            }
        }
    }

    /// While this VM leads it takes its own parts as it gives others theirs.
    pub(crate) fn take_own_parts(&self, now: Instant) {
        if self.hall.tells.get().is_none() {
            return;
        }
        let asker = Requester::Vm(self.settings.borrow().vm.clone());
        let wants = self.pushback.borrow().rate_demands(now);
        for want in wants {
            if let Some(part) = self.divide(&want.endpoint, &asker, want.per_s, now) {
                self.pushback.borrow_mut().set_lease(&want.endpoint, part);
            }
        }
    }

    /// What an ask says that this VM, or as a leader its hall, would send.
    pub(crate) fn wants_of(&self, from: &PartsFrom, now: Instant) -> Vec<RateDemand> {
        let pushback = self.pushback.borrow();
        match from {
            _ if pushback.limited_count() == 0 => Vec::new(),
            PartsFrom::OwnLeader => pushback.rate_demands(now),
            PartsFrom::Hall(hall) => {
                let divider = self.limit_parts.divider.borrow();
                let in_hall = pushback.limited_endpoints();
                let in_hall = in_hall.filter(|id| self.hall_of(id).as_ref() == Some(hall));
                let wants = in_hall.map(|id| RateDemand {
                    endpoint: id.clone(),
                    per_s: divider.demand_per_s(id, now),
                });
                wants.filter(|want| want.per_s > 0.0).collect()
            }
        }
    }

    /// Takes the parts that a leader gave with an answer that was made at `given_at` or later.
    pub fn take_parts(&self, parts: &[RateLeaseGrant], from: &PartsFrom, given_at: Instant) {
        if parts.is_empty() || self.knowledge.was_suspended_since(given_at) {
            return;
        }
        for news in parts {
            let valid = Duration::from_millis(news.valid_ms).min(RATE_LEASE_TERM);
            if !(news.per_s.is_finite() && news.per_s >= 0.0) {
                let (endpoint, per_s) = (&news.endpoint, news.per_s);
                tracing::warn!(
                    endpoint,
                    per_s,
                    "pushback: A part of a limit is no rate; it is left."
                );
                continue;
            }
            let Some(until) = given_at.checked_add(valid) else { continue };
            let part = RateLease { per_s: news.per_s, until };
            match from {
                PartsFrom::OwnLeader => {
                    self.pushback.borrow_mut().set_lease(&news.endpoint, part);
                }
                PartsFrom::Hall(_) => {
                    self.limit_parts.of_hall.borrow_mut().insert(news.endpoint.clone(), part);
                }
            }
        }
        if matches!(from, PartsFrom::Hall(_)) {
            self.take_own_parts(Instant::now());
            self.hall.wake_askers();
        }
    }
}
