//! What a call timer records about an endpoint, also when nobody waits for the answer any more.

use sillbank_admission::calls::{CallCandidate, CallDecision, CallRequest};
use sillbank_gateway::call_tracker::CallTracker;
use std::time::{Duration, Instant};

const SERVICE: &str = "quotes";
const QUICK: &str = "quick";
const WATCHED: &str = "watched";

/// A tracker in which one of two endpoints is known to answer in 20 ms.
fn tracker() -> CallTracker {
    let tracker = CallTracker::default();
    let now = Instant::now();
    tracker.with(SERVICE, |balancer| balancer.record_answer(QUICK, Duration::from_millis(20), now));
    tracker
}

fn two_seconds_before(now: Instant) -> Instant {
    now.checked_sub(Duration::from_secs(2)).expect("the machine has run for two seconds")
}

/// Whether a call with 800 ms left may go to the timed endpoint. The decision is made as of a
/// moment before anything was recorded, so that nothing ages however long the test takes.
fn accepts_calls(tracker: &CallTracker, now: Instant) -> bool {
    let watched = CallCandidate { endpoint: WATCHED, is_local: true, in_flight: 0, slots: 6 };
    let request =
        CallRequest { time_left: Duration::from_millis(800), is_idempotent: false, rank: 0 };
    let choose = |balancer: &mut sillbank_admission::calls::CallBalancer| {
        balancer.choose(&[watched], request, now, || 0.5)
    };
    tracker.with(SERVICE, choose) == CallDecision::Send(0)
}

/// An unanswered call whose caller waited long marks its endpoint as slow.
#[test]
fn a_call_abandoned_after_a_long_wait_marks_its_endpoint_as_slow() {
    let (tracker, now) = (tracker(), Instant::now());

    drop(tracker.start_timer(SERVICE, WATCHED, two_seconds_before(now)));

    assert!(!accepts_calls(&tracker, now));
}

/// A discarded timer leaves the endpoint usable.
#[test]
fn a_call_that_never_arrived_says_nothing_about_its_endpoint() {
    let (tracker, now) = (tracker(), Instant::now());

    tracker.start_timer(SERVICE, WATCHED, two_seconds_before(now)).discard();

    assert!(accepts_calls(&tracker, now));
}

/// A refusal for lack of slots pauses the endpoint.
#[test]
fn a_full_endpoint_is_avoided_for_a_moment() {
    let (tracker, now) = (tracker(), Instant::now());

    tracker.start_timer(SERVICE, WATCHED, now).record_full();

    assert!(!accepts_calls(&tracker, now));
}

/// A dropped endpoint loses its recorded times.
#[test]
fn an_endpoint_that_is_no_longer_listed_is_dropped() {
    let (tracker, now) = (tracker(), Instant::now());
    tracker.start_timer(SERVICE, WATCHED, two_seconds_before(now)).record_answer();

    tracker.retain(|id| id != WATCHED);

    assert!(accepts_calls(&tracker, now));
}
