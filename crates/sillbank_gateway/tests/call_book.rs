//! What is noted of a call that was sent, also if nobody waits for it any more.

use sillbank_admission::calls::{CallCandidate, CallDecision, CallRequest};
use sillbank_gateway::call_book::CallBook;
use std::time::{Duration, Instant};

const SERVICE: &str = "quotes";
const QUICK: &str = "quick";
const WATCHED: &str = "watched";

/// A book in which one of two endpoints is known to answer in 20 ms.
fn book() -> CallBook {
    let book = CallBook::default();
    let now = Instant::now();
    book.with(SERVICE, |times| times.record_answer(QUICK, Duration::from_millis(20), now));
    book
}

fn long_before(now: Instant) -> Instant {
    now.checked_sub(Duration::from_secs(2)).expect("the machine runs for longer")
}

/// Whether a call with 800 ms left may go to the watched endpoint, asked as of a moment before anything was noted of
/// it, so that nothing has aged however long the test takes.
fn takes_calls(book: &CallBook, now: Instant) -> bool {
    let watched = CallCandidate { endpoint: WATCHED, is_local: true, in_flight: 0, slots: 6 };
    let ask = CallRequest { time_left: Duration::from_millis(800), is_idempotent: false, rank: 0 };
    let choose = |times: &mut sillbank_admission::calls::CallBalancer| {
        times.choose(&[watched], ask, now, || 0.5)
    };
    book.with(SERVICE, choose) == CallDecision::Send(0)
}

#[test]
fn a_call_that_was_given_up_after_long_tells_that_its_endpoint_is_slow() {
    let (book, now) = (book(), Instant::now());

    drop(book.watch(SERVICE, WATCHED, long_before(now)));

    assert!(!takes_calls(&book, now));
}

#[test]
fn a_call_that_never_arrived_tells_nothing_of_its_endpoint() {
    let (book, now) = (book(), Instant::now());

    book.watch(SERVICE, WATCHED, long_before(now)).on_nothing();

    assert!(takes_calls(&book, now));
}

#[test]
fn an_endpoint_that_was_full_is_left_for_a_moment() {
    let (book, now) = (book(), Instant::now());

    book.watch(SERVICE, WATCHED, now).on_full();

    assert!(!takes_calls(&book, now));
}

#[test]
fn an_endpoint_that_is_not_listed_any_more_is_forgotten() {
    let (book, now) = (book(), Instant::now());
    book.watch(SERVICE, WATCHED, long_before(now)).on_answer();

    book.retain(|id| id != WATCHED);

    assert!(takes_calls(&book, now));
}
