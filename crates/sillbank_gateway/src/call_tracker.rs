//! Answer times and refusals of the endpoints of plain services, by service.

use sillbank_admission::calls::CallBalancer;
use sillbank_core::prelude::*;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Observed answer times and refusals by service.
#[derive(Debug, Default)]
pub struct CallTracker {
    by_service: RefCell<HashMap<ServiceId, CallBalancer>>,
}

impl CallTracker {
    /// Reads or changes what was observed of a service's endpoints.
    pub fn with<T>(&self, service: &str, change: impl FnOnce(&mut CallBalancer) -> T) -> T {
        let mut by_service = self.by_service.borrow_mut();
        if let Some(balancer) = by_service.get_mut(service) {
            return change(balancer);
        }
        change(by_service.entry(service.to_owned()).or_default())
    }

    /// Times a call to an endpoint. If the timer is dropped before an outcome is recorded, the call
    /// counts as unanswered for as long as its caller waited.
    pub fn start_timer<'a>(
        &'a self,
        service: &'a str,
        endpoint: &'a str,
        now: Instant,
    ) -> CallTimer<'a> {
        CallTimer { tracker: self, service, endpoint, sent_at: now, is_recorded: false }
    }

    /// Drops endpoints that are no longer listed.
    pub fn retain(&self, is_known: impl Fn(&str) -> bool) {
        let mut by_service = self.by_service.borrow_mut();
        by_service.values_mut().for_each(|balancer| balancer.retain(&is_known));
    }
}

/// Times one call until its outcome is recorded.
#[derive(Debug)]
pub struct CallTimer<'a> {
    tracker: &'a CallTracker,
    service: &'a str,
    endpoint: &'a str,
    sent_at: Instant,
    is_recorded: bool,
}

impl CallTimer<'_> {
    /// A complete answer arrived.
    pub fn record_answer(mut self) {
        self.record(|balancer, endpoint, took, now| balancer.record_answer(endpoint, took, now));
    }

    /// The endpoint had no free slot.
    pub fn record_full(mut self) {
        self.record(|balancer, endpoint, _, now| balancer.record_full(endpoint, now));
    }

    /// The call did not reach the endpoint, so it says nothing about its times.
    pub fn discard(mut self) {
        self.is_recorded = true;
    }

    fn record(&mut self, change: impl FnOnce(&mut CallBalancer, &str, Duration, Instant)) {
        let now = Instant::now();
        let took = now.saturating_duration_since(self.sent_at);
        self.tracker.with(self.service, |balancer| change(balancer, self.endpoint, took, now));
        self.is_recorded = true;
    }
}

impl Drop for CallTimer<'_> {
    fn drop(&mut self) {
        if !self.is_recorded {
            self.record(|balancer, endpoint, after, now| {
                balancer.record_unanswered(endpoint, after, now)
            });
        }
    }
}
