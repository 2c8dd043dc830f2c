//! Tests of the times after which refused callers are told to retry.

use sillbank_admission::retry_after::{FleetRates, RefusedRequest, RetryScheduler};
use sillbank_demand::{DemandRate, Rank};
use sillbank_testing::for_fixed_seeds;
use std::time::{Duration, Instant};

/// Rank of requests without a configured rank.
const DEFAULT_RANK: Rank = 5;

/// A request of a caller that waits up to 30 s.
fn patient(rank: Rank) -> RefusedRequest {
    RefusedRequest { rank, time_left: Duration::from_secs(90), caller: None }
}

/// Refuses a patient caller of the default rank without figures of the fleet.
fn refuse(scheduler: &mut RetryScheduler, now: Instant) -> Duration {
    scheduler.schedule_retry(now, patient(DEFAULT_RANK), None)
}

/// A scheduler after 10 requests per second were admitted for 10 s, and the current time.
fn busy_scheduler() -> (RetryScheduler, Instant) {
    let start = Instant::now();
    let mut scheduler = RetryScheduler::new(start, 0.5);
    let pause = Duration::from_millis(100);
    (1..=100).for_each(|number| scheduler.record_admitted(start + pause * number, DEFAULT_RANK));
    (scheduler, start + pause * 100)
}

/// Callers refused at the same moment retry one after the other.
#[test]
fn retries_of_callers_refused_together_are_spaced() {
    let (mut scheduler, now) = busy_scheduler();

    let waits: Vec<Duration> = (0..4).map(|_| refuse(&mut scheduler, now)).collect();

    // Retries get a quarter of the 10 admissions per second: 0.4 s apart.
    let pauses: Vec<f64> = waits.windows(2).map(|pair| (pair[1] - pair[0]).as_secs_f64()).collect();
    assert!(pauses.iter().all(|pause| (0.3..0.5).contains(pause)), "{pauses:?}");
    assert!(waits[0] >= Duration::from_millis(500), "{waits:?}");
}

/// The longer a shortage has lasted, the later callers retry.
#[test]
fn retry_after_grows_with_the_duration_of_a_shortage() {
    let (mut scheduler, now) = busy_scheduler();
    let half_second = Duration::from_millis(500);
    let admit_then_refuse = |scheduler: &mut RetryScheduler, at: Instant| {
        (0..5).for_each(|_| scheduler.record_admitted(at, DEFAULT_RANK));
        refuse(scheduler, at)
    };

    let first = admit_then_refuse(&mut scheduler, now);
    let waits: Vec<Duration> = (1..=8)
        .map(|number| admit_then_refuse(&mut scheduler, now + half_second * number))
        .collect();

    assert!(first < Duration::from_secs(1), "{first:?}");
    assert!(waits[7] >= Duration::from_secs(4), "{waits:?}");
}

/// A shortage after a second without refusals counts as a new one.
#[test]
fn shortage_ends_after_a_second_without_refusals() {
    let (mut scheduler, now) = busy_scheduler();
    (0..10).for_each(|number| {
        scheduler.record_admitted(now + Duration::from_millis(500) * number, DEFAULT_RANK);
        refuse(&mut scheduler, now + Duration::from_millis(500) * number);
    });
    let later = now + Duration::from_secs(30);
    (0..20).for_each(|_| scheduler.record_admitted(later, DEFAULT_RANK));

    let wait = refuse(&mut scheduler, later);

    assert!(wait < Duration::from_secs(1), "{wait:?}");
}

/// No caller is told more than the maximum of 30 s.
#[test]
fn retry_after_never_exceeds_the_maximum() {
    let mut scheduler = RetryScheduler::new(Instant::now(), 0.5);
    let now = Instant::now();

    let waits: Vec<Duration> = (0..100).map(|_| refuse(&mut scheduler, now)).collect();

    assert!(waits.iter().all(|wait| *wait <= Duration::from_secs(30)), "{waits:?}");
}

/// A VM of a large fleet sees one request per second, or none for a while: a single refusal is not a burst.
#[test]
fn single_caller_at_an_idle_vm_retries_soon() {
    let now = Instant::now();
    let mut scheduler = RetryScheduler::new(now, 0.5);

    let wait = refuse(&mut scheduler, now + Duration::from_secs(8));

    assert_eq!(wait, Duration::from_millis(500));
}

