//! Crashes that this VM found, and what the latest checks of an endpoint have shown.

use super::cause::{BreakCause, Depth};
use crate::gateway::Gateway;
use crate::wire::Wire;
use sillbank_core::prelude::*;
use smol::lock::Mutex;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

/// Crashes of an endpoint that this VM found.
#[derive(Debug, Clone, Copy)]
struct Crashes {
    last_found_at: Instant,
    count: u32,
}

/// Checks of one depth of an endpoint.
type CheckKey = (EndpointId, Depth);

/// Endpoints that this VM found to have crashed.
#[derive(Debug, Default)]
pub struct CrashedEndpoints {
    crashes: RefCell<HashMap<EndpointId, Crashes>>,
    /// Shared by all requests that lose an endpoint at the same moment.
    latest_checks: RefCell<HashMap<CheckKey, LatestCheck>>,
    /// Allows one check of an endpoint and depth at a time: no request waits for a thorough one.
    check_locks: RefCell<HashMap<CheckKey, Rc<Mutex<()>>>>,
}

impl CrashedEndpoints {
    pub(super) fn crashed_since(&self, endpoint: &str, since: Instant) -> bool {
        self.crashes.borrow().get(endpoint).is_some_and(|found| found.last_found_at >= since)
    }

    pub(super) fn record(&self, endpoint: &str, now: Instant) {
        let mut crashes = self.crashes.borrow_mut();
        let count = crashes.get(endpoint).map_or(0, |found| found.count) + 1;
        crashes.insert(endpoint.to_owned(), Crashes { last_found_at: now, count });
    }

    /// What a check of this depth, made at `not_before` or later, has shown.
    pub(super) fn latest_cause(
        &self,
        endpoint: &str,
        depth: Depth,
        not_before: Instant,
    ) -> Option<BreakCause> {
        let latest_checks = self.latest_checks.borrow();
        let latest = latest_checks.get(&(endpoint.to_owned(), depth))?;
        (latest.started_at >= not_before).then_some(latest.cause)
    }

    /// Records what a check that started at `started_at` has shown.
    pub(super) fn record_check(
        &self,
        endpoint: &str,
        depth: Depth,
        started_at: Instant,
        cause: BreakCause,
    ) {
        let latest = LatestCheck { started_at, cause };
        self.latest_checks.borrow_mut().insert((endpoint.to_owned(), depth), latest);
    }

    pub(super) fn check_lock(&self, endpoint: &str, depth: Depth) -> Rc<Mutex<()>> {
        self.check_locks.borrow_mut().entry((endpoint.to_owned(), depth)).or_default().clone()
    }

    /// Drops endpoints that are no longer listed.
    pub fn retain(&self, is_known: impl Fn(&str) -> bool) {
        self.crashes.borrow_mut().retain(|id, _| is_known(id));
        self.latest_checks.borrow_mut().retain(|(id, _), _| is_known(id));
        self.check_locks
            .borrow_mut()
            .retain(|(id, _), check_lock| Rc::strong_count(check_lock) > 1 || is_known(id));
    }
}

/// The latest check of an endpoint.
#[derive(Debug, Clone, Copy)]
struct LatestCheck {
    started_at: Instant,
    cause: BreakCause,
}

impl<W: Wire, S> Gateway<W, S> {
    /// Name of the incarnation that answered a request sent at `sent_at`, when `known` was the newest one. If that had been found
    /// crashed before, the endpoint has restarted since, and neither its entry nor a report says so yet.
    pub fn answering_incarnation(&self, endpoint: &str, known: String, sent_at: Instant) -> String {
        let crashes = self.crashed_endpoints.crashes.borrow().get(endpoint).copied();
        let is_unannounced = |crashes: &Crashes| {
            crashes.last_found_at <= sent_at
                && !self.endpoint_tracker.restarted_since(endpoint, crashes.last_found_at)
        };
        match crashes.filter(is_unannounced) {
            Some(crashes) => format!("{known}+{}", crashes.count),
            None => known,
        }
    }
}
