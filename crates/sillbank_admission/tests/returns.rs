//! When refused callers are told to come back.

use sillbank_admission::returns::{FleetFlow, Refusal, ReturnTimes};
use sillbank_demand::{DemandRate, Rank};
use sillbank_testing::for_fixed_seeds;
use std::time::{Duration, Instant};

/// Rank of requests that nobody ranks.
const USUAL: Rank = 5;

/// A caller who waits for 30 s if it is told to.
fn patient(rank: Rank) -> Refusal {
    Refusal { rank, time_left: Duration::from_secs(90), caller: None }
}

/// Refuses a patient caller of the usual rank while nothing is known of the fleet.
fn refuse(times: &mut ReturnTimes, now: Instant) -> Duration {
    times.on_refused(now, patient(USUAL), None)
}

/// Times after 10 requests a second were let in for 10 s, and the moment after that.
fn busy_times() -> (ReturnTimes, Instant) {
    let start = Instant::now();
    let mut times = ReturnTimes::new(start, 0.5);
    let pause = Duration::from_millis(100);
    (1..=100).for_each(|number| times.on_let_in(start + pause * number, USUAL));
    (times, start + pause * 100)
}

#[test]
fn callers_refused_at_once_come_back_one_after_the_other() {
    let (mut times, now) = busy_times();

    let told: Vec<Duration> = (0..4).map(|_| refuse(&mut times, now)).collect();

    // A quarter of 10 a second comes back: 0.4 s apart.
    let pauses: Vec<f64> = told.windows(2).map(|pair| (pair[1] - pair[0]).as_secs_f64()).collect();
    assert!(pauses.iter().all(|pause| (0.3..0.5).contains(pause)), "{pauses:?}");
    assert!(told[0] >= Duration::from_millis(500), "{told:?}");
}

#[test]
fn the_longer_a_shortage_has_lasted_the_later_callers_come_back() {
    let (mut times, now) = busy_times();
    let half_second = Duration::from_millis(500);
    let let_in_until = |times: &mut ReturnTimes, at: Instant| {
        (0..5).for_each(|_| times.on_let_in(at, USUAL));
        refuse(times, at)
    };

    let first = let_in_until(&mut times, now);
    let told: Vec<Duration> =
        (1..=8).map(|number| let_in_until(&mut times, now + half_second * number)).collect();

    assert!(first < Duration::from_secs(1), "{first:?}");
    assert!(told[7] >= Duration::from_secs(4), "{told:?}");
}

#[test]
fn a_shortage_after_a_quiet_second_is_a_new_one() {
    let (mut times, now) = busy_times();
    (0..10).for_each(|number| {
        times.on_let_in(now + Duration::from_millis(500) * number, USUAL);
        refuse(&mut times, now + Duration::from_millis(500) * number);
    });
    let later = now + Duration::from_secs(30);
    (0..20).for_each(|_| times.on_let_in(later, USUAL));

    let told = refuse(&mut times, later);

    assert!(told < Duration::from_secs(1), "{told:?}");
}

#[test]
fn nobody_is_told_more_than_is_known() {
    let mut times = ReturnTimes::new(Instant::now(), 0.5);
    let now = Instant::now();

    let told: Vec<Duration> = (0..100).map(|_| refuse(&mut times, now)).collect();

    assert!(told.iter().all(|told| *told <= Duration::from_secs(30)), "{told:?}");
}

/// A VM of a large fleet sees a request a second, or none for a while: one refusal is no crowd.
#[test]
fn a_single_caller_at_a_vm_that_let_nobody_in_comes_back_soon() {
    let now = Instant::now();
    let mut times = ReturnTimes::new(now, 0.5);

    let told = refuse(&mut times, now + Duration::from_secs(8));

    assert_eq!(told, Duration::from_millis(500));
}

