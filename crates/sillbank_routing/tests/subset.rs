//! Subsets of the endpoints that each VM uses.

use sillbank_routing::subset::EndpointSubset;
use sillbank_testing::for_fixed_seeds;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const BASE_SIZE: usize = 3;

fn names(prefix: &str, salt: u32, count: usize) -> Vec<String> {
    (0..count).map(|number| format!("{prefix}-{salt:x}-{number}")).collect()
}

fn members<'a>(
    subset: &mut EndpointSubset,
    vm: &str,
    endpoints: &'a [String],
    now: Instant,
) -> Vec<&'a str> {
    subset.members(vm, endpoints.iter().map(String::as_str), now)
}

fn base_subset<'a>(vm: &str, endpoints: &'a [String]) -> Vec<&'a str> {
    members(&mut EndpointSubset::new(BASE_SIZE), vm, endpoints, Instant::now())
}

/// Every endpoint is in the subsets of about the same number of VMs.
#[test]
fn subsets_spread_evenly_over_endpoints() {
    for_fixed_seeds(20, 64, |u| {
        let salt = u.arbitrary()?;
        let vms = names("vm", salt, 300);
        let endpoints = names("e", salt, u.int_in_range(4..=20)?);

        let mut vm_counts: BTreeMap<&str, usize> = BTreeMap::new();
        for vm in &vms {
            base_subset(vm, &endpoints)
                .into_iter()
                .for_each(|id| *vm_counts.entry(id).or_default() += 1);
        }

        // The standard deviation of the number of VMs at an endpoint is the root of its mean; five of them are allowed.
        let mean = (vms.len() * BASE_SIZE) as f64 / endpoints.len() as f64;
        let bounds = mean - 5.0 * mean.sqrt()..=mean + 5.0 * mean.sqrt();
        assert_eq!(vm_counts.len(), endpoints.len());
        assert!(
            vm_counts.values().all(|count| bounds.contains(&(*count as f64))),
            "{mean}: {vm_counts:?}"
        );
        Ok(())
    });
}

/// Adding or removing an endpoint replaces at most one member of each subset and keeps the order of the others.
#[test]
fn adding_or_removing_an_endpoint_changes_at_most_one_member() {
    for_fixed_seeds(100, 64, |u| {
        let salt = u.arbitrary()?;
        let endpoints = names("e", salt, u.int_in_range(4..=40)?);
        let gone = u.choose_index(endpoints.len())?;
        let mut fewer = endpoints.clone();
        let gone = fewer.remove(gone);

        for vm in names("vm", salt, 20) {
            let [before, after] = [base_subset(&vm, &endpoints), base_subset(&vm, &fewer)];
            let stay: Vec<&str> = before.iter().copied().filter(|id| *id != gone).collect();
            assert_eq!(after[..stay.len()], stay[..]);
            assert_eq!(after.len(), BASE_SIZE);
        }
        Ok(())
    });
}

/// Pressure doubles the subset at most once per interval, and former members stay first.
#[test]
fn pressure_widens_the_subset_and_keeps_its_members() {
    let now = Instant::now();
    let endpoints = names("e", 1, 40);
    let mut subset = EndpointSubset::new(BASE_SIZE);
    let before = members(&mut subset, "vm", &endpoints, now);

    subset.on_pressure(now);
    subset.on_pressure(now);
    let once = members(&mut subset, "vm", &endpoints, now);
    subset.on_pressure(now + Duration::from_millis(200));
    let twice = members(&mut subset, "vm", &endpoints, now + Duration::from_millis(200));

    assert_eq!([once.len(), twice.len()], [2 * BASE_SIZE, 4 * BASE_SIZE]);
    assert_eq!(once[..BASE_SIZE], before[..]);
    assert_eq!(twice[..2 * BASE_SIZE], once[..]);
}

/// Without pressure the subset is halved step by step, down to its base size.
#[test]
fn subset_narrows_stepwise_without_pressure() {
    let now = Instant::now();
    let mut subset = EndpointSubset::new(BASE_SIZE);
    subset.on_pressure(now);
    subset.on_pressure(now + Duration::from_secs(1));

    let counts = [5, 12, 25].map(|s| subset.size(now + Duration::from_secs(s)));

    assert_eq!(counts, [4 * BASE_SIZE, 2 * BASE_SIZE, BASE_SIZE]);
}

/// After any history a subset has at least one member, if there are endpoints, and no more than there are.
#[test]
fn subset_size_stays_between_one_and_all_endpoints() {
    for_fixed_seeds(100, 256, |u| {
        let base_size = *u.choose(&[0, 1, 3, usize::MAX])?;
        let endpoints = names("e", 2, u.int_in_range(0..=10)?);
        let mut subset = EndpointSubset::new(base_size);
        let mut now = Instant::now();
        while !u.is_empty() {
            now += Duration::from_millis(u.int_in_range(0..=30_000)?);
            if u.arbitrary()? {
                subset.on_pressure(now);
            }
            let used = members(&mut subset, "vm", &endpoints, now).len();
            assert!(used >= endpoints.len().min(1) && used <= endpoints.len());
            assert!(subset.size(now) >= 1);
        }
        Ok(())
    });
}
