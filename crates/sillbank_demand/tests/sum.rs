//! What a leader makes of reports that are lost, repeated, late and out of order.

use arbitrary::Unstructured;
use sillbank_demand::prelude::*;
use sillbank_demand::{Counts, MAX_RANKS, MAX_SERVICES};
use sillbank_testing::for_fixed_seeds;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
/// Time in which each VM asks its leader.
const ASK: Duration = Duration::from_millis(400);
/// Time that a report covers at most, in milliseconds.
const COVERS_MS: u64 = 1_100;

fn report(incarnation: u64, at_ms: u64, offered: u32) -> DemandReport {
    let counts = Counts { offered, ..Counts::default() };
    let news = vec![DemandNews { service: "quotes".to_owned(), rank: 1, counts }];
    DemandReport { incarnation, at_ms, covers_ms: 1_000, news }
}

fn offered(sum: &DemandSum, now: Instant) -> f64 {
    sum.rates(now).unwrap_or_default().iter().map(|rate| rate.offered_per_s).sum()
}

/// A leader that has heard one VM without news for a second, so that it tells its sum.
fn settled_sum() -> (DemandSum, Instant) {
    let start = Instant::now();
    let mut sum = DemandSum::new(start);
    (0..4).for_each(|number: u32| {
        sum.hear(start + ASK * number, "idle", &report(1, u64::from(400 * number), 0));
    });
    (sum, start + ASK * 3)
}

#[test]
fn reports_of_all_vms_add_up() {
    let (mut sum, now) = settled_sum();

    (0..62).for_each(|vm| sum.hear(now, &format!("vm-{vm}"), &report(vm, 5_000, 3)));

    assert_eq!(offered(&sum, now), 186.0);
}

#[test]
fn a_report_that_comes_twice_or_out_of_order_changes_nothing() {
    let (mut sum, now) = settled_sum();
    let (older, newer) = (report(7, 5_000, 9), report(7, 5_400, 3));

    for told in [&older, &newer, &newer, &older] {
        sum.hear(now, "vm", told);
    }

    assert_eq!(offered(&sum, now), 3.0);
}

#[test]
fn a_vm_that_begins_again_counts_once_and_its_last_life_never_again() {
    let (mut sum, now) = settled_sum();
    let (before, after) = (report(7, 500_000, 9), report(8, 100, 2));

    sum.hear(now, "vm", &before);
    sum.hear(now + ASK, "vm", &after);
    sum.hear(now + ASK, "vm", &before);
    sum.hear(now + ASK + MS * 200, "vm", &report(7, 500_100, 9));

    assert_eq!(offered(&sum, now + ASK + MS * 200), 2.0);
}

/// A leader that has just begun cannot know which incarnation is the last.
#[test]
fn a_late_report_of_an_earlier_life_does_not_silence_the_one_that_runs() {
    let (mut sum, now) = settled_sum();

    sum.hear(now, "vm", &report(8, 100, 2));
    sum.hear(now, "vm", &report(7, 500_000, 9));
    sum.hear(now + ASK, "vm", &report(8, 500, 2));

    assert_eq!(offered(&sum, now + ASK), 2.0);
}

#[test]
fn a_silent_vm_counts_for_two_seconds() {
    let (mut sum, now) = settled_sum();
    sum.hear(now, "vm", &report(7, 5_000, 3));

    assert_eq!(offered(&sum, now + MS * 1_900), 3.0);
    assert_eq!(offered(&sum, now + MS * 2_100), 0.0);
}

/// A link that stood still for a long time gives old reports free at once.
#[test]
fn a_report_that_was_long_on_its_way_is_as_old_as_it_is() {
    let (mut sum, now) = settled_sum();
    sum.hear(now, "vm", &report(7, 5_000, 3));

    sum.hear(now + MS * 6_000, "vm", &report(7, 5_400, 3));

    assert_eq!(offered(&sum, now + MS * 6_000), 0.0);
}

