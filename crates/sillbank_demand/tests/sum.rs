//! Tests of the aggregation of demand reports that are lost, duplicated, delayed or reordered.

use arbitrary::Unstructured;
use sillbank_demand::prelude::*;
use sillbank_demand::{Counts, MAX_RANKS, MAX_SERVICES};
use sillbank_testing::for_fixed_seeds;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
/// Time between two reports of a VM to its leader.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum time that a report covers, in milliseconds.
const COVERS_MS: u64 = 1_100;

fn report(incarnation: u64, at_ms: u64, offered: u32) -> DemandReport {
    let counts = Counts { offered, ..Counts::default() };
    let entries = vec![DemandEntry { service: "quotes".to_owned(), rank: 1, counts }];
    DemandReport { incarnation, at_ms, covers_ms: 1_000, entries }
}

fn offered(aggregator: &DemandAggregator, now: Instant) -> f64 {
    aggregator.rates(now).unwrap_or_default().iter().map(|rate| rate.offered_per_s).sum()
}

/// An aggregator that has received reports of one idle VM for long enough to return rates.
fn warmed_up() -> (DemandAggregator, Instant) {
    let start = Instant::now();
    let mut aggregator = DemandAggregator::new(start);
    (0..4).for_each(|number: u32| {
        aggregator.on_report(
            start + REPORT_INTERVAL * number,
            "idle",
            &report(1, u64::from(400 * number), 0),
        );
    });
    (aggregator, start + REPORT_INTERVAL * 3)
}

/// The rates of 62 VMs add up to that of the hall.
#[test]
fn reports_of_all_vms_add_up() {
    let (mut aggregator, now) = warmed_up();

    (0..62).for_each(|vm| aggregator.on_report(now, &format!("vm-{vm}"), &report(vm, 5_000, 3)));

    assert_eq!(offered(&aggregator, now), 186.0);
}

/// Only the newest report of a VM counts, whatever the order of arrival.
#[test]
fn duplicate_and_reordered_reports_are_ignored() {
    let (mut aggregator, now) = warmed_up();
    let (older, newer) = (report(7, 5_000, 9), report(7, 5_400, 3));

    for report in [&older, &newer, &newer, &older] {
        aggregator.on_report(now, "vm", report);
    }

    assert_eq!(offered(&aggregator, now), 3.0);
}

/// After a restart late reports of the earlier incarnation are ignored.
#[test]
fn restarted_vm_counts_once() {
    let (mut aggregator, now) = warmed_up();
    let (before, after) = (report(7, 500_000, 9), report(8, 100, 2));

    aggregator.on_report(now, "vm", &before);
    aggregator.on_report(now + REPORT_INTERVAL, "vm", &after);
    aggregator.on_report(now + REPORT_INTERVAL, "vm", &before);
    aggregator.on_report(now + REPORT_INTERVAL + MS * 200, "vm", &report(7, 500_100, 9));

    assert_eq!(offered(&aggregator, now + REPORT_INTERVAL + MS * 200), 2.0);
}

/// A new leader cannot know which incarnation is the current one. A late report of an earlier one must
/// not make it ignore the running one.
#[test]
fn late_report_of_an_earlier_incarnation_does_not_displace_the_running_one() {
    let (mut aggregator, now) = warmed_up();

    aggregator.on_report(now, "vm", &report(8, 100, 2));
    aggregator.on_report(now, "vm", &report(7, 500_000, 9));
    aggregator.on_report(now + REPORT_INTERVAL, "vm", &report(8, 500, 2));

    assert_eq!(offered(&aggregator, now + REPORT_INTERVAL), 2.0);
}

/// A report is stale two seconds after it was made.
#[test]
fn silent_vm_counts_for_two_seconds() {
    let (mut aggregator, now) = warmed_up();
    aggregator.on_report(now, "vm", &report(7, 5_000, 3));

    assert_eq!(offered(&aggregator, now + MS * 1_900), 3.0);
    assert_eq!(offered(&aggregator, now + MS * 2_100), 0.0);
}

/// A stalled link can deliver old reports all at once. They are stale when they arrive.
#[test]
fn delayed_report_counts_from_when_it_was_made() {
    let (mut aggregator, now) = warmed_up();
    aggregator.on_report(now, "vm", &report(7, 5_000, 3));

    aggregator.on_report(now + MS * 6_000, "vm", &report(7, 5_400, 3));

    assert_eq!(offered(&aggregator, now + MS * 6_000), 0.0);
}