#[test]
fn callers_at_a_vm_that_lets_nobody_in_come_back_two_seconds_apart() {
    let now = Instant::now();
    let mut times = ReturnTimes::new(now, 0.5);

    let told: Vec<Duration> = (0..3).map(|_| refuse(&mut times, now)).collect();

    let pauses: Vec<Duration> = told.windows(2).map(|pair| pair[1] - pair[0]).collect();
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

/// Twice what fits, of three ranks: 200 callers a second, 100 of whom are let in, the urgent first.
fn twice_what_fits() -> Vec<DemandRate> {
    vec![rate(0, 40.0, 36.0), rate(1, 40.0, 32.0), rate(2, 120.0, 32.0)]
}

/// A fleet's callers who were told to come back.
struct Fleet {
    start: Instant,
    vms: Vec<ReturnTimes>,
    rates: Vec<DemandRate>,
    /// Rank, and when they come back, in milliseconds from the start. `None` if they were told the longest time.
    told: Vec<(Rank, Duration, Option<u64>)>,
}

impl Fleet {
    fn new(rates: Vec<DemandRate>) -> Self {
        let start = Instant::now();
        let phase = |vm: u32| f64::from(vm * 7 % VMS) / f64::from(VMS);
        let vms = (0..VMS).map(|vm| ReturnTimes::new(start, phase(vm))).collect();
        Self { start, vms, rates, told: Vec::new() }
    }

    /// Refuses callers of a rank at the rate of the fleet's figures, at one VM after the other.
    fn refuse_steadily(&mut self, rank: Rank, from_ms: u64, until_ms: u64) {
        let per_s = self.rates.iter().find(|rate| rate.rank == rank).expect("a rank").refused_per_s;
        let count = (per_s * (until_ms - from_ms) as f64 / 1_000.0) as u64;
        for number in 0..count {
            let at_ms = from_ms + number * (until_ms - from_ms) / count;
            // The step has no common factor with the VMs, so all of them get their part.
            self.refuse((number * 13) as usize, rank, at_ms);
        }
    }

    fn refuse(&mut self, vm: usize, rank: Rank, at_ms: u64) -> Duration {
        let refusal = Refusal { time_left: Duration::from_secs(20), ..patient(rank) };
        let flow = FleetFlow { rates: &self.rates, vms: VMS };
        let vms = self.vms.len();
        let now = self.start + MS * at_ms as u32;
        let wait = self.vms[vm % vms].on_refused(now, refusal, Some(flow));
        let back = (wait < Duration::from_secs(30)).then(|| at_ms + wait.as_millis() as u64);
        self.told.push((rank, wait, back));
        wait
    }

    /// The most callers who come back in any second.
    fn most_in_a_second(&self, ranks: std::ops::RangeInclusive<Rank>) -> usize {
        let of_ranks = self.told.iter().filter(|(rank, ..)| ranks.contains(rank));
        let mut back: Vec<u64> = of_ranks.filter_map(|(_, _, back)| *back).collect();
        back.sort_unstable();
        let in_second =
            |from: &u64| back.iter().filter(|at| (*from..from + 1_000).contains(at)).count();
        back.iter().map(in_second).max().unwrap_or(0)
    }

    fn mean_wait(&self, rank: Rank) -> Duration {
        let waits: Vec<Duration> =
            self.told.iter().filter(|told| told.0 == rank).map(|told| told.1).collect();
        waits.iter().sum::<Duration>() / waits.len() as u32
    }
}

/// A crowd of 4 s: a page that many open at once. What comes back together with new urgent callers must fit.
#[test]
fn of_a_burst_no_more_come_back_a_second_than_fit() {
    let mut fleet = Fleet::new(twice_what_fits());

    for quarter in 0..16 {
        (0..=2).for_each(|rank| fleet.refuse_steadily(rank, quarter * 250, quarter * 250 + 250));
    }

    // Beside the 40 new callers of rank 0, 60 fit; beside those of rank 1 too, 20, but a quarter at least.
    let (all, urgent) = (fleet.most_in_a_second(0..=2), fleet.most_in_a_second(0..=0));
    assert!(all <= 60, "{all}");
    assert!(urgent <= 20, "{urgent}");
    assert!(fleet.mean_wait(0) < fleet.mean_wait(1), "{:?}", fleet.mean_wait(0));
    assert!(fleet.mean_wait(1) < fleet.mean_wait(2), "{:?}", fleet.mean_wait(1));
}

/// Twice what fits for half a minute: most of the least urgent cannot be served in the time that they have.
#[test]
fn in_a_lasting_shortage_callers_are_told_a_time_that_they_can_keep_or_the_longest() {
    let mut fleet = Fleet::new(twice_what_fits());

    for second in 0..30 {
        (0..=2)
            .for_each(|rank| fleet.refuse_steadily(rank, second * 1_000, second * 1_000 + 1_000));
    }

    let most_wait = Duration::from_secs(20) / 3;
    let longest = Duration::from_secs(30);
    assert!(fleet.told.iter().all(|(_, wait, _)| *wait <= most_wait || *wait == longest));
    let all = fleet.most_in_a_second(0..=2);
    assert!(all <= 60, "{all}");
}

/// The least urgent kind at six times its usual rate for 16 s: an urgent caller who is refused now and then has no
/// part in that.
#[test]
fn a_flood_of_the_least_urgent_rank_leaves_urgent_callers_their_times() {
    let mut fleet = Fleet::new(vec![rate(0, 20.0, 19.0), rate(2, 360.0, 81.0)]);

    let urgent: Vec<Duration> = (0..16)
        .map(|second| {
            fleet.refuse_steadily(2, second * 1_000, second * 1_000 + 1_000);
            fleet.refuse(second as usize * 3, 0, second * 1_000 + 1_000)
        })
        .collect();

    assert!(urgent.iter().all(|wait| *wait <= Duration::from_secs(1)), "{urgent:?}");
    assert!(fleet.most_in_a_second(2..=2) <= 80, "{}", fleet.most_in_a_second(2..=2));
}

/// All VMs lose a group of engines in one moment and refuse before they have refused anyone.
#[test]
fn the_first_callers_of_all_vms_do_not_come_back_together() {
    let rates = vec![rate(1, 200.0, 20.0)];
    let mut fleet = Fleet::new(rates);

    let refused_at_ms = 60_000;
    (0..VMS as usize).for_each(|vm| {
        fleet.refuse(vm, 1, refused_at_ms);
    });

    // A quarter of the 20 that are let in a second.
    let most = fleet.most_in_a_second(1..=1);
    assert!(most <= 6, "{most}");
}

/// A crowd begins, and what leaders tell is a second old: all VMs see more than their part of it.
#[test]
fn figures_that_lag_behind_a_crowd_let_few_too_many_come_back() {
    let mut fleet = Fleet::new(vec![rate(1, 91.0, 90.0)]);

    (0..400_u64).for_each(|number| {
        fleet.refuse(number as usize, 1, 60_000 + number * 1_000 / 400);
    });

    // A quarter of the 90 that are let in a second fit; no VM takes more than three mean parts, and the first
    // caller of each, who finds nobody told before.
    let most = fleet.most_in_a_second(1..=1);
    assert!(most <= 3 * 23 + VMS as usize, "{most}");
}

#[test]
fn an_urgent_caller_comes_back_before_a_less_urgent_one_refused_in_the_same_moment() {
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
        let longest = Duration::from_secs(30);
        assert!(urgent < other || urgent == longest && other == longest, "{urgent:?} {other:?}");
        Ok(())
    });
}

