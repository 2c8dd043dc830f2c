//! Pushback of endpoints: applies what they ask for in their answers, and reports it to other VMs.
//!
//! Every choice of an endpoint checks it here first; [`crate::rate_leases`] divides rate limits
//! among VMs.

use crate::gateway::Gateway;
use crate::job::Job;
use crate::metrics::KindLabel;
use crate::store::MetadataStore;
use crate::wire::Wire;
use sillbank_core::prelude::*;
use sillbank_pushback::prelude::*;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval at which expiry is checked, and at which a leader grants itself leases, well within
/// their term.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

impl<W: Wire, S> Gateway<W, S> {
    fn uses_pushback(&self) -> bool {
        self.settings.borrow().mechanisms.pushback
    }

    /// Applies the pushback in an endpoint's answer to a request sent at `sent_at`. It is ignored
    /// if the endpoint has restarted since.
    pub fn on_pushback(&self, endpoint: &str, pushback: Pushback, sent_at: Instant) {
        let asks_nothing = pushback == Pushback::default() && self.pushback.borrow().is_empty();
        if asks_nothing
            || !self.uses_pushback()
            || self.endpoint_tracker.restarted_since(endpoint, sent_at)
        {
            return;
        }
        let incarnation =
            self.platform.endpoints(|directory| directory.newest_incarnation(endpoint));
        let (draw, now) = (self.rng.next_f64(), Instant::now());
        let events =
            self.pushback.borrow_mut().on_answer(endpoint, incarnation, pushback, draw, now);
        if !events.is_empty() {
            let events: Vec<_> =
                events.into_iter().map(|event| (endpoint.to_owned(), event)).collect();
            self.on_pushback_events(&events, "the endpoint");
            self.grant_own_leases(now);
        }
    }

    /// Applies limits reported by another VM, except those of earlier incarnations.
    pub fn on_reported_limits(&self, limits: &[LimitUpdate], from: &'static str) {
        if limits.is_empty() || !self.uses_pushback() {
            return;
        }
        let is_current = |reported: &&LimitUpdate| {
            self.platform.endpoints(|directory| {
                let newest_incarnation = directory.newest_incarnation(&reported.endpoint);
                directory.get(&reported.endpoint).is_some()
                    && crate::restarts::may_be_current(reported.born_ms, newest_incarnation)
            })
        };
        let limits: Vec<LimitUpdate> = limits.iter().filter(is_current).cloned().collect();
        let (draw, now) = (|| self.rng.next_f64(), Instant::now());
        let events = self.pushback.borrow_mut().on_reported(&limits, draw, now);
        self.on_pushback_events(&events, from);
    }

    /// Counts a request sent to an endpoint against its limit.
    pub fn count_against_limit(&self, endpoint: &str) {
        self.pushback.borrow_mut().record_send(endpoint, Instant::now());
    }

    /// Logs and counts the endpoints that were not used for a request because of pushback. Returns
    /// the time until the first of them accepts requests again, if known.
    pub fn record_withheld(&self, job: &Job) -> Option<Duration> {
        if self.pushback.borrow().is_empty() {
            return None;
        }
        let all = self.pushback.borrow_mut().take_withheld();
        for withheld in &all {
            let kind = KindLabel { kind: withheld.reason.name() };
            self.metrics.withheld.get_or_create(&kind).inc();
            self.decisions.withheld(job, withheld);
        }
        all.iter().filter_map(|withheld| withheld.reason.retry_after()).min()
    }

    /// Updates the gauges of pushback.
    fn update_pushback_metrics(&self) {
        let pushback = self.pushback.borrow();
        let set = |kind: &'static str, endpoints: usize| {
            self.metrics.pushback.get_or_create(&KindLabel { kind }).set(endpoints as i64);
        };
        set("limit", pushback.limited_count());
        set("rest", pushback.paused_count());
        set("leaving", pushback.leaving_count());
    }

    fn on_pushback_events(&self, events: &[(EndpointId, PushbackEvent)], from: &'static str) {
        for (endpoint, event) in events {
            match event {
                PushbackEvent::Limited(limit_per_s) => tracing::info!(
                    endpoint,
                    limit_per_s,
                    from,
                    "pushback: An endpoint set a rate limit."
                ),
                PushbackEvent::Unlimited => {
                    tracing::info!(endpoint, from, "pushback: An endpoint removed its rate limit.");
                }
                PushbackEvent::Paused(rest) => {
                    let rest_ms = rest.as_millis() as u64;
                    tracing::info!(endpoint, rest_ms, "pushback: An endpoint asked for a pause.");
                }
                PushbackEvent::Leaves => {
                    tracing::info!(endpoint, "pushback: An endpoint announced that it is leaving.");
                }
                PushbackEvent::Unreadable(what) => {
                    let reason = "the value is not a valid number and is ignored";
                    tracing::warn!(
                        endpoint,
                        what,
                        reason,
                        "pushback: A header could not be parsed."
                    );
                }
                PushbackEvent::Lapsed => {
                    let reason = "no VM has received it for a long time";
                    tracing::info!(endpoint, reason, "pushback: A rate limit has expired.");
                }
            }
        }
        if !events.is_empty() {
            self.update_pushback_metrics();
            self.hall.wake_followers();
        }
    }
}

/// Expires pushback while the program runs.
pub async fn run_expiry<W: Wire, S: MetadataStore>(gateway: Rc<Gateway<W, S>>) {
    let mut checked_at = Instant::now();
    loop {
        smol::Timer::after(CHECK_INTERVAL).await;
        if gateway.platform.was_suspended_since(checked_at) {
            gateway.pushback.borrow_mut().on_suspended();
        }
        let now = Instant::now();
        checked_at = now;
        gateway.update_allocator(now);
        if gateway.pushback.borrow().is_empty() {
            continue;
        }
        let lapsed = gateway.pushback.borrow_mut().expire(now);
        gateway.on_pushback_events(&lapsed, "time");
        gateway.update_pushback_metrics();
        gateway.grant_own_leases(now);
    }
}