#[test]
fn clocks_that_differ_and_drift_change_nothing() {
    let (mut sum, now) = settled_sum();

    (0..100_000_u64).for_each(|number| {
        let at_ms = 3_600_000 + number * 3_999 / 10;
        sum.hear(now + ASK * number as u32, "vm", &report(7, at_ms, 3));
    });

    assert_eq!(offered(&sum, now + ASK * 99_999), 3.0);
}

/// The sum of a leader that has heard a part of its VMs would say that the flood is over.
#[test]
fn a_leader_that_has_just_begun_tells_no_part_of_a_sum() {
    let now = Instant::now();
    let mut sum = DemandSum::new(now);

    sum.hear(now, "vm-1", &report(7, 5_000, 3));
    sum.hear(now + ASK, "vm-2", &report(8, 5_000, 3));

    assert_eq!(sum.rates(now + ASK), None);
    assert_eq!(offered(&sum, now + ASK * 2), 6.0);
}

#[test]
fn a_vm_that_tells_of_any_ranks_and_services_is_bounded() {
    let (mut sum, now) = settled_sum();
    let counts = |offered: u32| Counts { offered, ..Counts::default() };
    let news = (0..40_000_u32).map(|number| DemandNews {
        service: format!("service-{}", number % 400),
        rank: (number / 400) as Rank,
        counts: counts(u32::MAX),
    });
    let absurd =
        DemandReport { incarnation: 1, at_ms: u64::MAX, covers_ms: 0, news: news.collect() };

    sum.hear(now, "vm-1", &absurd);
    let rates = sum.rates(now).expect("a settled sum");
    let bytes = postcard::to_stdvec(&rates).expect("rates");

    assert!(rates.len() <= MAX_SERVICES * MAX_RANKS);
    assert!(rates.iter().all(|rate| usize::from(rate.rank) < MAX_RANKS));
    assert!(bytes.len() < 40_000, "{}", bytes.len());
}

#[test]
fn what_a_leader_tells_of_five_halls_takes_a_few_hundred_bytes() {
    let rate = |rank| DemandRate {
        offered_per_s: 150.0,
        let_in_per_s: 120.3,
        refused_per_s: 29.7,
        returning_per_s: 14.2,
        ..DemandRate::none("quotes-70b", rank)
    };
    let hall: Vec<DemandRate> = (0..4).map(rate).collect();

    let bytes = postcard::to_stdvec(&vec![hall.clone(); 5]).expect("rates");
    let read: Vec<Vec<DemandRate>> = postcard::from_bytes(&bytes).expect("rates");

    assert!(bytes.len() < 450, "{}", bytes.len());
    assert_eq!(read[0], hall);
}

/// A VM of the property: the times in milliseconds at which it was asked, and its process.
struct FakeVm {
    name: String,
    counter: DemandCounter,
    life: u64,
    asked_ms: Vec<u64>,
    last_told_per_s: f64,
}

impl FakeVm {
    fn new(number: u64, now: Instant) -> Self {
        let counter = DemandCounter::new(number, now);
        let name = format!("vm-{number}");
        Self { name, counter, life: number, asked_ms: Vec::new(), last_told_per_s: 0.0 }
    }

    fn is_asked(&mut self, start: Instant, at_ms: u64) {
        self.counter.count(start + MS * at_ms as u32, "quotes", 1, Event::Offered);
        self.asked_ms.push(at_ms);
    }

    fn begins_again(&mut self, now: Instant) {
        self.life += 1_000;
        self.counter = DemandCounter::new(self.life, now);
    }

    /// The most requests in any time that one report covers, which ended from `from_ms` to `until_ms`.
    fn most_in_a_report(&self, from_ms: u64, until_ms: u64) -> usize {
        let in_report = |end: u64| {
            let covers = end.saturating_sub(COVERS_MS)..=end;
            self.asked_ms.iter().filter(|at| covers.contains(at)).count()
        };
        let ends = (from_ms / 50..=until_ms / 50 + 1).map(|step| step * 50);
        ends.map(in_report).max().unwrap_or(0)
    }
}

