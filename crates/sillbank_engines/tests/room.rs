//! What room an engine is taken to have, from its report and from sends that it cannot have seen.

use sillbank_engines::prelude::*;
use sillbank_testing::for_fixed_seeds;
use std::time::{Duration, Instant};

const CAPACITY: f64 = 10_000.0;

#[test]
fn what_was_sent_since_the_report_is_taken_too() {
    let room = KvRoom::new(CAPACITY, 0.5, 3_000.0);

    assert!((room.taken_share() - 0.8).abs() < 1e-9);
    assert!(room.fits(1_500.0, 0.95));
    assert!(!room.fits(1_600.0, 0.95));
}

#[test]
fn more_given_back_than_reported_leaves_no_less_than_nothing() {
    let room = KvRoom::new(CAPACITY, 0.1, -3_000.0);

    assert_eq!(room.taken, 0.0);
}

#[test]
fn an_engine_without_kv_cache_fits_nothing() {
    let room = KvRoom::new(0.0, 0.0, 0.0);

    assert_eq!(room.taken_share(), 1.0);
    assert!(!room.fits(1.0, 1.0));
}

#[test]
fn sends_before_the_report_are_left_to_it() {
    let start = Instant::now();
    let reported = start + Duration::from_millis(500);
    let mut log = SendLog::default();

    log.on_send(start, 1_000.0);
    log.on_send(reported + Duration::from_millis(1), 300.0);
    log.on_end(reported + Duration::from_millis(2), 1_000.0);

    let unseen = log.since(reported);
    assert_eq!((unseen.kv, unseen.requests), (-700.0, 0.0));
}

#[test]
fn a_send_that_was_refused_leaves_nothing_behind() {
    let start = Instant::now();
    let mut log = SendLog::default();

    log.on_send(start, 1_000.0);
    log.on_end(start + Duration::from_millis(3), 1_000.0);

    assert_eq!(log.since(start), Unseen::default());
}

#[test]
fn what_is_counted_is_what_began_less_what_ended_since_any_moment_of_the_last_seconds() {
    for_fixed_seeds(200, 1024, |u| {
        // Arrange
        let start = Instant::now();
        let mut log = SendLog::default();
        let mut changes: Vec<(Instant, f64)> = Vec::new();
        let mut at = start;
        for _ in 0..60 {
            at += Duration::from_millis(u.int_in_range(0..=120)?);
            let kv = f64::from(u.int_in_range(0..=5_000_u32)?);
            if u.ratio(1, 2)? {
                log.on_send(at, kv);
                changes.push((at, kv));
            } else {
                log.on_end(at, kv);
                changes.push((at, -kv));
            }
        }
        let moment = at - Duration::from_millis(u.int_in_range(0..=2_000)?);

        // Act
        let unseen = log.since(moment);

        // Assert
        let since = changes.iter().filter(|(at, _)| *at >= moment);
        let expected: f64 = since.map(|(_, kv)| kv).sum();
        assert!((unseen.kv - expected).abs() < 1e-6);
        Ok(())
    });
}
