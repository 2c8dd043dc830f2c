//! Rate limits set by endpoints, and this VM's leases on them.

use crate::allocation::RateLease;
use crate::permits::Permits;
use crate::reason::{PushbackEvent, WithheldReason};
use crate::request_rate::RequestRate;
use crate::signal::LimitSignal;
use crate::updates::{ChangeNumber, LimitUpdate, LimitUpdates, RateDemand};
use sillbank_core::prelude::EndpointId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// How long a limit holds after any VM last received it: without requests to the endpoint it cannot be revoked.
const LIMIT_TTL: Duration = Duration::from_secs(30);
/// Time after which a limit that is received again is announced again, so that it does not expire on VMs that only
/// receive it from others.
const REANNOUNCE_INTERVAL: Duration = Duration::from_secs(5);
/// Minimum rate of requests to an endpoint from all VMs, whatever limit it sets: only an answer can revoke a limit.
const MIN_LIMIT_PER_S: f64 = 0.1;
/// Fraction of a limit that all VMs without a lease use together, in addition to the leases, which cover the whole
/// limit.
const UNLEASED_FRACTION: f64 = 0.25;
/// Demand below which a VM requests no lease, in requests per second.
const MIN_DEMAND_PER_S: f64 = 0.05;

/// The last limit announced by an endpoint.
#[derive(Debug, Clone, Copy)]
struct AnnouncedLimit {
    limit_per_s: Option<f64>,
    born_ms: Option<u64>,
    at: Instant,
    /// Whether this VM received it from the endpoint.
    is_observed: bool,
    number: ChangeNumber,
    announced_at: Instant,
}

/// State of one endpoint.
#[derive(Debug)]
struct EndpointLimit {
    announced: AnnouncedLimit,
    demand: RequestRate,
    lease: Option<RateLease>,
    permits: Permits,
}

impl EndpointLimit {
    /// The effective limit, if there is one.
    fn limit_per_s(&self) -> Option<f64> {
        self.announced.limit_per_s.map(|per_s| per_s.max(MIN_LIMIT_PER_S))
    }

    /// This VM's rate, and whether it is from a lease.
    fn lease_per_s(&self, limit_per_s: f64, vms: u32, now: Instant) -> (f64, bool) {
        match self.lease.filter(|lease| now < lease.until) {
            Some(lease) => (lease.per_s.min(limit_per_s), true),
            None => (UNLEASED_FRACTION * limit_per_s / f64::from(vms.max(1)), false),
        }
    }
}

/// Limits known to one VM.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    endpoints: BTreeMap<EndpointId, EndpointLimit>,
    /// Endpoints whose limit could not be parsed.
    unreadable: BTreeSet<EndpointId>,
    newest_change: ChangeNumber,
}

impl Limits {
    /// Whether no limit is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Records the limit in an endpoint's answer and returns what changed. `draw` is a uniform random number from 0 to
    /// 1.
    pub(crate) fn on_answer(
        &mut self,
        endpoint: &str,
        born_ms: Option<u64>,
        signal: LimitSignal,
        draw: f64,
        now: Instant,
    ) -> Option<PushbackEvent> {
        let limit_per_s = match signal {
            LimitSignal::Unreadable => {
                let is_new = self.unreadable.insert(endpoint.to_owned());
                return is_new.then_some(PushbackEvent::Unreadable("limit"));
            }
            LimitSignal::None if !self.endpoints.contains_key(endpoint) => return None,
            LimitSignal::None => None,
            LimitSignal::PerS(per_s) => Some(per_s),
        };
        let number = self.newest_change + 1;
        let announced = AnnouncedLimit {
            limit_per_s,
            born_ms,
            at: now,
            is_observed: true,
            number,
            announced_at: now,
        };
        self.apply(endpoint, announced, draw, now)
    }

    /// Applies limits reported by another VM and returns what changed.
    pub(crate) fn on_reported(
        &mut self,
        updates: &[LimitUpdate],
        mut draw: impl FnMut() -> f64,
        now: Instant,
    ) -> Vec<(EndpointId, PushbackEvent)> {
        let mut events = Vec::new();
        for update in updates {
            let age = Duration::from_millis(update.age_ms);
            if !update.limit_per_s.is_none_or(|per_s| per_s.is_finite() && per_s >= 0.0) {
                let event = PushbackEvent::Unreadable("a limit reported by another VM");
                events.push((update.endpoint.clone(), event));
                continue;
            }
            let Some(at) = now.checked_sub(age).filter(|_| age < LIMIT_TTL) else {
                continue;
            };
            let announced = AnnouncedLimit {
                limit_per_s: update.limit_per_s,
                born_ms: update.born_ms,
                at,
                is_observed: false,
                number: self.newest_change + 1,
                announced_at: now,
            };
            let event = self.apply(&update.endpoint, announced, draw(), now);
            events.extend(event.map(|event| (update.endpoint.clone(), event)));
        }
        events
    }

    /// Applies an announced limit, unless a newer one of the endpoint is known.
    fn apply(
        &mut self,
        endpoint: &str,
        mut announced: AnnouncedLimit,
        draw: f64,
        now: Instant,
    ) -> Option<PushbackEvent> {
        let state = self.endpoints.get_mut(endpoint);
        let previous = state.as_ref().map(|state| state.announced);
        if previous.is_some_and(|previous| announced.at <= previous.at) {
            return None;
        }
        // A revocation is stored even if the limit was unknown here, because other VMs may learn both from this one.
        let previous_per_s = previous.and_then(|previous| previous.limit_per_s);
        let is_new = previous_per_s != announced.limit_per_s;
        if let Some(previous) = previous.filter(|previous| {
            !is_new && now.saturating_duration_since(previous.announced_at) < REANNOUNCE_INTERVAL
        }) {
            (announced.number, announced.announced_at) = (previous.number, previous.announced_at);
        }
        self.newest_change = self.newest_change.max(announced.number);
        match state {
            Some(state) => state.announced = announced,
            None => {
                let state = EndpointLimit {
                    announced,
                    demand: RequestRate::new(now),
                    lease: None,
                    permits: Permits::new(draw, now),
                };
                self.endpoints.insert(endpoint.to_owned(), state);
            }
        }
        let event = announced.limit_per_s.map_or(PushbackEvent::Unlimited, PushbackEvent::Limited);
        is_new.then_some(event)
    }

