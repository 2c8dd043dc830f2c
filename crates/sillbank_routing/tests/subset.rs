//! The few endpoints that each VM keeps to.

use sillbank_routing::subset::Few;
use sillbank_testing::for_fixed_seeds;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const AT_REST: usize = 3;

fn names(prefix: &str, salt: u32, count: usize) -> Vec<String> {
    (0..count).map(|number| format!("{prefix}-{salt:x}-{number}")).collect()
}

fn members<'a>(few: &mut Few, vm: &str, endpoints: &'a [String], now: Instant) -> Vec<&'a str> {
    few.members(vm, endpoints.iter().map(String::as_str), now)
}

fn at_rest<'a>(vm: &str, endpoints: &'a [String]) -> Vec<&'a str> {
    members(&mut Few::new(AT_REST), vm, endpoints, Instant::now())
}

#[test]
fn vms_keep_to_endpoints_about_evenly() {
    for_fixed_seeds(20, 64, |u| {
        let salt = u.arbitrary()?;
        let vms = names("vm", salt, 300);
        let endpoints = names("e", salt, u.int_in_range(4..=20)?);

        let mut kept: BTreeMap<&str, usize> = BTreeMap::new();
        for vm in &vms {
            at_rest(vm, &endpoints).into_iter().for_each(|id| *kept.entry(id).or_default() += 1);
        }

        // The number at an endpoint is spread by chance, as the root of its mean: five deviations.
        let mean = (vms.len() * AT_REST) as f64 / endpoints.len() as f64;
        let bounds = mean - 5.0 * mean.sqrt()..=mean + 5.0 * mean.sqrt();
        assert_eq!(kept.len(), endpoints.len());
        assert!(kept.values().all(|count| bounds.contains(&(*count as f64))), "{mean}: {kept:?}");
        Ok(())
    });
}

#[test]
fn an_endpoint_that_goes_or_comes_changes_one_member_at_most() {
    for_fixed_seeds(100, 64, |u| {
        let salt = u.arbitrary()?;
        let endpoints = names("e", salt, u.int_in_range(4..=40)?);
        let gone = u.choose_index(endpoints.len())?;
        let mut fewer = endpoints.clone();
        let gone = fewer.remove(gone);

        for vm in names("vm", salt, 20) {
            let [before, after] = [at_rest(&vm, &endpoints), at_rest(&vm, &fewer)];
            let stay: Vec<&str> = before.iter().copied().filter(|id| *id != gone).collect();
            assert_eq!(after[..stay.len()], stay[..]);
            assert_eq!(after.len(), AT_REST);
        }
        Ok(())
    });
}

#[test]
fn under_pressure_a_vm_keeps_to_more_and_still_to_those_it_had() {
    let now = Instant::now();
    let endpoints = names("e", 1, 40);
    let mut few = Few::new(AT_REST);
    let before = members(&mut few, "vm", &endpoints, now);

    few.on_pressure(now);
    few.on_pressure(now);
    let once = members(&mut few, "vm", &endpoints, now);
    few.on_pressure(now + Duration::from_millis(200));
    let twice = members(&mut few, "vm", &endpoints, now + Duration::from_millis(200));

    assert_eq!([once.len(), twice.len()], [2 * AT_REST, 4 * AT_REST]);
    assert_eq!(once[..AT_REST], before[..]);
    assert_eq!(twice[..2 * AT_REST], once[..]);
}

#[test]
fn when_it_is_quiet_a_vm_narrows_step_by_step() {
    let now = Instant::now();
    let mut few = Few::new(AT_REST);
    few.on_pressure(now);
    few.on_pressure(now + Duration::from_secs(1));

    let counts = [5, 12, 25].map(|s| few.count(now + Duration::from_secs(s)));

    assert_eq!(counts, [4 * AT_REST, 2 * AT_REST, AT_REST]);
}

#[test]
fn any_history_keeps_to_at_least_one_and_to_no_more_than_there_are() {
    for_fixed_seeds(100, 256, |u| {
        let at_rest = *u.choose(&[0, 1, 3, usize::MAX])?;
        let endpoints = names("e", 2, u.int_in_range(0..=10)?);
        let mut few = Few::new(at_rest);
        let mut now = Instant::now();
        while !u.is_empty() {
            now += Duration::from_millis(u.int_in_range(0..=30_000)?);
            if u.arbitrary()? {
                few.on_pressure(now);
            }
            let kept = members(&mut few, "vm", &endpoints, now).len();
            assert!(kept >= endpoints.len().min(1) && kept <= endpoints.len());
            assert!(few.count(now) >= 1);
        }
        Ok(())
    });
}
