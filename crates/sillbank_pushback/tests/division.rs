//! Tests of the allocation of a limit: who gets a lease, and that leases in force never exceed the limit, in whatever
//! order requests arrive.

use sillbank_core::prelude::VmId;
use sillbank_pushback::{RATE_LEASE_TERM, prelude::*};
use sillbank_testing::for_fixed_seeds;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const ENDPOINT: &str = "e1";
/// Longest interval at which a VM requests its lease.
const REQUEST_INTERVAL: Duration = Duration::from_millis(400);
/// Tolerance for rounding errors.
const ROUNDING: f64 = 1e-6;

fn vm(number: usize) -> Requester {
    Requester::Vm(VmId::from(format!("g{number}")))
}

/// An allocator that is active.
fn allocator(now: Instant) -> LimitAllocator {
    let mut allocator = LimitAllocator::default();
    allocator.start(now.checked_sub(RATE_LEASE_TERM).expect("the clock started earlier"));
    allocator
}

fn limit(per_s: f64, now: Instant) -> RateLease {
    RateLease { per_s, until: now + RATE_LEASE_TERM }
}

/// Leased rates of requesters with a constant demand, after they have settled.
fn settled(limit_per_s: f64, demand: &[f64]) -> Vec<f64> {
    let mut now = Instant::now();
    let mut allocator = allocator(now);
    let mut leases = vec![0.0; demand.len()];
    for _ in 0..20 {
        now += REQUEST_INTERVAL;
        for (number, demand_per_s) in demand.iter().enumerate() {
            let total = limit(limit_per_s, now);
            let lease = allocator.allocate(ENDPOINT, &vm(number), *demand_per_s, total, now);
            leases[number] = lease.expect("it is active").per_s;
        }
    }
    leases
}

/// Leases in force by requester. A lease replaces an earlier one only if it is at least as large.
#[derive(Default)]
struct InForce(BTreeMap<Requester, Vec<RateLease>>);

impl InForce {
    fn add(&mut self, requester: Requester, lease: RateLease) {
        self.0.entry(requester).or_default().push(lease);
    }

    /// Sum over all requesters if each uses its largest lease.
    fn sum(&self, now: Instant) -> f64 {
        let largest = |leases: &Vec<RateLease>| {
            let live = leases.iter().filter(|lease| now < lease.until);
            live.map(|lease| lease.per_s).fold(0.0, f64::max)
        };
        self.0.values().map(largest).sum()
    }
}

/// Every requester gets its demand if that fits, and the remainder is divided evenly.
#[test]
fn demand_is_met_and_the_remainder_divided_evenly() {
    assert_eq!(settled(10.0, &[2.0, 4.0]), [4.0, 6.0]);
}

/// A requester with a small demand gets it in full beside large ones.
#[test]
fn large_demand_takes_nothing_from_a_small_one() {
    let leases = settled(6.0, &[1.0, 20.0, 20.0]);

    assert_eq!(leases, [1.0, 2.5, 2.5]);
}

/// A limit with fewer minimum leases than requesters goes to those with the largest demand, and is allocated in full.
#[test]
fn small_limit_goes_to_the_largest_demands() {
    let leases = settled(3.4, &[1.0, 9.0, 8.0, 0.2, 7.0]);

    assert_eq!((leases[0], leases[3]), (0.0, 0.0));
    assert!((leases.iter().sum::<f64>() - 3.4).abs() < ROUNDING, "{leases:?}");
}

/// A limit below the minimum lease goes to a single requester.
#[test]
fn limit_below_the_minimum_lease_goes_to_one_requester() {
    let mut leases = settled(0.3, &[2.0; 9]);

    leases.sort_by(f64::total_cmp);
    assert_eq!(leases[8], 0.3);
    assert!(leases[..8].iter().all(|lease| *lease == 0.0), "{leases:?}");
}