/// Without any admission at the VM, retries are two seconds apart.
#[test]
fn retries_are_two_seconds_apart_without_admissions() {
    let now = Instant::now();
    let mut scheduler = RetryScheduler::new(now, 0.5);

    let waits: Vec<Duration> = (0..3).map(|_| refuse(&mut scheduler, now)).collect();

    let pauses: Vec<Duration> = waits.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert_eq!(pauses, vec![Duration::from_secs(2); 2]);
}

const MS: Duration = Duration::from_millis(1);
/// VMs of the fleets below.
const VMS: u32 = 20;

fn rate(rank: Rank, new_per_s: f64, admitted_per_s: f64) -> DemandRate {
    let refused_per_s = new_per_s - admitted_per_s;
    DemandRate {
        offered_per_s: new_per_s,
        admitted_per_s,
        refused_per_s,
        ..DemandRate::zero("quotes", rank)
    }
}

/// Twice the capacity, of three ranks: 200 callers per second, 100 of whom are admitted, the urgent first.
fn twice_the_capacity() -> Vec<DemandRate> {
    vec![rate(0, 40.0, 36.0), rate(1, 40.0, 32.0), rate(2, 120.0, 32.0)]
}

/// A simulated fleet and the retries that it has scheduled.
struct Fleet {
    start: Instant,
    vms: Vec<RetryScheduler>,
    rates: Vec<DemandRate>,
    /// Rank, wait, and time of the retry in milliseconds from the start; `None` if the caller was told the maximum.
    retries: Vec<(Rank, Duration, Option<u64>)>,
}

impl Fleet {
    fn new(rates: Vec<DemandRate>) -> Self {
        let start = Instant::now();
        let phase = |vm: u32| f64::from(vm * 7 % VMS) / f64::from(VMS);
        let vms = (0..VMS).map(|vm| RetryScheduler::new(start, phase(vm))).collect();
        Self { start, vms, rates, retries: Vec::new() }
    }

    /// Refuses callers of a rank at the rate of the fleet's figures, at one VM after another.
    fn refuse_steadily(&mut self, rank: Rank, from_ms: u64, until_ms: u64) {
        let per_s = self.rates.iter().find(|rate| rate.rank == rank).expect("a rank").refused_per_s;
        let count = (per_s * (until_ms - from_ms) as f64 / 1_000.0) as u64;
        for number in 0..count {
            let at_ms = from_ms + number * (until_ms - from_ms) / count;
            // The step has no common factor with the number of VMs, so every VM gets its part.
            self.refuse((number * 13) as usize, rank, at_ms);
        }
    }

    fn refuse(&mut self, vm: usize, rank: Rank, at_ms: u64) -> Duration {
        let request = RefusedRequest { time_left: Duration::from_secs(20), ..patient(rank) };
        let rates = FleetRates { rates: &self.rates, vms: VMS };
        let vms = self.vms.len();
        let now = self.start + MS * at_ms as u32;
        let wait = self.vms[vm % vms].schedule_retry(now, request, Some(rates));
        let retry_at = (wait < Duration::from_secs(30)).then(|| at_ms + wait.as_millis() as u64);
        self.retries.push((rank, wait, retry_at));
        wait
    }

    /// The maximum number of retries within any second.
    fn max_retries_per_second(&self, ranks: std::ops::RangeInclusive<Rank>) -> usize {
        let of_ranks = self.retries.iter().filter(|(rank, ..)| ranks.contains(rank));
        let mut retries: Vec<u64> = of_ranks.filter_map(|(_, _, retry_at)| *retry_at).collect();
        retries.sort_unstable();
        let in_second =
            |from: &u64| retries.iter().filter(|at| (*from..from + 1_000).contains(at)).count();
        retries.iter().map(in_second).max().unwrap_or(0)
    }

    fn mean_wait(&self, rank: Rank) -> Duration {
        let waits: Vec<Duration> =
            self.retries.iter().filter(|retry| retry.0 == rank).map(|retry| retry.1).collect();
        waits.iter().sum::<Duration>() / waits.len() as u32
    }
}