/// A client that repeats at once, 50 times a second on one connection, for 10 s beside others.
#[test]
fn a_client_that_repeats_at_once_moves_nobody_back() {
    let told_last = |hasty_repeats: u32| {
        let (mut times, now) = busy_times();
        let hasty = Refusal { caller: Some(7), ..patient(USUAL) };
        let mut told = Duration::ZERO;
        for number in 0..=100 {
            let tenth = now + MS * 100 * number;
            times.on_let_in(tenth, USUAL);
            (0..hasty_repeats).for_each(|repeat| {
                times.on_refused(tenth + MS * 20 * repeat, hasty, None);
            });
            if number % 5 == 0 {
                told = refuse(&mut times, tenth + MS * 100);
            }
        }
        told
    };

    let (alone, beside_hasty) = (told_last(0), told_last(5));

    // It holds two places at a time, 0.4 s apart.
    assert!(beside_hasty <= alone + MS * 900, "{alone:?} {beside_hasty:?}");
}

#[test]
fn a_client_that_comes_back_too_soon_is_told_its_time_again() {
    let (mut times, now) = busy_times();
    let hasty = Refusal { caller: Some(7), ..patient(USUAL) };
    let told: Vec<Duration> = (0..5).map(|_| times.on_refused(now, hasty, None)).collect();

    let again = times.on_refused(now + MS * 100, hasty, None);

    assert!(told[1..].iter().all(|wait| *wait == told[1]), "{told:?}");
    assert_eq!(again, told[1] - MS * 100);
}

/// After an outage nothing was let in for a second, which says nothing of what fits.
#[test]
fn a_fleet_that_lets_nobody_in_lets_callers_come_back_two_seconds_apart() {
    let mut fleet = Fleet::new(vec![rate(USUAL, 100.0, 0.0)]);

    let told: Vec<Duration> = (0..3).map(|_| fleet.refuse(0, USUAL, 0)).collect();

    let pauses: Vec<Duration> = told.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert_eq!(pauses, vec![Duration::from_secs(2); 2]);
}

/// Ranks of a configuration may be any, and figures of another version absurd.
#[test]
fn absurd_ranks_and_figures_give_times_within_bounds() {
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
        let flow = FleetFlow { rates: &rates, vms: u.arbitrary()? };
        let now = Instant::now();
        let mut times = ReturnTimes::new(now, u.arbitrary()?);
        for _ in 0..50 {
            let (rank, caller) = (u.arbitrary()?, u.arbitrary()?);
            let time_left = Duration::from_millis(u.int_in_range(0..=100_000)?);

            let told = times.on_refused(now, Refusal { rank, time_left, caller }, Some(flow));

            assert!(told <= Duration::from_secs(30), "{told:?}");
        }
        Ok(())
    });
}
