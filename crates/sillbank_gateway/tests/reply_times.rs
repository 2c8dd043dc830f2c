//! Endpoints are waited for longer while most of them answer late, and no longer than usual otherwise.

use sillbank_gateway::reply_times::{MAX_TIMEOUT, ReplyTimes};
use sillbank_testing::for_fixed_seeds;
use std::time::{Duration, Instant};

/// Timeout of a report while endpoints answer in time.
const USUAL: Duration = Duration::from_millis(300);

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Reply times of endpoints `e0`, `e1`.. that answered at `at`.
fn reply_times(took_ms: &[u64], at: Instant) -> ReplyTimes {
    let times = ReplyTimes::default();
    for (number, took) in took_ms.iter().enumerate() {
        times.record(&format!("e{number}"), millis(*took), at);
    }
    times
}

/// Guards against a slow VM that takes all endpoints for lost: after the usual timeout it would give up on each of them.
#[test]
fn most_endpoints_answering_late_lengthens_the_timeout() {
    let now = Instant::now();
    let times = reply_times(&[350, 400, 2, 380, 450], now);

    let timeout = times.timeout(USUAL, now);

    assert!(timeout >= millis(800), "{timeout:?}");
    assert!(timeout <= MAX_TIMEOUT, "{timeout:?}");
}

/// Guards against slow detection: one slow endpoint must not delay the detection of a lost one.
#[test]
fn a_minority_of_slow_endpoints_changes_nothing() {
    let now = Instant::now();
    let times = reply_times(&[1_400, 1_200, 3, 2, 4], now);

    assert_eq!(times.timeout(USUAL, now), USUAL);
}

/// Guards against slow detection after a shortage: old reply times no longer count, and endpoints that were lost have no new ones.
#[test]
fn old_reply_times_do_not_count() {
    let now = Instant::now();
    let times = reply_times(&[900, 900, 900, 900], now);

    let later = now + Duration::from_secs(4);

    assert_eq!(times.timeout(USUAL, later), USUAL);
    assert!(!times.is_slow("e0", USUAL, later));
}

/// With fewer than three endpoints the slow ones may be at fault.
#[test]
fn two_endpoints_do_not_lengthen_the_timeout() {
    let now = Instant::now();

    assert_eq!(reply_times(&[900, 900], now).timeout(USUAL, now), USUAL);
}

/// An endpoint whose last reply came after the timeout is slow and not lost; one that answered in time before it stopped is not.
#[test]
fn only_a_late_reply_shows_that_an_endpoint_is_slow() {
    let now = Instant::now();
    let times = reply_times(&[700, 3], now);

    assert!(times.is_slow("e0", USUAL, now));
    assert!(!times.is_slow("e1", USUAL, now));
    assert!(!times.is_slow("unknown", USUAL, now));
}

/// Whatever the reply times, a timeout is between the usual one and the longest.
#[test]
fn the_timeout_stays_within_its_bounds() {
    for_fixed_seeds(300, 128, |u| {
        let now = Instant::now();
        let count = u.int_in_range(0..=12)?;
        let mut took_ms = Vec::new();
        for _ in 0..count {
            took_ms.push(u.int_in_range(0..=5_000)?);
        }

        let timeout = reply_times(&took_ms, now).timeout(USUAL, now);

        assert!((USUAL..=MAX_TIMEOUT).contains(&timeout), "{took_ms:?}: {timeout:?}");
        Ok(())
    });
}
