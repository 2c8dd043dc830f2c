//! What a failed call to the store tells of the entries of endpoints.

use sillbank_fleet::prelude::*;
use sillbank_gateway::store::StoreError;

#[test]
fn a_refusal_for_the_rate_of_calls_is_no_outage() {
    let trouble = StoreError::Refused(429).trouble();

    assert_eq!(trouble, StoreFailure::RateLimited);
}

#[test]
fn a_store_that_gives_no_answer_or_does_nothing_may_be_away_for_endpoints_too() {
    let errors = [
        StoreError::Refused(503),
        StoreError::Unreached("reset".to_owned()),
        StoreError::Lost("silent".to_owned()),
    ];

    let troubles = errors.map(|error| error.trouble());

    assert_eq!(troubles, [StoreFailure::Unreachable; 3]);
}
