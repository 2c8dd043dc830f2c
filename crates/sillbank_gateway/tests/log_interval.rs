//! Tests of the limit of log lines.

use sillbank_gateway::log_interval::LogInterval;
use std::time::{Duration, Instant};

/// Callers who send invalid requests must not fill the log.
#[test]
fn one_line_is_allowed_in_each_interval() {
    // Arrange
    let (start, limit) = (Instant::now(), LogInterval::new(Duration::from_secs(1)));

    // Act
    let allowed: Vec<bool> = [0, 1, 999, 1_000, 1_500, 2_000]
        .map(|ms| limit.allows(start + Duration::from_millis(ms)))
        .into();

    // Assert
    assert_eq!(allowed, [true, false, false, true, false, true]);
}