/// The lease of a requester that falls silent is available to others after its term.
#[test]
fn lease_of_a_silent_requester_is_reallocated_after_its_term() {
    let start = Instant::now();
    let mut allocator = allocator(start);
    allocator.allocate(ENDPOINT, &vm(1), 9.0, limit(2.0, start), start);

    let early = start + Duration::from_millis(100);
    let late = start + RATE_LEASE_TERM;
    let first = allocator.allocate(ENDPOINT, &vm(2), 9.0, limit(2.0, early), early);
    let second = allocator.allocate(ENDPOINT, &vm(2), 9.0, limit(2.0, late), late);

    assert_eq!(first.map(|lease| lease.per_s), Some(0.0));
    assert_eq!(second.map(|lease| lease.per_s), Some(2.0));
}

/// A new allocator grants nothing for one term, in which leases of the previous one may be in use.
#[test]
fn new_allocator_grants_nothing_for_one_term() {
    let start = Instant::now();
    let mut allocator = LimitAllocator::default();
    allocator.start(start);

    let soon = start + RATE_LEASE_TERM - Duration::from_millis(1);
    assert_eq!(allocator.allocate(ENDPOINT, &vm(1), 9.0, limit(2.0, soon), soon), None);

    let later = start + RATE_LEASE_TERM;
    let lease = allocator.allocate(ENDPOINT, &vm(1), 9.0, limit(2.0, later), later);
    assert_eq!(lease.map(|lease| lease.per_s), Some(2.0));
}

/// Leases in force never exceed the limit while requesters come and go and leaders change.
#[test]
fn leases_never_exceed_the_limit() {
    for_fixed_seeds(400, 1024, |u| {
        // Arrange
        let limit_per_s = f64::from(u.int_in_range(1..=80)?) / 10.0;
        let vms = u.int_in_range(1..=12)?;
        let mut now = Instant::now();
        let mut allocator = allocator(now);
        let mut in_force = InForce::default();

        // Act and assert
        for _ in 0..u.int_in_range(1..=60)? {
            now += Duration::from_millis(u.int_in_range(0..=500)?);
            if u.ratio(1, 30)? {
                allocator = LimitAllocator::default();
                allocator.start(now);
            }
            let (requester, demand) = (vm(u.int_in_range(1..=vms)?), u.int_in_range(0..=30)?);
            let total = limit(limit_per_s, now);
            let lease = allocator.allocate(ENDPOINT, &requester, f64::from(demand), total, now);
            if let Some(lease) = lease {
                in_force.add(requester, lease);
            }
            assert!(in_force.sum(now) <= limit_per_s + ROUNDING, "{}", in_force.sum(now));
        }
        Ok(())
    });
}

/// Leases in force never exceed the limit when the leader of a hall allocates its lease further.
#[test]
fn leases_of_a_hall_never_exceed_the_limit() {
    for_fixed_seeds(400, 1024, |u| {
        // Arrange
        let limit_per_s = f64::from(u.int_in_range(1..=80)?) / 10.0;
        let mut now = Instant::now();
        let (mut root, mut sub) = (allocator(now), allocator(now));
        let hall = Requester::Hall("b".into());
        let mut hall_lease: Option<RateLease> = None;
        let mut in_force = InForce::default();

        // Act and assert
        for _ in 0..u.int_in_range(1..=80)? {
            now += Duration::from_millis(u.int_in_range(0..=400)?);
            let (number, demand) = (u.int_in_range(1..=4)?, f64::from(u.int_in_range(0..=30)?));
            match u.int_in_range(0..=2)? {
                0 => {
                    let total = limit(limit_per_s, now);
                    let lease = root.allocate(ENDPOINT, &vm(number), demand, total, now);
                    in_force.add(vm(number), lease.expect("it is active"));
                }
                1 => {
                    let total = limit(limit_per_s, now);
                    let demand = sub.demand_per_s(ENDPOINT, now);
                    hall_lease = root.allocate(ENDPOINT, &hall, demand, total, now);
                }
                _ => match hall_lease {
                    Some(total) => {
                        let lease = sub.allocate(ENDPOINT, &vm(10 + number), demand, total, now);
                        if let Some(lease) = lease {
                            in_force.add(vm(10 + number), lease);
                        }
                    }
                    None => sub.record_demand(ENDPOINT, &vm(10 + number), demand, now),
                },
            }
            assert!(in_force.sum(now) <= limit_per_s + ROUNDING, "{}", in_force.sum(now));
        }
        Ok(())
    });
}