/// A VM whose clock is an hour ahead and drifts for hours is still fresh.
#[test]
fn clock_offset_and_drift_have_no_effect() {
    let (mut aggregator, now) = warmed_up();

    (0..100_000_u64).for_each(|number| {
        let at_ms = 3_600_000 + number * 3_999 / 10;
        aggregator.on_report(now + REPORT_INTERVAL * number as u32, "vm", &report(7, at_ms, 3));
    });

    assert_eq!(offered(&aggregator, now + REPORT_INTERVAL * 99_999), 3.0);
}

/// A new leader has heard from some VMs only; their sum would look like the end of a burst.
#[test]
fn new_leader_returns_no_partial_sum() {
    let now = Instant::now();
    let mut aggregator = DemandAggregator::new(now);

    aggregator.on_report(now, "vm-1", &report(7, 5_000, 3));
    aggregator.on_report(now + REPORT_INTERVAL, "vm-2", &report(8, 5_000, 3));

    assert_eq!(aggregator.rates(now + REPORT_INTERVAL), None);
    assert_eq!(offered(&aggregator, now + REPORT_INTERVAL * 2), 6.0);
}

/// A report with any number of services and ranks gives bounded rates.
#[test]
fn ranks_and_services_of_a_report_are_bounded() {
    let (mut aggregator, now) = warmed_up();
    let counts = |offered: u32| Counts { offered, ..Counts::default() };
    let entries = (0..40_000_u32).map(|number| DemandEntry {
        service: format!("service-{}", number % 400),
        rank: (number / 400) as Rank,
        counts: counts(u32::MAX),
    });
    let oversized =
        DemandReport { incarnation: 1, at_ms: u64::MAX, covers_ms: 0, entries: entries.collect() };

    aggregator.on_report(now, "vm-1", &oversized);
    let rates = aggregator.rates(now).expect("the aggregator is warmed up");
    let bytes = postcard::to_stdvec(&rates).expect("rates");

    assert!(rates.len() <= MAX_SERVICES * MAX_RANKS);
    assert!(rates.iter().all(|rate| usize::from(rate.rank) < MAX_RANKS));
    assert!(bytes.len() < 40_000, "{}", bytes.len());
}

/// Bounds the serialized size of what a leader passes on, and checks that it is read back.
#[test]
fn rates_of_five_halls_take_less_than_450_bytes() {
    let rate = |rank| DemandRate {
        offered_per_s: 150.0,
        admitted_per_s: 120.3,
        refused_per_s: 29.7,
        retries_per_s: 14.2,
        ..DemandRate::zero("quotes-70b", rank)
    };
    let hall: Vec<DemandRate> = (0..4).map(rate).collect();

    let bytes = postcard::to_stdvec(&vec![hall.clone(); 5]).expect("rates");
    let read: Vec<Vec<DemandRate>> = postcard::from_bytes(&bytes).expect("rates");

    assert!(bytes.len() < 450, "{}", bytes.len());
    assert_eq!(read[0], hall);
}

/// A simulated VM with its counter and the times of its requests.
struct FakeVm {
    name: String,
    counter: DemandCounter,
    incarnation: u64,
    request_times_ms: Vec<u64>,
    last_reported_per_s: f64,
}

impl FakeVm {
    fn new(number: u64, now: Instant) -> Self {
        let counter = DemandCounter::new(number, now);
        let name = format!("vm-{number}");
        Self {
            name,
            counter,
            incarnation: number,
            request_times_ms: Vec::new(),
            last_reported_per_s: 0.0,
        }
    }

    fn receive_request(&mut self, start: Instant, at_ms: u64) {
        self.counter.count(start + MS * at_ms as u32, "quotes", 1, DemandEvent::Offered);
        self.request_times_ms.push(at_ms);
    }

    fn restart(&mut self, now: Instant) {
        self.incarnation += 1_000;
        self.counter = DemandCounter::new(self.incarnation, now);
    }

    /// The most requests that a report made between `from_ms` and `until_ms` can contain.
    fn max_in_a_report(&self, from_ms: u64, until_ms: u64) -> usize {
        let in_report = |end: u64| {
            let covers = end.saturating_sub(COVERS_MS)..=end;
            self.request_times_ms.iter().filter(|at| covers.contains(at)).count()
        };
        let ends = (from_ms / 50..=until_ms / 50 + 1).map(|step| step * 50);
        ends.map(in_report).max().unwrap_or(0)
    }
}

