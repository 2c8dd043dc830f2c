//! Parts of a limit: who gets them, and that those in force never pass the limit, in whatever order asks come.

use sillbank_core::prelude::VmId;
use sillbank_pushback::{PART_TERM, prelude::*};
use sillbank_testing::for_fixed_seeds;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const ENDPOINT: &str = "e1";
/// How often a VM asks at the least.
const ASK: Duration = Duration::from_millis(400);
/// Difference that rounding makes.
const ROUNDING: f64 = 1e-6;

fn vm(number: usize) -> Asker {
    Asker::Vm(VmId::from(format!("g{number}")))
}

/// A divider that has divided for long.
fn divider(now: Instant) -> Divider {
    let mut divider = Divider::default();
    divider.begin(now.checked_sub(PART_TERM).expect("the clock began before"));
    divider
}

fn limit(per_s: f64, now: Instant) -> Part {
    Part { per_s, until: now + PART_TERM }
}

/// What askers have in the end that want so much all the time.
fn settled(limit_per_s: f64, wanted: &[f64]) -> Vec<f64> {
    let mut now = Instant::now();
    let mut divider = divider(now);
    let mut parts = vec![0.0; wanted.len()];
    for _ in 0..20 {
        now += ASK;
        for (number, wanted_per_s) in wanted.iter().enumerate() {
            let total = limit(limit_per_s, now);
            let part = divider.divide(ENDPOINT, &vm(number), *wanted_per_s, total, now);
            parts[number] = part.expect("it divides").per_s;
        }
    }
    parts
}

/// Parts in force, by asker; a part ends one that it renews only if it is at least as large.
#[derive(Default)]
struct InForce(BTreeMap<Asker, Vec<Part>>);

impl InForce {
    fn take(&mut self, asker: Asker, part: Part) {
        self.0.entry(asker).or_default().push(part);
    }

    /// All parts together if each asker went on with its largest.
    fn sum(&self, now: Instant) -> f64 {
        let largest = |parts: &Vec<Part>| {
            let live = parts.iter().filter(|part| now < part.until);
            live.map(|part| part.per_s).fold(0.0, f64::max)
        };
        self.0.values().map(largest).sum()
    }
}

#[test]
fn each_gets_what_it_wants_while_that_fits_and_the_rest_in_equal_parts() {
    assert_eq!(settled(10.0, &[2.0, 4.0]), [4.0, 6.0]);
}

#[test]
fn who_wants_much_takes_nothing_from_who_wants_little() {
    let parts = settled(6.0, &[1.0, 20.0, 20.0]);

    assert_eq!(parts, [1.0, 2.5, 2.5]);
}

#[test]
fn a_limit_with_room_for_few_goes_to_those_that_want_most_and_is_given_whole() {
    let parts = settled(3.4, &[1.0, 9.0, 8.0, 0.2, 7.0]);

    assert_eq!((parts[0], parts[3]), (0.0, 0.0));
    assert!((parts.iter().sum::<f64>() - 3.4).abs() < ROUNDING, "{parts:?}");
}

#[test]
fn a_limit_below_one_a_second_goes_to_one_of_nine() {
    let mut parts = settled(0.3, &[2.0; 9]);

    parts.sort_by(f64::total_cmp);
    assert_eq!(parts[8], 0.3);
    assert!(parts[..8].iter().all(|part| *part == 0.0), "{parts:?}");
}

#[test]
fn the_part_of_one_that_falls_silent_goes_to_others_after_a_term() {
    let began = Instant::now();
    let mut divider = divider(began);
    divider.divide(ENDPOINT, &vm(1), 9.0, limit(2.0, began), began);

    let early = began + Duration::from_millis(100);
    let late = began + PART_TERM;
    let first = divider.divide(ENDPOINT, &vm(2), 9.0, limit(2.0, early), early);
    let second = divider.divide(ENDPOINT, &vm(2), 9.0, limit(2.0, late), late);

    assert_eq!(first.map(|part| part.per_s), Some(0.0));
    assert_eq!(second.map(|part| part.per_s), Some(2.0));
}

#[test]
fn one_that_begins_to_divide_gives_nothing_for_a_term() {
    let began = Instant::now();
    let mut divider = Divider::default();
    divider.begin(began);

    let soon = began + PART_TERM - Duration::from_millis(1);
    assert_eq!(divider.divide(ENDPOINT, &vm(1), 9.0, limit(2.0, soon), soon), None);

    let later = began + PART_TERM;
    let part = divider.divide(ENDPOINT, &vm(1), 9.0, limit(2.0, later), later);
    assert_eq!(part.map(|part| part.per_s), Some(2.0));
}

#[test]
fn parts_in_force_never_pass_the_limit_while_askers_come_go_and_leaders_change() {
    for_fixed_seeds(400, 1024, |u| {
        // Arrange
        let limit_per_s = f64::from(u.int_in_range(1..=80)?) / 10.0;
        let vms = u.int_in_range(1..=12)?;
        let mut now = Instant::now();
        let mut divider = divider(now);
        let mut in_force = InForce::default();

        // Act and assert
        for _ in 0..u.int_in_range(1..=60)? {
            now += Duration::from_millis(u.int_in_range(0..=500)?);
            if u.ratio(1, 30)? {
                divider = Divider::default();
                divider.begin(now);
            }
            let (asker, wanted) = (vm(u.int_in_range(1..=vms)?), u.int_in_range(0..=30)?);
            let total = limit(limit_per_s, now);
            let part = divider.divide(ENDPOINT, &asker, f64::from(wanted), total, now);
            if let Some(part) = part {
                in_force.take(asker, part);
            }
            assert!(in_force.sum(now) <= limit_per_s + ROUNDING, "{}", in_force.sum(now));
        }
        Ok(())
    });
}

#[test]
fn nor_do_they_where_a_hall_divides_its_part_further() {
    for_fixed_seeds(400, 1024, |u| {
        // Arrange
        let limit_per_s = f64::from(u.int_in_range(1..=80)?) / 10.0;
        let mut now = Instant::now();
        let (mut root, mut sub) = (divider(now), divider(now));
        let hall = Asker::Hall("b".into());
        let mut of_hall: Option<Part> = None;
        let mut in_force = InForce::default();

        // Act and assert
        for _ in 0..u.int_in_range(1..=80)? {
            now += Duration::from_millis(u.int_in_range(0..=400)?);
            let (at, wanted) = (u.int_in_range(1..=4)?, f64::from(u.int_in_range(0..=30)?));
            match u.int_in_range(0..=2)? {
                0 => {
                    let total = limit(limit_per_s, now);
                    let part = root.divide(ENDPOINT, &vm(at), wanted, total, now);
                    in_force.take(vm(at), part.expect("it divides"));
                }
                1 => {
                    let total = limit(limit_per_s, now);
                    let wanted = sub.wanted_per_s(ENDPOINT, now);
                    of_hall = root.divide(ENDPOINT, &hall, wanted, total, now);
                }
                _ => match of_hall {
                    Some(total) => {
                        let part = sub.divide(ENDPOINT, &vm(10 + at), wanted, total, now);
                        if let Some(part) = part {
                            in_force.take(vm(10 + at), part);
                        }
                    }
                    None => sub.note_want(ENDPOINT, &vm(10 + at), wanted, now),
                },
            }
            assert!(in_force.sum(now) <= limit_per_s + ROUNDING, "{}", in_force.sum(now));
        }
        Ok(())
    });
}
