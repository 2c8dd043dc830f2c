//! Which share of each rung is let in.

use arbitrary::{Result, Unstructured};
use sillbank_admission::ladder::{Ladder, Rung, Urgency};
use sillbank_testing::for_fixed_seeds;
use std::time::{Duration, Instant};

fn rung(organisation: u8, is_late: bool) -> Rung {
    Rung { is_late, urgency: Urgency { organisation, route: 0 } }
}

/// A ladder that was asked by each rung as often as told.
fn asked(rungs: &[(Rung, u32)]) -> Ladder {
    let (now, mut ladder) = (Instant::now(), Ladder::default());
    for (rung, times) in rungs {
        (0..*times).for_each(|_| ladder.on_asked(now, *rung));
    }
    ladder
}

/// Some rungs that some requests came of.
fn any_rungs(u: &mut Unstructured<'_>) -> Result<Vec<(Rung, u32)>> {
    (0..u.int_in_range(1..=60)?)
        .map(|_| {
            let urgency = Urgency { organisation: u.arbitrary()?, route: u.int_in_range(0..=2)? };
            Ok((Rung { is_late: u.arbitrary()?, urgency }, u.int_in_range(1..=9)?))
        })
        .collect()
}

/// Ten of each of three ranks, of whom half fits: the first, half of the second, and a floor of the third.
#[test]
fn what_fits_is_let_in_from_the_top() {
    let ladder = asked(&[(rung(0, false), 10), (rung(1, false), 10), (rung(2, false), 10)]);

    let shares = [0, 1, 2].map(|rank| ladder.share(rung(rank, false), 0.5));

    assert_eq!(shares[0], 1.0);
    assert!((shares[1] - 0.5).abs() < 1e-9, "{shares:?}");
    assert!(shares[2] > 0.0 && shares[2] < 0.1, "{shares:?}");
    assert_eq!(ladder.first_held_back(0.5), Some(rung(1, false)));
    assert_eq!(ladder.first_held_back(1.0), None);
}

#[test]
fn the_least_urgent_who_is_new_goes_before_the_most_urgent_who_is_late() {
    let ladder = asked(&[(rung(0, true), 10), (rung(2, false), 10)]);

    assert_eq!(ladder.share(rung(2, false), 0.5), 1.0);
    assert!(ladder.share(rung(0, true), 0.5) < 0.1);
}

/// The rank of the organisation goes first, that of the route after it.
#[test]
fn the_route_decides_between_organisations_of_one_rank() {
    let of =
        |organisation, route| Rung { is_late: false, urgency: Urgency { organisation, route } };
    let ladder = asked(&[(of(1, 0), 10), (of(0, 2), 10), (of(1, 1), 10)]);

    let shares = [of(0, 2), of(1, 0), of(1, 1)].map(|rung| ladder.share(rung, 2.0 / 3.0));

    assert!(shares[0] > 0.99 && shares[1] > 0.99 && shares[2] < 0.1, "{shares:?}");
}

#[test]
fn shares_rise_with_urgency_and_with_the_share_of_all() {
    for_fixed_seeds(300, 1024, |u| {
        let rungs = any_rungs(u)?;
        let ladder = asked(&rungs);
        let share_of_all = f64::from(u.int_in_range(0..=1_000_u32)?) / 1_000.0;
        let mut in_order: Vec<Rung> = rungs.iter().map(|(rung, _)| *rung).collect();
        in_order.sort();

        let shares = |of_all| in_order.iter().map(move |rung| (*rung, of_all));
        let least: Vec<f64> = shares(share_of_all).map(|(r, all)| ladder.share(r, all)).collect();
        let more = shares(share_of_all + 0.1).map(|(r, all)| ladder.share(r, all));

        assert!(least.windows(2).all(|pair| pair[0] >= pair[1]), "{least:?}");
        assert!(least.iter().zip(more).all(|(less, more)| *less <= more), "{least:?}");
        Ok(())
    });
}

/// Nobody is shut out for as long as an overload lasts, whatever the figures.
#[test]
fn each_rung_keeps_its_floor() {
    let absurd = [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1.0, 0.0, 1e300];
    for_fixed_seeds(100, 1024, |u| {
        let rungs = any_rungs(u)?;
        let ladder = asked(&rungs);
        let unknown = rung(u.arbitrary()?, u.arbitrary()?);

        for share_of_all in absurd {
            for rung in rungs.iter().map(|(rung, _)| *rung).chain([unknown]) {
                let share = ladder.share(rung, share_of_all);
                assert!((0.03..=1.0).contains(&share), "{share} at {share_of_all}");
            }
        }
        Ok(())
    });
}

#[test]
fn without_figures_or_requests_everybody_is_let_in() {
    assert_eq!(Ladder::default().share(rung(5, true), 0.0), 1.0);
    assert_eq!(asked(&[(rung(5, true), 3)]).share(rung(5, true), f64::NAN), 1.0);
}

#[test]
fn a_rung_that_was_forgotten_counts_no_more() {
    let (now, mut ladder) = (Instant::now(), Ladder::default());
    (0..10).for_each(|_| ladder.on_asked(now, rung(0, false)));

    ladder.on_asked(now + Duration::from_secs(60), rung(1, false));

    // Half of all that is asked for fits, and that is all of the second rank.
    assert!((ladder.share(rung(1, false), 0.5) - 0.5).abs() < 1e-9);
}

#[test]
fn a_clock_that_is_read_late_does_not_forget_twice() {
    let now = Instant::now();
    let (early, late) = (now, now + Duration::from_secs(4));
    let (mut ladder, mut other) = (Ladder::default(), Ladder::default());
    for ladder in [&mut ladder, &mut other] {
        (0..10).for_each(|_| ladder.on_asked(late, rung(0, false)));
    }

    ladder.on_asked(early, rung(1, false));
    ladder.on_asked(late, rung(1, false));
    (0..2).for_each(|_| other.on_asked(late, rung(1, false)));

    assert_eq!(ladder.share(rung(1, false), 0.9), other.share(rung(1, false), 0.9));
}

/// A thousand kinds of request are told apart as far as the work is bounded; the rest is one rung, let in as one.
#[test]
fn what_is_less_urgent_than_all_that_are_told_apart_counts_as_the_last() {
    let kinds = (0..250).flat_map(|organisation| (0..4).map(move |route| (organisation, route)));
    let rungs: Vec<(Rung, u32)> = kinds
        .map(|(organisation, route)| {
            (Rung { is_late: false, urgency: Urgency { organisation, route } }, 1)
        })
        .collect();
    let ladder = asked(&rungs);

    // 31 of a thousand are told apart, so half of all leaves nearly half of the others.
    let shares: Vec<f64> = rungs.iter().map(|(rung, _)| ladder.share(*rung, 0.5)).collect();

    assert!(shares[..31].iter().all(|share| *share == 1.0), "{:?}", &shares[..31]);
    assert!(shares[31..].iter().all(|share| (0.4..0.5).contains(share)), "{:?}", &shares[31..40]);
}
