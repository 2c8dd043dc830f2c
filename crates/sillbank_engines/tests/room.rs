//! Tests of an engine's KV cache usage, from its report and from sends that the report cannot include.

use sillbank_engines::prelude::*;
use sillbank_testing::for_fixed_seeds;
use std::time::{Duration, Instant};

const CAPACITY: f64 = 10_000.0;

/// KV cache of requests sent since the report counts as used.
#[test]
fn unreported_sends_count_as_used() {
    let usage = KvUsage::new(CAPACITY, 0.5, 3_000.0);

    assert!((usage.used_share() - 0.8).abs() < 1e-9);
    assert!(usage.fits(1_500.0, 0.95));
    assert!(!usage.fits(1_600.0, 0.95));
}

/// If more was freed than the report shows in use, usage is zero.
#[test]
fn usage_is_never_negative() {
    let usage = KvUsage::new(CAPACITY, 0.1, -3_000.0);

    assert_eq!(usage.used, 0.0);
}

/// An engine whose capacity is zero fits no request.
#[test]
fn engine_without_kv_cache_is_full() {
    let usage = KvUsage::new(0.0, 0.0, 0.0);

    assert_eq!(usage.used_share(), 1.0);
    assert!(!usage.fits(1.0, 1.0));
}

/// Sends before the report are part of it; later sends and ends are added.
#[test]
fn only_changes_since_the_report_count() {
    let start = Instant::now();
    let reported = start + Duration::from_millis(500);
    let mut log = SendLog::default();

    log.on_send(start, 1_000.0);
    log.on_send(reported + Duration::from_millis(1), 300.0);
    log.on_end(reported + Duration::from_millis(2), 1_000.0);

    let unreported = log.since(reported);
    assert_eq!((unreported.kv, unreported.requests), (-700.0, 0.0));
}

/// A send that ended at once adds no load.
#[test]
fn refused_send_leaves_no_load() {
    let start = Instant::now();
    let mut log = SendLog::default();

    log.on_send(start, 1_000.0);
    log.on_end(start + Duration::from_millis(3), 1_000.0);

    assert_eq!(log.since(start), UnreportedLoad::default());
}

/// For any history of the last seconds, the load since a moment is what was sent minus what ended.
#[test]
fn unreported_load_is_sends_minus_ends() {
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
        let from = at - Duration::from_millis(u.int_in_range(0..=2_000)?);

        // Act
        let unreported = log.since(from);

        // Assert
        let since = changes.iter().filter(|(at, _)| *at >= from);
        let expected: f64 = since.map(|(_, kv)| kv).sum();
        assert!((unreported.kv - expected).abs() < 1e-6);
        Ok(())
    });
}
