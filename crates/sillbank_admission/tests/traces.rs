//! Simulated load on a fleet: tests which requests are admitted while the load exceeds the capacity.
//!
//! The bounds follow from the needs of callers. An answer in time needs engines with free capacity, so fullness has
//! to stay away from 1; a tenth is kept free. A caller can wait for a second or two, not more, and a refusal after
//! capacity is available again has no benefit.

mod support;

use std::ops::Range;
use support::*;

/// Load by second and rank, relative to the capacity.
type Load<'a> = &'a dyn Fn(f64, usize) -> f64;

/// Seconds of a simulation that count as its steady state.
const STEADY_STATE_S: Range<usize> = 8..20;

/// Simulates a load on all engines with each of five fixed seeds.
fn simulate(seconds: usize, load: impl Fn(f64, usize) -> f64) -> impl Iterator<Item = Vec<Step>> {
    (1..=5).map(move |seed| Fleet::simulate(seed, seconds, &load, |_| 1.0, 0.0))
}

/// An even load of three ranks with this sum.
fn even(load: f64) -> impl Fn(f64, usize) -> f64 {
    move |_, _| load / 3.0
}

/// Three times the capacity for 4 s, three quarters of it before and after.
fn burst(now_s: f64, _rank: usize) -> f64 {
    if (4.0..8.0).contains(&now_s) { 1.0 } else { 0.25 }
}

/// New requests of a rank within a range of seconds.
fn new_of(steps: &[Step], seconds: Range<usize>, rank: usize) -> Counts {
    sum(steps, seconds, |step| step.counts[rank][0])
}

/// Served share of the new requests of each rank within a range of seconds.
fn served_by_rank(steps: &[Step], seconds: Range<usize>) -> [f64; 3] {
    [0, 1, 2].map(|rank| served_share(new_of(steps, seconds.clone(), rank)))
}

/// Share of all requests that engines refused within a range of seconds.
fn refused_by_engines(steps: &[Step], seconds: Range<usize>) -> f64 {
    let all = all_of(steps, seconds);
    (all.admitted - all.served) / all.requested
}

fn all_of(steps: &[Step], seconds: Range<usize>) -> Counts {
    let of_step = |step: &Step| {
        let mut all = Counts::default();
        step.counts.iter().flatten().for_each(|counts| all.add(*counts));
        all
    };
    sum(steps, seconds, of_step)
}

fn sum(steps: &[Step], seconds: Range<usize>, of: impl Fn(&Step) -> Counts) -> Counts {
    let mut all = Counts::default();
    let range = seconds.start * STEPS_PER_S..seconds.end * STEPS_PER_S;
    steps[range].iter().for_each(|step| all.add(of(step)));
    all
}

fn served_share(counts: Counts) -> f64 {
    counts.served / counts.requested.max(1.0)
}

/// Mean and standard deviation of the fullness.
fn fullness(steps: &[Step]) -> (f64, f64) {
    let steady = &steps[STEADY_STATE_S.start * STEPS_PER_S..STEADY_STATE_S.end * STEPS_PER_S];
    let mean = steady.iter().map(|step| step.fullness).sum::<f64>() / steady.len() as f64;
    let square = |step: &Step| (step.fullness - mean).powi(2);
    (mean, (steady.iter().map(square).sum::<f64>() / steady.len() as f64).sqrt())
}

/// A burst is shed from the least urgent rank within a second.
#[test]
fn least_urgent_rank_is_shed_within_a_second_of_a_burst() {
    for steps in simulate(12, burst) {
        // A third of the load fits, which is the load of the most urgent rank.
        let admitted = [0, 1, 2].map(|rank| new_of(&steps, 5..6, rank));
        assert!(admitted[2].admitted <= 0.1 * admitted[2].requested, "{admitted:?}");
        assert!(admitted[0].admitted > admitted[1].admitted, "{admitted:?}");
    }
}

/// New requests fit again after a burst: retries of callers refused in it are late and go after them.
#[test]
fn new_requests_are_admitted_two_seconds_after_a_burst() {
    for steps in simulate(16, burst) {
        for rank in 0..3 {
            let counts = new_of(&steps, 10..16, rank);
            assert!(counts.admitted >= 0.98 * counts.requested, "rank {rank}: {counts:?}");
        }
    }
}

/// The standard deviation must be at most half of the tenth that is kept free, so that engines are rarely full.
#[test]
fn fullness_does_not_oscillate_in_a_lasting_overload() {
    for load in [1.5, 2.0, 3.0] {
        for steps in simulate(20, even(load)) {
            let (mean, deviation) = fullness(&steps);

            assert!(deviation <= 0.05, "load {load}: {deviation} around {mean}");
            assert!((0.85..0.95).contains(&mean), "load {load}: {mean}");
        }
    }
}