/// A report in transit.
struct InTransit {
    arrives_ms: u64,
    vm: usize,
    report: DemandReport,
}

/// Step of simulated time, in milliseconds.
const STEP_MS: u64 = 50;
/// Maximum delay of a report, in milliseconds: requests to the leader time out after a second.
const MAX_DELAY_MS: u64 = 1_000;

/// A simulated hall: its VMs, the reports in transit, and the leader's aggregator.
struct Simulation {
    start: Instant,
    now_ms: u64,
    vms: Vec<FakeVm>,
    in_transit: Vec<InTransit>,
    aggregator: DemandAggregator,
}

impl Simulation {
    fn new(vms: u64) -> Self {
        let start = Instant::now();
        Self {
            start,
            now_ms: 0,
            vms: (0..vms).map(|number| FakeVm::new(number, start)).collect(),
            in_transit: Vec::new(),
            aggregator: DemandAggregator::new(start),
        }
    }

    fn now(&self) -> Instant {
        self.start + MS * self.now_ms as u32
    }

    /// Random requests, restarts and reports; reports may be lost, duplicated or delayed.
    fn step_with_faults(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        for vm in 0..self.vms.len() {
            if u.ratio(1, 4)? {
                self.vms[vm].receive_request(self.start, self.now_ms);
            }
            if u.ratio(1, 100)? {
                let now = self.now();
                self.vms[vm].restart(now);
            }
            if u.ratio(1, 8)? {
                let copies = u.int_in_range(0..=2)?;
                for _ in 0..copies {
                    let arrives_ms = self.now_ms + u.int_in_range(0..=MAX_DELAY_MS)?;
                    let report = self.vms[vm].counter.report(self.now());
                    self.in_transit.push(InTransit { arrives_ms, vm, report });
                }
            }
        }
        if u.ratio(1, 100)? {
            self.aggregator = DemandAggregator::new(self.now());
        }
        self.deliver();
        Ok(())
    }

    fn step_without_faults(&mut self) {
        for vm in 0..self.vms.len() {
            self.vms[vm].receive_request(self.start, self.now_ms);
            if (self.now_ms / STEP_MS + vm as u64).is_multiple_of(8) {
                let report = self.vms[vm].counter.report(self.now());
                self.vms[vm].last_reported_per_s = report.rates()[0].offered_per_s;
                self.in_transit.push(InTransit { arrives_ms: self.now_ms, vm, report });
            }
        }
        self.deliver();
    }

    fn deliver(&mut self) {
        let now = self.now();
        let now_ms = self.now_ms;
        let has_arrived = |message: &mut InTransit| message.arrives_ms <= now_ms;
        for message in self.in_transit.extract_if(.., has_arrived) {
            self.aggregator.on_report(now, &self.vms[message.vm].name, &message.report);
        }
        self.now_ms += STEP_MS;
    }

    /// The most requests that reports which are still fresh can contain.
    fn max_offered(&self) -> f64 {
        let fresh_from = self.now_ms.saturating_sub(2_000 + MAX_DELAY_MS);
        let max = |vm: &FakeVm| vm.max_in_a_report(fresh_from, self.now_ms);
        self.vms.iter().map(max).sum::<usize>() as f64
    }
}

/// While VMs and the leader restart and reports are lost, duplicated or delayed, the sum never exceeds
/// the offered requests. Two seconds after the faults end it is right.
#[test]
fn sum_never_exceeds_demand_and_recovers_in_two_seconds() {
    for_fixed_seeds(200, 8_192, |u| {
        let mut simulation = Simulation::new(u.int_in_range(1..=8)?);
        for _ in 0..u.int_in_range(20..=120)? {
            simulation.step_with_faults(u)?;
            let sum = offered(&simulation.aggregator, simulation.now());
            assert!(
                sum <= simulation.max_offered() + 0.01,
                "{sum} of {}",
                simulation.max_offered()
            );
        }

        (0..2_000 / STEP_MS).for_each(|_| simulation.step_without_faults());

        let sum = offered(&simulation.aggregator, simulation.now());
        let expected: f64 = simulation.vms.iter().map(|vm| vm.last_reported_per_s).sum();
        assert!((sum - expected).abs() < 0.01, "{sum} of {expected}");
        Ok(())
    });
}
