//! Tests of the demand counter of a VM, its reports, and the detection of retries.

use sillbank_demand::prelude::*;
use sillbank_demand::{Counts, MAX_RANKS, MAX_SERVICES};
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

fn counter() -> (DemandCounter, Instant) {
    let now = Instant::now();
    (DemandCounter::new(7, now), now)
}

/// Counts one event every `interval` from `from` to `until`.
fn count_steadily(
    counter: &mut DemandCounter,
    (from, until): (Instant, Instant),
    interval: Duration,
    rank: Rank,
    event: DemandEvent,
) {
    let mut at = from;
    while at < until {
        counter.count(at, "quotes", rank, event);
        at += interval;
    }
}

/// A report contains the counts of each rank, and a retry also counts as offered.
#[test]
fn outcomes_are_counted_by_rank() {
    let (mut counter, now) = counter();

    counter.count(now, "quotes", 0, DemandEvent::Offered);
    counter.count(now, "quotes", 0, DemandEvent::Admitted);
    counter.count(now, "quotes", 2, DemandEvent::Retried);
    counter.count(now, "quotes", 2, DemandEvent::Refused);
    let report = counter.report(now + SECOND / 2);

    let none = Counts::default();
    let reported: Vec<(Rank, Counts)> =
        report.entries.iter().map(|entry| (entry.rank, entry.counts)).collect();
    let expected = vec![
        (0, Counts { offered: 1, admitted: 1, ..none }),
        (2, Counts { offered: 1, retries: 1, refused: 1, ..none }),
    ];
    assert_eq!(reported, expected);
}

/// 20 requests per second are reported as a rate of about 20.
#[test]
fn steady_load_is_reported_as_its_rate() {
    let (mut counter, now) = counter();
    let interval = Duration::from_millis(50);
    count_steadily(&mut counter, (now, now + SECOND * 5), interval, 1, DemandEvent::Offered);

    let rates = counter.report(now + SECOND * 5).rates();

    assert_eq!(rates.len(), 1);
    assert!((19.0..21.0).contains(&rates[0].offered_per_s), "{rates:?}");
}

/// Requests older than the window are not reported.
#[test]
fn report_is_empty_a_second_after_the_last_request() {
    let (mut counter, now) = counter();
    count_steadily(&mut counter, (now, now + SECOND), SECOND / 10, 1, DemandEvent::Offered);

    let report = counter.report(now + SECOND * 2 + SECOND / 5);

    assert_eq!(report.entries, Vec::new());
}

/// A single request right after the start gives a rate of at most one per second.
#[test]
fn first_request_of_a_process_is_no_burst() {
    let (mut counter, now) = counter();
    counter.count(now, "quotes", 1, DemandEvent::Offered);

    let rates = counter.report(now + SECOND / 100).rates();

    assert!(rates[0].offered_per_s <= 1.0, "{rates:?}");
}

/// All ranks from 15 on are counted together.
#[test]
fn ranks_beyond_the_limit_count_as_the_least_urgent() {
    let (mut counter, now) = counter();

    (0..=Rank::MAX).for_each(|rank| {
        counter.count(now, "quotes", rank, DemandEvent::Offered);
    });
    let entries = counter.report(now).entries;

    assert_eq!(entries.len(), MAX_RANKS);
    let least_urgent = entries.last().expect("the least urgent rank");
    assert_eq!(least_urgent.counts.offered, 256 - (MAX_RANKS as u32 - 1));
}

/// A service beyond the limit is not counted until another has had no requests for a while.
#[test]
fn services_beyond_the_limit_are_counted_once_others_are_idle() {
    let (mut counter, now) = counter();

    let mut count = |at: Instant, number: usize| {
        counter.count(at, &format!("service-{number}"), 1, DemandEvent::Offered)
    };
    let counted: Vec<bool> = (0..MAX_SERVICES + 2).map(|number| count(now, number)).collect();
    let later = count(now + SECOND * 3, MAX_SERVICES + 2);

    assert_eq!(counted.iter().filter(|counted| **counted).count(), MAX_SERVICES);
    assert!(later);
}

/// Bounds the size of a report of three ranks of one service and two other services.
#[test]
fn typical_report_takes_less_than_120_bytes() {
    let (mut counter, now) = counter();
    for (service, rank) in [("quotes", 0), ("quotes", 1), ("quotes", 2), ("seat", 0), ("issue", 1)]
    {
        for event in [
            DemandEvent::Offered,
            DemandEvent::Retried,
            DemandEvent::Admitted,
            DemandEvent::Refused,
        ] {
            (0..3).for_each(|_| {
                counter.count(now, service, rank, event);
            });
        }
    }

    let report = counter.report(now + SECOND * 60);
    let full = counter.report(now + SECOND / 2);
    let bytes = postcard::to_stdvec(&full).expect("a report");

    assert_eq!(report.entries, Vec::new());
    assert!(bytes.len() < 120, "{}", bytes.len());
}

/// A caller with clearly less time left than others is a retry; one without a deadline is not.
#[test]
fn callers_with_less_time_left_are_retries() {
    let (mut detector, now) = (RetryDetector::default(), Instant::now());
    let left = |ms: u64| Some(Duration::from_millis(ms));

    let new = [20_000, 19_950, 20_000].map(|ms| detector.is_retry(now, "quote", left(ms)));
    let retry = detector.is_retry(now, "quote", left(19_400));
    let without_deadline = detector.is_retry(now, "quote", None);

    assert_eq!(new, [false; 3]);
    assert!(retry);
    assert!(!without_deadline);
}

/// After a caller with an unusually long deadline, ordinary callers count as retries only for a while.
#[test]
fn single_unusual_caller_is_forgotten() {
    let (mut detector, now) = (RetryDetector::default(), Instant::now());
    detector.is_retry(now, "quote", Some(SECOND * 3_600));

    let retries: Vec<bool> = (0..40)
        .map(|number| detector.is_retry(now + SECOND * number, "quote", Some(SECOND * 20)))
        .collect();

    assert!(retries[1], "the unusual caller has the longest time left");
    assert!(!retries[25..].contains(&true), "{retries:?}");
}