/// A burst of 4 s, such as a page that many users open at once. Its retries must fit together with new urgent callers.
#[test]
fn retries_after_a_burst_fit_the_capacity() {
    let mut fleet = Fleet::new(twice_the_capacity());

    for quarter in 0..16 {
        (0..=2).for_each(|rank| fleet.refuse_steadily(rank, quarter * 250, quarter * 250 + 250));
    }

    // With the 40 new callers of rank 0, 60 retries fit; with those of rank 1 too, 20, but at least a quarter.
    let (all, urgent) = (fleet.max_retries_per_second(0..=2), fleet.max_retries_per_second(0..=0));
    assert!(all <= 60, "{all}");
    assert!(urgent <= 20, "{urgent}");
    assert!(fleet.mean_wait(0) < fleet.mean_wait(1), "{:?}", fleet.mean_wait(0));
    assert!(fleet.mean_wait(1) < fleet.mean_wait(2), "{:?}", fleet.mean_wait(1));
}

/// Twice the capacity for half a minute: most of the least urgent callers cannot be served before their deadlines. Each
/// caller is told a time within its deadline, or the maximum.
#[test]
fn retries_in_a_lasting_shortage_are_within_the_deadline_or_at_the_maximum() {
    let mut fleet = Fleet::new(twice_the_capacity());

    for second in 0..30 {
        (0..=2)
            .for_each(|rank| fleet.refuse_steadily(rank, second * 1_000, second * 1_000 + 1_000));
    }

    let max_wait = Duration::from_secs(20) / 3;
    let max_retry_after = Duration::from_secs(30);
    assert!(fleet.retries.iter().all(|(_, wait, _)| *wait <= max_wait || *wait == max_retry_after));
    let all = fleet.max_retries_per_second(0..=2);
    assert!(all <= 60, "{all}");
}

/// The least urgent rank at six times its usual rate for 16 s does not delay the retries of urgent callers that are
/// refused occasionally.
#[test]
fn flood_of_the_least_urgent_rank_does_not_delay_urgent_callers() {
    let mut fleet = Fleet::new(vec![rate(0, 20.0, 19.0), rate(2, 360.0, 81.0)]);

    let urgent: Vec<Duration> = (0..16)
        .map(|second| {
            fleet.refuse_steadily(2, second * 1_000, second * 1_000 + 1_000);
            fleet.refuse(second as usize * 3, 0, second * 1_000 + 1_000)
        })
        .collect();

    assert!(urgent.iter().all(|wait| *wait <= Duration::from_secs(1)), "{urgent:?}");
    assert!(fleet.max_retries_per_second(2..=2) <= 80, "{}", fleet.max_retries_per_second(2..=2));
}

/// All VMs lose a group of engines at the same moment and refuse their first callers, which must not retry together.
#[test]
fn first_retries_of_all_vms_are_spread() {
    let rates = vec![rate(1, 200.0, 20.0)];
    let mut fleet = Fleet::new(rates);

    let refused_at_ms = 60_000;
    (0..VMS as usize).for_each(|vm| {
        fleet.refuse(vm, 1, refused_at_ms);
    });

    // A quarter of the 20 that are admitted per second.
    let max = fleet.max_retries_per_second(1..=1);
    assert!(max <= 6, "{max}");
}

/// A burst starts while the leaders' figures are a second old, so each VM sees more than its part of it. The excess of
/// retries stays bounded.
#[test]
fn outdated_figures_allow_few_excess_retries() {
    let mut fleet = Fleet::new(vec![rate(1, 91.0, 90.0)]);

    (0..400_u64).for_each(|number| {
        fleet.refuse(number as usize, 1, 60_000 + number * 1_000 / 400);
    });

    // A quarter of the 90 that are admitted per second fit; no VM takes more than three mean parts, plus its first
    // caller, which finds no earlier retry.
    let max = fleet.max_retries_per_second(1..=1);
    assert!(max <= 3 * 23 + VMS as usize, "{max}");
}

