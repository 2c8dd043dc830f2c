//! What is noted of a call that was sent, also if nobody waits for it any more.

use sillbank_admission::calls::{CallAsk, CallCandidate, CallChoice};
use sillbank_gateway::call_tracker::CallTracker;
use std::time::{Duration, Instant};

const SERVICE: &str = "quotes";
const QUICK: &str = "quick";
const WATCHED: &str = "watched";

/// A book in which one of two endpoints is known to answer in 20 ms.
fn tracker() -> CallTracker {
    let tracker = CallTracker::default();
    let now = Instant::now();
    tracker.with(SERVICE, |times| times.on_answer(QUICK, Duration::from_millis(20), now));
    tracker
}

fn long_before(now: Instant) -> Instant {
    now.checked_sub(Duration::from_secs(2)).expect("the machine runs for longer")
}

/// Whether a call with 800 ms left may go to the watched endpoint, asked as of a moment before anything was noted of
/// it, so that nothing has aged however long the test takes.
fn takes_calls(tracker: &CallTracker, now: Instant) -> bool {
    let watched = CallCandidate { endpoint: WATCHED, is_home: true, in_flight: 0, places: 6 };
    let ask = CallAsk { time_left: Duration::from_millis(800), may_repeat: false, rank: 0 };
    let choose = |times: &mut sillbank_admission::calls::CallTimes| {
        times.choose(&[watched], ask, now, || 0.5)
    };
    tracker.with(SERVICE, choose) == CallChoice::Send(0)
}

#[test]
fn a_call_that_was_given_up_after_long_tells_that_its_endpoint_is_slow() {
    let (tracker, now) = (tracker(), Instant::now());

    drop(tracker.watch(SERVICE, WATCHED, long_before(now)));

    assert!(!takes_calls(&tracker, now));
}

#[test]
fn a_call_that_never_arrived_tells_nothing_of_its_endpoint() {
    let (tracker, now) = (tracker(), Instant::now());

    tracker.watch(SERVICE, WATCHED, long_before(now)).on_nothing();

    assert!(takes_calls(&tracker, now));
}

#[test]
fn an_endpoint_that_was_full_is_left_for_a_moment() {
    let (tracker, now) = (tracker(), Instant::now());

    tracker.watch(SERVICE, WATCHED, now).on_full();

    assert!(!takes_calls(&tracker, now));
}

#[test]
fn an_endpoint_that_is_not_listed_any_more_is_forgotten() {
    let (tracker, now) = (tracker(), Instant::now());
    tracker.watch(SERVICE, WATCHED, long_before(now)).on_answer();

    tracker.retain(|id| id != WATCHED);

    assert!(takes_calls(&tracker, now));
}
