//! Tracks the pushback of endpoints for one VM and decides whether it may send to them.

use crate::allocation::RateLease;
use crate::limits::Limits;
use crate::reason::{PushbackEvent, Withheld, WithheldReason};
use crate::signal::{Pushback, RetryAfterSignal};
use crate::updates::{ChangeNumber, LimitUpdate, LimitUpdates, RateDemand};
use sillbank_core::prelude::EndpointId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Longest pause that an endpoint is given, so that a wrong value from it does not exclude it permanently.
const MAX_PAUSE: Duration = Duration::from_secs(600);
/// How long an announcement to leave holds after the endpoint last repeated it. Its entry may be removed and listed
/// again meanwhile.
const LEAVING_TTL: Duration = Duration::from_secs(600);

/// Pushback of all endpoints, as known to one VM.
#[derive(Debug, Default)]
pub struct PushbackTracker {
    limits: Limits,
    /// End of the pause of endpoints that refused this VM.
    paused_until: BTreeMap<EndpointId, Instant>,
    /// When endpoints last announced that they leave.
    leaving: BTreeMap<EndpointId, Instant>,
    /// Endpoints whose requested pause could not be parsed.
    unreadable: BTreeSet<EndpointId>,
    withheld: Vec<Withheld>,
}

impl PushbackTracker {
    /// Whether no pushback is known.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty() && self.paused_until.is_empty() && self.leaving.is_empty()
    }

    /// Records the pushback in an endpoint's answer and returns what changed. `draw` is a uniform random number from
    /// 0 to 1.
    pub fn on_answer(
        &mut self,
        endpoint: &str,
        born_ms: Option<u64>,
        pushback: Pushback,
        draw: f64,
        now: Instant,
    ) -> Vec<PushbackEvent> {
        let limited = self.limits.on_answer(endpoint, born_ms, pushback.limit, draw, now);
        let paused = self.on_retry_after(endpoint, pushback.retry_after, now);
        let leaves = pushback.is_leaving && self.on_leaving(endpoint, now);
        let leaves = leaves.then_some(PushbackEvent::Leaves);
        limited.into_iter().chain(paused).chain(leaves).collect()
    }

    fn on_retry_after(
        &mut self,
        endpoint: &str,
        signal: RetryAfterSignal,
        now: Instant,
    ) -> Option<PushbackEvent> {
        let pause = match signal {
            RetryAfterSignal::None => return None,
            RetryAfterSignal::Unreadable => {
                let is_new = self.unreadable.insert(endpoint.to_owned());
                return is_new.then_some(PushbackEvent::Unreadable("rest"));
            }
            RetryAfterSignal::For(pause) => pause.min(MAX_PAUSE),
        };
        let until = now + pause;
        let before = self.paused_until.get(endpoint).copied();
        if before.is_none_or(|before| before < until) {
            self.paused_until.insert(endpoint.to_owned(), until);
        }
        let was_paused = before.is_some_and(|before| now < before);
        (!was_paused && !pause.is_zero()).then_some(PushbackEvent::Paused(pause))
    }

    /// Records that an endpoint leaves; returns whether that is new.
    fn on_leaving(&mut self, endpoint: &str, now: Instant) -> bool {
        self.leaving.insert(endpoint.to_owned(), now).is_none()
    }

    /// Applies limits reported by another VM and returns what changed.
    pub fn on_reported(
        &mut self,
        updates: &[LimitUpdate],
        draw: impl FnMut() -> f64,
        now: Instant,
    ) -> Vec<(EndpointId, PushbackEvent)> {
        self.limits.on_reported(updates, draw, now)
    }

    /// Whether a request may be sent to an endpoint now. `vms` is the number of VMs of the fleet.
    pub fn may_send(&mut self, endpoint: &str, vms: u32, now: Instant) -> bool {
        let Some(reason) = self.withheld_reason(endpoint, vms, now) else {
            return true;
        };
        if !self.withheld.iter().any(|withheld| withheld.endpoint == endpoint) {
            self.withheld.push(Withheld { endpoint: endpoint.to_owned(), reason });
        }
        false
    }

    fn withheld_reason(
        &mut self,
        endpoint: &str,
        vms: u32,
        now: Instant,
    ) -> Option<WithheldReason> {
        if let Some(announced_at) = self.leaving.get(endpoint) {
            let age = now.saturating_duration_since(*announced_at);
            return Some(WithheldReason::Leaving { age });
        }
        // A request sent during the pause would be refused and use up the shared retry budget, at the expense of
        // requests that need a retry.
        if let Some(until) = self.paused_until.get(endpoint).filter(|until| now < **until) {
            let left = until.saturating_duration_since(now);
            return Some(WithheldReason::Paused { left });
        }
        self.limits.withheld_reason(endpoint, vms, now)
    }

    /// Records that a request is sent to an endpoint.
    pub fn record_send(&mut self, endpoint: &str, now: Instant) {
        self.limits.record_send(endpoint, now);
    }

    /// Takes the endpoints from which requests were withheld since the last call.
    pub fn take_withheld(&mut self) -> Vec<Withheld> {
        std::mem::take(&mut self.withheld)
    }

    /// Rates at which this VM would send to endpoints with a limit.
    pub fn rate_demands(&self, now: Instant) -> Vec<RateDemand> {
        self.limits.rate_demands(now)
    }

    /// Sets the rate lease that a leader granted to this VM.
    pub fn set_lease(&mut self, endpoint: &str, lease: RateLease) {
        self.limits.set_lease(endpoint, lease);
    }

    /// The effective limit of an endpoint in requests per second; `None` without a limit.
    pub fn limit_per_s(&self, endpoint: &str) -> Option<f64> {
        self.limits.limit_per_s(endpoint)
    }

    /// Endpoints with a limit.
    pub fn limited_endpoints(&self) -> impl Iterator<Item = &EndpointId> {
        self.limits.limited_endpoints()
    }

    /// Number of endpoints with a limit.
    pub fn limited_count(&self) -> usize {
        self.limits.limited_endpoints().count()
    }

    /// Number of paused endpoints.
    pub fn paused_count(&self) -> usize {
        self.paused_until.len()
    }

    /// Number of endpoints that announced that they leave.
    pub fn leaving_count(&self) -> usize {
        self.leaving.len()
    }

    /// Number of the newest change of limits.
    pub fn newest_change(&self) -> ChangeNumber {
        self.limits.newest_change()
    }

    /// Changes of limits after a number, at most `max` of them.
    pub fn updates_since(&self, number: ChangeNumber, max: usize, now: Instant) -> LimitUpdates {
        self.limits.updates_since(number, max, now)
    }

    /// As [`Self::updates_since`], restricted to limits that this VM received from the endpoint itself.
    pub fn observed_updates_since(
        &self,
        number: ChangeNumber,
        max: usize,
        now: Instant,
    ) -> LimitUpdates {
        self.limits.observed_updates_since(number, max, now)
    }

    /// Drops all rate leases after a suspension of the machine. The clock by which they end stood still, so they may
    /// belong to other VMs by now.
    pub fn on_suspended(&mut self) {
        self.limits.drop_leases();
    }

    /// Removes the pushback of an endpoint that has restarted; that of its previous incarnation is no longer valid.
    pub fn on_restart(&mut self, endpoint: &str) {
        self.limits.on_restart(endpoint);
        self.paused_until.remove(endpoint);
        self.leaving.remove(endpoint);
        self.unreadable.remove(endpoint);
    }

    /// Removes expired pushback and returns the limits that lapse because no VM has received them for long.
    pub fn expire(&mut self, now: Instant) -> Vec<(EndpointId, PushbackEvent)> {
        self.paused_until.retain(|_, until| now < *until);
        self.leaving.retain(|_, at| now.saturating_duration_since(*at) < LEAVING_TTL);
        self.limits.expire(now)
    }
}