/// A refusal by an engine costs the caller the time of the round trip: under 2 in 100.
#[test]
fn engines_refuse_few_requests_in_a_lasting_overload() {
    for load in [1.5, 2.0, 3.0] {
        for steps in simulate(20, even(load)) {
            let refused = refused_by_engines(&steps, STEADY_STATE_S);

            assert!(refused < 0.02, "load {load}: {refused}");
        }
    }
}

/// Throughput does not fall as the overload grows; callers do not notice a difference of 5 in 100.
#[test]
fn throughput_is_kept_at_three_times_the_capacity() {
    let served = [1.5, 2.0, 3.0].map(|load| {
        let runs = simulate(20, even(load));
        runs.map(|steps| all_of(&steps, STEADY_STATE_S).served).sum::<f64>()
    });

    assert!(served.iter().all(|part| *part >= 0.95 * served[0]), "{served:?}");
}

/// A more urgent rank is never served less than a less urgent one, for several shapes of load.
#[test]
fn more_urgent_ranks_are_never_served_less() {
    let wave = |now_s: f64, _| 0.4 * (1.0 + 0.8 * (now_s * std::f64::consts::TAU / 10.0).sin());
    let loads: [(&str, Load<'_>); 4] =
        [("burst", &burst), ("twice", &even(2.0)), ("three times", &even(3.0)), ("wave", &wave)];
    for (name, load) in loads {
        for steps in simulate(20, load) {
            // Two seconds of one rank are at least 40 callers, so a few of them differ by chance.
            for second in (0..20).step_by(2) {
                let served = served_by_rank(&steps, second..second + 2);
                let is_ordered = served.windows(2).all(|pair| pair[0] >= pair[1] - 0.05);
                assert!(is_ordered, "{name}, second {second}: {served:?}");
            }
        }
    }
}

/// The most urgent third fits: nearly all of it must be served, and late retries only get the minimum share.
#[test]
fn new_requests_go_before_late_ones() {
    for steps in simulate(20, even(3.0)) {
        let new = served_by_rank(&steps, STEADY_STATE_S);
        let late = [0, 1, 2].map(|rank| sum(&steps, STEADY_STATE_S, |step| step.counts[rank][1]));

        assert!(new[0] >= 0.8, "{new:?}");
        assert!(late.iter().all(|late| served_share(*late) <= 0.1), "{new:?} {late:?}");
    }
}

/// Every rank keeps its minimum share during an overload.
#[test]
fn no_rank_is_shut_out_in_a_lasting_overload() {
    for steps in simulate(20, even(3.0)) {
        // 320 callers of each rank: ten of them at the minimum share of 3 in 100.
        for second in (0..20).step_by(4) {
            for rank in 0..3 {
                let counts = new_of(&steps, second..second + 4, rank);
                assert!(counts.admitted >= 1.0, "rank {rank}, second {second}: {counts:?}");
            }
        }
    }
}

/// Six times the usual load of the least urgent rank, with the usual load of the others, for 16 s.
#[test]
fn flood_of_the_least_urgent_rank_takes_no_capacity_from_others() {
    let flood = |now_s, rank| if rank == 2 && now_s >= 4.0 { 1.5 } else { 0.25 };

    for steps in simulate(20, flood) {
        let served = served_by_rank(&steps, 5..20);
        assert!(served[0] >= 0.98, "{served:?}");
        assert!(served[1] >= 0.95, "{served:?}");
    }
}

/// One organisation of the middle rank offers four times the capacity.
#[test]
fn large_organisation_takes_no_capacity_from_more_urgent_ranks() {
    let large = |now_s, rank| if rank == 1 && now_s >= 4.0 { 4.0 } else { 0.25 };

    for steps in simulate(20, large) {
        let served = served_by_rank(&steps, 6..20);
        assert!(served[0] >= 0.95, "{served:?}");
        assert!(served[2] > 0.0, "{served:?}");
    }
}

/// A loss of a third of the engines during a burst affects the least urgent ranks.
#[test]
fn loss_of_engines_in_a_burst_affects_the_least_urgent() {
    let engines = |now_s| if now_s < 6.0 { 1.0 } else { 2.0 / 3.0 };

    for seed in 1..=5 {
        let steps = Fleet::simulate(seed, 16, burst, engines, 0.0);

        // One second after the loss: the remaining engines hold two thirds of the most urgent requests.
        let served = served_by_rank(&steps, 7..8);
        assert!(served[0] > served[1] && served[2] <= 0.1, "{served:?}");
        // The remaining engines fit the most urgent requests after the burst, and two seconds suffice to adapt.
        let after = served_by_rank(&steps, 10..16);
        assert!(after[0] >= 0.95, "{after:?}");
    }
}

/// VMs that start know nothing about the load. Requests that they admit must not fill the engines.
#[test]
fn vms_started_in_an_overload_do_not_fill_the_engines() {
    for seed in 1..=5 {
        let steps = Fleet::simulate(seed, 20, even(2.0), |_| 1.0, 6.0);

        let refused = refused_by_engines(&steps, STEADY_STATE_S);
        assert!(refused < 0.02, "{refused}");
    }
}
