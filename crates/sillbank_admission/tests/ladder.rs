//! Tests of the admitted share of each class.

use arbitrary::{Result, Unstructured};
use sillbank_admission::shedding::{Priority, PriorityClass, PriorityShedder};
use sillbank_testing::for_fixed_seeds;
use std::time::{Duration, Instant};

fn class(organisation: u8, is_late: bool) -> PriorityClass {
    PriorityClass { is_late, priority: Priority { organisation, route: 0 } }
}

/// A shedder that has recorded a number of requests of each class.
fn shedder_with(classes: &[(PriorityClass, u32)]) -> PriorityShedder {
    let (now, mut shedder) = (Instant::now(), PriorityShedder::default());
    for (class, times) in classes {
        (0..*times).for_each(|_| shedder.record_request(now, *class));
    }
    shedder
}

/// Arbitrary classes, each with a number of requests.
fn any_classes(u: &mut Unstructured<'_>) -> Result<Vec<(PriorityClass, u32)>> {
    (0..u.int_in_range(1..=60)?)
        .map(|_| {
            let priority = Priority { organisation: u.arbitrary()?, route: u.int_in_range(0..=2)? };
            Ok((PriorityClass { is_late: u.arbitrary()?, priority }, u.int_in_range(1..=9)?))
        })
        .collect()
}

/// Of ten requests of each of three ranks half fit: the first rank, half of the second, and the minimum share of the
/// third.
#[test]
fn most_urgent_classes_are_admitted_first() {
    let shedder =
        shedder_with(&[(class(0, false), 10), (class(1, false), 10), (class(2, false), 10)]);

    let shares = [0, 1, 2].map(|rank| shedder.admitted_share(class(rank, false), 0.5));

    assert_eq!(shares[0], 1.0);
    assert!((shares[1] - 0.5).abs() < 1e-9, "{shares:?}");
    assert!(shares[2] > 0.0 && shares[2] < 0.1, "{shares:?}");
    assert_eq!(shedder.first_shed_class(0.5), Some(class(1, false)));
    assert_eq!(shedder.first_shed_class(1.0), None);
}

/// The least urgent request in time goes before the most urgent one that is late.
#[test]
fn requests_in_time_go_before_late_ones_of_any_rank() {
    let shedder = shedder_with(&[(class(0, true), 10), (class(2, false), 10)]);

    assert_eq!(shedder.admitted_share(class(2, false), 0.5), 1.0);
    assert!(shedder.admitted_share(class(0, true), 0.5) < 0.1);
}

/// The rank of the organisation is compared first, that of the route second.
#[test]
fn route_rank_decides_between_organisations_of_equal_rank() {
    let of = |organisation, route| PriorityClass {
        is_late: false,
        priority: Priority { organisation, route },
    };
    let shedder = shedder_with(&[(of(1, 0), 10), (of(0, 2), 10), (of(1, 1), 10)]);

    let shares =
        [of(0, 2), of(1, 0), of(1, 1)].map(|class| shedder.admitted_share(class, 2.0 / 3.0));

    assert!(shares[0] > 0.99 && shares[1] > 0.99 && shares[2] < 0.1, "{shares:?}");
}

/// A more urgent class never has a smaller share, and a larger total share never reduces the share of a class.
#[test]
fn shares_are_monotonic_in_urgency_and_total_share() {
    for_fixed_seeds(300, 1024, |u| {
        let classes = any_classes(u)?;
        let shedder = shedder_with(&classes);
        let total_share = f64::from(u.int_in_range(0..=1_000_u32)?) / 1_000.0;
        let mut in_order: Vec<PriorityClass> = classes.iter().map(|(class, _)| *class).collect();
        in_order.sort();

        let shares = |total| in_order.iter().map(move |class| (*class, total));
        let lower: Vec<f64> =
            shares(total_share).map(|(r, all)| shedder.admitted_share(r, all)).collect();
        let higher = shares(total_share + 0.1).map(|(r, all)| shedder.admitted_share(r, all));

        assert!(lower.windows(2).all(|pair| pair[0] >= pair[1]), "{lower:?}");
        assert!(lower.iter().zip(higher).all(|(lower, higher)| *lower <= higher), "{lower:?}");
        Ok(())
    });
}

/// No class is shut out for as long as an overload lasts, whatever the figures.
#[test]
fn every_class_keeps_the_minimum_share() {
    let invalid = [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1.0, 0.0, 1e300];
    for_fixed_seeds(100, 1024, |u| {
        let classes = any_classes(u)?;
        let shedder = shedder_with(&classes);
        let unknown = class(u.arbitrary()?, u.arbitrary()?);

        for total_share in invalid {
            for class in classes.iter().map(|(class, _)| *class).chain([unknown]) {
                let share = shedder.admitted_share(class, total_share);
                assert!((0.03..=1.0).contains(&share), "{share} at {total_share}");
            }
        }
        Ok(())
    });
}

/// Without recorded requests or a valid total share, every request is admitted.
#[test]
fn everything_is_admitted_without_requests_or_figures() {
    assert_eq!(PriorityShedder::default().admitted_share(class(5, true), 0.0), 1.0);
    assert_eq!(shedder_with(&[(class(5, true), 3)]).admitted_share(class(5, true), f64::NAN), 1.0);
}

/// A class without recent requests has no effect on the others.
#[test]
fn forgotten_class_no_longer_counts() {
    let (now, mut shedder) = (Instant::now(), PriorityShedder::default());
    (0..10).for_each(|_| shedder.record_request(now, class(0, false)));

    shedder.record_request(now + Duration::from_secs(60), class(1, false));

    // Half of all requests fit, and all of them are of the second rank.
    assert!((shedder.admitted_share(class(1, false), 0.5) - 0.5).abs() < 1e-9);
}

/// A call with an earlier time than the last one must not apply the decay twice.
#[test]
fn out_of_order_times_do_not_decay_twice() {
    let now = Instant::now();
    let (early, late) = (now, now + Duration::from_secs(4));
    let (mut shedder, mut other) = (PriorityShedder::default(), PriorityShedder::default());
    for shedder in [&mut shedder, &mut other] {
        (0..10).for_each(|_| shedder.record_request(late, class(0, false)));
    }

    shedder.record_request(early, class(1, false));
    shedder.record_request(late, class(1, false));
    (0..2).for_each(|_| other.record_request(late, class(1, false)));

    assert_eq!(
        shedder.admitted_share(class(1, false), 0.9),
        other.admitted_share(class(1, false), 0.9)
    );
}

/// Of a thousand kinds of request only a bounded number has a class of its own; the rest share the last class.
#[test]
fn requests_beyond_the_maximum_of_classes_count_as_the_last_class() {
    let kinds = (0..250).flat_map(|organisation| (0..4).map(move |route| (organisation, route)));
    let classes: Vec<(PriorityClass, u32)> = kinds
        .map(|(organisation, route)| {
            (PriorityClass { is_late: false, priority: Priority { organisation, route } }, 1)
        })
        .collect();
    let shedder = shedder_with(&classes);

    // 31 of a thousand have their own class, so half of all requests leaves nearly half of the others.
    let shares: Vec<f64> =
        classes.iter().map(|(class, _)| shedder.admitted_share(*class, 0.5)).collect();

    assert!(shares[..31].iter().all(|share| *share == 1.0), "{:?}", &shares[..31]);
    assert!(shares[31..].iter().all(|share| (0.4..0.5).contains(share)), "{:?}", &shares[31..40]);
}
