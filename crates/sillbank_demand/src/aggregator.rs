//! Aggregation of the demand reports of a hall's VMs at their leader.

use crate::report::{DemandRate, DemandReport, Incarnation, add_rates};
use crate::{FRESH_FOR, MAX_RANKS, MAX_SERVICES, clamp_rank};
use sillbank_core::prelude::{ServiceId, VmId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// How long a new leader collects reports before it returns rates: each VM sends one every 400 ms, and one
/// may be lost. Until then the rates of the previous leader are used.
const WARM_UP: Duration = Duration::from_millis(800);
/// How long the incarnations of a silent VM are kept, so that late reports of them are recognised.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of VMs; a hall has about a hundred.
const MAX_VMS: usize = 1_024;
/// Maximum number of incarnations kept for a VM: the current one, and earlier ones whose reports may arrive
/// late.
const MAX_INCARNATIONS: usize = 4;
/// Maximum drift between two clocks, relative to the elapsed time. Quartz clocks stay within a tenth of it.
const MAX_CLOCK_DRIFT: f64 = 0.001;

/// Aggregates the demand of a hall at its leader.
#[derive(Debug)]
pub struct DemandAggregator {
    started: Instant,
    /// Start of the current series of reports without a gap.
    reports_since: Option<Instant>,
    last_report: Option<Instant>,
    by_vm: BTreeMap<VmId, Vec<IncarnationReport>>,
}

/// The newest report of one incarnation of a VM.
#[derive(Debug)]
struct IncarnationReport {
    incarnation: Incarnation,
    at_ms: u64,
    received: Instant,
    /// When the report was made, estimated by the fastest report of this incarnation.
    made: Instant,
    /// Least difference between this clock and the VM's when a report arrived, in milliseconds.
    min_lag_ms: f64,
    rates: Vec<DemandRate>,
}

impl DemandAggregator {
    /// Creates an aggregator without reports.
    pub fn new(now: Instant) -> Self {
        Self { started: now, reports_since: None, last_report: None, by_vm: BTreeMap::new() }
    }

    /// Processes a VM's report. A report that is not newer than the known one is ignored.
    pub fn on_report(&mut self, now: Instant, vm: &str, report: &DemandReport) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < FRESH_FOR;
        if !self.last_report.is_some_and(is_recent) {
            self.reports_since = Some(now);
        }
        self.last_report = Some(now);
        let lag_ms = self.lag_ms(now, report);
        if !self.by_vm.contains_key(vm) {
            self.evict_silent(now);
        }
        let has_capacity = self.by_vm.len() < MAX_VMS;
        match self.by_vm.get_mut(vm) {
            Some(incarnations) => update_incarnation(incarnations, now, lag_ms, report),
            None if has_capacity => {
                self.by_vm.insert(vm.to_owned(), vec![IncarnationReport::new(now, lag_ms, report)]);
            }
            None => {}
        }
    }

    /// Rates of the hall over about the last second, by service and rank. `None` while reports of some VMs
    /// may still be missing.
    pub fn rates(&self, now: Instant) -> Option<Vec<DemandRate>> {
        let is_warmed_up = |since: Instant| now.saturating_duration_since(since) >= WARM_UP;
        if !self.reports_since.is_some_and(is_warmed_up) {
            return None;
        }
        let mut sum = Vec::new();
        for report in self.by_vm.values().filter_map(|incarnations| newest(incarnations)) {
            if report.is_fresh(now) {
                add_rates(&mut sum, &report.rates);
            }
        }
        Some(keep_most_demanded(sum))
    }

    /// Evicts VMs that have been silent for long if no further VM fits.
    fn evict_silent(&mut self, now: Instant) {
        if self.by_vm.len() >= MAX_VMS {
            let is_retained = |known: &IncarnationReport| {
                now.saturating_duration_since(known.received) < RETENTION
            };
            self.by_vm.retain(|_, incarnations| incarnations.iter().any(is_retained));
        }
    }

    /// Difference between this clock and the VM's, including the time that the report was in transit.
    fn lag_ms(&self, now: Instant, report: &DemandReport) -> f64 {
        let local_ms = now.saturating_duration_since(self.started).as_millis() as f64;
        local_ms - report.at_ms as f64
    }
}

/// Processes a report of one of a VM's incarnations.
///
/// Incarnations are not ordered, so several are kept: a late report of an earlier one must not displace
/// the running one for good.
fn update_incarnation(
    incarnations: &mut Vec<IncarnationReport>,
    now: Instant,
    lag_ms: f64,
    report: &DemandReport,
) {
    match incarnations.iter_mut().find(|known| known.incarnation == report.incarnation) {
        Some(known) => known.update(now, lag_ms, report),
        None => {
            incarnations.push(IncarnationReport::new(now, lag_ms, report));
            if incarnations.len() > MAX_INCARNATIONS {
                incarnations.remove(0);
            }
        }
    }
}

/// The incarnation with the newest report; only this one counts for the VM.
fn newest(incarnations: &[IncarnationReport]) -> Option<&IncarnationReport> {
    incarnations.iter().max_by_key(|known| known.made)
}

impl IncarnationReport {
    fn new(now: Instant, lag_ms: f64, report: &DemandReport) -> Self {
        Self {
            incarnation: report.incarnation,
            at_ms: report.at_ms,
            received: now,
            made: now,
            min_lag_ms: lag_ms,
            rates: bounded_rates(report),
        }
    }

    fn update(&mut self, now: Instant, lag_ms: f64, report: &DemandReport) {
        if report.at_ms <= self.at_ms {
            return;
        }
        let elapsed_ms = now.saturating_duration_since(self.received).as_secs_f64() * 1000.0;
        self.min_lag_ms = (self.min_lag_ms + elapsed_ms * MAX_CLOCK_DRIFT).min(lag_ms);
        let delay = Duration::from_secs_f64((lag_ms - self.min_lag_ms) / 1000.0);
        self.at_ms = report.at_ms;
        self.received = now;
        self.made = now.checked_sub(delay).unwrap_or(self.made);
        self.rates = bounded_rates(report);
    }

    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.made) < FRESH_FOR
    }
}

/// The rates of a report, limited to as many as a counter can report.
fn bounded_rates(report: &DemandReport) -> Vec<DemandRate> {
    let mut bounded = Vec::new();
    for mut rate in report.rates().into_iter().take(MAX_SERVICES * MAX_RANKS) {
        rate.rank = clamp_rank(rate.rank);
        add_rates(&mut bounded, &[rate]);
    }
    bounded
}

/// Keeps the [`MAX_SERVICES`] services with the most requests.
fn keep_most_demanded(mut sum: Vec<DemandRate>) -> Vec<DemandRate> {
    let mut offered: BTreeMap<ServiceId, f64> = BTreeMap::new();
    for rate in &sum {
        *offered.entry(rate.service.clone()).or_default() += rate.offered_per_s;
    }
    if offered.len() <= MAX_SERVICES {
        return sum;
    }
    let mut by_offered: Vec<(ServiceId, f64)> = offered.into_iter().collect();
    by_offered.sort_by(|a, b| b.1.total_cmp(&a.1));
    let kept: BTreeSet<ServiceId> =
        by_offered.into_iter().take(MAX_SERVICES).map(|(service, _)| service).collect();
    sum.retain(|rate| kept.contains(&rate.service));
    sum
}
