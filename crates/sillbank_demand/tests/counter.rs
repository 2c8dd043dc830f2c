//! What a VM counts, and how it is told.

use sillbank_demand::prelude::*;
use sillbank_demand::{Counts, MAX_RANKS, MAX_SERVICES};
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

fn counter() -> (DemandCounter, Instant) {
    let now = Instant::now();
    (DemandCounter::new(7, now), now)
}

/// Counts one event each `pause` from `from` to `until`.
fn count_steadily(
    counter: &mut DemandCounter,
    (from, until): (Instant, Instant),
    pause: Duration,
    rank: Rank,
    event: Event,
) {
    let mut at = from;
    while at < until {
        counter.count(at, "quotes", rank, event);
        at += pause;
    }
}

#[test]
fn what_became_of_requests_is_told_by_rank() {
    let (mut counter, now) = counter();

    counter.count(now, "quotes", 0, Event::Offered);
    counter.count(now, "quotes", 0, Event::LetIn);
    counter.count(now, "quotes", 2, Event::Returned);
    counter.count(now, "quotes", 2, Event::Refused);
    let report = counter.report(now + SECOND / 2);

    let none = Counts::default();
    let told: Vec<(Rank, Counts)> = report.news.iter().map(|n| (n.rank, n.counts)).collect();
    let expected = vec![
        (0, Counts { offered: 1, let_in: 1, ..none }),
        (2, Counts { offered: 1, returning: 1, refused: 1, ..none }),
    ];
    assert_eq!(told, expected);
}

#[test]
fn a_steady_load_is_told_as_its_rate() {
    let (mut counter, now) = counter();
    let pause = Duration::from_millis(50);
    count_steadily(&mut counter, (now, now + SECOND * 5), pause, 1, Event::Offered);

    let rates = counter.report(now + SECOND * 5).rates();

    assert_eq!(rates.len(), 1);
    assert!((19.0..21.0).contains(&rates[0].offered_per_s), "{rates:?}");
}

#[test]
fn a_second_after_the_last_request_nothing_is_told() {
    let (mut counter, now) = counter();
    count_steadily(&mut counter, (now, now + SECOND), SECOND / 10, 1, Event::Offered);

    let report = counter.report(now + SECOND * 2 + SECOND / 5);

    assert_eq!(report.news, Vec::new());
}

#[test]
fn the_first_request_of_a_process_is_no_flood() {
    let (mut counter, now) = counter();
    counter.count(now, "quotes", 1, Event::Offered);

    let rates = counter.report(now + SECOND / 100).rates();

    assert!(rates[0].offered_per_s <= 1.0, "{rates:?}");
}

#[test]
fn ranks_beyond_sixteen_count_as_the_least_urgent() {
    let (mut counter, now) = counter();

    (0..=Rank::MAX).for_each(|rank| {
        counter.count(now, "quotes", rank, Event::Offered);
    });
    let news = counter.report(now).news;

    assert_eq!(news.len(), MAX_RANKS);
    let least_urgent = news.last().expect("the least urgent rank");
    assert_eq!(least_urgent.counts.offered, 256 - (MAX_RANKS as u32 - 1));
}

#[test]
fn services_beyond_the_bound_are_left_out_until_others_rest() {
    let (mut counter, now) = counter();

    let mut ask = |at: Instant, number: usize| {
        counter.count(at, &format!("service-{number}"), 1, Event::Offered)
    };
    let counted: Vec<bool> = (0..MAX_SERVICES + 2).map(|number| ask(now, number)).collect();
    let later = ask(now + SECOND * 3, MAX_SERVICES + 2);

    assert_eq!(counted.iter().filter(|counted| **counted).count(), MAX_SERVICES);
    assert!(later);
}

#[test]
fn a_report_of_three_ranks_and_two_calls_takes_under_120_bytes() {
    let (mut counter, now) = counter();
    for (service, rank) in [("quotes", 0), ("quotes", 1), ("quotes", 2), ("seat", 0), ("issue", 1)]
    {
        for event in [Event::Offered, Event::Returned, Event::LetIn, Event::Refused] {
            (0..3).for_each(|_| {
                counter.count(now, service, rank, event);
            });
        }
    }

    let report = counter.report(now + SECOND * 60);
    let full = counter.report(now + SECOND / 2);
    let bytes = postcard::to_stdvec(&full).expect("a report");

    assert_eq!(report.news, Vec::new());
    assert!(bytes.len() < 120, "{}", bytes.len());
}

#[test]
fn callers_with_less_time_than_others_have_returned() {
    let (mut times, now) = (RouteTimes::default(), Instant::now());
    let left = |ms: u64| Some(Duration::from_millis(ms));

    let new = [20_000, 19_950, 20_000].map(|ms| times.is_returning(now, "quote", left(ms)));
    let returned = times.is_returning(now, "quote", left(19_400));
    let without_time = times.is_returning(now, "quote", None);

    assert_eq!(new, [false; 3]);
    assert!(returned);
    assert!(!without_time);
}

#[test]
fn one_odd_caller_is_not_believed_for_ever() {
    let (mut times, now) = (RouteTimes::default(), Instant::now());
    times.is_returning(now, "quote", Some(SECOND * 3_600));

    let returning: Vec<bool> = (0..40)
        .map(|number| times.is_returning(now + SECOND * number, "quote", Some(SECOND * 20)))
        .collect();

    assert!(returning[1], "the odd caller has most");
    assert!(!returning[25..].contains(&true), "{returning:?}");
}
