//! Retries, limited by a budget that all VMs share.

use crate::gateway::Gateway;
use crate::job::Job;
use crate::metrics::KindLabel;
use crate::wire::Wire;
use sillbank_admission::budget::{RetryBudget, RetryLimits};
use std::time::Instant;

/// Assumed number of VMs that share the fleet's retry slack while the leaders of some halls have
/// not reported theirs.
const ASSUMED_FLEET_VMS: u32 = 16;
/// Shares of the fleet's retry slack reserved for VMs that leaders have not reported yet: a VM that
/// replaces another starts before that one ends.
const RESERVED_SHARES: u32 = 1;

impl<W: Wire, S> Gateway<W, S> {
    /// Counts the first send of a service's request.
    pub fn record_first_send(&self, service: &str) {
        self.metrics.sends.get_or_create(&KindLabel { kind: "first" }).inc();
        self.with_budget(service, |budget, now| budget.record_first_send(now));
    }

    /// Takes a retry from a service's budget. Returns false if the budget is used up.
    pub fn try_retry(&self, service: &str) -> bool {
        let is_allowed = self.with_budget(service, |budget, now| budget.try_retry(now));
        match is_allowed {
            true => self.metrics.sends.get_or_create(&KindLabel { kind: "repeat" }).inc(),
            false => self.metrics.repeats_denied.inc(),
        };
        is_allowed
    }

    /// Whether a service's budget allows a retry now; none is taken.
    pub fn allows_retry(&self, service: &str) -> bool {
        self.with_budget(service, |budget, now| budget.allows_retry(now))
    }

    /// Whether a request that was sent before may be sent again; if so, the retry is taken from the
    /// budget.
    pub fn may_send_again(&self, job: &Job) -> bool {
        job.may_send_again(Instant::now()) && self.try_retry(&job.service.name)
    }

    /// Upper estimate of the number of VMs in the fleet.
    fn fleet_vms(&self, now: Instant) -> u32 {
        let halls = self.platform.halls();
        self.hall.reports.fleet_vms(&halls, now).unwrap_or(ASSUMED_FLEET_VMS)
    }

    fn with_budget<T>(
        &self,
        service: &str,
        change: impl FnOnce(&mut RetryBudget, Instant) -> T,
    ) -> T {
        let now = Instant::now();
        let mut budgets = self.budgets.borrow_mut();
        let settings = self.settings();
        let shares = self.fleet_vms(now) + RESERVED_SHARES;
        let limits = RetryLimits {
            window: settings.retry_window,
            ratio: settings.retry_ratio,
            slack: settings.retry_slack / f64::from(shares),
        };
        if let Some(budget) = budgets.get_mut(service) {
            budget.set_limits(limits);
            return change(budget, now);
        }
        let mut budget = RetryBudget::new(limits, self.started_at());
        let answer = change(&mut budget, now);
        budgets.insert(service.to_owned(), budget);
        answer
    }
}
