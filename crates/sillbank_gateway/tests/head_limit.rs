//! Which heads the limit of a configuration allows while configurations change, and how long a head is.

use hyper::Request;
use hyper::http::request::Parts;
use sillbank_gateway::head_limit::{HeadLimit, head_bytes};
use std::time::{Duration, Instant};

/// Time until a configuration is in force everywhere.
const OVERLAP: Duration = Duration::from_secs(2);
const LOW_BYTES: usize = 1_000;
const HIGH_BYTES: usize = 4_000;

fn parse(target: &str, headers: &[(&str, &str)]) -> Parts {
    let mut request = Request::builder().method("POST").uri(target);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(()).expect("it is valid").into_parts().0
}

/// Guards against refusing a head that a configuration allows which some callers still go by.
#[test]
fn a_lower_limit_waits_until_its_configuration_is_in_force_everywhere() {
    let now = Instant::now();
    let mut limit = HeadLimit::new(HIGH_BYTES);

    limit.replace(LOW_BYTES, now, OVERLAP);

    assert_eq!(limit.largest_bytes(now + OVERLAP), HIGH_BYTES);
    assert_eq!(limit.largest_bytes(now + OVERLAP + Duration::from_millis(1)), LOW_BYTES);
}

#[test]
fn a_higher_limit_applies_at_once() {
    let now = Instant::now();
    let mut limit = HeadLimit::new(LOW_BYTES);

    limit.replace(HIGH_BYTES, now, OVERLAP);

    assert_eq!(limit.largest_bytes(now), HIGH_BYTES);
}

/// Guards against forgetting a limit of some changes ago that may still be in force.
#[test]
fn of_several_changes_the_largest_limit_that_may_be_in_force_counts() {
    let now = Instant::now();
    let mut limit = HeadLimit::new(HIGH_BYTES);

    limit.replace(LOW_BYTES, now, OVERLAP);
    limit.replace(LOW_BYTES / 2, now + OVERLAP / 2, OVERLAP);

    assert_eq!(limit.largest_bytes(now + OVERLAP), HIGH_BYTES);
    assert_eq!(limit.largest_bytes(now + OVERLAP + OVERLAP / 4), LOW_BYTES);
    assert_eq!(limit.largest_bytes(now + 2 * OVERLAP), LOW_BYTES / 2);
}

#[test]
fn a_configuration_with_the_same_limit_changes_nothing() {
    let now = Instant::now();
    let mut limit = HeadLimit::new(LOW_BYTES);

    limit.replace(LOW_BYTES, now, OVERLAP);

    assert_eq!(limit.largest_bytes(now), LOW_BYTES);
}

#[test]
fn a_head_counts_its_lines_without_optional_white_space() {
    let headers = [("host", "users.example"), ("x-a", "1"), ("x-a", "22")];
    let written = "POST /quotes/x?y=1 HTTP/1.1\r\nHost:users.example\r\nX-A:1\r\nX-A:22\r\n\r\n";

    assert_eq!(head_bytes(&parse("/quotes/x?y=1", &headers)), written.len());
}

#[test]
fn a_target_with_a_host_counts_completely() {
    let written = "POST http://users.example:80/x HTTP/1.1\r\n\r\n";

    assert_eq!(head_bytes(&parse("http://users.example:80/x", &[])), written.len());
}
