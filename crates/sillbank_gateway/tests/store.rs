//! What a failed call to the store says about the entries of endpoints.

use sillbank_fleet::prelude::*;
use sillbank_gateway::store::StoreError;

/// Status 429 is a rate limit, not an outage.
#[test]
fn a_rate_limited_call_is_no_outage() {
    let failure = StoreError::Refused(429).store_failure();

    assert_eq!(failure, StoreFailure::RateLimited);
}

/// Status 503 and missing answers may mean that endpoints cannot reach the store either.
#[test]
fn a_store_that_does_not_answer_may_be_unreachable_for_endpoints_too() {
    let errors = [
        StoreError::Refused(503),
        StoreError::Unreached("reset".to_owned()),
        StoreError::Lost("silent".to_owned()),
    ];

    let failures = errors.map(|error| error.store_failure());

    assert_eq!(failures, [StoreFailure::Unreachable; 3]);
}

/// Guards against one broken connection that counts as an outage, in which endpoints that are gone stay in use.
#[test]
fn a_connection_that_breaks_is_told_from_a_store_that_does_not_answer() {
    let failure = StoreError::Cut("reset".to_owned()).store_failure();

    assert_eq!(failure, StoreFailure::ConnectionLost);
}