/// A report on its way.
struct OnItsWay {
    arrives_ms: u64,
    vm: usize,
    report: DemandReport,
}

/// Step of the property's time, in milliseconds.
const STEP_MS: u64 = 50;
/// Longest time on the way for the first report of a process, as asks end after a second.
const LATE_MS: u64 = 1_000;

struct History {
    start: Instant,
    now_ms: u64,
    vms: Vec<FakeVm>,
    on_their_way: Vec<OnItsWay>,
    sum: DemandSum,
}

impl History {
    fn new(vms: u64) -> Self {
        let start = Instant::now();
        Self {
            start,
            now_ms: 0,
            vms: (0..vms).map(|number| FakeVm::new(number, start)).collect(),
            on_their_way: Vec::new(),
            sum: DemandSum::new(start),
        }
    }

    fn now(&self) -> Instant {
        self.start + MS * self.now_ms as u32
    }

    /// Each VM is asked now and then, and tells its leader, which may lose it, have it twice or late.
    fn step_in_trouble(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        for vm in 0..self.vms.len() {
            if u.ratio(1, 4)? {
                self.vms[vm].is_asked(self.start, self.now_ms);
            }
            if u.ratio(1, 100)? {
                let now = self.now();
                self.vms[vm].begins_again(now);
            }
            if u.ratio(1, 8)? {
                let copies = u.int_in_range(0..=2)?;
                for _ in 0..copies {
                    let arrives_ms = self.now_ms + u.int_in_range(0..=LATE_MS)?;
                    let report = self.vms[vm].counter.report(self.now());
                    self.on_their_way.push(OnItsWay { arrives_ms, vm, report });
                }
            }
        }
        if u.ratio(1, 100)? {
            self.sum = DemandSum::new(self.now());
        }
        self.deliver();
        Ok(())
    }

    fn step_in_calm(&mut self) {
        for vm in 0..self.vms.len() {
            self.vms[vm].is_asked(self.start, self.now_ms);
            if (self.now_ms / STEP_MS + vm as u64).is_multiple_of(8) {
                let report = self.vms[vm].counter.report(self.now());
                self.vms[vm].last_told_per_s = report.rates()[0].offered_per_s;
                self.on_their_way.push(OnItsWay { arrives_ms: self.now_ms, vm, report });
            }
        }
        self.deliver();
    }

    fn deliver(&mut self) {
        let now = self.now();
        let now_ms = self.now_ms;
        let is_here = |message: &mut OnItsWay| message.arrives_ms <= now_ms;
        for message in self.on_their_way.extract_if(.., is_here) {
            self.sum.hear(now, &self.vms[message.vm].name, &message.report);
        }
        self.now_ms += STEP_MS;
    }

    /// The most that can have been offered in the times of reports that are still believed.
    fn most(&self) -> f64 {
        let believed_from = self.now_ms.saturating_sub(2_000 + LATE_MS);
        let most = |vm: &FakeVm| vm.most_in_a_report(believed_from, self.now_ms);
        self.vms.iter().map(most).sum::<usize>() as f64
    }
}

#[test]
fn the_sum_is_never_more_than_was_offered_and_right_two_seconds_after_trouble() {
    for_fixed_seeds(200, 8_192, |u| {
        let mut history = History::new(u.int_in_range(1..=8)?);
        for _ in 0..u.int_in_range(20..=120)? {
            history.step_in_trouble(u)?;
            let told = offered(&history.sum, history.now());
            assert!(told <= history.most() + 0.01, "{told} of {}", history.most());
        }

        (0..2_000 / STEP_MS).for_each(|_| history.step_in_calm());

        let told = offered(&history.sum, history.now());
        let truth: f64 = history.vms.iter().map(|vm| vm.last_told_per_s).sum();
        assert!((told - truth).abs() < 0.01, "{told} of {truth}");
        Ok(())
    });
}
