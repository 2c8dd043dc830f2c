//! Adds up what the VMs of a hall tell their leader.

use crate::news::{DemandRate, DemandReport, Incarnation, add_rates};
use crate::{BELIEVED, MAX_RANKS, MAX_SERVICES, counted_rank};
use sillbank_core::prelude::{ServiceId, VmId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// How long a leader that has just begun listens before its sum is told: each VM asks once in 400 ms, and one
/// ask may be lost. Until then the sum of the leader before is believed.
const SETTLE: Duration = Duration::from_millis(800);
/// How long a silent VM's incarnations and times are remembered, so that late reports of it are known as such.
const REMEMBERED: Duration = Duration::from_secs(60);
/// VMs that are added up; those of a hall are some hundred.
const MAX_VMS: usize = 1_024;
/// Incarnations of a VM that are told apart: the one that runs, and those before it whose reports may be late.
const MAX_LIVES: usize = 4;
/// How much two clocks may drift apart, in parts of the time that passes; quartz clocks keep to a tenth of it.
const DRIFT: f64 = 0.001;

/// What a leader knows of the demand in its hall.
#[derive(Debug)]
pub struct DemandSum {
    began: Instant,
    /// Since when VMs have been heard without a pause.
    heard_since: Option<Instant>,
    heard_last: Option<Instant>,
    by_vm: BTreeMap<VmId, Vec<Told>>,
}

/// The newest report of one incarnation of a VM.
#[derive(Debug)]
struct Told {
    incarnation: Incarnation,
    at_ms: u64,
    heard: Instant,
    /// When it was made, by the quickest report that came from this incarnation.
    as_of: Instant,
    /// Least time by which this clock was ahead of the VM's when a report came, in milliseconds.
    least_lag_ms: f64,
    rates: Vec<DemandRate>,
}

impl DemandSum {
    /// Nothing heard yet.
    pub fn new(now: Instant) -> Self {
        Self { began: now, heard_since: None, heard_last: None, by_vm: BTreeMap::new() }
    }

    /// Takes a VM's report. One that is no newer than what is known of the VM changes nothing.
    pub fn hear(&mut self, now: Instant, vm: &str, report: &DemandReport) {
        let goes_on = |at: Instant| now.saturating_duration_since(at) < BELIEVED;
        if !self.heard_last.is_some_and(goes_on) {
            self.heard_since = Some(now);
        }
        self.heard_last = Some(now);
        let lag_ms = self.lag_ms(now, report);
        if !self.by_vm.contains_key(vm) {
            self.make_room(now);
        }
        let has_room = self.by_vm.len() < MAX_VMS;
        match self.by_vm.get_mut(vm) {
            Some(lives) => hear_life(lives, now, lag_ms, report),
            None if has_room => {
                self.by_vm.insert(vm.to_owned(), vec![Told::new(now, lag_ms, report)]);
            }
            None => {}
        }
    }

    /// Rates of the hall over about the last second, by service and rank. `None` while the leader cannot have
    /// heard all VMs.
    pub fn rates(&self, now: Instant) -> Option<Vec<DemandRate>> {
        let is_settled = |since: Instant| now.saturating_duration_since(since) >= SETTLE;
        if !self.heard_since.is_some_and(is_settled) {
            return None;
        }
        let mut sum = Vec::new();
        for told in self.by_vm.values().filter_map(|lives| newest(lives)) {
            if told.is_believed(now) {
                add_rates(&mut sum, &told.rates);
            }
        }
        Some(keep_most_asked(sum))
    }

    /// Forgets VMs that have been silent for long if no further one fits.
    fn make_room(&mut self, now: Instant) {
        if self.by_vm.len() >= MAX_VMS {
            let is_known = |told: &Told| now.saturating_duration_since(told.heard) < REMEMBERED;
            self.by_vm.retain(|_, lives| lives.iter().any(is_known));
        }
    }

    /// Time by which this clock is ahead of the VM's, with the way of the report.
    fn lag_ms(&self, now: Instant, report: &DemandReport) -> f64 {
        let here_ms = now.saturating_duration_since(self.began).as_millis() as f64;
        here_ms - report.at_ms as f64
    }
}

/// Takes a report of one of a VM's incarnations. Their numbers have no order, so all are kept, and a late
/// report of an earlier one cannot put the one that runs out for good.
fn hear_life(lives: &mut Vec<Told>, now: Instant, lag_ms: f64, report: &DemandReport) {
    match lives.iter_mut().find(|told| told.incarnation == report.incarnation) {
        Some(told) => told.follow(now, lag_ms, report),
        None => {
            lives.push(Told::new(now, lag_ms, report));
            if lives.len() > MAX_LIVES {
                lives.remove(0);
            }
        }
    }
}

/// The incarnation whose report is newest: a VM counts once.
fn newest(lives: &[Told]) -> Option<&Told> {
    lives.iter().max_by_key(|told| told.as_of)
}

impl Told {
    fn new(now: Instant, lag_ms: f64, report: &DemandReport) -> Self {
        Self {
            incarnation: report.incarnation,
            at_ms: report.at_ms,
            heard: now,
            as_of: now,
            least_lag_ms: lag_ms,
            rates: bounded_rates(report),
        }
    }

    fn follow(&mut self, now: Instant, lag_ms: f64, report: &DemandReport) {
        if report.at_ms <= self.at_ms {
            return;
        }
        let passed_ms = now.saturating_duration_since(self.heard).as_secs_f64() * 1000.0;
        self.least_lag_ms = (self.least_lag_ms + passed_ms * DRIFT).min(lag_ms);
        let late = Duration::from_secs_f64((lag_ms - self.least_lag_ms) / 1000.0);
        self.at_ms = report.at_ms;
        self.heard = now;
        self.as_of = now.checked_sub(late).unwrap_or(self.as_of);
        self.rates = bounded_rates(report);
    }

    fn is_believed(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.as_of) < BELIEVED
    }
}

/// The rates of a report, which may hold more than a counter tells.
fn bounded_rates(report: &DemandReport) -> Vec<DemandRate> {
    let mut bounded = Vec::new();
    for mut rate in report.rates().into_iter().take(MAX_SERVICES * MAX_RANKS) {
        rate.rank = counted_rank(rate.rank);
        add_rates(&mut bounded, &[rate]);
    }
    bounded
}

/// Leaves out the services that are asked for least if there are more than are told apart.
fn keep_most_asked(mut sum: Vec<DemandRate>) -> Vec<DemandRate> {
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