/// Of two callers refused at the same moment, the more urgent one retries first.
#[test]
fn urgent_caller_retries_before_a_less_urgent_one() {
    for_fixed_seeds(200, 4_096, |u| {
        let mut rates = Vec::new();
        for rank in 0..=2 {
            let admitted_per_s = f64::from(u.int_in_range(0..=100)?);
            let refused_per_s = f64::from(u.int_in_range(0..=100)?);
            rates.push(rate(rank, admitted_per_s + refused_per_s, admitted_per_s));
        }
        let mut fleet = Fleet::new(rates);
        let mut at_ms = 0;
        fleet.refuse(0, 0, at_ms);
        for _ in 0..u.int_in_range(0..=60)? {
            at_ms += u.int_in_range(0..=400)?;
            fleet.refuse(0, u.int_in_range(0..=2)?, at_ms);
        }
        let order: [Rank; 2] = if u.arbitrary()? { [0, 2] } else { [2, 0] };

        let waits = order.map(|rank| fleet.refuse(0, rank, at_ms));

        let (urgent, other) =
            if order[0] == 0 { (waits[0], waits[1]) } else { (waits[1], waits[0]) };
        let max_retry_after = Duration::from_secs(30);
        assert!(
            urgent < other || urgent == max_retry_after && other == max_retry_after,
            "{urgent:?} {other:?}"
        );
        Ok(())
    });
}

/// A client that ignores its retry time and retries 50 times a second on one connection, for 10 s, does not delay
/// others.
#[test]
fn aggressive_client_does_not_delay_others() {
    let last_wait = |extra_retries: u32| {
        let (mut scheduler, now) = busy_scheduler();
        let aggressive = RefusedRequest { caller: Some(7), ..patient(DEFAULT_RANK) };
        let mut wait = Duration::ZERO;
        for number in 0..=100 {
            let tenth = now + MS * 100 * number;
            scheduler.record_admitted(tenth, DEFAULT_RANK);
            (0..extra_retries).for_each(|retry| {
                scheduler.schedule_retry(tenth + MS * 20 * retry, aggressive, None);
            });
            if number % 5 == 0 {
                wait = refuse(&mut scheduler, tenth + MS * 100);
            }
        }
        wait
    };

    let (alone, with_aggressive) = (last_wait(0), last_wait(5));

    // The client holds two slots at a time, 0.4 s apart.
    assert!(with_aggressive <= alone + MS * 900, "{alone:?} {with_aggressive:?}");
}

/// A client that retries too early is told the time of its last slot again.
#[test]
fn early_retry_gets_the_reserved_time_again() {
    let (mut scheduler, now) = busy_scheduler();
    let aggressive = RefusedRequest { caller: Some(7), ..patient(DEFAULT_RANK) };
    let waits: Vec<Duration> =
        (0..5).map(|_| scheduler.schedule_retry(now, aggressive, None)).collect();

    let again = scheduler.schedule_retry(now + MS * 100, aggressive, None);

    assert!(waits[1..].iter().all(|wait| *wait == waits[1]), "{waits:?}");
    assert_eq!(again, waits[1] - MS * 100);
}

/// After an outage nothing was admitted for a second, which says nothing about the capacity.
#[test]
fn retries_are_two_seconds_apart_when_the_fleet_admits_nothing() {
    let mut fleet = Fleet::new(vec![rate(DEFAULT_RANK, 100.0, 0.0)]);

    let waits: Vec<Duration> = (0..3).map(|_| fleet.refuse(0, DEFAULT_RANK, 0)).collect();

    let pauses: Vec<Duration> = waits.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert_eq!(pauses, vec![Duration::from_secs(2); 2]);
}

/// Configurations may contain any rank, and figures from another version may be invalid.
#[test]
fn any_ranks_and_figures_give_times_within_bounds() {
    for_fixed_seeds(200, 2_048, |u| {
        let mut rates = Vec::new();
        for _ in 0..u.int_in_range(0..=40)? {
            rates.push(DemandRate {
                offered_per_s: u.arbitrary()?,
                admitted_per_s: u.arbitrary()?,
                refused_per_s: u.arbitrary()?,
                retries_per_s: u.arbitrary()?,
                ..DemandRate::zero("quotes", u.arbitrary()?)
            });
        }
        let fleet = FleetRates { rates: &rates, vms: u.arbitrary()? };
        let now = Instant::now();
        let mut scheduler = RetryScheduler::new(now, u.arbitrary()?);
        for _ in 0..50 {
            let (rank, caller) = (u.arbitrary()?, u.arbitrary()?);
            let time_left = Duration::from_millis(u.int_in_range(0..=100_000)?);

            let wait = scheduler.schedule_retry(
                now,
                RefusedRequest { rank, time_left, caller },
                Some(fleet),
            );

            assert!(wait <= Duration::from_secs(30), "{wait:?}");
        }
        Ok(())
    });
}