    /// Why a request may not be sent to an endpoint now. `vms` is the number of VMs of the fleet.
    pub(crate) fn withheld_reason(
        &mut self,
        endpoint: &str,
        vms: u32,
        now: Instant,
    ) -> Option<WithheldReason> {
        let state = self.endpoints.get_mut(endpoint)?;
        let limit_per_s = state.limit_per_s()?;
        let (lease_per_s, is_leased) = state.lease_per_s(limit_per_s, vms, now);
        state.permits.set_rate(lease_per_s, now);
        if state.permits.is_open(now) {
            return None;
        }
        state.demand.count(now);
        let age = now.saturating_duration_since(state.announced.at);
        Some(WithheldReason::Limit { limit_per_s, lease_per_s, is_leased, age })
    }

    /// Records that a request is sent to an endpoint.
    pub(crate) fn record_send(&mut self, endpoint: &str, now: Instant) {
        if let Some(state) = self.endpoints.get_mut(endpoint)
            && state.announced.limit_per_s.is_some()
        {
            state.permits.take(now);
            state.demand.count(now);
        }
    }

    /// Rates at which this VM would send to endpoints with a limit.
    pub(crate) fn rate_demands(&self, now: Instant) -> Vec<RateDemand> {
        let limited =
            self.endpoints.iter().filter(|(_, state)| state.announced.limit_per_s.is_some());
        let demands = limited.map(|(endpoint, state)| RateDemand {
            endpoint: endpoint.clone(),
            per_s: state.demand.per_s(now),
        });
        demands.filter(|demand| demand.per_s >= MIN_DEMAND_PER_S).collect()
    }

    /// Sets the rate lease that a leader granted to this VM.
    pub(crate) fn set_lease(&mut self, endpoint: &str, lease: RateLease) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.lease = Some(lease);
        }
    }

    /// The effective limit of an endpoint in requests per second; `None` without a limit.
    pub(crate) fn limit_per_s(&self, endpoint: &str) -> Option<f64> {
        self.endpoints.get(endpoint)?.limit_per_s()
    }

    /// Endpoints with a limit.
    pub(crate) fn limited_endpoints(&self) -> impl Iterator<Item = &EndpointId> {
        let limited =
            self.endpoints.iter().filter(|(_, state)| state.announced.limit_per_s.is_some());
        limited.map(|(endpoint, _)| endpoint)
    }

    /// Number of the newest change.
    pub(crate) fn newest_change(&self) -> ChangeNumber {
        self.newest_change
    }

    /// Changes after a number, at most `max` of them.
    pub(crate) fn updates_since(
        &self,
        number: ChangeNumber,
        max: usize,
        now: Instant,
    ) -> LimitUpdates {
        self.updates(number, max, now, |_| true)
    }

    /// As [`Self::updates_since`], restricted to limits that this VM received from the endpoint itself.
    pub(crate) fn observed_updates_since(
        &self,
        number: ChangeNumber,
        max: usize,
        now: Instant,
    ) -> LimitUpdates {
        self.updates(number, max, now, |announced| announced.is_observed)
    }

    fn updates(
        &self,
        number: ChangeNumber,
        max: usize,
        now: Instant,
        is_included: impl Fn(&AnnouncedLimit) -> bool,
    ) -> LimitUpdates {
        let is_new = |state: &&EndpointLimit| {
            state.announced.number > number && is_included(&state.announced)
        };
        let mut new: Vec<(&EndpointId, &EndpointLimit)> =
            self.endpoints.iter().filter(|(_, state)| is_new(state)).collect();
        new.sort_by_key(|(_, state)| state.announced.number);
        let is_complete = new.len() <= max;
        new.truncate(max);
        let up_to = match (is_complete, new.last()) {
            (false, Some((_, last))) => last.announced.number,
            _ => self.newest_change,
        };
        let limits = new.into_iter().map(|(endpoint, state)| LimitUpdate {
            endpoint: endpoint.clone(),
            born_ms: state.announced.born_ms,
            limit_per_s: state.announced.limit_per_s,
            age_ms: now.saturating_duration_since(state.announced.at).as_millis() as u64,
        });
        LimitUpdates { up_to, limits: limits.collect() }
    }

    /// Removes the limit of an endpoint that has restarted; that of its previous incarnation is no longer valid.
    pub(crate) fn on_restart(&mut self, endpoint: &str) {
        self.endpoints.remove(endpoint);
        self.unreadable.remove(endpoint);
    }

    /// Removes entries that no VM has received for long, and returns the limits that lapse with them.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<(EndpointId, PushbackEvent)> {
        let mut lapsed = Vec::new();
        self.endpoints.retain(|endpoint, state| {
            let is_live = now.saturating_duration_since(state.announced.at) < LIMIT_TTL;
            if !is_live && state.announced.limit_per_s.is_some() {
                lapsed.push((endpoint.clone(), PushbackEvent::Lapsed));
            }
            is_live
        });
        lapsed
    }

    /// Drops all leases.
    pub(crate) fn drop_leases(&mut self) {
        self.endpoints.values_mut().for_each(|state| state.lease = None);
    }
}
