//! Checks that have not ended yet, and requests that wait for them.

use crate::gateway::Gateway;
use crate::job::Job;
use crate::wire::Wire;
use sillbank_core::prelude::*;
use sillbank_quarantine::prelude::*;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval at which a request that waits for the end of checks looks for it.
const CHECK_POLL_INTERVAL: Duration = Duration::from_millis(10);

type PendingCounts = Rc<RefCell<HashMap<Fingerprint, HashMap<EndpointId, usize>>>>;

/// Checks of broken sends that have not shown yet whether the endpoint crashed.
#[derive(Debug, Default)]
pub struct PendingChecks {
    /// Endpoints whose crash would count against each request, with the number of checks.
    counts: PendingCounts,
}

/// A check that has not ended; ends when dropped.
#[derive(Debug)]
pub(super) struct PendingCheck {
    counts: PendingCounts,
    suspect: Option<(Fingerprint, EndpointId)>,
}

impl PendingChecks {
    pub(super) fn begin(&self, suspect: Option<(Fingerprint, EndpointId)>) -> PendingCheck {
        if let Some((fingerprint, endpoint)) = suspect.clone() {
            let mut counts = self.counts.borrow_mut();
            *counts.entry(fingerprint).or_default().entry(endpoint).or_default() += 1;
        }
        PendingCheck { counts: self.counts.clone(), suspect }
    }

    /// Endpoints that are checked. Copies of a request that lose one endpoint count once.
    fn count(&self, fingerprint: Fingerprint) -> usize {
        self.counts.borrow().get(&fingerprint).map_or(0, HashMap::len)
    }
}

impl Drop for PendingCheck {
    fn drop(&mut self) {
        let Some((fingerprint, endpoint)) = self.suspect.take() else { return };
        let mut counts = self.counts.borrow_mut();
        let Some(of_request) = counts.get_mut(&fingerprint) else { return };
        if let Some(count) = of_request.get_mut(&endpoint) {
            *count -= 1;
            if *count == 0 {
                of_request.remove(&endpoint);
            }
        }
        if of_request.is_empty() {
            counts.remove(&fingerprint);
        }
    }
}

impl<W: Wire, S> Gateway<W, S> {
    /// Waits while unfinished checks could quarantine the request, so that it is sent to no further
    /// endpoint than the quarantine allows. Ends with the checks, after a second or little
    /// more, at the latest at the request's deadline. Requests that are further from quarantine do not wait.
    pub async fn await_crash_checks(&self, job: &Job) {
        if !self.settings.borrow().mechanisms.quarantine {
            return;
        }
        while Instant::now() < job.deadline && self.pending_checks_could_quarantine(job) {
            smol::Timer::after(CHECK_POLL_INTERVAL).await;
        }
    }

    /// Whether unfinished checks could quarantine the request.
    pub fn pending_checks_could_quarantine(&self, job: &Job) -> bool {
        let pending = self.pending_checks.count(job.fingerprint());
        pending > 0
            && self.hold_of(job).is_none()
            && self.quarantine.borrow().crash_count(job.fingerprint()) + pending
                >= CRASHES_TO_QUARANTINE
    }
}
